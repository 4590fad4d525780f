package peridotconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"peridotstack/peridottable"
)

const (
	// SnapshotEvery is the number of commits from one snapshot to the next. It
	// bounds the rows that a process without any configuration reads.
	SnapshotEvery = 256
	snapshotKey   = "config/snapshot"
	partPrefix    = "config/part/"
	// partBytes is the largest size of one row of a snapshot.
	partBytes = 128 << 10
	// snapshotTries bounds the attempts to read a snapshot while others replace it.
	snapshotTries = 3
)

// Snapshot is the value of the row that names the last snapshot, a whole
// configuration in rows of its own.
type Snapshot struct {
	// Seq is the number of the commit that the snapshot includes.
	Seq int64
	// ID is unique per snapshot, and part of the keys of its rows.
	ID    string
	Parts int
}

func partsPrefix(id string) string {
	return partPrefix + id + "/"
}

// WriteSnapshot stores c as the last snapshot unless there is a newer one. The
// rows come first and the row that names them last, so that no reader finds a
// snapshot that is not whole.
func (l *Log) WriteSnapshot(ctx context.Context, c *Config, id string) error {
	row, old, err := l.snapshot(ctx)
	if err != nil || old.Seq >= c.Seq {
		return err
	}
	body, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	next := Snapshot{Seq: c.Seq, ID: id}
	for part := range slices.Chunk(body, partBytes) {
		key := fmt.Sprintf("%s%06d", partsPrefix(id), next.Parts)
		if _, err := l.Store.Commit(ctx, peridottable.Txn{ID: id, Puts: []peridottable.Put{{Key: key, Value: part}}}); err != nil {
			return err
		}
		next.Parts++
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the name of a snapshot")
	}
	txn := peridottable.Txn{
		ID:     id,
		Checks: []peridottable.Check{{Key: snapshotKey, Version: row.Version}},
		Puts:   []peridottable.Put{{Key: snapshotKey, Value: value}},
	}
	for i := range old.Parts {
		txn.Deletes = append(txn.Deletes, fmt.Sprintf("%s%06d", partsPrefix(old.ID), i))
	}
	_, err = l.Store.Commit(ctx, txn)
	return err
}

// ReadSnapshot returns the configuration of the last snapshot, or the empty one
// when there is none.
func (l *Log) ReadSnapshot(ctx context.Context) (*Config, error) {
	for range snapshotTries {
		_, s, err := l.snapshot(ctx)
		if err != nil || s.Parts == 0 {
			return &Config{}, err
		}
		rows, err := l.Store.Scan(ctx, peridottable.Range{Prefix: partsPrefix(s.ID)})
		if err != nil {
			return nil, err
		}
		if len(rows) != s.Parts {
			continue // It was replaced between the two reads.
		}
		var body []byte
		for _, row := range rows {
			body = append(body, row.Value...)
		}
		c := &Config{}
		return c, errors.Wrap(json.Unmarshal(body, c), "snapshot "+s.ID)
	}
	return &Config{}, nil
}

func (l *Log) snapshot(ctx context.Context) (peridottable.Row, Snapshot, error) {
	var s Snapshot
	row, err := l.Store.Get(ctx, snapshotKey)
	if err != nil || row.Version == 0 {
		return row, s, err
	}
	return row, s, errors.Wrap(json.Unmarshal(row.Value, &s), "row "+snapshotKey)
}
