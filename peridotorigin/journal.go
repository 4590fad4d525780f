package peridotorigin

import (
	"slices"
	"time"
)

const (
	// maxRowBytes and maxRowAge limit the encoded size of a row to which origins are added,
	// and the time for which they are: each addition writes the row anew.
	maxRowBytes = 16 << 10
	maxRowAge   = 2 * time.Second
	// maxJournalRows limits the rows of one journal. With 16 KB each they hold more than
	// 100,000 origins.
	maxJournalRows = 128
)

// JournalRow is a row of origins. Its number is unique within the journal.
type JournalRow struct {
	Number int
	Groups []Group
}

// Journal decides which rows of a table service keep origins, so that they outlive all
// instances. New origins are added to the latest row until that is full; the writer
// stores what Changes returns, and calls Stored. Its zero value is an empty journal.
type Journal struct {
	// rows contains the rows, the oldest first.
	rows []*journalRow
	// entries contains the last entry of each origin.
	entries map[Key]journalEntry
	// obsolete contains the numbers of the stored rows that are to be deleted.
	obsolete []int
	opened   int
}

// journalEntry is the row of an origin and its version there.
type journalEntry struct {
	row     *journalRow
	version string
	// change is the count of changes of the row that brought the entry.
	change int
}

type journalRow struct {
	JournalRow
	openedAt time.Duration
	bytes    int
	// changes counts the changes of the row, and storedChanges those that are stored.
	changes, storedChanges int
}

// Changes contains what the table service lacks.
type Changes struct {
	Puts    []JournalRow
	Deletes []int
	// counts contains the count of changes of each row in Puts.
	counts []int
}

// Empty reports whether nothing is to be stored.
func (c *Changes) Empty() bool {
	return len(c.Puts) == 0 && len(c.Deletes) == 0
}

// Add adds the origin of a stream unless the journal has it. An origin that was renewed is
// added again, so that it outlives its row. The oldest row is dropped if there are too many.
// The times of consecutive calls must not decrease.
func (j *Journal) Add(now time.Duration, key Key, version string) {
	if e, ok := j.entries[key]; ok {
		version = Merge(e.version, version)
		if version == e.version && now-e.row.openedAt < renewalAge(TTL, version) {
			return
		}
	}
	if j.entries == nil {
		j.entries = make(map[Key]journalEntry)
	}
	r := j.open(now, groupBytes+len(version)+keyBytes)
	i := slices.IndexFunc(r.Groups, func(g Group) bool { return g.Version == version })
	if i < 0 {
		i = len(r.Groups)
		r.Groups = append(r.Groups, Group{Version: version})
		r.bytes += groupBytes + len(version)
	}
	r.Groups[i].Keys = append(r.Groups[i].Keys, key)
	r.bytes += keyBytes
	r.changes++
	j.entries[key] = journalEntry{row: r, version: version, change: r.changes}
}

// open returns the row to which an origin of the given encoded size is added.
func (j *Journal) open(now time.Duration, bytes int) *journalRow {
	if n := len(j.rows); n > 0 {
		if last := j.rows[n-1]; now-last.openedAt < maxRowAge && last.bytes+bytes <= maxRowBytes {
			return last
		}
	}
	if len(j.rows) == maxJournalRows {
		j.dropOldest()
	}
	r := &journalRow{JournalRow: JournalRow{Number: j.opened}, openedAt: now}
	j.opened++
	j.rows = append(j.rows, r)
	return r
}

// End removes the origin of a stream that has ended from a row that is not stored yet.
func (j *Journal) End(key Key) {
	r := j.entries[key].row
	if r == nil || r.storedChanges > 0 {
		return
	}
	delete(j.entries, key)
	r.changes++
	for i := range r.Groups {
		g := &r.Groups[i]
		g.Keys = slices.DeleteFunc(g.Keys, func(k Key) bool { return k == key })
	}
	r.Groups = slices.DeleteFunc(r.Groups, func(g Group) bool { return len(g.Keys) == 0 })
}

// Expire drops the rows to which nothing was added for TTL.
func (j *Journal) Expire(now time.Duration) {
	for len(j.rows) > 0 && now-j.rows[0].openedAt >= maxRowAge+TTL {
		j.dropOldest()
	}
}

func (j *Journal) dropOldest() {
	r := j.rows[0]
	j.rows = j.rows[1:]
	for _, g := range r.Groups {
		for _, key := range g.Keys {
			if j.entries[key].row == r {
				delete(j.entries, key)
			}
		}
	}
	if r.storedChanges > 0 {
		j.obsolete = append(j.obsolete, r.Number)
	}
}

// Renew makes Changes return all rows again, because the table service may have lost them.
func (j *Journal) Renew() {
	for _, r := range j.rows {
		if r.storedChanges > 0 {
			r.changes++
		}
	}
}

// Changes returns up to limit changes that the table service lacks. The rows share memory
// with the journal and must be encoded before its next method is called.
func (j *Journal) Changes(limit int) Changes {
	var c Changes
	for i := len(j.rows) - 1; i >= 0 && len(c.Puts) < limit; i-- { // New streams are the likeliest to be resumed.
		r := j.rows[i]
		if r.changes > r.storedChanges && len(r.Groups) > 0 {
			c.Puts = append(c.Puts, r.JournalRow)
			c.counts = append(c.counts, r.changes)
		}
	}
	c.Deletes = slices.Clone(j.obsolete[:min(len(j.obsolete), limit-len(c.Puts))])
	return c
}

// Stored records that the table service has stored the changes.
func (j *Journal) Stored(c Changes) {
	for i, put := range c.Puts {
		at := slices.IndexFunc(j.rows, func(r *journalRow) bool { return r.Number == put.Number })
		if at < 0 {
			j.obsolete = append(j.obsolete, put.Number) // Dropped meanwhile.
			continue
		}
		j.rows[at].storedChanges = c.counts[i]
	}
	j.obsolete = slices.DeleteFunc(j.obsolete, func(n int) bool { return slices.Contains(c.Deletes, n) })
}

// IsStored reports whether the last entry of an origin is stored.
func (j *Journal) IsStored(key Key) bool {
	e, ok := j.entries[key]
	return ok && e.row.storedChanges >= e.change
}

// Len returns the number of rows.
func (j *Journal) Len() int {
	return len(j.rows)
}
