package peridotusage

import (
	"reflect"
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
