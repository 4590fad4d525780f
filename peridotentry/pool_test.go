package peridotentry

import (
	"context"
	"testing"

	"peridotstack/peridotawait"
	"peridotstack/peridotsettings"
)

// TestPoolRestarts stops a pool's Serve and calls it again, as a supervisor does
// after a panic.
func TestPoolRestarts(t *testing.T) {
	agent := &scriptedAgent{instance: "agent-1", model: testModel}
	other, _ := entryWith(t, agent)
	e := New(peridotsettings.Entry{Process: peridotsettings.Process{Instance: "entry-2"}}, other.platform)
	for range 2 {
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- e.pool.Serve(ctx) }()
		peridotawait.Until(t, "link to the agent", func() bool { return e.pool.peerOf(agent.instance) != nil })
		stop()
		if err := <-served; err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
		peridotawait.Until(t, "end of the link to the agent", func() bool { return e.pool.peerOf(agent.instance) == nil })
	}
}
