package peridotquota

import (
	"testing"
	"time"
)

// TestWindow guards against use that leaves the window too early, which would exceed the
// limit, or never.
func TestWindow(t *testing.T) {
	const slot = 250 * time.Millisecond
	for _, test := range []struct {
		name string
		at   time.Duration
		want float64
	}{
		{name: "at once", want: 100},
		{name: "one window later", at: slots * slot, want: 100},
		{name: "all of it late in its slot", at: (slots+1)*slot + slot - 1, want: 100},
		{name: "gone", at: (slots + 2) * slot},
		{name: "long gone", at: time.Hour},
	} {
		w := window{slot: slot}
		w.advance(10 * time.Second)
		w.add(100)
		w.advance(10*time.Second + test.at)
		if w.sum != test.want {
			t.Errorf("%s: got %v, want %v", test.name, w.sum, test.want)
		}
	}
}

// TestUntilFree guards against callers that are told to come back before the account has
// room, or long after.
func TestUntilFree(t *testing.T) {
	const slot = 250 * time.Millisecond
	w := window{slot: slot}
	w.add(30)
	w.advance(time.Second)
	w.add(50)
	for _, test := range []struct {
		use  float64
		want time.Duration
	}{
		{use: -1},
		{use: 0},
		{use: 30, want: (slots + 2 - 4) * slot},
		{use: 31, want: (slots + 2) * slot},
	} {
		if got := w.untilFree(test.use); got != test.want {
			t.Errorf("%v: got %v, want %v", test.use, got, test.want)
		}
	}
	if got := w.expiring((slots + 2 - 4) * slot); got != 30 {
		t.Errorf("got %v that leaves the window, want 30", got)
	}
}
