package peridottable

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"

	"peridotstack/peridotverdict"
)

// defaultScanRows is the maximum number of rows that Scan returns if the Range has
// no Limit.
const defaultScanRows = 1000

// Memory is a Store in memory. Its zero value is an empty table. Reads are never
// stale, and the only error is the conflict of a commit. The stand-in of the table
// service uses a Memory.
type Memory struct {
	mu sync.Mutex
	// version is the number of commits that have changed the table.
	version int64
	era     int64
	rows    map[string]Row
}

// Copy returns a copy of the table, for Restore.
func (m *Memory) Copy() *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Memory{version: m.version, era: m.era, rows: maps.Clone(m.rows)}
}

// Restore replaces the rows and the version of the table with those of a copy and
// begins a new era.
func (m *Memory) Restore(from *Memory) {
	from = from.Copy()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version, m.rows = from.version, from.rows
	m.era++
}

// Era returns the era of the table.
func (m *Memory) Era() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Get reads one row.
func (m *Memory) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.rows[key]
	row.Key, row.Era = key, m.era
	return row, nil
}

// Scan reads the rows of a range.
func (m *Memory) Scan(_ context.Context, r Range) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, r.Prefix) && key > r.After {
			row.Era = m.era
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	limit := r.Limit
	if limit <= 0 {
		limit = defaultScanRows
	}
	if len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Commit applies all of t or nothing.
func (m *Memory) Commit(_ context.Context, t Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.Era != AnyEra && t.Era != m.era {
		return 0, peridotverdict.New(peridotverdict.Conflict, peridotverdict.NotRun, "the table has another era")
	}
	for _, c := range t.Checks {
		if got := m.rows[c.Key].Version; got != c.Version {
			return 0, peridotverdict.New(peridotverdict.Conflict, peridotverdict.NotRun, "row "+c.Key+" has changed")
		}
	}
	if len(t.Puts) == 0 && len(t.Deletes) == 0 {
		return m.version, nil
	}
	m.version++
	if m.rows == nil {
		m.rows = make(map[string]Row)
	}
	for _, p := range t.Puts {
		m.rows[p.Key] = Row{Key: p.Key, Version: m.version, WriterID: t.ID, Value: p.Value}
	}
	for _, key := range t.Deletes {
		delete(m.rows, key)
	}
	return m.version, nil
}
