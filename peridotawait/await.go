// Package peridotawait bounds the waits of tests.
package peridotawait

import (
	"testing"
	"time"
)

// Timeout bounds each wait of a test for something that surely comes.
const Timeout = 30 * time.Second

// pollInterval is the time between two looks.
const pollInterval = time.Millisecond

// Until polls until done, and fails the test with what was awaited otherwise.
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
