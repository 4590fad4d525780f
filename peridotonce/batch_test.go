package peridotonce

import (
	"testing"
	"time"
)

// findCommit returns the first commit among the actions.
func findCommit(t *testing.T, actions []Action) Commit {
	t.Helper()
	for _, a := range actions {
		if c, ok := a.(Commit); ok {
			return c
		}
	}
	t.Fatalf("got %v, want a commit", actions)
	return Commit{}
}

// TestOutcomesCommittedSeparatelyFromClaims checks that an outcome does not share a
// commit with claims, whose conflicts would delay it.
func TestOutcomesCommittedSeparatelyFromClaims(t *testing.T) {
	now := time.Unix(0, 0)
	l := NewLedger(Process{Instance: "a"}, Options{CommitsPerSecond: 1e6})
	receive := func(key string) []Action {
		r := Request{RequestID: key, Account: "c", Service: "s", Key: key, Fingerprint: "f", Timeout: time.Minute}
		return l.Step(now, RequestReceived{Request: r})
	}
	outcomeClaim := findCommit(t, receive("first"))
	l.Step(now, CommitAnswered{ID: outcomeClaim.Txn.ID, Version: 1})
	otherClaim := findCommit(t, receive("second"))
	l.Step(now, RequestEnded{RequestID: "first", Outcome: Outcome{Status: 200}})
	receive("third")

	next := findCommit(t, l.Step(now, CommitAnswered{ID: otherClaim.Txn.ID, Version: 2}))
	if got, want := len(next.Txn.Puts), 1; got != want {
		t.Fatalf("rows in the next commit: got %d, want only the outcome's row", got)
	}
	if got, want := next.Txn.Puts[0].Key, outcomeClaim.Txn.Puts[0].Key; got != want {
		t.Errorf("row in the next commit: got %s, want %s", got, want)
	}
}
