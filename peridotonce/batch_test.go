package peridotonce

import (
	"testing"
	"time"
)

// commitOf returns the one commit among the actions.
func commitOf(t *testing.T, actions []Action) Commit {
	t.Helper()
	for _, a := range actions {
		if c, ok := a.(Commit); ok {
			return c
		}
	}
	t.Fatalf("got %v, want a commit", actions)
	return Commit{}
}

// TestOutcomesGoApartFromClaims keeps an outcome out of a commit with claims,
// each of which may conflict and hold it up.
func TestOutcomesGoApartFromClaims(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLedger(Process{Instance: "a"}, Options{CommitsPerSecond: 1e6})
	ask := func(key string) []Action {
		r := Request{RequestID: key, Account: "c", Service: "s", Key: key, Fingerprint: "f", Timeout: time.Minute}
		return l.Step(now, Asked{Request: r})
	}
	ran := commitOf(t, ask("ran"))
	l.Step(now, CommitAnswered{ID: ran.Txn.ID, Version: 1})
	underWay := commitOf(t, ask("under way"))
	l.Step(now, Ended{RequestID: "ran", Outcome: Outcome{Status: 200}})
	ask("elsewhere")

	next := commitOf(t, l.Step(now, CommitAnswered{ID: underWay.Txn.ID, Version: 2}))
	if got, want := len(next.Txn.Puts), 1; got != want {
		t.Fatalf("rows in the next commit: got %d, want the outcome alone", got)
	}
	if got, want := next.Txn.Puts[0].Key, ran.Txn.Puts[0].Key; got != want {
		t.Errorf("row in the next commit: got %s, want %s", got, want)
	}
}
