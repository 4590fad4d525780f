package peridotretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowBudgetHolds checks, for requests and repeats at random times, that the
// repeats in each window that ends with a repeat are within the budget.
func TestWindowBudgetHolds(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := &WindowBudget{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 5).Draw(t, "slack")), Window: window}
		var requests, repeats []time.Duration
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "start")) * time.Millisecond
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now, "s")
				requests = append(requests, now)
			} else if b.AllowRepeats(now, "s", 1) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			got := float64(countWithin(repeats, end, window))
			// Requests of the preceding window count as well: they may have allowed
			// repeats early in this window.
			if most := b.Ratio*float64(countWithin(requests, end, 2*window)) + b.Slack; got > most {
				t.Fatalf("got %v repeats in the window up to %v, want at most %v", got, end, most)
			}
		}
	})
}

// countWithin returns the number of times in the window up to end, without the
// window's first tenth: that may lie in a bucket that the budget has reset.
func countWithin(times []time.Duration, end, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at <= end && at > end-window*9/10 {
			n++
		}
	}
	return n
}

func TestWindowBudgetSeparatesServices(t *testing.T) {
	b := &WindowBudget{Slack: 1, Window: time.Second}
	if !b.AllowRepeats(0, "a", 1) || b.AllowRepeats(0, "a", 1) || !b.AllowRepeats(0, "b", 1) {
		t.Error("got one budget for both services, want one for each")
	}
	if !b.AllowRepeats(2*time.Second, "a", 1) {
		t.Error("got no repeat in a new window, want one")
	}
}
