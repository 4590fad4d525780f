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
	// orderTimeout limits one order call to the engine.
	orderTimeout = 10 * time.Minute
	// stateTimeout limits one state call to the engine.
	stateTimeout = 2 * time.Second
	// leaseReadTimeout limits one read of the lease row.
	leaseReadTimeout = 3 * time.Second
)

// Engine is the part of an engine's adapter that an Executor uses.
type Engine interface {
	State(ctx context.Context) (peridotbackend.State, error)
	// Order sends an order to the engine and waits for its outcome. If the outcome
	// is unknown, Order returns an error with the verdict MayHaveRun.
	Order(ctx context.Context, o peridotwire.Order) error
}

// Requests controls the admission of requests to the engine. An order would
// interrupt running requests, so none may run while an order is applied.
type Requests interface {
	// Quiesce stops the admission of requests and reports whether none is running.
	// If it returns true, admission stays stopped until Resume is called. If it
	// returns false, admission resumes by itself after some time.
	Quiesce() bool
	// Resume starts admitting requests again after d.
	Resume(d time.Duration)
}

// Option configures an Executor.
type Option func(*Executor)

// WithRequests makes the Executor refuse each order until r reports that no
// request is running on the engine.
func WithRequests(r Requests) Option {
	return func(x *Executor) { x.requests = r }
}

// noRequests implements Requests for an engine without requests.
type noRequests struct{}

func (noRequests) Quiesce() bool        { return true }
func (noRequests) Resume(time.Duration) {}

// Executor applies orders to one engine. Create one with NewExecutor. Its methods
// are safe for concurrent use.
type Executor struct {
	engine   Engine
	requests Requests
	store    peridottable.Store
	shard    string
	now      func() time.Time

	// orderMu is held for the whole handling of an order.
	orderMu sync.Mutex
	// mu guards gate.
	mu   sync.Mutex
	gate *Gate
}

// NewExecutor returns an Executor for an engine of the shard. The nonce must be
// different after each restart of the process.
func NewExecutor(engine Engine, store peridottable.Store, shard, nonce string, options ...Option) *Executor {
	x := &Executor{engine: engine, requests: noRequests{}, store: store, shard: shard, now: time.Now, gate: NewGate(nonce, time.Now())}
	for _, option := range options {
		option(x)
	}
	return x
}

// Order applies an order to the engine and returns nil if it took effect. While
// one call is in progress, another returns a recorded outcome or a refusal at once.
// The cancellation of ctx does not interrupt an order.
func (x *Executor) Order(ctx context.Context, o peridotwire.Order) *peridotverdict.Error {
	if o.Shard != x.shard || o.ID == "" || o.Token <= 0 {
		return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "not an order for this engine")
	}
	if !x.orderMu.TryLock() {
		return x.refuseConcurrent(o)
	}
	defer x.orderMu.Unlock()
	// If the caller's cancellation interrupted the order, its outcome would be
	// unknown.
	ctx = context.WithoutCancel(ctx)
	x.mu.Lock()
	x.gate.BeginOrder()
	x.mu.Unlock()
	for {
		err, done := x.step(ctx, o)
		if done {
			return err
		}
	}
}

// refuseConcurrent replies to an order that arrives while another is handled. It
// returns the recorded outcome if there is one, and otherwise an error with the
// code StaleToken or OrderBusy.
func (x *Executor) refuseConcurrent(o peridotwire.Order) *peridotverdict.Error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r, ok := x.gate.findResult(o.ID); ok {
		return r.err
	}
	if o.Token < x.gate.token {
		return newRefusal(peridotverdict.StaleToken, "a newer holder has authority").(Refuse).Err
	}
	return x.gate.refuseBusy(o, 0).(Refuse).Err
}

// step executes the gate's next decision about o. It sets done when the handling of
// o has ended with err.
func (x *Executor) step(ctx context.Context, o peridotwire.Order) (err *peridotverdict.Error, done bool) {
	x.mu.Lock()
	decision := x.gate.NextStep(o, x.now())
	x.mu.Unlock()
	switch d := decision.(type) {
	case Refuse:
		x.resumeRequests()
		return d.Err, true
	case Answer:
		return d.Err, true
	case ReadToken:
		if err := x.readToken(ctx); err != nil {
			return err, true
		}
	case ReadState:
		if _, err := x.readState(ctx); err != nil {
			return peridotverdict.New(peridotverdict.EngineFailed, x.verdictFor(o), "the engine's state is not known", peridotverdict.Cause(err)), true
		}
	case Quiesce:
		return x.quiesceRequests()
	case Send:
		return x.sendOrder(ctx, o)
	}
	return nil, false
}

// quiesceRequests stops the admission of requests. While requests are still
// running, it refuses the order, and the sender retries it later.
func (x *Executor) quiesceRequests() (*peridotverdict.Error, bool) {
	if !x.requests.Quiesce() {
		return peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "the engine still runs requests", peridotverdict.RetryAfter(time.Second)), true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.RecordQuiesced()
	return nil, false
}

// resumeRequests resumes the admission of requests after an order was refused, if
// admission had already been stopped for that order.
func (x *Executor) resumeRequests() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gate.requestsStopped {
		x.requests.Resume(0)
	}
}

// verdictFor returns the verdict for an error that occurred before this call sent
// o: MayHaveRun if an earlier call sent it and its outcome is unknown.
func (x *Executor) verdictFor(o peridotwire.Order) peridotverdict.Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gate.PendingOrderID() == o.ID {
		return peridotverdict.MayHaveRun
	}
	return peridotverdict.NotRun
}

func (x *Executor) readToken(ctx context.Context) *peridotverdict.Error {
	ctx, cancel := context.WithTimeout(ctx, leaseReadTimeout)
	defer cancel()
	row, err := peridottable.GetCurrent(ctx, x.store, peridotlease.RowKey(x.shard))
	if err != nil {
		return peridotverdict.New(peridotverdict.TokenUnknown, peridotverdict.NotRun, "the newest fencing token is not known", peridotverdict.RetryAfter(time.Second), peridotverdict.Cause(err))
	}
	lease, err := peridotlease.DecodeRow(row.Value)
	if err != nil {
		return peridotverdict.New(peridotverdict.TokenUnknown, peridotverdict.NotRun, "the lease row cannot be read", peridotverdict.Cause(err))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.ConfirmToken(lease.Token)
	return nil
}

func (x *Executor) readState(ctx context.Context) (peridotbackend.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := x.engine.State(ctx)
	if err != nil {
		return state, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.RecordState(state, x.now())
	return state, nil
}

func (x *Executor) sendOrder(ctx context.Context, o peridotwire.Order) (*peridotverdict.Error, bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := x.engine.Order(ctx, o)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gate.RecordSendResult(err, x.now())
	if r, ok := x.gate.findResult(o.ID); ok {
		x.requests.Resume(0)
		return r.err, true
	}
	// The engine may still be applying the order.
	x.requests.Resume(orderStartTimeout)
	return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the engine did not answer the order", peridotverdict.RetryAfter(orderStartTimeout), peridotverdict.Cause(err)), true
}

// Describe returns what the engine runs. If d carries a fencing token for the
// executor's shard, the gate records the token and issues a ticket, which is in the
// description unless the token is stale.
func (x *Executor) Describe(ctx context.Context, d peridotwire.Describe) (peridotwire.Description, error) {
	var ticket string
	if d.Shard == x.shard && d.Token > 0 {
		x.mu.Lock()
		ticket = x.gate.IssueTicket(d.Token, x.now())
		x.mu.Unlock()
	}
	state, err := x.readState(ctx)
	if err != nil {
		return peridotwire.Description{}, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	description := peridotwire.Description{
		Model: state.Model, Version: state.Version, Role: state.Role,
		Token: x.gate.Token(), OrderID: state.LastOrder, Busy: state.Changing, Ticket: ticket,
	}
	if pending := x.gate.PendingOrderID(); pending != "" {
		description.OrderID, description.Busy = pending, true
	}
	return description, nil
}
