package peridotfront

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"peridotstack/peridotorigin"
	"peridotstack/peridottable"
	"peridotstack/peridotwait"
)

const (
	// originRowPrefix is the key prefix of the rows of origins. The incarnation of the
	// writer follows, and the number of the row in its journal.
	originRowPrefix = "origin/"
	// originStoreInterval is the time between two writes of one front. If all fronts are
	// killed, the origins of that time are lost.
	originStoreInterval = 100 * time.Millisecond
	// originRetryInterval is the time between two checks of what is due, also after a
	// failure.
	originRetryInterval = 100 * time.Millisecond
	// One front in frontsPerOriginWriter writes rows of origins, but at least one and at most
	// maxOriginWriters; the others send theirs to these. With originStoreInterval,
	// maxOriginWriters limits the writes of all fronts together to 80 a second.
	frontsPerOriginWriter = 32
	maxOriginWriters      = 8
	// originReadTimeout is how long a look-up waits for a read of the rows.
	originReadTimeout = 300 * time.Millisecond
	// originPruneInterval is the time between two reads in which the holder of the duties
	// looks for rows whose writer is gone.
	originPruneInterval = time.Minute
)

// originRow is the value of a row of origins.
type originRow struct {
	_      struct{} `cbor:",toarray"`
	Groups []originGroup
}

// originStorage tracks which origins the table service keeps, so that they outlive all
// fronts. It is guarded by origins.mu. Its times are values of Front.now.
type originStorage struct {
	journal peridotorigin.Journal
	// mixed contains the contents of which this front begins streams only once their rows
	// are stored. mixedTurn holds a value while they are written.
	mixed     peridotorigin.Journal
	mixedTurn chan struct{}
	// relayed contains the origins for the fronts that write rows, if this front is none.
	relayed peridotorigin.Pending
	// writers are the addresses of the fronts that write rows, in the same order at all
	// fronts; isWriter is set if this front is one of them.
	writers  []netip.AddrPort
	isWriter bool
	// loaded is set once the rows have been read.
	loaded bool
	// reads are those that look-ups wait for.
	reads *awaitedReads
	// rows contains the versions of the rows that were read last.
	rows map[string]seenRow
	// isIncomplete is set if one of these rows could not be decoded: what they lack proves
	// nothing.
	isIncomplete bool
}

// seenRow is a version of a row and the time at which it was first seen.
type seenRow struct {
	era, version int64
	at           time.Duration
	// isUnreadable is set if the row cannot be decoded.
	isUnreadable bool
}

// keep makes the origin of a stream outlive all fronts, also if only one software version of
// its service serves: another one may register while they are away. The caller must hold o.mu.
func (o *origins) keep(now time.Duration, key peridotorigin.Key, origin string) {
	if o.stored.isWriter {
		o.stored.journal.Add(now, key, origin)
	} else if o.stored.relayed.Add(key, origin) {
		o.front.metrics.Count("origins_dropped")
	}
	notify(o.storedChanged)
	notify(o.added)
}

// updateWriters chooses the fronts that write rows among this one and the others that are
// alive. The caller must hold o.mu.
func (o *origins) updateWriters(alive []netip.AddrPort) {
	self, err := netip.ParseAddrPort(o.front.settings.PeerAddress)
	if err != nil {
		return
	}
	n := min(max((len(alive)+1)/frontsPerOriginWriter, 1), maxOriginWriters)
	writers := peridotorigin.NewFronts(append(alive, self)).Choose(peridotorigin.KeyOf(originRowPrefix), n)
	o.stored.writers, o.stored.isWriter = writers, false
	for _, address := range writers {
		o.stored.isWriter = o.stored.isWriter || address == self
	}
}

// writersOf returns the front that writes the row of a stream's origin. The caller must hold
// o.mu.
func (o *origins) writersOf(key peridotorigin.Key) []netip.AddrPort {
	n := len(o.stored.writers)
	if n == 0 {
		return nil
	}
	i := int(uint64(key) % uint64(n))
	return o.stored.writers[i : i+1]
}

// followRows keeps the rows of origins in the table service up to date until ctx is done.
func (o *origins) followRows(ctx context.Context) error {
	var reader sync.WaitGroup
	defer reader.Wait()
	reader.Go(func() { o.followStored(ctx) }) // A long read must not delay what is written.
	writtenEra := o.front.platform.Era()
	for ctx.Err() == nil {
		if era := o.front.platform.Era(); era != writtenEra {
			writtenEra = era
			o.renewRows()
		}
		o.writeRows(ctx)
		_ = o.writeMixed(ctx, func() bool { return false }) // What a restore or a failed commit left; failures are counted.
		select {
		case <-o.storedChanged:
			peridotwait.Sleep(ctx, originStoreInterval)
		case <-time.After(originRetryInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// followStored reads the rows when they are due, and deletes those that no front writes any
// more, until ctx is done.
func (o *origins) followStored(ctx context.Context) {
	var prunedAt time.Duration
	for ctx.Err() == nil {
		if o.readDue() {
			o.readRows(ctx)
		}
		if now := o.front.now(); o.front.holdsDuties.Load() && now-prunedAt >= originPruneInterval {
			prunedAt = now
			o.pruneRows(ctx)
		}
		select {
		case <-o.stored.reads.wanted:
		case <-time.After(o.stored.reads.untilDue(o.front.now(), o.front.readInterval(), originRetryInterval)):
		case <-ctx.Done():
		}
	}
}

// readDue reports whether the rows have to be read.
func (o *origins) readDue() bool {
	interval := o.front.readInterval()
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.stored.loaded || o.stored.reads.due(o.front.now(), interval)
}

// readRows reads the rows and records the origins in them.
func (o *origins) readRows(ctx context.Context) {
	end := o.stored.reads.begin(o.front.now())
	rows, err := peridottable.ScanAll(ctx, o.front.platform, originRowPrefix)
	defer func() { end(err == nil) }()
	if err != nil {
		o.front.metrics.Count("origin_row_read_failures")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.front.now()
	seen := make(map[string]seenRow, len(rows))
	o.stored.isIncomplete = false
	for _, row := range rows {
		at := o.stored.rows[row.Key]
		if at.version != row.Version || at.era != row.Era {
			at = seenRow{era: row.Era, version: row.Version, at: now}
			at.isUnreadable = !o.applyRow(now, row)
		}
		seen[row.Key] = at
		o.stored.isIncomplete = o.stored.isIncomplete || at.isUnreadable
	}
	if !o.stored.loaded {
		log.WithFields(log.Fields{"rows": len(rows), "origins": o.table.Len()}).Info(logPrefix + "read the origins of streams")
	}
	o.stored.rows, o.stored.loaded = seen, true
}

// applyRow records the origins in a row. It reports whether the row could be decoded. The caller
// must hold o.mu.
func (o *origins) applyRow(now time.Duration, row peridottable.Row) bool {
	var r originRow
	if err := cbor.Unmarshal(row.Value, &r); err != nil {
		o.front.metrics.Count("unreadable_rows")
		log.WithField("row", row.Key).Warn(logPrefix + "ignoring a row that cannot be decoded")
		return false
	}
	for _, g := range r.Groups {
		for _, key := range g.Keys {
			o.record(now, peridotorigin.Key(key), g.Version)
		}
	}
	return true
}

// renewRows makes this front write its rows again.
func (o *origins) renewRows() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored.journal.Renew()
	o.stored.mixed.Renew()
}

// writeRows writes what the table service lacks of this front's journal.
func (o *origins) writeRows(ctx context.Context) {
	o.mu.Lock()
	changes := o.stored.journal.Changes(maxRowsPerCommit)
	t := o.rowsTxn(o.rowKey, changes)
	o.mu.Unlock()
	if changes.Empty() {
		return
	}
	if _, err := o.front.platform.Commit(ctx, t); err != nil {
		o.front.metrics.Count("origin_row_write_failures")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored.journal.Stored(changes)
}

// rowsTxn returns the transaction that stores changes of a journal with the given keys of rows.
func (o *origins) rowsTxn(rowKey func(number int) string, changes peridotorigin.Changes) peridottable.Txn {
	t := peridottable.Txn{ID: o.front.self.Incarnation, Era: peridottable.AnyEra}
	for _, r := range changes.Puts {
		if data, err := cbor.Marshal(originRow{Groups: encodeGroups(r.Groups)}); err == nil { // Integers and strings can be encoded.
			t.Puts = append(t.Puts, peridottable.Put{Key: rowKey(r.Number), Value: data})
		}
	}
	for _, n := range changes.Deletes {
		t.Deletes = append(t.Deletes, rowKey(n))
	}
	return t
}

func (o *origins) rowKey(number int) string {
	return fmt.Sprintf("%s%s/%08d", originRowPrefix, o.front.self.Incarnation, number)
}

// pruneRows deletes the rows that have not changed for the time for which origins are kept:
// their writers are gone, and what they contain has expired, also in rows that cannot be decoded.
func (o *origins) pruneRows(ctx context.Context) {
	o.readRows(ctx)
	t := peridottable.Txn{ID: o.front.self.Incarnation, Era: peridottable.AnyEra}
	now := o.front.now()
	o.mu.Lock()
	for key, row := range o.stored.rows {
		if now-row.at >= peridotorigin.TTL && len(t.Deletes) < maxRowsPerCommit {
			t.Deletes = append(t.Deletes, key)
		}
	}
	o.mu.Unlock()
	if len(t.Deletes) == 0 {
		return
	}
	if _, err := o.front.platform.Commit(ctx, t); err != nil {
		o.front.metrics.Count("origin_row_write_failures")
	}
}

// hasReadAll reports whether the last read could decode all rows.
func (o *origins) hasReadAll() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.stored.isIncomplete
}

// storedLoaded reports whether the rows have been read, or can't be had in time.
func (o *origins) storedLoaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stored.loaded || o.front.now() > rosterLoadTime
}
