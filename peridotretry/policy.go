package peridotretry

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotstack/peridotverdict"
)

const (
	defaultMaxAttempts = 3
	defaultPause       = 20 * time.Millisecond
	// comeBack is when a caller whose retries are used up may come back, at the
	// soonest.
	comeBack = time.Second
)

// Attempt is a try that failed, or, for Hedge, one that is slow.
type Attempt struct {
	// Account and Instance are who asked and which backend server was tried.
	Account  string
	Instance string
	// Number counts the tries, this one included.
	Number int
	// Err is how the try failed.
	Err *peridotverdict.Error
	// EarlierMayHaveRun is set when a try before this one may have run.
	EarlierMayHaveRun bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Passed is how much of an answer was passed on to the caller, in chunks.
	Passed int
	// Left is the time left to the caller's deadline, and Finish the estimated
	// time that one try takes.
	Left   time.Duration
	Finish time.Duration
	// Tried names the instances tried before this one.
	Tried []string
}

// Decision answers an Attempt.
type Decision struct {
	// Retry says to try again after the pause After, on an instance that is not
	// in Exclude. Retried must be called with the instance that was chosen.
	Retry   bool
	After   time.Duration
	Exclude []string
	// Err is the final answer when Retry is false. Its verdict covers all tries.
	Err *peridotverdict.Error
}

// Policy decides on retries. Make one with New.
type Policy struct {
	random      *rand.Rand
	maxAttempts int
	pause       time.Duration
	hedgeAfter  time.Duration
	budget      Budget

	accounts map[string]*Budget
	servers  map[string]*Budget
	// spent names the servers that have had their share of retries.
	spent []string
}

// Option sets an optional part of a Policy.
type Option func(*Policy)

// MaxAttempts bounds the tries of one request, the first included.
func MaxAttempts(n int) Option {
	return func(p *Policy) { p.maxAttempts = n }
}

// Pause sets the longest pause before the first retry; it doubles with each.
func Pause(d time.Duration) Option {
	return func(p *Policy) { p.pause = d }
}

// EachBudget sets the budget that each account and each server starts with.
func EachBudget(b Budget) Option {
	return func(p *Policy) { p.budget = b }
}

// HedgeAfter allows a second try of an idempotent request beside a first one
// that has brought nothing for so long. Without it there is no hedging.
func HedgeAfter(d time.Duration) Option {
	return func(p *Policy) { p.hedgeAfter = d }
}

// New returns a Policy whose jitter follows from seed.
func New(seed uint64, options ...Option) *Policy {
	p := &Policy{
		random:      rand.New(rand.NewPCG(seed, seed)),
		maxAttempts: defaultMaxAttempts,
		pause:       defaultPause,
		accounts:    make(map[string]*Budget),
		servers:     make(map[string]*Budget),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Next decides what follows a try that failed.
func (p *Policy) Next(_ time.Duration, a Attempt) Decision {
	if !mayRepeat(a) || !worthRepeating(a.Err.Code) || a.Number >= p.maxAttempts {
		return Decision{Err: final(a, a.Err.Code, a.Err.Message)}
	}
	if !p.budgetOf(p.accounts, a.Account).Left() {
		return Decision{Err: final(a, peridotverdict.RetryBudgetSpent, "the client account's retries are used up: "+a.Err.Message)}
	}
	after := p.jitter(a.Number)
	if after+a.Finish >= a.Left {
		return Decision{Err: final(a, a.Err.Code, a.Err.Message)}
	}
	return Decision{Retry: true, After: after, Exclude: p.exclude(a)}
}

// GiveUp returns the final answer of a request whose retry has nowhere to go.
func (a Attempt) GiveUp() *peridotverdict.Error {
	return final(a, a.Err.Code, a.Err.Message)
}

// Hedge decides whether to start a second try beside one that has brought
// nothing for the time waited.
func (p *Policy) Hedge(_ time.Duration, a Attempt, waited time.Duration) Decision {
	if p.hedgeAfter == 0 || waited < p.hedgeAfter || !a.Idempotent || a.Passed > 0 || a.Number > 1 {
		return Decision{}
	}
	if !p.budgetOf(p.accounts, a.Account).Left() || a.Finish >= a.Left {
		return Decision{}
	}
	return Decision{Retry: true, Exclude: p.exclude(a)}
}

// mayRepeat reports whether the request surely did not run, or may run again
// and the caller has seen nothing of the answer.
func mayRepeat(a Attempt) bool {
	if a.Passed > 0 {
		return false
	}
	return a.Idempotent || a.Err.Verdict == peridotverdict.NotRun && !a.EarlierMayHaveRun
}

// worthRepeating reports whether another backend server may do better. All
// other codes would come back the same.
func worthRepeating(code peridotverdict.Code) bool {
	switch code {
	case peridotverdict.NoBackend, peridotverdict.ConfigStale, peridotverdict.Leaving,
		peridotverdict.Overloaded, peridotverdict.EngineFailed, peridotverdict.ShortAnswer,
		peridotverdict.PeerLost, peridotverdict.PeerRefused, peridotverdict.UnknownRequest:
		return true
	}
	return false
}

// final returns the answer that the caller gets. Its verdict is NotRun only when
// no try may have run.
func final(a Attempt, code peridotverdict.Code, message string) *peridotverdict.Error {
	verdict := a.Err.Verdict
	if a.EarlierMayHaveRun && verdict == peridotverdict.NotRun {
		verdict = peridotverdict.MayHaveRun
	}
	after := a.Err.RetryAfter
	if code == peridotverdict.RetryBudgetSpent {
		after = max(after, comeBack)
	}
	return peridotverdict.New(code, verdict, message,
		peridotverdict.Field(a.Err.Field), peridotverdict.RetryAfter(after), peridotverdict.Cause(a.Err))
}

// Retried pays for a retry that is about to be sent to an instance.
func (p *Policy) Retried(_ time.Duration, account, instance string) {
	p.budgetOf(p.accounts, account).Take()
	p.budgetOf(p.servers, instance).Take()
	p.note(instance)
}

// Succeeded pays in for a success.
func (p *Policy) Succeeded(_ time.Duration, account, instance string) {
	p.budgetOf(p.accounts, account).Succeeded()
	p.budgetOf(p.servers, instance).Succeeded()
	p.note(instance)
}

// note keeps spent up to date after a change of a server's budget.
func (p *Policy) note(instance string) {
	i := slices.Index(p.spent, instance)
	left := p.servers[instance].Left()
	switch {
	case left && i >= 0:
		p.spent = slices.Delete(p.spent, i, i+1)
	case !left && i < 0:
		p.spent = append(p.spent, instance)
	}
}

// Keep drops the budgets of all client accounts and instances but those named.
func (p *Policy) Keep(accounts, instances []string) {
	keep(p.accounts, accounts)
	keep(p.servers, instances)
	p.spent = slices.DeleteFunc(p.spent, func(instance string) bool {
		_, known := p.servers[instance]
		return !known
	})
}

func keep(budgets map[string]*Budget, names []string) {
	named := make(map[string]bool, len(names))
	for _, name := range names {
		named[name] = true
	}
	for name := range budgets {
		if !named[name] {
			delete(budgets, name)
		}
	}
}

func (p *Policy) budgetOf(budgets map[string]*Budget, name string) *Budget {
	b, ok := budgets[name]
	if !ok {
		fresh := p.budget
		b = &fresh
		budgets[name] = b
	}
	return b
}

// exclude names the instances tried and those that have had their share of
// retries.
func (p *Policy) exclude(a Attempt) []string {
	return append(append(slices.Clone(a.Tried), a.Instance), p.spent...)
}

// jitter returns a random pause that grows with each try.
func (p *Policy) jitter(number int) time.Duration {
	longest := p.pause << (number - 1)
	if longest <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(longest)))
}
