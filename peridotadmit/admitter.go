package peridotadmit

import (
	"container/heap"
	"time"

	"peridotstack/peridotverdict"
)

const (
	defaultMaxQueueDelay   = time.Second
	defaultLimitBurstTime  = 2 * time.Second
	defaultMaxRetryBacklog = 30 * time.Second
	defaultOutputTokens    = 128
	// maxRetryAfter caps each delay that is computed from a number of tokens, and
	// so the RetryAfter of refusals.
	maxRetryAfter = 10 * time.Minute
)

// Account holds the weight, limit and priority of a client account.
type Account struct {
	Name string
	// Weight is the account's share of the capacity under overload, relative to
	// the weights of the other accounts. Values below 1 mean 1.
	Weight int
	// TokensPerSecond limits the rate of prompt and output tokens together; 0
	// means no limit.
	TokensPerSecond float64
	// Priority ranks the account's requests at the engine. It takes precedence over
	// their urgency and the load of the account; larger values run first.
	Priority int
}

// Request describes a request that is to be admitted or refused.
type Request struct {
	Account      string
	PromptTokens int
	// CachedTokens is the number of prompt tokens that need no prefill because
	// they are cached. They use none of the account's share of the capacity, but
	// count towards its limit.
	CachedTokens int
	// ExpectedOutput is the largest number of output tokens that the caller
	// expects; 0 means that the caller gave none.
	ExpectedOutput int
	// Timeout is the time left until the whole answer is due; 0 means no
	// deadline.
	Timeout time.Duration
	// TimeToFirstToken and TimeToLastToken are estimates for an engine that runs
	// requests in the order of their arrival.
	TimeToFirstToken time.Duration
	TimeToLastToken  time.Duration
	// UnloadedTimeToFirstToken is the part of TimeToFirstToken that would remain
	// without other requests. It is set for engines that honour priorities; 0
	// means that the engine does not.
	UnloadedTimeToFirstToken time.Duration
}

// Decision is the result of Admitter.Admit.
type Decision struct {
	Admitted bool
	// Err is the refusal when Admitted is false. Its verdict is NotRun. Its
	// RetryAfter is the delay after which the same request would be admitted at
	// present rates; 0 means that a retry would be refused as well.
	Err *peridotverdict.Error
	// Priority is the request's priority at the engine; larger values run first.
	Priority int
}

// Admitter decides which requests may start. It is not safe for concurrent use.
// Make one with New.
type Admitter struct {
	options options
	// capacity is in cost units per second; 0 means unknown, and then no queue
	// builds up.
	capacity float64
	// promptCost is the cost of a prompt token in cost units; an output token
	// costs 1.
	promptCost float64
	// limitFraction is the part of each account's limit that this process hands
	// out.
	limitFraction float64
	accounts      map[string]*account
	inFlight      map[string]*inFlightRequest

	// virtualTime is the virtual time of fair queueing at the time updatedAt, in
	// cost units per unit of weight.
	virtualTime float64
	updatedAt   time.Duration
	// active holds the accounts whose virtual queue is not empty, and activeWeight
	// the sum of their weights.
	active       activeQueue
	activeWeight float64
}

type options struct {
	maxQueueDelay   time.Duration
	limitBurstTime  time.Duration
	maxRetryBacklog time.Duration
}

// Option configures an Admitter.
type Option func(*options)

// MaxQueueDelay sets the drain time of an account's virtual queue above which
// its requests are refused. The default is 1 second.
func MaxQueueDelay(d time.Duration) Option {
	return func(o *options) { o.maxQueueDelay = d }
}

// LimitBurstTime sets for how long an account may accumulate its unused limit.
// The default is 2 seconds.
func LimitBurstTime(d time.Duration) Option {
	return func(o *options) { o.limitBurstTime = d }
}

// MaxRetryBacklog bounds by how much the expected retries of refused requests
// may increase the RetryAfter of later refusals. The default is 30 seconds.
func MaxRetryBacklog(d time.Duration) Option {
	return func(o *options) { o.maxRetryBacklog = d }
}

// New returns an Admitter that has no accounts and whose capacity is unknown.
func New(opts ...Option) *Admitter {
	o := options{maxQueueDelay: defaultMaxQueueDelay, limitBurstTime: defaultLimitBurstTime, maxRetryBacklog: defaultMaxRetryBacklog}
	for _, option := range opts {
		option(&o)
	}
	return &Admitter{
		options:       o,
		promptCost:    1,
		limitFraction: 1,
		accounts:      make(map[string]*account),
		inFlight:      make(map[string]*inFlightRequest),
	}
}

// account is a client account and its virtual queue.
type account struct {
	Account
	// virtualFinish is the virtual time at which the queue becomes empty.
	virtualFinish float64
	// retryFinish and retryLimitFreeAt are the values that virtualFinish and
	// limitFreeAt reach once all refused requests have been retried.
	retryFinish      float64
	retryLimitFreeAt time.Duration
	// heapIndex is the position in Admitter.active, or -1 if the queue is empty.
	heapIndex int
	// limitFreeAt is the time at which the limit is fully restored.
	limitFreeAt time.Duration
	// meanOutputTokens is the learned mean number of output tokens per request; 0
	// means that no request has ended yet.
	meanOutputTokens float64
}

func (a *account) weight() float64 {
	return float64(max(1, a.Weight))
}

// inFlightRequest is an admitted request that has not ended.
type inFlightRequest struct {
	account      *account
	promptTokens int
	cachedTokens int
	// chargedOutput is the number of output tokens charged so far.
	chargedOutput float64
}

// SetAccounts replaces the list of accounts. An account that stays in the list
// keeps its virtual queue.
func (d *Admitter) SetAccounts(now time.Duration, list []Account) {
	d.advance(now)
	listed := make(map[string]bool, len(list))
	for _, a := range list {
		listed[a.Name] = true
		d.setAccount(a)
	}
	for name, a := range d.accounts {
		if !listed[name] {
			d.deactivate(a)
			delete(d.accounts, name)
		}
	}
}

func (d *Admitter) setAccount(a Account) {
	known, ok := d.accounts[a.Name]
	if !ok {
		d.accounts[a.Name] = &account{Account: a, heapIndex: -1}
		return
	}
	oldWeight := known.weight()
	known.Account = a
	if known.heapIndex < 0 || oldWeight == known.weight() {
		return
	}
	// The queued cost stays the same, so its length in virtual time changes with
	// the weight.
	d.activeWeight += known.weight() - oldWeight
	known.virtualFinish = d.virtualTime + (known.virtualFinish-d.virtualTime)*oldWeight/known.weight()
	heap.Fix(&d.active, known.heapIndex)
}

// SetCapacity sets the capacity that this process may use, in cost units per
// second: an output token costs 1 unit, a prompt token the cost that
// SetPromptCost sets. 0 means that the capacity is unknown.
func (d *Admitter) SetCapacity(now time.Duration, costPerSecond float64) {
	d.advance(now)
	d.capacity = costPerSecond
}

// SetPromptCost sets the cost of a prompt token in cost units, 1 by default; an
// output token always costs 1. The limits of accounts count every token as 1.
func (d *Admitter) SetPromptCost(now time.Duration, cost float64) {
	d.advance(now)
	d.promptCost = cost
}

// SetLimitFraction sets the part of each account's limit that this process
// hands out: 1 divided by the number of processes that callers are spread over.
func (d *Admitter) SetLimitFraction(now time.Duration, fraction float64) {
	d.advance(now)
	d.limitFraction = fraction
}
