package peridotretry

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotstack/peridotverdict"
)

const (
	defaultMaxAttempts    = 3
	defaultInitialBackoff = 20 * time.Millisecond
	// minRetryAfter is the shortest RetryAfter of a request that failed because
	// the retry budget of its account is used up.
	minRetryAfter = time.Second
)

// Attempt describes an attempt of a request that failed or, for Hedge, one that
// is slow.
type Attempt struct {
	// Account is the client account of the request, and Instance the backend
	// server that the attempt was sent to.
	Account  string
	Instance string
	// Number is the number of attempts of the request, including this one.
	Number int
	// Err is the error that the attempt failed with.
	Err *peridotverdict.Error
	// EarlierMayHaveRun is set if an earlier attempt may have run.
	EarlierMayHaveRun bool
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// PassedChunks is the number of chunks of the answer that were passed on to the
	// caller.
	PassedChunks int
	// TimeLeft is the time left until the caller's deadline, and ExpectedDuration
	// the estimated duration of one attempt.
	TimeLeft         time.Duration
	ExpectedDuration time.Duration
	// Tried lists the instances that earlier attempts were sent to.
	Tried []string
}

// Decision is the result of Policy.Next and Policy.Hedge.
type Decision struct {
	// Retry is set if the request is to be sent again, after Delay and to an
	// instance that is not in Exclude. The caller must pass the instance that it
	// chooses to Policy.RecordRetry.
	Retry   bool
	Delay   time.Duration
	Exclude []string
	// Err is the final answer if Next does not set Retry. Its verdict covers all
	// attempts. Hedge never sets Err.
	Err *peridotverdict.Error
}

// Policy decides which failed requests are retried. It is not safe for
// concurrent use. Make one with New.
type Policy struct {
	random         *rand.Rand
	maxAttempts    int
	initialBackoff time.Duration
	hedgeDelay     time.Duration
	initialBudget  Budget

	accountBudgets map[string]*Budget
	serverBudgets  map[string]*Budget
	// exhaustedServers lists the servers whose budget allows no retry.
	exhaustedServers []string
}

// Option configures a Policy.
type Option func(*Policy)

// MaxAttempts sets the largest number of attempts of one request, including the
// first. The default is 3.
func MaxAttempts(n int) Option {
	return func(p *Policy) { p.maxAttempts = n }
}

// InitialBackoff sets the longest delay before the first retry, 20ms by
// default. The longest delay doubles with each further retry.
func InitialBackoff(d time.Duration) Option {
	return func(p *Policy) { p.initialBackoff = d }
}

// InitialBudget sets the budget that each client account and each backend server
// starts with. The default is the zero Budget.
func InitialBudget(b Budget) Option {
	return func(p *Policy) { p.initialBudget = b }
}

// HedgeDelay enables hedging: a second attempt of an idempotent request may run
// in parallel once the first has returned nothing for the time d. Without this
// option, or with 0, there is no hedging.
func HedgeDelay(d time.Duration) Option {
	return func(p *Policy) { p.hedgeDelay = d }
}

// New returns a Policy whose random delays are determined by seed.
func New(seed uint64, options ...Option) *Policy {
	p := &Policy{
		random:         rand.New(rand.NewPCG(seed, seed)),
		maxAttempts:    defaultMaxAttempts,
		initialBackoff: defaultInitialBackoff,
		accountBudgets: make(map[string]*Budget),
		serverBudgets:  make(map[string]*Budget),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Next decides whether a request is retried after a failed attempt.
func (p *Policy) Next(_ time.Duration, a Attempt) Decision {
	if !safeToRetry(a) || !isRetryable(a.Err.Code) || a.Number >= p.maxAttempts {
		return Decision{Err: finalError(a, a.Err.Code, a.Err.Message)}
	}
	if !p.budgetOf(p.accountBudgets, a.Account).AllowsRetry() {
		return Decision{Err: finalError(a, peridotverdict.RetryBudgetSpent, "the client account's retries are used up: "+a.Err.Message)}
	}
	delay := p.backoff(a.Number)
	if delay+a.ExpectedDuration >= a.TimeLeft {
		return Decision{Err: finalError(a, a.Err.Code, a.Err.Message)}
	}
	return Decision{Retry: true, Delay: delay, Exclude: p.excludedInstances(a)}
}

// FinalError returns the final answer of a request that cannot be retried because
// no instance or no time is left for it.
func (a Attempt) FinalError() *peridotverdict.Error {
	return finalError(a, a.Err.Code, a.Err.Message)
}

// Hedge decides whether to start a second attempt in parallel with the first,
// which has returned nothing for the time waited.
func (p *Policy) Hedge(_ time.Duration, a Attempt, waited time.Duration) Decision {
	if p.hedgeDelay == 0 || waited < p.hedgeDelay || !a.Idempotent || a.PassedChunks > 0 || a.Number > 1 {
		return Decision{}
	}
	if !p.budgetOf(p.accountBudgets, a.Account).AllowsRetry() || a.ExpectedDuration >= a.TimeLeft {
		return Decision{}
	}
	return Decision{Retry: true, Exclude: p.excludedInstances(a)}
}

// safeToRetry reports whether the caller has seen no part of the answer and the
// request either certainly did not run or may run more than once.
func safeToRetry(a Attempt) bool {
	if a.PassedChunks > 0 {
		return false
	}
	return a.Idempotent || a.Err.Verdict == peridotverdict.NotRun && !a.EarlierMayHaveRun
}

// isRetryable reports whether the request may succeed on another backend server.
// Errors with any other code would occur there as well.
func isRetryable(code peridotverdict.Code) bool {
	switch code {
	case peridotverdict.NoBackend, peridotverdict.ConfigStale, peridotverdict.Leaving,
		peridotverdict.Overloaded, peridotverdict.EngineFailed, peridotverdict.ShortAnswer,
		peridotverdict.PeerLost, peridotverdict.PeerRefused, peridotverdict.UnknownRequest:
		return true
	}
	return false
}

// finalError returns the error that the caller gets. Its verdict is NotRun only
// if no attempt may have run.
func finalError(a Attempt, code peridotverdict.Code, message string) *peridotverdict.Error {
	verdict := a.Err.Verdict
	if a.EarlierMayHaveRun && verdict == peridotverdict.NotRun {
		verdict = peridotverdict.MayHaveRun
	}
	after := a.Err.RetryAfter
	if code == peridotverdict.RetryBudgetSpent {
		after = max(after, minRetryAfter)
	}
	return peridotverdict.New(code, verdict, message,
		peridotverdict.Field(a.Err.Field), peridotverdict.RetryAfter(after), peridotverdict.Cause(a.Err))
}

// RecordRetry removes a retry, which the caller is about to send, from the
// budgets of the account and the instance.
func (p *Policy) RecordRetry(_ time.Duration, account, instance string) {
	p.budgetOf(p.accountBudgets, account).RecordRetry()
	p.budgetOf(p.serverBudgets, instance).RecordRetry()
	p.updateExhausted(instance)
}

// RecordSuccess adds a success to the budgets of the account and the instance.
func (p *Policy) RecordSuccess(_ time.Duration, account, instance string) {
	p.budgetOf(p.accountBudgets, account).RecordSuccess()
	p.budgetOf(p.serverBudgets, instance).RecordSuccess()
	p.updateExhausted(instance)
}

// updateExhausted updates exhaustedServers after a change of a server's budget.
func (p *Policy) updateExhausted(instance string) {
	i := slices.Index(p.exhaustedServers, instance)
	allowed := p.serverBudgets[instance].AllowsRetry()
	switch {
	case allowed && i >= 0:
		p.exhaustedServers = slices.Delete(p.exhaustedServers, i, i+1)
	case !allowed && i < 0:
		p.exhaustedServers = append(p.exhaustedServers, instance)
	}
}

// RetainBudgets drops the budgets of all client accounts and instances that are
// not listed. A dropped budget starts again with its full reserve.
func (p *Policy) RetainBudgets(accounts, instances []string) {
	retainBudgets(p.accountBudgets, accounts)
	retainBudgets(p.serverBudgets, instances)
	p.exhaustedServers = slices.DeleteFunc(p.exhaustedServers, func(instance string) bool {
		_, known := p.serverBudgets[instance]
		return !known
	})
}

func retainBudgets(budgets map[string]*Budget, names []string) {
	retained := make(map[string]bool, len(names))
	for _, name := range names {
		retained[name] = true
	}
	for name := range budgets {
		if !retained[name] {
			delete(budgets, name)
		}
	}
}

func (p *Policy) budgetOf(budgets map[string]*Budget, name string) *Budget {
	b, ok := budgets[name]
	if !ok {
		fresh := p.initialBudget
		b = &fresh
		budgets[name] = b
	}
	return b
}

// excludedInstances returns the instances that were tried and those whose budget
// allows no retry.
func (p *Policy) excludedInstances(a Attempt) []string {
	return append(append(slices.Clone(a.Tried), a.Instance), p.exhaustedServers...)
}

// backoff returns a random delay whose upper bound doubles with each attempt.
func (p *Policy) backoff(number int) time.Duration {
	limit := p.initialBackoff << (number - 1)
	if limit <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(limit)))
}
