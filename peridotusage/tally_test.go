package peridotusage

import (
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestTally(t *testing.T) {
	const length = 5 * time.Second
	a, b := Process{Instance: "a", Incarnation: "1"}, Process{Instance: "b", Incarnation: "1"}
	tally := NewTally(a, length, 3)
	at := time.Unix(1000, 0)
	w := tally.WindowAt(at)
	if got, want := tally.WindowEnd(w), time.Unix(1005, 0); !got.Equal(want) {
		t.Errorf("WindowEnd: got %v, want %v", got, want)
	}
	tally.Add("x", at)
	tally.Add("x", at.Add(length-1))
	tally.Add("x", at.Add(length))
	// Counts arrive repeatedly, late and out of order.
	tally.Merge(b, w, map[string]int64{"x": 5, "y": 2})
	tally.Merge(b, w, map[string]int64{"x": 3})
	tally.Merge(b, w, map[string]int64{"x": 5, "y": 2})
	// The same instance counts from zero after a restart.
	tally.Merge(Process{Instance: "b", Incarnation: "2"}, w, map[string]int64{"x": 1})
	if got, want := tally.Sum(w), map[string]int64{"x": 8, "y": 2}; !reflect.DeepEqual(got, want) {
		t.Errorf("Sum: got %v, want %v", got, want)
	}
	if got, want := tally.OwnCounts(w+1, 2), map[Window]map[string]int64{w: {"x": 2}, w + 1: {"x": 1}}; !reflect.DeepEqual(got, want) {
		t.Errorf("OwnCounts: got %v, want %v", got, want)
	}
	tally.DeleteOld(w + 3)
	if got := tally.Sum(w); len(got) > 0 {
		t.Errorf("Sum of a deleted window: got %v, want none", got)
	}
	if got := tally.Sum(w + 1); got["x"] != 1 {
		t.Errorf("Sum of a kept window: got %v, want 1 of x", got)
	}
}

// TestTallyIsBounded guards against counts of other processes, or of processes that don't
// exist, that take all memory, and against windows to come that keep it.
func TestTallyIsBounded(t *testing.T) {
	self := Process{Instance: "a", Incarnation: "1"}
	const limit = 1 << 20
	tally := NewTally(self, time.Second, 3, WithMergedLimit(limit))
	at := time.Unix(1000, 0)
	w := tally.WindowAt(at)
	merge := func(n int) bool {
		return tally.Merge(Process{Instance: "b", Incarnation: strconv.Itoa(n)}, w+Window(5*(n%2)), map[string]int64{strings.Repeat("x", 1<<10): 1})
	}
	n := 0
	for n < limit>>10 && merge(n) {
		n++
	}
	if most := limit / (1<<10 + countBytes + processBytes); n < most/2 || n > most {
		t.Errorf("got %d processes, want %d to %d", n, most/2, most)
	}
	if merge(n) || !merge(0) {
		t.Error("full: got a further process or not the known one, want just that")
	}
	tally.Add("x", at)
	if got := tally.Sum(w)["x"]; got != 1 {
		t.Errorf("full: got %d own requests, want 1", got)
	}
	tally.DeleteOld(w)
	if got := len(tally.Sum(w + 5)); got != 0 {
		t.Errorf("got %d accounts in a window to come, want none", got)
	}
	if !merge(n) {
		t.Error("got no room after the deletion, want some")
	}
}
