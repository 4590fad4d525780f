// Package peridotseed says how many seeded schedules of failures a test runs.
// The seeds are the numbers from 0 on, so that every run sees the same ones.
package peridotseed

import (
	"os"
	"strconv"
	"testing"
)

const (
	// Variable is the environment variable that asks for another number.
	Variable = "PERIDOT_SEEDS"
	// Usual is the number that most tests run without it.
	Usual = 100
)

// Count returns the number of seeds: usual, unless the environment asks for
// another one. A value that is no number ends the test.
func Count(t testing.TB, usual uint64) uint64 {
	t.Helper()
	text := os.Getenv(Variable)
	if text == "" {
		return usual
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: got %q, want a number", Variable, text)
	}
	return n
}
