package peridotonce

import (
	"slices"
	"strings"
	"time"

	"peridotstack/peridotverdict"
)

const (
	// claimTimeout is the longest time that an attempt waits for its claim.
	claimTimeout = 3 * time.Second
	// runningRetryAfter is the retry delay for a repeat of a running request.
	runningRetryAfter = time.Second
	// storeRetryAfter is the retry delay after a failure or an overload of the table
	// service.
	storeRetryAfter = 2 * time.Second
	// commitRetryDelay is the time between two attempts at the same commit.
	commitRetryDelay = 200 * time.Millisecond
	// commitBurst is the number of commits beyond the rate limit that an idle ledger
	// may start without delay.
	commitBurst = 4
	// maxConflicts is the largest number of conflicting commits after which a claim is
	// tried again.
	maxConflicts = 3

	defaultMaxEntries       = 512
	defaultMaxBodyBytes     = 16 << 10
	defaultMaxBatch         = 64
	defaultCommitsPerSecond = 10.0
)

// Options contains the limits of a Ledger. A field that is zero or negative gets a
// default.
type Options struct {
	// MaxEntries limits the requests in memory: those waiting for a claim, running,
	// or waiting for the commit of their outcome or release.
	MaxEntries int
	// MaxBodyBytes limits the body of a recorded answer. For a larger body only its
	// size and digest are recorded.
	MaxBodyBytes int
	// MaxBatch limits the number of requests in one commit.
	MaxBatch int
	// CommitsPerSecond limits the rate of the ledger's commits. It is the ledger's
	// share of the table service's write capacity.
	CommitsPerSecond float64
}

func (o Options) withDefaults() Options {
	if o.MaxEntries <= 0 {
		o.MaxEntries = defaultMaxEntries
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.CommitsPerSecond <= 0 {
		o.CommitsPerSecond = defaultCommitsPerSecond
	}
	return o
}

// phase is the processing state of an entry.
type phase int

const (
	// phaseClaiming entries wait for the commit of their claim.
	phaseClaiming phase = iota
	// phaseRunning entries wait for the end of their request.
	phaseRunning
	// phaseSaving entries wait for the commit of their outcome.
	phaseSaving
	// phaseReleasing entries wait for the deletion of their claim.
	phaseReleasing
)

// entry is a request in memory.
type entry struct {
	rowKey  string
	request Request
	phase   phase
	record  Record
	// rowVersion is the version of the request's row, or 0 if unknown.
	rowVersion int64
	conflicts  int
	// claimDeadline is when the claim is refused if it has not been committed.
	claimDeadline time.Time
	// notBefore is the earliest time of the next commit attempt.
	notBefore time.Time
}

// Ledger decides which requests of one process may run. It is not safe for
// concurrent use. Create one with NewLedger.
type Ledger struct {
	self    Process
	options Options

	// byRowKey and byRequest contain the same entries, by row key and by request ID.
	// Each row key has at most one entry.
	byRowKey  map[string]*entry
	byRequest map[string]*entry
	// queue contains the entries that wait for a commit.
	queue []*entry
	// inFlight is the commit in progress, or nil.
	inFlight *inFlightCommit
	// commitCount numbers the transactions.
	commitCount int
	// nextCommitAt is the earliest time at which the rate limit allows a commit.
	nextCommitAt time.Time
}

// NewLedger returns a Ledger for the process self.
func NewLedger(self Process, o Options) *Ledger {
	return &Ledger{
		self:      self,
		options:   o.withDefaults(),
		byRowKey:  make(map[string]*entry),
		byRequest: make(map[string]*entry),
	}
}

// Len returns the number of requests in memory.
func (l *Ledger) Len() int {
	return len(l.byRowKey)
}

// Step handles an event and returns the actions that the caller must execute.
func (l *Ledger) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case RequestReceived:
		actions = l.handleRequestReceived(now, e.Request)
	case RequestEnded:
		l.handleRequestEnded(e)
	case CommitAnswered:
		actions = l.handleCommitAnswered(now, e)
	case ReadAnswered:
		actions = l.handleReadAnswered(now, e)
	case TimePassed:
		actions = l.expireClaims(now)
	}
	return append(actions, l.startCommit(now)...)
}

func (l *Ledger) handleRequestReceived(now time.Time, r Request) []Action {
	if reply, ok := l.replyWithoutTable(now, r); ok {
		return []Action{Answer{RequestID: r.RequestID, Reply: reply}}
	}
	e := &entry{
		rowKey:  r.RowKey(),
		request: r,
		record: Record{
			RequestID:     r.RequestID,
			Fingerprint:   r.Fingerprint,
			Claimer:       l.self,
			ClaimedAt:     now.UTC().Round(0),
			TimeoutMillis: r.Timeout.Milliseconds(),
			State:         Claimed,
		},
		claimDeadline: now.Add(min(claimTimeout, r.Timeout)),
	}
	l.byRowKey[e.rowKey] = e
	l.byRequest[r.RequestID] = e
	l.queue = append(l.queue, e)
	return nil
}

// replyWithoutTable returns the reply to a request that can be answered without the
// table service, and whether there is one.
func (l *Ledger) replyWithoutTable(now time.Time, r Request) (Reply, bool) {
	if createdAt, ok := KeyTime(r.Key); ok && now.Sub(createdAt) > keyLifetime {
		return errorReply(peridotverdict.ResultExpired, peridotverdict.MayHaveRun, "the idempotency key is too old", 0), true
	} else if ok && createdAt.Sub(now) > clockSkew {
		return errorReply(peridotverdict.BadRequest, peridotverdict.NotRun, "the idempotency key is from the future", 0), true
	}
	if e, ok := l.byRowKey[r.RowKey()]; ok {
		return l.replyForEntry(now, e, r), true
	}
	if len(l.byRowKey) >= l.options.MaxEntries {
		return errorReply(peridotverdict.Overloaded, peridotverdict.NotRun, "too many requests that may run only once", storeRetryAfter), true
	}
	if delay := l.claimDelay(); delay > claimTimeout {
		return errorReply(peridotverdict.Overloaded, peridotverdict.NotRun, "too many requests that may run only once", delay), true
	}
	return Reply{}, false
}

// claimDelay returns the expected wait of a new claim at the allowed rate of
// commits.
func (l *Ledger) claimDelay() time.Duration {
	commits := float64(len(l.queue)/l.options.MaxBatch + 1)
	return time.Duration(commits / l.options.CommitsPerSecond * float64(time.Second))
}

// replyForEntry returns the reply to a repeat of a request that is still in memory.
func (l *Ledger) replyForEntry(now time.Time, e *entry, repeat Request) Reply {
	if e.phase == phaseReleasing && e.request.Fingerprint == repeat.Fingerprint {
		return errorReply(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "an earlier attempt that did not run is being cleared", storeRetryAfter)
	}
	if e.phase == phaseSaving {
		// The record in memory already contains the outcome.
		return replyForRecord(e.record, repeat, l.self, now)
	}
	reply := replyForRecord(e.record, repeat, l.self, now)
	if reply.Err != nil && reply.Err.Code == peridotverdict.MayHaveRunBefore {
		return errorReply(peridotverdict.StillRunning, peridotverdict.MayHaveRun, "the request is running", runningRetryAfter)
	}
	return reply
}

// handleRequestEnded queues the outcome of a run for a commit. If the request is known
// not to have run, its claim is released instead, so that another attempt can run it.
func (l *Ledger) handleRequestEnded(event RequestEnded) {
	e, ok := l.byRequest[event.RequestID]
	if !ok || e.phase != phaseRunning {
		return
	}
	if err := event.Outcome.Err; err != nil && err.Verdict == peridotverdict.NotRun {
		e.phase = phaseReleasing
	} else {
		e.phase = phaseSaving
		e.record = e.record.withOutcome(event.Outcome, l.options.MaxBodyBytes)
	}
	l.queue = append(l.queue, e)
}

// expireClaims refuses the claims whose deadline has passed. A claim whose commit is
// in flight may still take effect, so it is released afterwards.
func (l *Ledger) expireClaims(now time.Time) []Action {
	var actions []Action
	for _, e := range l.sortedEntries() {
		if e.phase != phaseClaiming || now.Before(e.claimDeadline) {
			continue
		}
		actions = append(actions, l.answerEntry(e, storeUnavailableReply()))
		if i := slices.Index(l.queue, e); i >= 0 {
			l.queue = slices.Delete(l.queue, i, i+1)
			l.removeEntry(e)
			continue
		}
		e.phase = phaseReleasing
	}
	return append(actions, l.retryInFlight(now)...)
}

// sortedEntries returns the entries in the order of their row keys, so that equal
// inputs give equal actions.
func (l *Ledger) sortedEntries() []*entry {
	all := make([]*entry, 0, len(l.byRowKey))
	for _, e := range l.byRowKey {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return strings.Compare(a.rowKey, b.rowKey) })
	return all
}

func (l *Ledger) removeEntry(e *entry) {
	delete(l.byRowKey, e.rowKey)
	delete(l.byRequest, e.request.RequestID)
}

func (l *Ledger) answerEntry(e *entry, reply Reply) Action {
	return Answer{RequestID: e.request.RequestID, Reply: reply}
}

func storeUnavailableReply() Reply {
	return errorReply(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "the request could not be claimed", storeRetryAfter)
}
