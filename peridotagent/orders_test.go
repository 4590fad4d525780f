package peridotagent

import (
	"testing"
	"time"

	"peridotstack/peridotsettings"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

func TestQuiesce(t *testing.T) {
	a := New(peridotsettings.Agent{EngineAddress: "127.0.0.1:1"}, &peridottable.Memory{})
	q := quiescer{a}
	a.active = 1
	if q.Quiesce() {
		t.Error("Quiesce while a request runs: got true, want false")
	}
	a.active = 0
	if !q.Quiesce() {
		t.Error("Quiesce while idle: got false, want true")
	}
	_, err := a.start(peridotwire.Run{RequestID: "r", TimeoutMillis: 1000})
	if err == nil || err.Code != peridotverdict.Leaving || err.Verdict != peridotverdict.NotRun {
		t.Errorf("start while an order has the engine: got %v, want %s and NotRun", err, peridotverdict.Leaving)
	}
	// Leaving would stay with the process in the eyes of the entries.
	if got := a.pong(); !got.Quiet || got.Leaving {
		t.Errorf("pong while an order has the engine: got Quiet %v and Leaving %v, want true and false", got.Quiet, got.Leaving)
	}
	q.Resume(0)
	if a.isQuiet() {
		t.Error("after Resume: got quiet, want not")
	}
	q.Resume(time.Hour)
	if !a.isQuiet() {
		t.Error("Resume in an hour: got not quiet, want quiet")
	}
}
