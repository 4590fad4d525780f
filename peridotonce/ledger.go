package peridotonce

import (
	"slices"
	"strings"
	"time"

	"peridotstack/peridotverdict"
)

const (
	// claimPatience is how long an attempt waits for its claim.
	claimPatience = 3 * time.Second
	// stillRunningRetry is when a repeat of a running request should come back.
	stillRunningRetry = time.Second
	// storeRetry is when a request refused for the table service should come back.
	storeRetry = 2 * time.Second
	// commitRetry parts two attempts at the same commit.
	commitRetry = 200 * time.Millisecond
	// commitBurst is how many commits an idle ledger may make at once.
	commitBurst = 4
	// maxConflicts bounds the attempts at a claim that lost a race.
	maxConflicts = 3

	defaultMaxEntries = 512
	defaultMaxBody    = 16 << 10
	defaultMaxBatch   = 64
	defaultCommitRate = 10.0
)

// Options bound a Ledger. Zero fields get defaults.
type Options struct {
	// MaxEntries bounds the requests that are claiming, running or unsaved.
	MaxEntries int
	// MaxBodyBytes bounds a kept answer; of a larger one only the digest is kept.
	MaxBodyBytes int
	// MaxBatch bounds the requests in one commit.
	MaxBatch int
	// CommitsPerSecond is the ledger's share of the table service's writes.
	CommitsPerSecond float64
}

func (o Options) withDefaults() Options {
	if o.MaxEntries <= 0 {
		o.MaxEntries = defaultMaxEntries
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBody
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.CommitsPerSecond <= 0 {
		o.CommitsPerSecond = defaultCommitRate
	}
	return o
}

// phase is what an entry is doing.
type phase int

const (
	claiming phase = iota
	running
	saving
	releasing
)

// entry is one request known in memory.
type entry struct {
	rowKey  string
	request Request
	phase   phase
	record  Record
	// version is that of the row, or 0 while unknown.
	version   int64
	conflicts int
	// deadline is when a claim is given up.
	deadline time.Time
	// notBefore delays the next attempt to write.
	notBefore time.Time
}

// Ledger decides about the requests of one process. Make one with NewLedger; it
// is not safe for concurrent use.
type Ledger struct {
	self    Process
	options Options

	// entries are found by row key and by request; each row key has at most one.
	entries   map[string]*entry
	byRequest map[string]*entry
	// queue holds the entries that wait for a commit.
	queue []*entry
	// flight is the one commit under way, or nil.
	flight *flight
	// commits numbers the transactions.
	commits    int
	nextCommit time.Time
}

// NewLedger returns a Ledger of a process.
func NewLedger(self Process, o Options) *Ledger {
	return &Ledger{
		self:      self,
		options:   o.withDefaults(),
		entries:   make(map[string]*entry),
		byRequest: make(map[string]*entry),
	}
}

// Len returns the number of requests held in memory.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Step takes an event and returns what is to be done.
func (l *Ledger) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Asked:
		actions = l.ask(now, e.Request)
	case Ended:
		l.end(e)
	case CommitAnswered:
		actions = l.committed(now, e)
	case ReadAnswered:
		actions = l.read(now, e)
	case Ticked:
		actions = l.expire(now)
	}
	return append(actions, l.write(now)...)
}

func (l *Ledger) ask(now time.Time, r Request) []Action {
	if reply, ok := l.refuseAtOnce(now, r); ok {
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
		deadline: now.Add(min(claimPatience, r.Timeout)),
	}
	l.entries[e.rowKey] = e
	l.byRequest[r.RequestID] = e
	l.queue = append(l.queue, e)
	return nil
}

// refuseAtOnce replies to a request that needs no look at the table.
func (l *Ledger) refuseAtOnce(now time.Time, r Request) (Reply, bool) {
	if made, ok := KeyTime(r.Key); ok && now.Sub(made) > keyLifetime {
		return refusal(peridotverdict.ResultExpired, peridotverdict.MayHaveRun, "the idempotency key is too old", 0), true
	} else if ok && made.Sub(now) > clockSkew {
		return refusal(peridotverdict.BadRequest, peridotverdict.NotRun, "the idempotency key is from the future", 0), true
	}
	if e, ok := l.entries[r.RowKey()]; ok {
		return l.replyOfEntry(now, e, r), true
	}
	if len(l.entries) >= l.options.MaxEntries {
		return refusal(peridotverdict.Overloaded, peridotverdict.NotRun, "too many requests that may run only once", storeRetry), true
	}
	if wait := l.queueTime(); wait > claimPatience {
		return refusal(peridotverdict.Overloaded, peridotverdict.NotRun, "too many requests that may run only once", wait), true
	}
	return Reply{}, false
}

// queueTime is how long a new claim waits at the allowed rate of commits.
func (l *Ledger) queueTime() time.Duration {
	commits := float64(len(l.queue)/l.options.MaxBatch + 1)
	return time.Duration(commits / l.options.CommitsPerSecond * float64(time.Second))
}

// replyOfEntry replies to a repeat of a request that is still in memory.
func (l *Ledger) replyOfEntry(now time.Time, e *entry, repeat Request) Reply {
	if e.phase == releasing && e.request.Fingerprint == repeat.Fingerprint {
		return refusal(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "an earlier attempt that did not run is being cleared", storeRetry)
	}
	if e.phase == saving {
		// The whole outcome is still at hand.
		return replyOf(e.record, repeat, l.self, now)
	}
	reply := replyOf(e.record, repeat, l.self, now)
	if reply.Err != nil && reply.Err.Code == peridotverdict.MayHaveRunBefore {
		return refusal(peridotverdict.StillRunning, peridotverdict.MayHaveRun, "the request is running", stillRunningRetry)
	}
	return reply
}

// end takes the outcome of a run. A request that surely did not run is released
// for another attempt.
func (l *Ledger) end(event Ended) {
	e, ok := l.byRequest[event.RequestID]
	if !ok || e.phase != running {
		return
	}
	if err := event.Outcome.Err; err != nil && err.Verdict == peridotverdict.NotRun {
		e.phase = releasing
	} else {
		e.phase = saving
		e.record = e.record.finish(event.Outcome, l.options.MaxBodyBytes)
	}
	l.queue = append(l.queue, e)
}

// expire refuses the claims that have waited too long. One whose commit is
// under way may exist in the table and is cleared afterwards.
func (l *Ledger) expire(now time.Time) []Action {
	var actions []Action
	for _, e := range l.sorted() {
		if e.phase != claiming || now.Before(e.deadline) {
			continue
		}
		actions = append(actions, l.answer(e, storeUnavailable()))
		if i := slices.Index(l.queue, e); i >= 0 {
			l.queue = slices.Delete(l.queue, i, i+1)
			l.forget(e)
			continue
		}
		e.phase = releasing
	}
	return append(actions, l.resend(now)...)
}

// sorted returns the entries in a fixed order, so that equal inputs give equal
// actions.
func (l *Ledger) sorted() []*entry {
	all := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return strings.Compare(a.rowKey, b.rowKey) })
	return all
}

func (l *Ledger) forget(e *entry) {
	delete(l.entries, e.rowKey)
	delete(l.byRequest, e.request.RequestID)
}

func (l *Ledger) answer(e *entry, reply Reply) Action {
	return Answer{RequestID: e.request.RequestID, Reply: reply}
}

func storeUnavailable() Reply {
	return refusal(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "the request could not be claimed", storeRetry)
}
