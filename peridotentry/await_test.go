package peridotentry

import (
	"testing"
	"time"
)

// awaitTimeout bounds each wait of a test for something that surely comes.
const awaitTimeout = 30 * time.Second

// await polls until done, and fails the test with what was awaited otherwise.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(awaitTimeout)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("got no %s within %v, want it", what, awaitTimeout)
		}
		time.Sleep(pollInterval)
	}
}
