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
	// HeadKey is the key of the row that holds the number of the last commit.
	HeadKey = "config/head"
	// commitPrefix is the prefix of the row keys of commits.
	commitPrefix = "config/commit/"
	// FleetKey is the key of the row that is written by each commit that changes
	// failure domains, models, plain services or deployments. The transaction that
	// confirms a plan checks that the row has not changed since the plan was made.
	FleetKey = "config/fleet"
)

// Head is the value of the row HeadKey.
type Head struct {
	// Seq is the number of the last commit.
	Seq int64
}

// Commit is one entry of the log.
type Commit struct {
	// Seq is the number of the commit. The first commit has the number 1, and each
	// later commit has the next number.
	Seq int64
	// ID is unique per attempt to commit.
	ID string
	// Operator is the name of the operator or instance that made the commit.
	Operator string
	Changes  Changes
}

// Log reads and extends the log of commits in the table service.
type Log struct {
	Store peridottable.Store
}

// commitKey returns the row key of a commit. The keys sort in the order of the
// commit numbers.
func commitKey(seq int64) string {
	return fmt.Sprintf("%s%019d", commitPrefix, seq)
}

// Load returns base with every later commit applied. If base is empty, Load starts
// from the last snapshot.
func (l *Log) Load(ctx context.Context, base *Config) (*Config, error) {
	update, err := l.ReadUpdate(ctx, base)
	if err != nil {
		return nil, err
	}
	return update.Apply(base)
}

// ReadUpdate reads the commits after base. If base is empty, ReadUpdate reads the
// last snapshot and the commits after that.
func (l *Log) ReadUpdate(ctx context.Context, base *Config) (Update, error) {
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
	u.Commits, err = l.CommitsAfter(ctx, seq)
	return u, err
}

// HeadCheck determines the number of the newest commit in a way that a stale copy
// of the table cannot answer. It commits an empty transaction that checks that the
// row HeadKey still has the version last seen, and reads the row only if that check
// fails. The zero value with a Store is ready to use. A HeadCheck is not safe for
// concurrent use.
type HeadCheck struct {
	Store peridottable.Store

	// row is the row HeadKey as last seen, and seq the number in it.
	row peridottable.Row
	seq int64
}

// NewestSeq returns the number of the commit that was the newest at some time during
// the call.
func (h *HeadCheck) NewestSeq(ctx context.Context) (int64, error) {
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

// CommitsAfter returns the commits with numbers above seq. The read may be stale,
// so the last commits may be missing.
func (l *Log) CommitsAfter(ctx context.Context, seq int64) ([]Commit, error) {
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

// Replay returns base with commits applied in order. It skips commits that base
// already includes and stops at a gap in the numbers.
func Replay(base *Config, commits []Commit) (*Config, error) {
	firstNew := slices.IndexFunc(commits, func(c Commit) bool { return c.Seq > base.Seq })
	if firstNew < 0 || commits[firstNew].Seq != base.Seq+1 {
		return base, nil
	}
	next := base.mutableCopy()
	for _, commit := range commits[firstNew:] {
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

// Append commits changes on top of base, which must include every earlier commit,
// and returns the resulting configuration. The transaction also includes checks.
//
// The error has the code Conflict if another commit was appended first or one of
// checks failed. It has the verdict MayHaveRun if the answer of the table service
// was lost; the caller must then look for the commit with the given id in the log.
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
	if next.Seq%CommitsPerSnapshot == 0 {
		// The error is ignored: without this snapshot, loading the configuration only
		// reads more rows until the next one.
		_ = l.WriteSnapshot(ctx, next, id)
	}
	return next, nil
}

// appendTxn returns the transaction that appends a commit. It checks that the head
// row has not changed and that the row of the commit is absent, so that the log has
// no gaps.
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
	if changesFleet(commit.Changes) {
		txn.Puts = append(txn.Puts, peridottable.Put{Key: FleetKey, Value: headBody})
	}
	return txn, nil
}

// changesFleet reports whether the changes can invalidate a plan made before them.
func changesFleet(changes Changes) bool {
	for _, ch := range changes {
		switch ch.(type) {
		case PutDomain, PutModel, PutService, SetDeployments:
			return true
		case PutAccount, GiveKey, WithdrawKey, PurgeKeys, PutOperator, AppointPanel, RelievePanels:
		}
	}
	return false
}
