package peridotonce

import (
	"context"
	"sync"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	tickInterval  = 50 * time.Millisecond
	commitTimeout = 5 * time.Second
	// maxReads bounds the attempts to read rows that keep changing.
	maxReads = 5
)

// Keeper runs a Ledger against a table service. Make one with NewKeeper and run
// Serve; its methods may be called concurrently.
type Keeper struct {
	store peridottable.Store

	mu      sync.Mutex
	ledger  *Ledger
	waiting map[string]chan Reply
}

// NewKeeper returns a Keeper of a process.
func NewKeeper(store peridottable.Store, self Process, o Options) *Keeper {
	return &Keeper{store: store, ledger: NewLedger(self, o), waiting: make(map[string]chan Reply)}
}

// Serve lets time pass for the ledger until ctx is done.
func (k *Keeper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.step(Ticked{})
		case <-ctx.Done():
			return nil
		}
	}
}

// Ask claims the request's key. When the Reply says Run, the caller runs the
// request and calls End, whatever happens.
func (k *Keeper) Ask(ctx context.Context, r Request) Reply {
	answer := make(chan Reply, 1)
	k.mu.Lock()
	k.waiting[r.RequestID] = answer
	k.mu.Unlock()
	k.step(Asked{Request: r})
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
	}
	if !k.stopWaiting(r.RequestID) {
		// The reply came at the same moment.
		return <-answer
	}
	return refusal(peridotverdict.DeadlinePassed, peridotverdict.NotRun, "the deadline passed before the request was claimed", 0)
}

// End records the outcome of a request that was to run, in the background.
func (k *Keeper) End(requestID string, o Outcome) {
	k.step(Ended{RequestID: requestID, Outcome: o})
}

// Len returns the number of requests held in memory.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Len()
}

// Flush waits until every outcome is recorded or ctx is done. Serve must run.
func (k *Keeper) Flush(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for k.Len() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (k *Keeper) stopWaiting(requestID string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.waiting[requestID]
	delete(k.waiting, requestID)
	return ok
}

// step hands an event to the ledger and carries out its actions.
func (k *Keeper) step(event Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, action := range k.ledger.Step(time.Now(), event) {
		switch a := action.(type) {
		case Commit:
			go k.commit(a)
		case Read:
			go k.read(a)
		case Answer:
			k.deliver(a)
		}
	}
}

// deliver hands a reply to the caller that waits for it. A request that may run
// but whose caller has gone is released.
func (k *Keeper) deliver(a Answer) {
	answer, ok := k.waiting[a.RequestID]
	if ok {
		delete(k.waiting, a.RequestID)
		answer <- a.Reply
		return
	}
	if a.Reply.Run {
		gone := peridotverdict.New(peridotverdict.DeadlinePassed, peridotverdict.NotRun, "the caller has gone")
		go k.End(a.RequestID, Outcome{Err: gone})
	}
}

func (k *Keeper) commit(a Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	version, err := k.store.Commit(ctx, a.Txn)
	k.step(CommitAnswered{ID: a.Txn.ID, Version: version, Err: err})
}

func (k *Keeper) read(a Read) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	rows, err := readCurrent(ctx, k.store, a.Keys)
	k.step(ReadAnswered{ID: a.ID, Rows: rows, Err: err})
}

// readCurrent reads rows and proves, by one empty commit that checks their
// versions, that none of the reads was stale.
func readCurrent(ctx context.Context, s peridottable.Store, keys []string) ([]peridottable.Row, error) {
	var err error
	for range maxReads {
		var rows []peridottable.Row
		var checks []peridottable.Check
		for _, key := range keys {
			row, err := s.Get(ctx, key)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
			checks = append(checks, peridottable.Check{Key: key, Version: row.Version})
		}
		if _, err = s.Commit(ctx, peridottable.Txn{Checks: checks}); err == nil {
			return rows, nil
		}
		if !peridottable.IsConflict(err) {
			return nil, err
		}
	}
	return nil, err
}
