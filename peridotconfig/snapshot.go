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
	// CommitsPerSnapshot is the number of commits from one snapshot to the next. It
	// limits the number of rows that a process without a configuration reads.
	CommitsPerSnapshot = 256
	// snapshotKey is the key of the row that describes the last snapshot.
	snapshotKey = "config/snapshot"
	// snapshotPartsPrefix is the prefix of the keys of all parts of snapshots.
	snapshotPartsPrefix = "config/part/"
	// maxPartBytes is the maximum size in bytes of one part of a snapshot.
	maxPartBytes = 128 << 10
	// maxSnapshotReads is the maximum number of attempts to read a snapshot while
	// other processes replace it.
	maxSnapshotReads = 3
)

// Snapshot is the value of the row that describes the last snapshot. A snapshot is
// a whole configuration, encoded as JSON and split into parts of one row each.
type Snapshot struct {
	// Seq is the number of the last commit that the snapshot includes.
	Seq int64
	// ID is unique per snapshot and contained in the keys of its parts.
	ID string
	// Parts is the number of parts.
	Parts int
}

// partsPrefix returns the prefix of the keys of one snapshot's parts.
func partsPrefix(id string) string {
	return snapshotPartsPrefix + id + "/"
}

// WriteSnapshot stores c as the last snapshot, unless the stored one has the same
// Seq or a later one. The id must be unique per snapshot. WriteSnapshot writes the
// parts before the row that describes them, so that no reader finds an incomplete
// snapshot.
func (l *Log) WriteSnapshot(ctx context.Context, c *Config, id string) error {
	row, old, err := l.readSnapshotRow(ctx)
	if err != nil || old.Seq >= c.Seq {
		return err
	}
	body, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	next := Snapshot{Seq: c.Seq, ID: id}
	for part := range slices.Chunk(body, maxPartBytes) {
		key := fmt.Sprintf("%s%06d", partsPrefix(id), next.Parts)
		if _, err := l.Store.Commit(ctx, peridottable.Txn{ID: id, Puts: []peridottable.Put{{Key: key, Value: part}}}); err != nil {
			return err
		}
		next.Parts++
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the description of a snapshot")
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

// ReadSnapshot returns the configuration of the last snapshot. It returns the empty
// configuration if there is no snapshot, or if each attempt to read one failed
// because another process replaced it.
func (l *Log) ReadSnapshot(ctx context.Context) (*Config, error) {
	for range maxSnapshotReads {
		_, s, err := l.readSnapshotRow(ctx)
		if err != nil || s.Parts == 0 {
			return &Config{}, err
		}
		rows, err := l.Store.Scan(ctx, peridottable.Range{Prefix: partsPrefix(s.ID)})
		if err != nil {
			return nil, err
		}
		if len(rows) != s.Parts {
			continue // The snapshot was replaced between the two reads.
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

// readSnapshotRow reads the row that describes the last snapshot. If there is none,
// the version of the row and the Seq of the snapshot are 0.
func (l *Log) readSnapshotRow(ctx context.Context) (peridottable.Row, Snapshot, error) {
	var s Snapshot
	row, err := l.Store.Get(ctx, snapshotKey)
	if err != nil || row.Version == 0 {
		return row, s, err
	}
	return row, s, errors.Wrap(json.Unmarshal(row.Value, &s), "row "+snapshotKey)
}
