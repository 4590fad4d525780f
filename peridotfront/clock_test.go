package peridotfront

import (
	"context"
	"sync"
	"testing"
	"time"

	"peridotstack/peridotawait"
	"peridotstack/peridotclock"
	"peridotstack/peridottable"
)

// TestAnchorFromPreciseReading guards against a true time that is off for good because
// the first answer of the table service, from which the anchor was computed, came late.
func TestAnchorFromPreciseReading(t *testing.T) {
	tests := []struct {
		name string
		// precise is set if a precise reading follows the first one.
		precise bool
		// maxError is the largest difference between true time and the time of day.
		maxError time.Duration
	}{
		{"precise reading follows", true, maxAnchorError + 10*time.Millisecond},
		{"the table service stays slow", false, 90*time.Millisecond + 10*time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
			f := newFront(t, c, "front-0")
			f.clock = &peridotclock.SharedClock{}
			// The service's clock reads 10 s at start, and the answer took 180 ms to come.
			start := peridotclock.BootTime()
			f.clock.Observe(10*time.Second, start, start.Add(180*time.Millisecond))
			ctx, stop := context.WithCancel(t.Context())
			var parts sync.WaitGroup
			defer parts.Wait()
			defer stop()
			parts.Go(func() { _ = f.anchorClock(ctx) })
			if test.precise {
				time.Sleep(2 * anchorRetryInterval)
				now := peridotclock.BootTime()
				f.clock.Observe(10*time.Second+now.Sub(start), now, now)
			}
			peridotawait.Until(t, "anchor", func() bool { _, ok := f.clock.TrueTime(peridotclock.BootTime()); return ok })
			got, _ := f.clock.TrueTime(peridotclock.BootTime())
			if off := time.Since(got).Abs(); off > test.maxError {
				t.Errorf("got true time %v off, want %v at most", off, test.maxError)
			}
		})
	}
}
