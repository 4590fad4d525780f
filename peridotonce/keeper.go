package peridotonce

import (
	"context"
	"sync"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	// tickInterval is the time between two TimePassed events, and between two checks
	// by Flush.
	tickInterval = 50 * time.Millisecond
	// commitTimeout limits the execution of one Commit or Read.
	commitTimeout = 5 * time.Second
	// maxReadAttempts limits the attempts to read rows that change during the read.
	maxReadAttempts = 5
)

// Keeper runs a Ledger against a table service. Create one with NewKeeper and run
// its Serve method. Its methods are safe for concurrent use.
type Keeper struct {
	store peridottable.Store

	mu     sync.Mutex
	ledger *Ledger
	// waiters contains, by request ID, the channels of callers that wait for a reply.
	waiters map[string]chan Reply
}

// NewKeeper returns a Keeper for the process self.
func NewKeeper(store peridottable.Store, self Process, o Options) *Keeper {
	return &Keeper{store: store, ledger: NewLedger(self, o), waiters: make(map[string]chan Reply)}
}

// Serve sends periodic TimePassed events to the ledger until ctx is done. It always
// returns nil.
func (k *Keeper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.step(TimePassed{})
		case <-ctx.Done():
			return nil
		}
	}
}

// Claim claims the request's key. If Reply.MustRun is set, the caller must run the
// request and call RecordOutcome in every case, also when the request fails. If ctx
// is done first, the reply has an error with the code DeadlinePassed and the
// verdict NotRun.
func (k *Keeper) Claim(ctx context.Context, r Request) Reply {
	waiter := make(chan Reply, 1)
	k.mu.Lock()
	k.waiters[r.RequestID] = waiter
	k.mu.Unlock()
	k.step(RequestReceived{Request: r})
	select {
	case reply := <-waiter:
		return reply
	case <-ctx.Done():
	}
	if !k.removeWaiter(r.RequestID) {
		// The reply was delivered before the waiter could be removed.
		return <-waiter
	}
	return errorReply(peridotverdict.DeadlinePassed, peridotverdict.NotRun, "the deadline passed before the request was claimed", 0)
}

// RecordOutcome records the outcome of a request whose Reply had MustRun set. It
// returns before the outcome is committed.
func (k *Keeper) RecordOutcome(requestID string, o Outcome) {
	k.step(RequestEnded{RequestID: requestID, Outcome: o})
}

// Len returns the number of requests in memory.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Len()
}

// Flush waits until no request is in memory, that is, until every outcome is
// recorded. It returns ctx.Err() if ctx is done first. Serve must be running.
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

// removeWaiter removes the waiter of a request and reports whether there was one.
func (k *Keeper) removeWaiter(requestID string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.waiters[requestID]
	delete(k.waiters, requestID)
	return ok
}

// step passes an event to the ledger and executes the returned actions.
func (k *Keeper) step(event Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, action := range k.ledger.Step(time.Now(), event) {
		switch a := action.(type) {
		case Commit:
			go k.runCommit(a)
		case Read:
			go k.runRead(a)
		case Answer:
			k.deliverReply(a)
		}
	}
}

// deliverReply sends a reply to the caller that waits for it. If the caller has
// stopped waiting for a request that was to run, deliverReply releases the claim.
func (k *Keeper) deliverReply(a Answer) {
	waiter, ok := k.waiters[a.RequestID]
	if ok {
		delete(k.waiters, a.RequestID)
		waiter <- a.Reply
		return
	}
	if a.Reply.MustRun {
		canceled := peridotverdict.New(peridotverdict.DeadlinePassed, peridotverdict.NotRun, "the caller has gone")
		go k.RecordOutcome(a.RequestID, Outcome{Err: canceled})
	}
}

func (k *Keeper) runCommit(a Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	version, err := k.store.Commit(ctx, a.Txn)
	k.step(CommitAnswered{ID: a.Txn.ID, Version: version, Err: err})
}

func (k *Keeper) runRead(a Read) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	rows, err := readCurrent(ctx, k.store, a.Keys)
	k.step(ReadAnswered{ID: a.ID, Rows: rows, Err: err})
}

// readCurrent reads the current rows of keys. It then commits a transaction that
// only checks their versions. The commit conflicts if a read was stale or a row has
// changed in the meantime; readCurrent then reads all rows again, up to
// maxReadAttempts times in total.
func readCurrent(ctx context.Context, s peridottable.Store, keys []string) ([]peridottable.Row, error) {
	var err error
	for range maxReadAttempts {
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
