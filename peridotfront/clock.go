package peridotfront

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotclock"
	"peridotstack/peridottable"
	"peridotstack/peridotwait"
)

const (
	// clockAnchorKey is the key of the row that holds the clock's anchor: the time
	// of day, in nanoseconds since the Unix epoch, at which the table service's
	// clock read zero.
	clockAnchorKey = "clock"
	// anchorRetryInterval is the pause between attempts to read or write the anchor.
	anchorRetryInterval = 300 * time.Millisecond
)

// anchorClock sets the anchor that converts the table service's clock to true
// time. The first front stores an anchor computed from its own time of day, and
// every other front uses the stored anchor. A later jump of a machine's time of
// day therefore does not affect true time. anchorClock returns nil when ctx is done.
func (f *Front) anchorClock(ctx context.Context) error {
	for ctx.Err() == nil {
		anchor, ok := f.readAnchor(ctx)
		if ok {
			f.clock.SetAnchor(anchor)
			log.WithField("anchor", anchor).Info(logPrefix + "anchored the clock to true time")
			<-ctx.Done()
			return nil
		}
		peridotwait.Sleep(ctx, anchorRetryInterval)
	}
	return nil
}

// readAnchor returns the true time at which the table service's clock read zero.
// If no anchor is stored, it proposes one and returns false.
func (f *Front) readAnchor(ctx context.Context) (time.Time, bool) {
	row, err := f.platform.Get(ctx, clockAnchorKey)
	if err != nil {
		f.metrics.Count("clock_read_failures")
		return time.Time{}, false
	}
	if row.Version == 0 {
		f.proposeAnchor(ctx)
		return time.Time{}, false
	}
	nanos, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		log.WithError(err).Error(logPrefix + "cannot parse the clock anchor")
		return time.Time{}, false
	}
	return time.Unix(0, nanos), true
}

// proposeAnchor stores an anchor computed from this machine's time of day, unless
// another front has stored one.
func (f *Front) proposeAnchor(ctx context.Context) {
	now := peridotclock.BootTime()
	serviceTime, ok := f.clock.ServiceTime(now)
	if !ok {
		return
	}
	anchor := time.Now().Add(-serviceTime)
	_, err := f.platform.Commit(ctx, peridottable.Txn{
		ID:     f.self.Incarnation,
		Era:    peridottable.AnyEra,
		Checks: []peridottable.Check{{Key: clockAnchorKey}},
		Puts:   []peridottable.Put{{Key: clockAnchorKey, Value: strconv.AppendInt(nil, anchor.UnixNano(), 10)}},
	})
	if err != nil && !peridottable.IsConflict(err) {
		f.metrics.Count("clock_write_failures")
	}
}

// trueTime returns true time, or the machine's time of day until the clock is
// anchored.
func (f *Front) trueTime() time.Time {
	if now, ok := f.clock.TrueTime(peridotclock.BootTime()); ok {
		return now
	}
	return time.Now()
}
