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
	a.activeJobs = 1
	if q.Quiesce() {
		t.Error("Quiesce while a request runs: got true, want false")
	}
	a.activeJobs = 0
	if !q.Quiesce() {
		t.Error("Quiesce while idle: got false, want true")
	}
	_, err := a.startJob(peridotwire.Run{RequestID: "r", TimeoutMillis: 1000})
	if err == nil || err.Code != peridotverdict.Leaving || err.Verdict != peridotverdict.NotRun {
		t.Errorf("startJob while an order is applied: got %v, want %s and NotRun", err, peridotverdict.Leaving)
	}
	// Entry instances would treat Leaving as permanent.
	if got := a.newPong(); !got.Quiet || got.Leaving {
		t.Errorf("newPong while an order is applied: got Quiet %v and Leaving %v, want true and false", got.Quiet, got.Leaving)
	}
	q.Resume(0)
	if a.isQuiesced() {
		t.Error("isQuiesced after Resume(0): got true, want false")
	}
	q.Resume(time.Hour)
	if !a.isQuiesced() {
		t.Error("isQuiesced after Resume(time.Hour): got false, want true")
	}
}
