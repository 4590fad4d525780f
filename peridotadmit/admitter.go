package peridotadmit

import (
	"container/heap"
	"time"

	"peridotstack/peridotverdict"
)

const (
	defaultMaxQueue   = time.Second
	defaultLimitBurst = 2 * time.Second
	defaultMaxPromise = 30 * time.Second
	defaultOutput     = 128 // tokens
	// maxRetryAfter bounds the time to come back that a refusal tells.
	maxRetryAfter = 10 * time.Minute
)

// Account is what is agreed with a client account.
type Account struct {
	Name string
	// Weight is the share under overload; less than 1 counts as 1.
	Weight int
	// TokensPerSecond bounds prompt and output tokens; 0 means no bound.
	TokensPerSecond float64
	// Priority goes before what the load of the account says; larger goes first.
	Priority int
}

// Ask is a request that wants to start.
type Ask struct {
	Account      string
	PromptTokens int
	// CachedTokens is how much of the prompt need not be read again. It costs no
	// share, but counts for the account's limit.
	CachedTokens int
	// ExpectedOutput bounds the output tokens as far as the caller told; 0 means
	// that it did not.
	ExpectedOutput int
	// Deadline is the time left for the whole answer; 0 means no deadline.
	Deadline time.Duration
	// Wait and Finish are the estimated times to the first token and to the end
	// on an engine that takes requests in the order they come.
	Wait   time.Duration
	Finish time.Duration
	// Alone is the part of Wait that would be left without other requests, for
	// engines that honour priorities; 0 means that they do not.
	Alone time.Duration
}

// Decision answers an Ask.
type Decision struct {
	Admit bool
	// Err is the refusal when Admit is false; its verdict is NotRun and its
	// RetryAfter says when the same Ask would be admitted at present rates.
	Err *peridotverdict.Error
	// Priority is for the engine; larger goes first.
	Priority int
}

// Admitter decides. Make one with New.
type Admitter struct {
	options options
	// capacity is in cost units a second; 0 means unknown, which bounds nothing.
	capacity float64
	// promptCost is the cost of a prompt token; an output token costs 1.
	promptCost float64
	// share is the part of each account's limit that this process hands out.
	share    float64
	accounts map[string]*account
	flights  map[string]*flight

	// virtual is the virtual time, in cost units per weight, at the time at.
	virtual float64
	at      time.Duration
	// active holds the accounts whose virtual queue is not empty, and weight the
	// sum of their weights.
	active activeQueue
	weight float64
}

type options struct {
	maxQueue   time.Duration
	limitBurst time.Duration
	maxPromise time.Duration
}

// Option sets an optional part of an Admitter.
type Option func(*options)

// MaxQueue bounds the time that the virtual queue of one account takes to drain.
func MaxQueue(d time.Duration) Option {
	return func(o *options) { o.maxQueue = d }
}

// LimitBurst sets for how long an account may save up its limit.
func LimitBurst(d time.Duration) Option {
	return func(o *options) { o.limitBurst = d }
}

// MaxPromise bounds by how much refused requests that come back may put off the
// time that later ones are told.
func MaxPromise(d time.Duration) Option {
	return func(o *options) { o.maxPromise = d }
}

// New returns an Admitter without accounts, whose capacity is unknown.
func New(choices ...Option) *Admitter {
	o := options{maxQueue: defaultMaxQueue, limitBurst: defaultLimitBurst, maxPromise: defaultMaxPromise}
	for _, option := range choices {
		option(&o)
	}
	return &Admitter{
		options:    o,
		promptCost: 1,
		share:      1,
		accounts:   make(map[string]*account),
		flights:    make(map[string]*flight),
	}
}

// account is one client account and its virtual queue.
type account struct {
	Account
	// finish is the virtual time at which the queue is empty.
	finish float64
	// promised is the virtual time that finish reaches, and limitPromised the
	// time that limitAt reaches, once the refused requests have come back.
	promised      float64
	limitPromised time.Duration
	// index is the place in the active queue, or -1.
	index int
	// limitAt is the time at which the limit is wholly free again.
	limitAt time.Duration
	// output is the learned mean of output tokens; 0 means that none ended yet.
	output float64
}

func (a *account) weight() float64 {
	return float64(max(1, a.Weight))
}

// flight is one admitted request.
type flight struct {
	account *account
	prompt  int
	cached  int
	// charged is the number of output tokens paid for.
	charged float64
}

// SetAccounts replaces the list of accounts. One that stays listed keeps its
// queue.
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
		d.accounts[a.Name] = &account{Account: a, index: -1}
		return
	}
	before := known.weight()
	known.Account = a
	if known.index < 0 || before == known.weight() {
		return
	}
	// The queue keeps its cost, so its virtual length changes with the weight.
	d.weight += known.weight() - before
	known.finish = d.virtual + (known.finish-d.virtual)*before/known.weight()
	heap.Fix(&d.active, known.index)
}

// SetCapacity sets how much this process may have done, in tokens a second, a
// prompt token counted with its cost.
func (d *Admitter) SetCapacity(now time.Duration, tokensPerSecond float64) {
	d.advance(now)
	d.capacity = tokensPerSecond
}

// SetPromptCost sets the cost of a prompt token against an output token's 1. The
// limits of accounts count every token as 1.
func (d *Admitter) SetPromptCost(now time.Duration, cost float64) {
	d.advance(now)
	d.promptCost = cost
}

// SetShare sets the part of each account's limit that this process hands out,
// which is 1 over the number of processes that callers are spread over.
func (d *Admitter) SetShare(now time.Duration, share float64) {
	d.advance(now)
	d.share = share
}
