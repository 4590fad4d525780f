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
	clockKey = "clock"
	// clockRetry is the time between two tries to read or set the clock's anchor.
	clockRetry = 300 * time.Millisecond
)

// anchorClock makes true time known: the first front notes its time of day
// against the table service's clock, all others take that over. A later jump of
// any machine's time of day changes nothing.
func (f *Front) anchorClock(ctx context.Context) error {
	for ctx.Err() == nil {
		zero, ok := f.readAnchor(ctx)
		if ok {
			f.clock.Anchor(zero)
			log.WithField("anchor", zero).Info(logPrefix + "true time is known")
			<-ctx.Done()
			return nil
		}
		peridotwait.Sleep(ctx, clockRetry)
	}
	return nil
}

// readAnchor returns the true time at zero of the table service's clock, and
// proposes one if there is none.
func (f *Front) readAnchor(ctx context.Context) (time.Time, bool) {
	row, err := f.platform.Get(ctx, clockKey)
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
		log.WithError(err).Error(logPrefix + "the clock's anchor cannot be read")
		return time.Time{}, false
	}
	return time.Unix(0, nanos), true
}

func (f *Front) proposeAnchor(ctx context.Context) {
	now := peridotclock.Boot()
	service, ok := f.clock.Service(now)
	if !ok {
		return
	}
	zero := time.Now().Add(-service)
	_, err := f.platform.Commit(ctx, peridottable.Txn{
		ID:     f.self.Incarnation,
		Checks: []peridottable.Check{{Key: clockKey}},
		Puts:   []peridottable.Put{{Key: clockKey, Value: strconv.AppendInt(nil, zero.UnixNano(), 10)}},
	})
	if err != nil && !peridottable.IsConflict(err) {
		f.metrics.Count("clock_write_failures")
	}
}

// trueTime returns true time, or the machine's time of day while it is unknown.
func (f *Front) trueTime() time.Time {
	if now, ok := f.clock.Now(peridotclock.Boot()); ok {
		return now
	}
	return time.Now()
}
