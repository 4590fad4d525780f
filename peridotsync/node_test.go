package peridotsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridottable"
	"peridotstack/peridotwire"
)

// from is a Peers that fetches from one node.
type from struct{ node *Node }

func (f from) Fetch(_ context.Context, _ string, after int64) (peridotconfig.Update, error) {
	return f.node.Since(after), nil
}

func (from) Ask(context.Context, []peridotconfig.Witness) {}

// serve runs a node until the test ends.
func serve(t *testing.T, n *Node) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		synctest.Wait()
	})
	go func() { _ = n.Serve(ctx) }()
}

func TestProofsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &peridottable.Faulty{Store: &peridottable.Memory{}}
		account := peridotconfig.PutAccount{Account: peridotconfig.Account{Name: "a"}}
		if _, err := (&peridotconfig.Log{Store: store}).Append(t.Context(), &peridotconfig.Config{}, "one", "ana", peridotconfig.Changes{account}); err != nil {
			t.Fatal(err)
		}
		entry := New("entry-1", store, from{})
		entry.SetReader(true)
		serve(t, entry)
		agent := New("agent-1", nil, from{entry})
		serve(t, agent)
		time.Sleep(tickInterval)
		synctest.Wait()
		if !entry.Fresh() {
			t.Error("entry instance after its check: got a stale configuration, want a fresh one")
		}

		agent.Heard("entry-1", entry.Version())
		time.Sleep(tickInterval)
		synctest.Wait()
		if got := agent.Config().Seq; got != 1 || agent.Fresh() {
			t.Errorf("agent after a version sent unasked: got number %d and fresh %t, want 1 and false", got, agent.Fresh())
		}
		stamp := agent.Stamp()
		version := entry.Version()
		agent.Confirmed("entry-1", version, stamp+int64(time.Hour))
		if agent.Fresh() {
			t.Error("agent after a stamp that it cannot have given: got a fresh configuration, want a stale one")
		}

		const slow = 2 * time.Second
		time.Sleep(slow)
		agent.Confirmed("entry-1", version, stamp)
		if !agent.Fresh() {
			t.Error("agent after a slow proof: got a stale configuration, want a fresh one")
		}
		if got, want := agent.Version().ConfirmedMillis, version.ConfirmedMillis+slow.Milliseconds(); got < want {
			t.Errorf("age of the proof at the agent: got %d ms, want at least %d", got, want)
		}
		time.Sleep(peridotconfig.DefaultBound - slow)
		if agent.Fresh() {
			t.Error("agent after the proof has aged: got a fresh configuration, want a stale one")
		}
		if at := counted(time.Now(), peridotwire.Version{Seq: 1, ConfirmedMillis: never}); !at.IsZero() {
			t.Errorf("a version without a proof: got the time %v, want none", at)
		}

		store.SetDown(true)
		time.Sleep(peridotconfig.DefaultBound + time.Second)
		if entry.Fresh() {
			t.Error("entry instance alone in an outage: got a fresh configuration, want a stale one")
		}
		store.SetDown(false)
		time.Sleep(peridotconfig.CheckInterval + tickInterval)
		synctest.Wait()
		if !entry.Fresh() {
			t.Error("entry instance after the outage: got a stale configuration, want a fresh one")
		}
	})
}
