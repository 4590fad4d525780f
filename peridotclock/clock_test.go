package peridotclock

import (
	"testing"
	"time"
)

func TestSharedClock(t *testing.T) {
	boot := time.Unix(100, 0)
	tests := []struct {
		name string
		// observe records readings. The service's clock is at 10 s at boot.
		observe func(c *SharedClock)
		// want is true time at boot plus one second, as an offset from the anchor; 0
		// means unknown.
		want time.Duration
	}{
		{"no reading", func(*SharedClock) {}, 0},
		{"one reading", func(c *SharedClock) { c.Observe(10*time.Second, boot, boot) }, 11 * time.Second},
		{"half of the round trip", func(c *SharedClock) { c.Observe(10*time.Second, boot.Add(-20*time.Millisecond), boot) }, 11*time.Second + 10*time.Millisecond},
		{"slow exchange", func(c *SharedClock) { c.Observe(10*time.Second, boot.Add(-time.Second), boot) }, 0},
		{"negative round trip", func(c *SharedClock) { c.Observe(10*time.Second, boot.Add(time.Second), boot) }, 0},
		{"less precise reading soon after", func(c *SharedClock) {
			c.Observe(10*time.Second, boot, boot)
			c.Observe(10*time.Second, boot, boot.Add(100*time.Millisecond))
		}, 11 * time.Second},
		{"less precise reading much later", func(c *SharedClock) {
			c.Observe(10*time.Second, boot.Add(-time.Minute), boot.Add(-time.Minute))
			c.Observe(10*time.Second, boot.Add(-20*time.Millisecond), boot)
		}, 11*time.Second + 10*time.Millisecond},
	}
	for _, test := range tests {
		c := &SharedClock{}
		anchor := time.Unix(5000, 0)
		test.observe(c)
		if _, ok := c.TrueTime(boot); ok {
			t.Errorf("%s: got true time without an anchor, want none", test.name)
		}
		c.SetAnchor(anchor)
		got, ok := c.TrueTime(boot.Add(time.Second))
		if ok != (test.want != 0) || ok && got.Sub(anchor) != test.want {
			t.Errorf("%s: got %v (%v), want %v", test.name, got.Sub(anchor), ok, test.want)
		}
	}
}

func TestMaxError(t *testing.T) {
	boot := time.Unix(100, 0)
	c := &SharedClock{}
	if got, ok := c.MaxError(); ok {
		t.Errorf("without a reading: got %v, want none", got)
	}
	for _, test := range []struct{ roundTrip, want time.Duration }{
		{180 * time.Millisecond, 90 * time.Millisecond},
		{20 * time.Millisecond, 10 * time.Millisecond},
		{60 * time.Millisecond, 10 * time.Millisecond}, // The more precise reading stays.
	} {
		c.Observe(10*time.Second, boot.Add(-test.roundTrip), boot)
		if got, ok := c.MaxError(); !ok || got != test.want {
			t.Errorf("after a round trip of %v: got %v (%v), want %v", test.roundTrip, got, ok, test.want)
		}
	}
}

func TestBootTimeHasNoMonotonicReading(t *testing.T) {
	a, b := BootTime(), BootTime()
	if b.Before(a) {
		t.Errorf("got %v before %v, want a clock that does not go back", b, a)
	}
	if a != a.Round(0) {
		t.Errorf("got the monotonic reading in %v, want none", a)
	}
}
