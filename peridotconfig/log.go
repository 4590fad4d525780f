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
	// HeadKey is the row that names the last commit.
	HeadKey = "config/head"
	// commitPrefix starts the keys of the commits.
	commitPrefix = "config/commit/"
	// FleetKey is the row that every change of models and deployments writes, so
	// that a plan can check that the world has not moved.
	FleetKey = "config/fleet"
)

// Head is the value of the row HeadKey.
type Head struct {
	// Seq is the number of the last commit.
	Seq int64
}

// Commit is one entry of the timeline.
type Commit struct {
	// Seq follows the Seq of the commit before it without a gap.
	Seq int64
	// ID is unique per attempt to commit.
	ID string
	// Operator names who made the commit.
	Operator string
	Changes  Changes
}

// Log reads and extends the timeline in the table service.
type Log struct {
	Store peridottable.Store
}

// commitKey returns the row key of a commit; keys sort as the numbers do.
func commitKey(seq int64) string {
	return fmt.Sprintf("%s%019d", commitPrefix, seq)
}

// Load returns base with every later commit applied. On the empty configuration
// it begins with the last snapshot.
func (l *Log) Load(ctx context.Context, base *Config) (*Config, error) {
	update, err := l.Update(ctx, base)
	if err != nil {
		return nil, err
	}
	return update.Apply(base)
}

// Update reads what base lacks. On the empty configuration it begins with the
// last snapshot.
func (l *Log) Update(ctx context.Context, base *Config) (Update, error) {
	var u Update
	seq := base.Seq
	if seq == 0 {
		whole, err := l.ReadSnapshot(ctx)
		if err != nil {
			return u, err
		}
		seq = whole.Seq
		if seq > 0 {
			u.Whole = whole
		}
	}
	var err error
	u.Commits, err = l.After(ctx, seq)
	return u, err
}

// HeadCheck asks the table service for the number of the newest commit in a way
// that a stale copy cannot answer: it demands, in an empty transaction, that the
// row has the version seen last, and reads the row only when that has changed. It
// is not safe for concurrent use.
type HeadCheck struct {
	Store peridottable.Store

	row peridottable.Row
	seq int64
}

// Newest returns the number of the newest commit at some time during the call.
func (h *HeadCheck) Newest(ctx context.Context) (int64, error) {
	_, err := h.Store.Commit(ctx, peridottable.Txn{Checks: []peridottable.Check{{Key: HeadKey, Version: h.row.Version}}})
	if err == nil {
		return h.seq, nil
	}
	if !peridottable.IsConflict(err) {
		return 0, err
	}
	row, err := peridottable.GetCurrent(ctx, h.Store, HeadKey)
	if err != nil {
		return 0, err
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return 0, errors.Wrap(err, "row "+HeadKey)
	}
	h.row, h.seq = row, head.Seq
	return h.seq, nil
}

// After returns the commits that follow the given number, as far as the read
// shows them.
func (l *Log) After(ctx context.Context, seq int64) ([]Commit, error) {
	var commits []Commit
	for {
		rows, err := l.Store.Scan(ctx, peridottable.Range{Prefix: commitPrefix, After: commitKey(seq)})
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return commits, nil
		}
		for _, row := range rows {
			var commit Commit
			if err := json.Unmarshal(row.Value, &commit); err != nil {
				return nil, errors.Wrap(err, "row "+row.Key)
			}
			commits = append(commits, commit)
			seq = commit.Seq
		}
	}
}

// Replay applies commits in order. It skips those that base already holds and
// stops at a gap.
func Replay(base *Config, commits []Commit) (*Config, error) {
	fresh := slices.IndexFunc(commits, func(c Commit) bool { return c.Seq > base.Seq })
	if fresh < 0 || commits[fresh].Seq != base.Seq+1 {
		return base, nil
	}
	next := base.draft()
	for _, commit := range commits[fresh:] {
		if commit.Seq != next.Seq+1 {
			break
		}
		for _, ch := range commit.Changes {
			if err := next.apply(ch); err != nil {
				return nil, errors.Wrapf(err, "commit %d", commit.Seq)
			}
		}
		next.Seq = commit.Seq
	}
	return next, nil
}

// Append commits changes on top of base, which must hold every earlier commit.
// checks are further demands of the same transaction. It fails with the code
// Conflict when another commit came first, and with the verdict MayHaveRun when
// the answer was lost; the caller then looks for the ID in the timeline.
func (l *Log) Append(ctx context.Context, base *Config, id, operator string, changes Changes, checks ...peridottable.Check) (*Config, error) {
	next, err := base.Apply(changes...)
	if err != nil {
		return nil, err
	}
	next.Seq = base.Seq + 1
	head, err := l.Store.Get(ctx, HeadKey)
	if err != nil {
		return nil, err
	}
	txn, err := appendTxn(head, Commit{Seq: next.Seq, ID: id, Operator: operator, Changes: changes})
	if err != nil {
		return nil, err
	}
	txn.Checks = append(txn.Checks, checks...)
	if _, err := l.Store.Commit(ctx, txn); err != nil {
		return nil, err
	}
	if next.Seq%SnapshotEvery == 0 {
		// Without this snapshot the next one comes later and readers read more rows.
		_ = l.WriteSnapshot(ctx, next, id)
	}
	return next, nil
}

// appendTxn makes the transaction of one commit. The check that the row of the
// commit is absent and that the head has not moved makes the timeline gapless.
func appendTxn(head peridottable.Row, commit Commit) (peridottable.Txn, error) {
	body, err := json.Marshal(commit)
	if err != nil {
		return peridottable.Txn{}, errors.Wrap(err, "encode commit")
	}
	headBody, err := json.Marshal(Head{Seq: commit.Seq})
	if err != nil {
		return peridottable.Txn{}, errors.Wrap(err, "encode head")
	}
	key := commitKey(commit.Seq)
	txn := peridottable.Txn{
		ID: commit.ID,
		Checks: []peridottable.Check{
			{Key: HeadKey, Version: head.Version},
			{Key: key, Version: 0},
		},
		Puts: []peridottable.Put{{Key: HeadKey, Value: headBody}, {Key: key, Value: body}},
	}
	if movesFleet(commit.Changes) {
		txn.Puts = append(txn.Puts, peridottable.Put{Key: FleetKey, Value: headBody})
	}
	return txn, nil
}

// movesFleet reports whether a plan made before the changes may no longer fit.
func movesFleet(changes Changes) bool {
	for _, ch := range changes {
		switch ch.(type) {
		case PutDomain, PutModel, PutService, SetDeployments:
			return true
		case PutAccount, GiveKey, WithdrawKey, PurgeKeys, PutOperator, AppointPanel, RelievePanels:
		}
	}
	return false
}
