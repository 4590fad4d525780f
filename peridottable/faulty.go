package peridottable

import (
	"context"
	"sync"

	"peridotstack/peridotverdict"
)

// Faulty wraps a Store and injects the faults of a table service, for tests and for
// the stand-in of the platform. Initially it injects none. It is safe for concurrent
// use.
type Faulty struct {
	// Store is the wrapped table. It must not be replaced.
	Store Store

	mu   sync.Mutex
	down bool
	// answersToLose is the number of further commits whose answers are lost.
	answersToLose int
	// commitsToDrop is the number of further commits that are lost before they take
	// effect.
	commitsToDrop int
	// staleRows contains the rows that reads return until ThawReads, by key.
	staleRows    map[string]Row
	beforeCommit func(Txn)
	commits      int
	reads        int
}

// SetDown starts or ends an outage. During an outage all calls fail and no commit
// takes effect.
func (f *Faulty) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// LoseAnswers makes the next n commits take effect but return an error with the
// verdict MayHaveRun, as if the answer was lost.
func (f *Faulty) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answersToLose = n
}

// DropCommits makes the next n commits have no effect. They return the same error as
// a commit whose answer is lost.
func (f *Faulty) DropCommits(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commitsToDrop = n
}

// FreezeReads makes Get return the present row of key until ThawReads, even after
// the row has changed. Scan is not affected.
func (f *Faulty) FreezeReads(ctx context.Context, key string) error {
	row, err := f.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.staleRows == nil {
		f.staleRows = make(map[string]Row)
	}
	f.staleRows[key] = row
	return nil
}

// ThawReads ends all stale reads.
func (f *Faulty) ThawReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.staleRows = nil
}

// BeforeCommit sets a function that is called at the start of each Commit; nil
// removes it. The function may block, to simulate a paused writer.
func (f *Faulty) BeforeCommit(run func(Txn)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforeCommit = run
}

// Counts returns the number of commits and reads so far, including failed ones.
func (f *Faulty) Counts() (commits, reads int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits, f.reads
}

// Get reads one row.
func (f *Faulty) Get(ctx context.Context, key string) (Row, error) {
	f.mu.Lock()
	f.reads++
	down := f.down
	row, stale := f.staleRows[key]
	f.mu.Unlock()
	if down {
		return Row{}, errDown()
	}
	if stale {
		return row, nil
	}
	return f.Store.Get(ctx, key)
}

// Scan reads the rows of a range.
func (f *Faulty) Scan(ctx context.Context, r Range) ([]Row, error) {
	f.mu.Lock()
	f.reads++
	down := f.down
	f.mu.Unlock()
	if down {
		return nil, errDown()
	}
	return f.Store.Scan(ctx, r)
}

// Commit applies all of t or nothing.
func (f *Faulty) Commit(ctx context.Context, t Txn) (int64, error) {
	f.mu.Lock()
	f.commits++
	before := f.beforeCommit
	f.mu.Unlock()
	if before != nil {
		before(t)
	}
	f.mu.Lock()
	down := f.down
	dropped := !down && f.commitsToDrop > 0
	if dropped {
		f.commitsToDrop--
	}
	answerLost := !down && !dropped && f.answersToLose > 0
	if answerLost {
		f.answersToLose--
	}
	f.mu.Unlock()
	switch {
	case down:
		return 0, errDown()
	case dropped:
		return 0, errLost()
	}
	version, err := f.Store.Commit(ctx, t)
	if answerLost {
		return 0, errLost()
	}
	return version, err
}

func errDown() error {
	return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "the table service is down")
}

func errLost() error {
	return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "the table service did not answer")
}
