package peridotorder

import (
	"context"
	"sync"
	"time"

	"peridotstack/peridotbackend"
	"peridotstack/peridotlease"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	// orderTimeout bounds one order at the engine.
	orderTimeout = 10 * time.Minute
	// stateTimeout bounds a question for the engine's state.
	stateTimeout = 2 * time.Second
	// learnTimeout bounds the read of the lease row.
	learnTimeout = 3 * time.Second
)

// Engine is what the executor needs of the adapter to an engine.
type Engine interface {
	State(ctx context.Context) (peridotbackend.State, error)
	// Order returns an error with the verdict MayHaveRun unless the outcome is
	// known.
	Order(ctx context.Context, o peridotwire.Order) error
}

// Requests is what runs on the engine beside orders. An order must not cut a
// request, so none may run while it takes effect.
type Requests interface {
	// Quiesce reports whether no request runs. If so, no new one is taken until
	// Resume; if not, none is taken for a while.
	Quiesce() bool
	// Resume takes new requests again after d.
	Resume(d time.Duration)
}

// Option sets an optional part of an Executor.
type Option func(*Executor)

// WithRequests makes each order wait until no request runs on the engine.
func WithRequests(r Requests) Option {
	return func(x *Executor) { x.requests = r }
}

// noRequests stands for an engine on which nothing runs.
type noRequests struct{}

func (noRequests) Quiesce() bool        { return true }
func (noRequests) Resume(time.Duration) {}

// Executor carries out the orders to one engine. Make one with NewExecutor; its
// methods may be called concurrently.
type Executor struct {
	engine   Engine
	requests Requests
	store    peridottable.Store
	shard    string
	now      func() time.Time

	// turn is held while an order is dealt with.
	turn sync.Mutex
	mu   sync.Mutex
	gate *Gate
}

// NewExecutor returns the executor for an engine of a shard. The nonce must
// differ at each start of the process.
func NewExecutor(engine Engine, store peridottable.Store, shard, nonce string, options ...Option) *Executor {
	x := &Executor{engine: engine, requests: noRequests{}, store: store, shard: shard, now: time.Now, gate: NewGate(nonce, time.Now())}
	for _, option := range options {
		option(x)
	}
	return x
}

// Order carries out an order. It returns nil when the order took effect.
func (x *Executor) Order(ctx context.Context, o peridotwire.Order) *peridotverdict.Error {
	if o.Shard != x.shard || o.ID == "" || o.Token <= 0 {
		return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "not an order for this engine")
	}
	if !x.turn.TryLock() {
		return x.refuseBusy(o)
	}
	defer x.turn.Unlock()
	// The caller may go; an order under way may not be left half known.
	ctx = context.WithoutCancel(ctx)
	x.mu.Lock()
	x.gate.Begin()
	x.mu.Unlock()
	for {
		err, done := x.step(ctx, o)
		if done {
			return err
		}
	}
}

// refuseBusy refuses an order while another is dealt with, unless its outcome is
// known or its token old.
func (x *Executor) refuseBusy(o peridotwire.Order) *peridotverdict.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r, ok := x.gate.result(o.ID); ok {
		return r.err
	}
	if o.Token < x.gate.token {
		return refuse(peridotverdict.StaleToken, "a newer holder has authority").(Refuse).Err
	}
	return x.gate.busy(o, 0).(Refuse).Err
}

// step does what the gate decides; done is set once the order is dealt with.
func (x *Executor) step(ctx context.Context, o peridotwire.Order) (err *peridotverdict.Error, done bool) {
	x.mu.Lock()
	decision := x.gate.Take(o, x.now())
	x.mu.Unlock()
	switch d := decision.(type) {
	case Refuse:
		x.unquiet()
		return d.Err, true
	case Answer:
		return d.Err, true
	case LearnToken:
		if err := x.learn(ctx); err != nil {
			return err, true
		}
	case Inspect:
		if _, err := x.inspect(ctx); err != nil {
			return peridotverdict.New(peridotverdict.EngineFailed, x.verdict(o), "the engine's state is not known", peridotverdict.Cause(err)), true
		}
	case Quiesce:
		return x.quiesce()
	case Send:
		return x.send(ctx, o)
	}
	return nil, false
}

// quiesce lets the requests on the engine end. Until they have, the order is
// refused; its sender comes back with it.
func (x *Executor) quiesce() (*peridotverdict.Error, bool) {
	if !x.requests.Quiesce() {
		return peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "the engine still runs requests", peridotverdict.RetryAfter(time.Second)), true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.Quieted()
	return nil, false
}

// unquiet lets requests to the engine again when an order was refused late.
func (x *Executor) unquiet() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gate.quiet {
		x.requests.Resume(0)
	}
}

// verdict tells whether o may have run although nothing was sent in this call.
func (x *Executor) verdict(o peridotwire.Order) peridotverdict.Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gate.Pending() == o.ID {
		return peridotverdict.MayHaveRun
	}
	return peridotverdict.NotRun
}

func (x *Executor) learn(ctx context.Context) *peridotverdict.Error {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	row, err := peridottable.GetCurrent(ctx, x.store, peridotlease.Key(x.shard))
	if err != nil {
		return peridotverdict.New(peridotverdict.TokenUnknown, peridotverdict.NotRun, "the newest fencing token is not known", peridotverdict.RetryAfter(time.Second), peridotverdict.Cause(err))
	}
	value, err := peridotlease.Decode(row.Value)
	if err != nil {
		return peridotverdict.New(peridotverdict.TokenUnknown, peridotverdict.NotRun, "the lease row cannot be read", peridotverdict.Cause(err))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.Learn(value.Token)
	return nil
}

func (x *Executor) inspect(ctx context.Context) (peridotbackend.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := x.engine.State(ctx)
	if err != nil {
		return state, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.Inspected(state, x.now())
	return state, nil
}

func (x *Executor) send(ctx context.Context, o peridotwire.Order) (*peridotverdict.Error, bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := x.engine.Order(ctx, o)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.Sent(err, x.now())
	if r, ok := x.gate.result(o.ID); ok {
		x.requests.Resume(0)
		return r.err, true
	}
	// The engine may still be changing.
	x.requests.Resume(settleTime)
	return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the engine did not answer the order", peridotverdict.RetryAfter(settleTime), peridotverdict.Cause(err)), true
}

// Describe announces the asker's token, if it has one, and tells what the engine
// runs. A stale token gets no ticket.
func (x *Executor) Describe(ctx context.Context, d peridotwire.Describe) (peridotwire.Description, error) {
	var ticket string
	if d.Shard == x.shard && d.Token > 0 {
		x.mu.Lock()
		ticket = x.gate.Announce(d.Token, x.now())
		x.mu.Unlock()
	}
	state, err := x.inspect(ctx)
	if err != nil {
		return peridotwire.Description{}, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	answer := peridotwire.Description{
		Model: state.Model, Version: state.Version, Role: state.Role,
		Token: x.gate.Token(), OrderID: state.LastOrder, Busy: state.Changing, Ticket: ticket,
	}
	if pending := x.gate.Pending(); pending != "" {
		answer.OrderID, answer.Busy = pending, true
	}
	return answer, nil
}
