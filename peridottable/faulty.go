package peridottable

import (
	"context"
	"sync"

	"peridotstack/peridotverdict"
)

// Faulty wraps a Store and makes it fail the ways the table service does. The
// zero value of its switches injects nothing. It serves tests and the stand-in
// of the platform; it is safe for concurrent use.
type Faulty struct {
	// Store is the table behind; it must not change.
	Store Store

	mu          sync.Mutex
	down        bool
	loseAnswers int
	dropCommits int
	stale       map[string]Row
	before      func(Txn)
	commits     int
	reads       int
}

// SetDown starts or ends an outage. During an outage nothing takes effect.
func (f *Faulty) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// LoseAnswers makes the next n commits take effect and lose their answers.
func (f *Faulty) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// DropCommits makes the next n commits get lost before they take effect; the
// caller cannot tell this from a lost answer.
func (f *Faulty) DropCommits(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropCommits = n
}

// FreezeReads makes reads of key return its present row until ThawReads.
func (f *Faulty) FreezeReads(ctx context.Context, key string) error {
	row, err := f.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale == nil {
		f.stale = make(map[string]Row)
	}
	f.stale[key] = row
	return nil
}

// ThawReads ends all stale reads.
func (f *Faulty) ThawReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stale = nil
}

// BeforeCommit sets a function that runs before each commit takes effect; a
// test blocks in it to freeze a writer.
func (f *Faulty) BeforeCommit(run func(Txn)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = run
}

// Counts returns how many commits and reads arrived so far.
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
	row, stale := f.stale[key]
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
	before := f.before
	f.mu.Unlock()
	if before != nil {
		before(t)
	}
	f.mu.Lock()
	down := f.down
	drop := !down && f.dropCommits > 0
	if drop {
		f.dropCommits--
	}
	lose := !down && !drop && f.loseAnswers > 0
	if lose {
		f.loseAnswers--
	}
	f.mu.Unlock()
	switch {
	case down:
		return 0, errDown()
	case drop:
		return 0, errLost()
	}
	version, err := f.Store.Commit(ctx, t)
	if lose {
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
