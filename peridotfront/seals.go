package peridotfront

import (
	"context"
	"encoding/json"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotclock"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
)

// announcementsBeforeReport is the number of announcements of a sealed window before
// its report is sent, because one datagram may be lost.
const announcementsBeforeReport = 2

// A sealed usage window must never be reported with other counts, even if the table
// service loses the row of the seal. Each front therefore keeps the latest seals in
// memory. The holder of the duties announces them to the other fronts before it sends
// the report, and writes them again in a new era. A later holder that knows no seal
// of a window that may have been sealed in the lost history does not report it.

// ownSeals returns the final counts of the latest windows that this front sealed. The
// caller must hold f.mu.
func (f *Front) ownSeals() map[peridotusage.Window]map[string]int64 {
	oldest := f.tally.WindowAt(f.trueTime()) - keptUsageWindows
	own := make(map[peridotusage.Window]map[string]int64)
	for w := range f.sealedAt {
		counts, ok := f.seals.Counts(w)
		if ok && w > oldest {
			own[w] = counts
			continue
		}
		delete(f.sealedAt, w)
	}
	return own
}

// isUsageWindow reports whether other fronts may send counts of a window now: those that are
// kept, and the next one, since clocks differ. Any window may be sent until the clock is
// anchored. The caller must hold f.mu.
func (f *Front) isUsageWindow(window int64) bool {
	now, ok := f.clock.TrueTime(peridotclock.BootTime())
	if !ok {
		return true
	}
	current := int64(f.tally.WindowAt(now))
	return window > current-keptUsageWindows && window <= current+1
}

// handleUsage adds the counts that another front sent. The caller must hold f.mu.
func (f *Front) handleUsage(m *message) {
	if now, ok := f.clock.TrueTime(peridotclock.BootTime()); ok {
		f.tally.DeleteOld(f.tally.WindowAt(now))
	}
	from := peridotusage.Process{Instance: m.From, Incarnation: m.Usage.Incarnation}
	if !f.isUsageWindow(m.Usage.Window) || !f.tally.Merge(from, peridotusage.Window(m.Usage.Window), m.Usage.Counts) {
		f.metrics.Count("usage_refused")
	}
}

// handleSeal adds the final counts that another front announced. The caller must hold f.mu.
func (f *Front) handleSeal(s *seal) {
	if now, ok := f.clock.TrueTime(peridotclock.BootTime()); ok {
		f.seals.DeleteAfter(f.tally.WindowAt(now) + 1)
	}
	if !f.isUsageWindow(s.Window) {
		f.metrics.Count("usage_refused")
		return
	}
	if !f.seals.Merge(peridotusage.Window(s.Window), s.Accounts, s.Counts) {
		f.metrics.Count("usage_seal_contradictions")
	}
}

// recordSeal records the final counts of a window that this front reports as the
// holder of the duties. It returns the counts that count, which are those known
// before, if any.
func (f *Front) recordSeal(w peridotusage.Window, counts map[string]int64) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.seals.Counts(w)
	if !ok {
		f.seals.Set(w, counts)
		known = counts
	}
	if _, ok := f.sealedAt[w]; !ok {
		f.sealedAt[w] = f.now()
	}
	return known
}

// isAnnounced reports whether the other fronts had the time to learn the final counts
// of a window that this front sealed.
func (d *duties) isAnnounced(w peridotusage.Window) bool {
	f := d.front
	if len(f.peers.alivePeers()) == 0 {
		return true
	}
	wait := min(announcementsBeforeReport*f.peers.announceInterval(), f.settings.UsageReportDue/8)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now()-f.sealedAt[w] >= wait
}

// observeEra records when this front saw the present era first.
func (d *duties) observeEra() {
	if era := d.front.platform.Era(); era != d.era || d.eraSeenAt.IsZero() {
		d.era, d.eraSeenAt = era, peridotclock.BootTime()
	}
}

// mayBeLost reports whether another front may have sealed and reported a window whose
// seal the table service has lost: the window ended before this front was the holder,
// and before a restore.
func (d *duties) mayBeLost(w peridotusage.Window) bool {
	d.observeEra()
	sinceEnd := d.front.trueTime().Sub(d.front.tally.WindowEnd(w))
	now := peridotclock.BootTime()
	return d.era > 0 && sinceEnd > now.Sub(d.eraSeenAt) && sinceEnd > now.Sub(d.termStart)
}

// rewriteSeals writes all known seals in each new era and each new term, because the
// table service may have lost their rows.
func (d *duties) rewriteSeals(ctx context.Context) {
	f := d.front
	era := f.platform.Era()
	if d.writtenEra == era && d.writtenToken == d.grantToken {
		return
	}
	f.mu.Lock()
	seals := f.seals.All()
	f.mu.Unlock()
	txn := peridottable.Txn{ID: f.self.Incarnation, Era: era}
	for w, counts := range seals {
		if data, err := json.Marshal(counts); err == nil { // Marshaling these maps can't fail.
			txn.Puts = append(txn.Puts, peridottable.Put{Key: sealKey(w), Value: data})
		}
	}
	if len(txn.Puts) > 0 {
		if _, err := f.platform.Commit(ctx, txn); err != nil {
			f.metrics.Count("usage_seal_failures")
			log.WithError(err).Warn(logPrefix + "cannot write the seals of usage windows again")
			return
		}
		log.WithFields(log.Fields{"era": era, "windows": len(txn.Puts)}).Info(logPrefix + "wrote the seals of usage windows again")
	}
	d.writtenEra, d.writtenToken = era, d.grantToken
}

// sealWindow stores the final counts of a window in the table service and returns
// them. If the window is sealed already, it returns the known or stored counts, so
// every holder that reports the window reports the same counts. It returns no counts
// for a window that must not be reported.
func (d *duties) sealWindow(ctx context.Context, w peridotusage.Window) (map[string]int64, error) {
	f := d.front
	f.mu.Lock()
	counts, known := f.seals.Counts(w)
	if !known {
		counts = f.tally.Sum(w)
	}
	f.mu.Unlock()
	if known {
		return f.recordSeal(w, counts), nil
	}
	era := f.platform.Era()
	if !d.mayBeLost(w) {
		data, err := json.Marshal(counts)
		if err != nil {
			return nil, err
		}
		_, err = f.platform.Commit(ctx, peridottable.Txn{
			ID:      f.self.Incarnation,
			Era:     era,
			Checks:  []peridottable.Check{{Key: sealKey(w)}},
			Puts:    []peridottable.Put{{Key: sealKey(w), Value: data}},
			Deletes: []string{sealKey(w - 100)},
		})
		if err == nil {
			return f.recordSeal(w, counts), nil
		}
		if !peridottable.IsConflict(err) {
			f.metrics.Count("usage_seal_failures")
		}
	}
	return d.readSeal(ctx, w)
}

// readSeal returns the stored counts of a window that another holder, or an earlier
// commit of this one whose answer was lost, may have sealed already.
func (d *duties) readSeal(ctx context.Context, w peridotusage.Window) (map[string]int64, error) {
	f := d.front
	row, err := f.platform.Get(ctx, sealKey(w))
	if err != nil {
		return nil, err
	}
	isOwn := row.WriterID == f.self.Incarnation
	switch {
	case d.mayBeLost(w) && (row.Version == 0 || isOwn):
		if isOwn { // Written in the new era, over a seal that may be lost.
			d.deleteSeal(ctx, row)
		}
		f.metrics.Count("usage_windows_skipped")
		log.WithFields(log.Fields{"window": int64(w), "era": d.era}).Warn(logPrefix + "not reporting a usage window whose seal may be lost")
		return nil, nil
	case row.Version == 0:
		return nil, peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "the window is not sealed yet")
	}
	var counts map[string]int64
	if err := json.Unmarshal(row.Value, &counts); err != nil {
		return nil, errors.Wrap(err, "decode the seal of a usage window")
	}
	return f.recordSeal(w, counts), nil
}

// deleteSeal deletes the row of a seal that must not be used.
func (d *duties) deleteSeal(ctx context.Context, row peridottable.Row) {
	_, err := d.front.platform.Commit(ctx, peridottable.Txn{
		ID:      d.front.self.Incarnation,
		Era:     row.Era,
		Checks:  []peridottable.Check{{Key: row.Key, Version: row.Version}},
		Deletes: []string{row.Key},
	})
	if err != nil {
		d.front.metrics.Count("usage_seal_failures")
	}
}

func sealKey(w peridotusage.Window) string {
	return usagePrefix + w.String()
}
