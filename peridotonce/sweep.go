package peridotonce

import (
	"context"
	"time"

	"peridotstack/peridottable"
)

// sweepBatch bounds the records that one commit removes.
const sweepBatch = 50

// Sweeper removes records whose lifetime has passed. One process per shard of
// the table needs to run it; more do no harm, for each removal is conditional.
type Sweeper struct {
	Store peridottable.Store
}

// Sweep removes the records of one batch that expired before now, a wall-clock
// time, and returns how many it removed. It costs one range read, up to fifty
// reads and one commit. A Conflict means that the next call will do it.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (int, error) {
	index, err := s.Store.Scan(ctx, peridottable.Range{Prefix: expiryPrefix, Limit: sweepBatch})
	if err != nil {
		return 0, err
	}
	var txn peridottable.Txn
	removed := 0
	for _, row := range index {
		start, rowKey, ok := splitExpiryKey(row.Key)
		if !ok || now.Before(start.Add(bucketLength+recordLifetime)) {
			continue
		}
		record, err := s.Store.Get(ctx, rowKey)
		if err != nil {
			return 0, err
		}
		txn.Checks = append(txn.Checks, peridottable.Check{Key: rowKey, Version: record.Version})
		txn.Deletes = append(txn.Deletes, row.Key)
		// A record claimed anew has an expiry row of its own.
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
