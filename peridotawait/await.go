// Package peridotawait waits in tests for a condition, with a timeout.
package peridotawait

import (
	"testing"
	"time"
)

// Timeout is the longest time that a test waits for an expected condition.
const Timeout = 30 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = time.Millisecond

// Until calls done repeatedly until it returns true. If this doesn't happen
// within Timeout, it fails the test with a message that names what.
func Until(t testing.TB, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(Timeout)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("got no %s within %v, want it", what, Timeout)
		}
		time.Sleep(pollInterval)
	}
}
