package peridottable

import (
	"context"
	"time"

	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
)

// Store is the table service. Its methods may be called concurrently. Every error
// has a verdict: NotRun if the call certainly had no effect, and MayHaveRun if the
// answer was lost.
type Store interface {
	// Get reads one row. If the row does not exist, Get returns a Row with Version
	// 0 and no error. The read may be stale.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads the rows of a range in the order of their keys. The read may be
	// stale.
	Scan(ctx context.Context, r Range) ([]Row, error)
	// Commit applies all of t or nothing, and returns the new version of the
	// written rows. If a check fails or the table has another era than t, the error
	// has the code Conflict and the verdict NotRun. If the table has changed its era
	// meanwhile, the verdict is MayHaveRun: t may have taken effect in either era.
	Commit(ctx context.Context, t Txn) (int64, error)
}

// Row is one row of the table.
type Row struct {
	// Key is unique within the table.
	Key string
	// Version increases with each commit to the table within an era; 0 means that the
	// row does not exist.
	Version int64
	// Era is the era of the table in which the row was read, also for a row that does
	// not exist.
	Era int64
	// WriterID is the ID of the Txn that wrote the row.
	WriterID string
	// Value is opaque to the table service.
	Value []byte
}

// Range selects the first Limit rows whose keys start with Prefix and sort after
// After.
type Range struct {
	Prefix string
	// After is the last key of the previous range, or empty to start with the
	// first row.
	After string
	// Limit is the maximum number of rows; 0 means 1,000.
	Limit int
}

// Check is a condition of a commit: the row has the given version when the commit
// takes effect.
type Check struct {
	Key string
	// Version is the required version; 0 requires that the row does not exist.
	Version int64
}

// Put creates or replaces a row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a transaction. It takes effect only if all Checks hold. A Txn without Puts
// and Deletes only checks.
type Txn struct {
	// ID is unique per transaction. A retry of the same transaction keeps the ID.
	ID string
	// Era is the era of the rows to whose versions Checks refers, or AnyEra if Checks
	// requires at most that rows do not exist.
	Era    int64
	Checks []Check
	Puts   []Put
	// Deletes are the keys of the rows to delete.
	Deletes []string
}

// AnyEra is the Era of a transaction that may take effect in any era.
const AnyEra = -1

// IsConflict reports whether a commit failed because a check did not hold.
func IsConflict(err error) bool {
	return peridotverdict.Is(err, peridotverdict.Conflict)
}

// ResolveCommit reports whether the commit of t, whose answer was lost, took
// effect. If so, it also returns the version of the written rows. It reads the
// first row in t.Puts with GetCurrent, because the read must not be stale, and
// compares the WriterID with t.ID. If it returns an error, the outcome is still
// unknown. ResolveCommit returns false also if t took effect but another commit has
// written the row since.
func ResolveCommit(ctx context.Context, s Store, t Txn) (int64, bool, error) {
	row, err := GetCurrent(ctx, s, t.Puts[0].Key)
	if err != nil {
		return 0, false, err
	}
	if row.WriterID != t.ID {
		return 0, false, nil
	}
	return row.Version, true, nil
}

// staleReadRetryInterval is the time that GetCurrent waits after a stale read before
// it reads again.
const staleReadRetryInterval = 50 * time.Millisecond

// GetCurrent reads a row and returns the version that was the newest at some time
// during the call. To exclude a stale read, it commits an empty transaction that
// checks the version of the row, and reads again after a conflict until ctx is done.
func GetCurrent(ctx context.Context, s Store, key string) (Row, error) {
	for {
		row, err := s.Get(ctx, key)
		if err != nil {
			return Row{}, err
		}
		_, err = s.Commit(ctx, Txn{Era: row.Era, Checks: []Check{{Key: key, Version: row.Version}}})
		if err == nil {
			return row, nil
		}
		if !IsConflict(err) {
			return Row{}, err
		}
		peridotwait.Sleep(ctx, staleReadRetryInterval)
		if err := ctx.Err(); err != nil {
			return Row{}, peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "gave up reading the table", peridotverdict.Cause(err))
		}
	}
}
