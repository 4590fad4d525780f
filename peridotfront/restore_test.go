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

// TestRowsAreWrittenAgain guards against fronts that cannot be found, and a true time
// that differs between fronts, because the table service lost the rows of the roster
// and of the clock. Of these, a running front writes its own again.
func TestRowsAreWrittenAgain(t *testing.T) {
	table := &peridottable.Memory{}
	empty := table.Copy()
	c := &fakePlatform{Faulty: peridottable.Faulty{Store: table}}
	ctx, stop := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	start := func(f *Front) {
		parts.Go(func() { _ = f.anchorClock(ctx) })
		parts.Go(func() { f.peers.followRoster(ctx) })
	}
	anchorOf := func(f *Front) (time.Time, bool) {
		now := peridotclock.BootTime()
		trueTime, ok := f.clock.TrueTime(now)
		serviceTime, _ := f.clock.ServiceTime(now)
		return trueTime.Add(-serviceTime), ok
	}
	exists := func(key string) bool {
		row, err := c.Get(t.Context(), key)
		return err == nil && row.Version > 0
	}
	f := newFront(t, c, "front-0")
	start(f)
	peridotawait.Until(t, "anchor", func() bool { _, ok := anchorOf(f); return ok })
	peridotawait.Until(t, "roster", func() bool { return exists(rosterPrefix + "front-0") })
	anchor, _ := anchorOf(f)
	table.Restore(empty)
	// A front that starts now must use the anchor of the running one, although its own
	// proposal would differ.
	fresh := newFront(t, c, "front-1")
	fresh.clock.Observe(time.Minute, peridotclock.BootTime(), peridotclock.BootTime())
	start(fresh)
	peridotawait.Until(t, "anchor of the fresh front", func() bool { _, ok := anchorOf(fresh); return ok })
	for _, front := range []*Front{f, fresh} {
		if got, _ := anchorOf(front); !got.Equal(anchor) {
			t.Errorf("%s: got anchor %v, want %v", front.settings.Instance, got, anchor)
		}
	}
	peridotawait.Until(t, "roster in the new era", func() bool { return exists(rosterPrefix + "front-0") })
}
