package peridotonce

import (
	"context"
	"time"

	"peridotstack/peridottable"
)

// maxSweepRecords limits the number of records that one commit deletes.
const maxSweepRecords = 50

// Sweeper deletes expired records. One process per shard of the table needs to run
// it. Several may run it at once because each deletion checks the row's version.
type Sweeper struct {
	Store peridottable.Store
}

// Sweep deletes one batch of records that expired before now, a wall-clock time, and
// returns the number of deleted records. It makes one range read, up to fifty reads
// and one commit. After an error with the code Conflict, the next call tries again.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (int, error) {
	index, err := s.Store.Scan(ctx, peridottable.Range{Prefix: expiryPrefix, Limit: maxSweepRecords})
	if err != nil {
		return 0, err
	}
	var txn peridottable.Txn
	removed := 0
	for _, row := range index {
		start, rowKey, ok := splitExpiryKey(row.Key)
		if !ok || now.Before(start.Add(expiryBucketLength+minRecordLifetime)) {
			continue
		}
		record, err := s.Store.Get(ctx, rowKey)
		if err != nil {
			return 0, err
		}
		txn.Checks = append(txn.Checks, peridottable.Check{Key: rowKey, Version: record.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
		// If the key was claimed again later, its record has another index row.
		if expiryKey(rowKey, decodeRecord(record).ClaimedAt) == row.Key {
			txn.Deletes = append(txn.Deletes, rowKey)
			removed++
		}
	}
	if len(txn.Deletes) == 0 {
		return 0, nil
	}
	if _, err := s.Store.Commit(ctx, txn); err != nil {
		return 0, err
	}
	return removed, nil
}
