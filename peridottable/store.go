package peridottable

import (
	"context"
	"time"

	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
)

// Store is the table service. Its methods may be called concurrently. Every
// error carries a verdict: NotRun when the service surely did nothing, and
// MayHaveRun when an answer was lost.
type Store interface {
	// Get reads one row. A row that does not exist has the Version 0. The read
	// may be stale.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads the rows of a range in the order of their keys. The read may be
	// stale.
	Scan(ctx context.Context, r Range) ([]Row, error)
	// Commit applies all of t or nothing. A failed check gives an error with the
	// code Conflict and the verdict NotRun. It returns the version that the
	// written rows now have.
	Commit(ctx context.Context, t Txn) (int64, error)
}

// Row is one row of the table.
type Row struct {
	// Key is unique within the table.
	Key string
	// Version grows with each commit to the table; 0 means that the row is absent.
	Version int64
	// WriterID is the ID of the Txn that wrote the row.
	WriterID string
	// Value is opaque to the service.
	Value []byte
}

// Range selects rows by prefix, from just behind a key, up to a number.
type Range struct {
	Prefix string
	// After is the last key already seen, or empty.
	After string
	// Limit is the largest number of rows; 0 means 1,000.
	Limit int
}

// Check demands that a row has a version at the time of the commit; 0 demands
// that the row is absent.
type Check struct {
	Key     string
	Version int64
}

// Put writes a row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is one atomic change.
type Txn struct {
	// ID is unique per attempt to change; a repeat of the same attempt keeps it.
	ID      string
	Checks  []Check
	Puts    []Put
	Deletes []string
}

// IsConflict reports whether a commit failed because a check did not hold.
func IsConflict(err error) bool {
	return peridotverdict.Is(err, peridotverdict.Conflict)
}

// Settle tells whether the commit t, whose answer was lost, took effect: it
// reads the first row that t puts and compares the writer. The read must not be
// stale, so Settle reads by way of a commit that changes nothing but checks the
// version it saw. It returns the version of the row if t took effect. An error
// means that nobody knows yet. Settle cannot tell once another commit wrote the
// same row; it then reports false.
func Settle(ctx context.Context, s Store, t Txn) (int64, bool, error) {
	row, err := GetCurrent(ctx, s, t.Puts[0].Key)
	if err != nil {
		return 0, false, err
	}
	if row.WriterID != t.ID {
		return 0, false, nil
	}
	return row.Version, true, nil
}

// staleReadPause is the time between two tries to get a read that is not stale.
const staleReadPause = 50 * time.Millisecond

// GetCurrent reads a row and proves, by an empty commit that checks the version
// it saw, that the read was not stale at some time during the call.
func GetCurrent(ctx context.Context, s Store, key string) (Row, error) {
	for {
		row, err := s.Get(ctx, key)
		if err != nil {
			return Row{}, err
		}
		_, err = s.Commit(ctx, Txn{Checks: []Check{{Key: key, Version: row.Version}}})
		if err == nil {
			return row, nil
		}
		if !IsConflict(err) {
			return Row{}, err
		}
		peridotwait.Sleep(ctx, staleReadPause)
		if err := ctx.Err(); err != nil {
			return Row{}, peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "gave up reading the table", peridotverdict.Cause(err))
		}
	}
}
