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
	// anchorProposalDelay is the time from the start of a front until it proposes an
	// anchor if the table service may have lost one. A running front stores its anchor
	// again before: it hears of the new era after a feed call of at most 1.8 s.
	anchorProposalDelay = 3 * time.Second
	// maxAnchorError is the error above which a front waits for a better reading of the
	// table service's clock before it proposes an anchor, for preciseReadingWait at most.
	// The error of an anchor stays in all usage windows.
	maxAnchorError     = 10 * time.Millisecond
	preciseReadingWait = 3 * time.Second
)

// anchorClock sets the anchor that converts the table service's clock to true
// time. The first front stores an anchor computed from its own time of day, and
// every other front uses the stored anchor. A later jump of a machine's time of
// day therefore does not affect true time. anchorClock returns nil when ctx is done.
func (f *Front) anchorClock(ctx context.Context) error {
	startedAt := f.now()
	for ctx.Err() == nil {
		anchor, era, err := f.readAnchor(ctx)
		switch {
		case err != nil:
		case !anchor.IsZero():
			f.clock.SetAnchor(anchor)
			readingError, _ := f.clock.MaxError()
			log.WithFields(log.Fields{"anchor": anchor, "max_error_ms": readingError.Milliseconds()}).Info(logPrefix + "anchored the clock to true time")
			f.keepAnchor(ctx, anchor, era)
			return nil
		case era == 0 || f.now()-startedAt >= anchorProposalDelay:
			f.proposeAnchor(ctx, era, f.now()-startedAt < preciseReadingWait)
		}
		peridotwait.Sleep(ctx, anchorRetryInterval)
	}
	return nil
}

// keepAnchor stores the anchor again in each new era of the table service, which may
// have lost it, until ctx is done. True time does not change: this front keeps its
// anchor, whatever the table service has. The era is the one in which the anchor was
// read.
func (f *Front) keepAnchor(ctx context.Context, anchor time.Time, era int64) {
	for ctx.Err() == nil {
		peridotwait.Sleep(ctx, anchorRetryInterval)
		newEra := f.platform.Era()
		if newEra == era {
			continue
		}
		f.storeAnchor(ctx, newEra, anchor)
		stored, readEra, err := f.readAnchor(ctx)
		if err != nil || stored.IsZero() || readEra != newEra {
			continue
		}
		if !stored.Equal(anchor) {
			f.metrics.Count("clock_anchor_conflicts")
			log.WithFields(log.Fields{"anchor": anchor, "stored": stored}).Error(logPrefix + "another anchor of the clock is stored")
		}
		era = newEra
		log.WithField("era", era).Info(logPrefix + "the clock's anchor is stored in the new era")
	}
}

// readAnchor returns the stored anchor, the true time at which the table service's
// clock read zero, and the era in which it was read. The anchor is zero if none is
// stored.
func (f *Front) readAnchor(ctx context.Context) (anchor time.Time, era int64, err error) {
	row, err := f.platform.Get(ctx, clockAnchorKey)
	if err != nil {
		f.metrics.Count("clock_read_failures")
		return time.Time{}, 0, err
	}
	if row.Version == 0 {
		return time.Time{}, row.Era, nil
	}
	nanos, err := strconv.ParseInt(string(row.Value), 10, 64)
	if err != nil {
		log.WithError(err).Error(logPrefix + "cannot parse the clock anchor")
		return time.Time{}, 0, err
	}
	return time.Unix(0, nanos), row.Era, nil
}

// proposeAnchor stores an anchor computed from this machine's time of day, unless
// another front has stored one. If mustBePrecise is set, it does nothing if the error
// of the anchor may be above maxAnchorError.
func (f *Front) proposeAnchor(ctx context.Context, era int64, mustBePrecise bool) {
	readingError, ok := f.clock.MaxError()
	if !ok {
		return
	}
	before := peridotclock.BootTime()
	timeOfDay := time.Now()
	serviceTime, _ := f.clock.ServiceTime(before)
	// The process may have been delayed between the two clocks.
	maxError := readingError + peridotclock.BootTime().Sub(before)
	if mustBePrecise && maxError > maxAnchorError {
		return
	}
	anchor := timeOfDay.Add(-serviceTime)
	log.WithFields(log.Fields{"anchor": anchor, "max_error_ms": maxError.Milliseconds()}).Info(logPrefix + "proposes an anchor of the clock")
	f.storeAnchor(ctx, era, anchor)
}

// storeAnchor stores an anchor unless there is one.
func (f *Front) storeAnchor(ctx context.Context, era int64, anchor time.Time) {
	_, err := f.platform.Commit(ctx, peridottable.Txn{
		ID:     f.self.Incarnation,
		Era:    era,
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
