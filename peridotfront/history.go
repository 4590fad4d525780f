package peridotfront

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"peridotstack/peridottable"
)

const (
	// historyPrefix is the key prefix of the rows of software versions that have served
	// within softwareMemory, one row each.
	historyPrefix = "software/"
	// historyCompleteKey is the key of the row that says that no version lacks its row. Its
	// value is the era in which that was so: a restored copy may be older than some rows.
	historyCompleteKey = historyPrefix + "complete"
	// historyTurnStep, multiplied by the number of fronts with lower addresses, is how long a
	// front leaves it to these to store a software version.
	historyTurnStep = 5 * time.Millisecond
	// historyCheckInterval is the time between two checks of what is due.
	historyCheckInterval = 100 * time.Millisecond
	// historyReadInterval is the time between two reads of a complete history. One that is
	// not complete is read after historyRetryInterval or historyRetryPerFront multiplied by
	// the number of fronts, whichever is longer.
	historyReadInterval  = 30 * time.Second
	historyRetryInterval = 500 * time.Millisecond
	historyRetryPerFront = 5 * time.Millisecond
	// noHistoryEra is the era of a history that this front has not read or stored.
	noHistoryEra = -1
)

// historyRow is the value of the row of a software version.
type historyRow struct {
	Service, Version string
}

func (s serviceSoftware) rowKey() string {
	return fmt.Sprintf("%s%016x", historyPrefix, xxhash.Sum64String(encodeOrigin(s.service, s.version)))
}

// softwareHistory tracks which software versions the table service knows to have served, so
// that fronts know the past after all of them were restarted. Its times are values of
// Front.now.
type softwareHistory struct {
	// knowsPast is set once this front knows all software versions that have served within
	// softwareMemory before it started, and hasReadPast if it has them from the table service
	// itself.
	knowsPast, hasReadPast bool
	// completeEra is the newest era in which the table service is known to lack no version.
	completeEra int64
	// seenEra is the newest known era, and eraSeenAt when it was first seen.
	seenEra   int64
	eraSeenAt time.Duration
	// readAt is when the rows were last read in the era readEra; zero means never.
	readAt  time.Duration
	readEra int64
	// stored contains the versions of the rows by software version.
	stored map[serviceSoftware]int64
	// unreadable contains the rows that cannot be decoded, by key. Each may stand for a software
	// version that this front doesn't know.
	unreadable map[string]unreadableRow
	// returned contains the software versions that have come back and whose rows may be deleted
	// for having been absent.
	returned map[serviceSoftware]returnedVersion
	// missingSince is when this front noticed first that the rows lack something; zero if
	// they lack nothing.
	missingSince time.Duration
	// following says since when this front has followed the backend servers.
	following following
	// unstored contains the software versions that serve and lack their rows.
	unstored map[serviceSoftware]*unstoredVersion
	// changed is closed and replaced when stored changes.
	changed chan struct{}
	// reads are those that requests wait for. It is not guarded by Front.mu.
	reads *awaitedReads
}

// unreadableRow is a version of a row that cannot be decoded.
type unreadableRow struct {
	seenRow
	// isCut is set if the value is not a JSON object. Every release writes one, so that others
	// can tell its rows from those that are lost.
	isCut bool
}

func newSoftwareHistory() softwareHistory {
	return softwareHistory{
		completeEra: noHistoryEra, seenEra: noHistoryEra, readEra: noHistoryEra, stored: make(map[serviceSoftware]int64),
		returned: make(map[serviceSoftware]returnedVersion), unstored: make(map[serviceSoftware]*unstoredVersion), changed: make(chan struct{}), reads: newAwaitedReads(),
	}
}

// followHistory keeps the history up to date until ctx is done.
func (f *Front) followHistory(ctx context.Context) error {
	for ctx.Err() == nil {
		f.syncHistory(ctx)
		select {
		case <-f.backendsChanged:
		case <-f.history.reads.wanted:
		case <-time.After(f.history.reads.untilDue(f.now(), f.readInterval(), historyCheckInterval)):
		case <-ctx.Done():
		}
	}
	return nil
}

// syncHistory reads and stores the history as far as it is due.
func (f *Front) syncHistory(ctx context.Context) {
	era := f.platform.Era()
	f.recordFollowing()
	if f.historyStale(era) && !f.readHistory(ctx) {
		return
	}
	if f.historyTurn(era) && f.readHistory(ctx) {
		f.storeHistory(ctx, era)
	}
	if f.holdsDuties.Load() && f.hasFollowedFor(softwareMemory) {
		f.pruneHistory(ctx, era)
	}
}

// historyStale reports whether the history has to be read in an era.
func (f *Front) historyStale(era int64) bool {
	fronts, awaitedInterval := f.peers.frontCount(), f.readInterval()
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &f.history
	interval := historyReadInterval
	if h.completeEra != era || h.following.missed && !f.lostFeeds[FeedBackends] {
		interval = max(historyRetryInterval, time.Duration(fronts)*historyRetryPerFront)
	}
	return h.readEra != era || f.now()-h.readAt >= interval || h.reads.due(f.now(), awaitedInterval)
}

// readHistory reads the rows of the history. It reports whether it could.
func (f *Front) readHistory(ctx context.Context) bool {
	beganAt := f.now()
	end := f.history.reads.begin(beganAt)
	rows, era, err := f.scanHistory(ctx)
	if err != nil {
		f.metrics.Count("history_read_failures")
		end(false)
		return false
	}
	f.mu.Lock()
	f.applyHistory(era, rows)
	if f.history.completeEra == era && !f.lostFeeds[FeedBackends] {
		f.history.following.prove(beganAt)
	}
	f.mu.Unlock()
	end(true)
	return true
}

// scanHistory reads the rows of the history in one era, which it returns.
func (f *Front) scanHistory(ctx context.Context) ([]peridottable.Row, int64, error) {
	for {
		era := f.platform.Era()
		rows, err := peridottable.ScanAll(ctx, f.platform, historyPrefix)
		if err != nil || f.platform.Era() == era {
			return rows, era, err
		}
	}
}

// applyHistory records the rows that were read in an era. The caller must hold f.mu.
func (f *Front) applyHistory(era int64, rows []peridottable.Row) {
	h, now := &f.history, f.now()
	stored, unreadable := make(map[serviceSoftware]int64, len(rows)), make(map[string]unreadableRow)
	f.backends.recordSoftware(now)
	maps.DeleteFunc(h.returned, func(s serviceSoftware, _ returnedVersion) bool {
		_, registered := f.backends.software[s]
		return !registered
	})
	for _, row := range rows {
		if row.Key == historyCompleteKey {
			if completeEra, err := strconv.ParseInt(string(row.Value), 10, 64); err == nil {
				h.completeEra = max(h.completeEra, completeEra)
			}
			continue
		}
		var s historyRow
		if err := json.Unmarshal(row.Value, &s); err != nil || (serviceSoftware{s.Service, s.Version}).rowKey() != row.Key {
			unreadable[row.Key] = f.recordUnreadable(row)
			continue
		}
		software := serviceSoftware{s.Service, s.Version}
		if h.awaitsNewRow(era, software, row.Version) {
			continue
		}
		delete(h.returned, software)
		stored[software] = row.Version
		_, registered := f.backends.software[software]
		version, known := h.stored[software]
		if !known && !registered || known && h.readEra == era && version < row.Version {
			f.backends.software[software] = now // It may have served until now.
		}
	}
	h.stored, h.unreadable, h.readAt, h.readEra = stored, unreadable, now, era
	h.announceChange()
	if h.completeEra != era || len(unreadable) > 0 {
		return
	}
	h.hasReadPast = true
	if !h.knowsPast {
		h.knowsPast = true
		log.WithFields(log.Fields{"era": era, "versions": len(stored)}).Info(logPrefix + "read which software versions have served")
	}
}

// recordUnreadable logs and counts a row that cannot be decoded when it is first seen, and
// returns what is known of it. The caller must hold f.mu.
func (f *Front) recordUnreadable(row peridottable.Row) unreadableRow {
	if last, ok := f.history.unreadable[row.Key]; ok && last.era == row.Era && last.version == row.Version {
		return last
	}
	f.metrics.Count("unreadable_rows")
	log.WithField("row", row.Key).Warn(logPrefix + "row of a software version cannot be decoded: streams of unknown origin are refused")
	var object map[string]json.RawMessage
	isObject := json.Unmarshal(row.Value, &object) == nil && object != nil
	return unreadableRow{seenRow: seenRow{era: row.Era, version: row.Version, at: f.now()}, isCut: !isObject}
}

// historyTurn reports whether this front is to store what the history lacks in an era.
func (f *Front) historyTurn(era int64) bool {
	index, _ := f.peers.position()
	f.mu.Lock()
	defer f.mu.Unlock()
	h, now := &f.history, f.now()
	if h.seenEra != era {
		h.seenEra, h.eraSeenAt = era, now
	}
	f.knowsPastSoftware()
	h.updateUnstored(now, era, f.backends.registeredSoftware())
	if len(f.missingSoftware(era)) == 0 && (h.completeEra == era || !f.mayCompleteHistory()) {
		h.missingSince = 0
		return false
	}
	if h.missingSince == 0 {
		h.missingSince = now
	}
	return now-h.missingSince >= time.Duration(index)*historyTurnStep
}

// mayCompleteHistory reports whether the history lacks no version in the newest era once it has
// those that this front knows. What another front alone has seen may be missing in the copy from
// which the table service was restored: if this front may have missed something, all others must
// tell what they have seen. The caller must hold f.mu.
func (f *Front) mayCompleteHistory() bool {
	h := &f.history
	if !h.knowsPast || h.completeEra == h.seenEra {
		return h.knowsPast
	}
	answeredAt, hasAnswered := f.feedAnsweredAt[FeedBackends]
	if f.lostFeeds[FeedBackends] || hasAnswered && answeredAt < h.eraSeenAt {
		return false
	}
	if h.following.hasMissed(f.now()) && !f.peers.allVouchSince(h.eraSeenAt) {
		return false
	}
	return f.peers.haveAnnouncedSince(h.eraSeenAt)
}

// missingSoftware returns the software versions that the history lacks: those that serve,
// and all others that have served if it was not complete in this era. The caller must hold
// f.mu.
func (f *Front) missingSoftware(era int64) []serviceSoftware {
	h := &f.history
	f.backends.recordSoftware(f.now())
	var missing []serviceSoftware
	lacks := func(s serviceSoftware) bool {
		_, ok := h.stored[s]
		return !ok && !slices.Contains(missing, s)
	}
	for _, b := range f.backends.byID {
		if s := (serviceSoftware{b.Service, b.SoftwareVersion}); lacks(s) {
			missing = append(missing, s)
		}
	}
	if h.completeEra == era {
		return missing
	}
	for _, record := range []softwareRecord{f.backends.software, f.backends.peerSoftware} {
		for s := range record {
			if lacks(s) {
				missing = append(missing, s)
			}
		}
	}
	return missing
}

// storeHistory stores what the history lacks in an era, and that it is complete if this
// front knows the past.
func (f *Front) storeHistory(ctx context.Context, era int64) {
	t := peridottable.Txn{ID: f.self.Incarnation, Era: era}
	f.mu.Lock()
	missing := f.missingSoftware(era)
	isComplete := f.mayCompleteHistory() && len(missing) <= maxRowsPerCommit
	f.mu.Unlock()
	missing = missing[:min(len(missing), maxRowsPerCommit)]
	for _, s := range missing {
		if data, err := json.Marshal(historyRow{Service: s.service, Version: s.version}); err == nil { // Strings can be encoded.
			t.Puts = append(t.Puts, peridottable.Put{Key: s.rowKey(), Value: data})
		}
	}
	if isComplete {
		t.Puts = append(t.Puts, historyComplete(era))
	}
	if len(t.Puts) == 0 {
		return
	}
	version, err := f.platform.Commit(ctx, t)
	if err != nil {
		f.metrics.Count("history_write_failures")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range missing {
		delete(f.history.returned, s)
		delete(f.history.unreadable, s.rowKey())
		f.history.stored[s] = version
	}
	f.history.announceChange()
	if isComplete {
		f.history.completeEra = max(f.history.completeEra, era)
	}
	log.WithFields(log.Fields{"versions": len(missing), "complete": isComplete, "era": era}).Info(logPrefix + "stored which software versions have served")
}

// beginHistory records that this front is the first one of all and has stored a complete
// history in era 0.
func (f *Front) beginHistory() {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &f.history
	h.knowsPast, h.hasReadPast, h.completeEra = true, true, max(h.completeEra, 0)
}

// hasReadHistory reports whether the history has been read, or can't be had in time.
func (f *Front) hasReadHistory() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history.readAt > 0 || f.now() > rosterLoadTime
}

// historyComplete returns the row that says that the history is complete in an era.
func historyComplete(era int64) peridottable.Put {
	return peridottable.Put{Key: historyCompleteKey, Value: strconv.AppendInt(nil, era, 10)}
}

// vouchesForPast reports whether this front may tell others that it has announced all
// software versions that have served within softwareMemory: it has not heard of them from
// others only, and ages is the whole list. The caller must hold f.mu.
func (f *Front) vouchesForPast(ages []softwareAge) bool {
	ownPast := f.history.hasReadPast || f.now() > softwareMemory
	return ownPast && len(ages) == len(f.backends.software) && len(ages) <= maxSoftwareAges
}

// pruneHistory deletes the rows of the software versions that have not served within
// softwareMemory while this front ran. Rows that are cut and have not changed for that time stand
// for none of those that have. Other rows that cannot be decoded may be of a newer release, which
// may know of servers whose entries this one can't decode, and are left to it.
func (f *Front) pruneHistory(ctx context.Context, era int64) {
	t := peridottable.Txn{ID: f.self.Incarnation, Era: era}
	var gone []serviceSoftware
	f.mu.Lock()
	f.backends.recordSoftware(f.now())
	for s, version := range f.history.stored {
		_, known := f.backends.software[s]
		_, knownToOthers := f.backends.peerSoftware[s]
		if !known && !knownToOthers && len(gone) < maxRowsPerCommit/2 {
			gone = append(gone, s)
			t.Checks = append(t.Checks, peridottable.Check{Key: s.rowKey(), Version: version})
			t.Deletes = append(t.Deletes, s.rowKey())
		}
	}
	for key, row := range f.history.unreadable {
		if row.isCut && f.now()-row.at > softwareMemory && len(t.Deletes) < maxRowsPerCommit/2 {
			t.Checks = append(t.Checks, peridottable.Check{Key: key, Version: row.version})
			t.Deletes = append(t.Deletes, key)
		}
	}
	f.mu.Unlock()
	if len(t.Deletes) == 0 {
		return
	}
	if _, err := f.platform.Commit(ctx, t); err != nil {
		f.metrics.Count("history_write_failures")
		if peridottable.IsConflict(err) {
			f.readHistory(ctx)
		}
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range gone {
		delete(f.history.stored, s)
	}
	for _, key := range t.Deletes {
		delete(f.history.unreadable, key)
	}
}
