// Package peridotseed sets the number of seeds, and so of random failure
// schedules, that a test runs. The seeds are the numbers from 0 on, so that each
// run uses the same ones.
package peridotseed

import (
	"os"
	"strconv"
	"testing"
)

const (
	// Variable is the environment variable that overrides the number of seeds.
	Variable = "PERIDOT_SEEDS"
	// DefaultCount is the number of seeds that most tests run by default.
	DefaultCount = 100
)

// Count returns the value of the environment variable Variable, or defaultCount
// if it is not set. It fails the test if the value is not a number.
func Count(t testing.TB, defaultCount uint64) uint64 {
	t.Helper()
	text := os.Getenv(Variable)
	if text == "" {
		return defaultCount
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: got %q, want a number", Variable, text)
	}
	return n
}
