package peridotorder

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotlease"
	"peridotstack/peridotplatform"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// IntentKey returns the key of the row that records the open order of a shard.
func IntentKey(shard string) string {
	return "intent/" + shard
}

// maxAuthorizeTries bounds the tries to record an order while the lease is being
// renewed.
const maxAuthorizeTries = 5

// Intent is the value of the row that records an open order. There is at most
// one per shard.
type Intent struct {
	Order peridotplatform.BackendOrder
	// Attempts counts how often the order was about to be sent.
	Attempts int
}

// Sender sends an order to the platform once authorize has returned nil.
type Sender interface {
	Send(ctx context.Context, o peridotplatform.BackendOrder, authorize func(context.Context) error) error
}

// Authority tells the grant that the process has now.
type Authority func() (peridotlease.Grant, bool)

// Ledger sends the orders of one shard to the platform. Its fields must not
// change; its methods may be called concurrently.
type Ledger struct {
	Shard string
	// Nonce is that of the lease manager's holder.
	Nonce     string
	Store     peridottable.Store
	Sender    Sender
	Authority Authority
	Terms     peridotlease.Terms
	// List reads the platform's list of instances.
	List func(context.Context) ([]peridotplatform.Instance, error)

	mu sync.Mutex
	// sent is when the last try to send ended; attempt counts commits.
	sent    time.Time
	attempt int
	// effects are the orders that the platform answered and the list may not show
	// yet.
	effects []effect
}

// effect is an answered order; the list shows it by until.
type effect struct {
	order peridotplatform.BackendOrder
	until time.Time
}

// Send records an order and sends it. An error with the verdict MayHaveRun
// leaves the order open: Settle finds out what became of it. While an order is
// open no other is sent. Listed is when the reading of the list began by which
// the order was decided; it must not miss what the last holder ordered.
func (l *Ledger) Send(ctx context.Context, o peridotplatform.BackendOrder, listed time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	grant, err := l.mayOrder()
	if err != nil {
		return err
	}
	if listed.Before(l.grace(grant)) {
		return peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "the list is older than the lease")
	}
	row, err := peridottable.GetCurrent(ctx, l.Store, IntentKey(l.Shard))
	if err != nil {
		return notRun(err)
	}
	if row.Version != 0 {
		return peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "an order is open")
	}
	return l.send(ctx, grant, row, Intent{Order: o})
}

// mayOrder returns the grant to order under. A holder waits out the orders that
// the one before may still have had under way, and until the list shows them: it
// would order the same again.
func (l *Ledger) mayOrder() (peridotlease.Grant, error) {
	grant, ok := l.Authority()
	if !ok {
		return grant, peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "no authority over "+l.Shard)
	}
	if wait := time.Until(l.grace(grant)); wait > 0 {
		return grant, peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "orders of the last holder may be under way", peridotverdict.RetryAfter(wait))
	}
	return grant, nil
}

// grace returns when the list shows all that the last holder ordered.
func (l *Ledger) grace(grant peridotlease.Grant) time.Time {
	return grant.AcquiredAt.Add(l.Terms.Lengthen(peridotplatform.OrderReadTimeout + peridotplatform.ListLag))
}

// send records the intent while the platform waits for the order's body, then
// lets the body go. The platform got the head before the table confirmed the
// lease, so a body that arrives in time arrives before a next holder orders.
func (l *Ledger) send(ctx context.Context, grant peridotlease.Grant, row peridottable.Row, i Intent) error {
	i.Order.Token = grant.Token
	i.Attempts++
	var recorded int64
	open := i.Attempts > 1
	err := l.Sender.Send(ctx, i.Order, func(ctx context.Context) error {
		version, err := l.record(ctx, grant, row.Version, i)
		if err != nil {
			open = open || peridotverdict.Of(err) == peridotverdict.MayHaveRun
			return err
		}
		recorded = version
		if now, ok := l.Authority(); !ok || now.Token != grant.Token {
			return peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "the lease has ended")
		}
		return nil
	})
	l.sent = time.Now()
	if err == nil {
		l.effects = append(l.effects, effect{order: i.Order, until: l.sent.Add(l.Terms.Lengthen(peridotplatform.ListLag))})
		// A failure leaves the row for Settle.
		_ = l.close(ctx, recorded)
		return nil
	}
	if !open && recorded != 0 && peridotverdict.Of(err) == peridotverdict.NotRun {
		open = l.close(ctx, recorded) != nil
	}
	return stillOpen(err, open)
}

// stillOpen returns err with the verdict MayHaveRun when the record of the order
// may be left: Settle may repeat the order then.
func stillOpen(err error, open bool) error {
	if !open || peridotverdict.Of(err) == peridotverdict.MayHaveRun {
		return err
	}
	e := peridotverdict.As(err)
	return peridotverdict.New(e.Code, peridotverdict.MayHaveRun, e.Message, peridotverdict.Cause(err))
}

// record writes the intent in one commit with a check of the lease row.
func (l *Ledger) record(ctx context.Context, grant peridotlease.Grant, version int64, i Intent) (int64, error) {
	value, err := json.Marshal(i)
	if err != nil {
		return 0, errors.Wrap(err, "encode intent")
	}
	for range maxAuthorizeTries {
		lease, err := l.lease(ctx, grant)
		if err != nil {
			return 0, err
		}
		written, err := l.Store.Commit(ctx, peridottable.Txn{
			ID:     l.commitID(),
			Checks: []peridottable.Check{lease, {Key: IntentKey(l.Shard), Version: version}},
			Puts:   []peridottable.Put{{Key: IntentKey(l.Shard), Value: value}},
		})
		if !peridottable.IsConflict(err) {
			return written, err
		}
	}
	return 0, peridotverdict.New(peridotverdict.Conflict, peridotverdict.NotRun, "the lease row or the open order has changed")
}

// lease returns the check that the lease row is still the grant's. The read may
// be stale; the check is not.
func (l *Ledger) lease(ctx context.Context, grant peridotlease.Grant) (peridottable.Check, error) {
	row, err := l.Store.Get(ctx, peridotlease.Key(l.Shard))
	if err != nil {
		return peridottable.Check{}, err
	}
	value, err := peridotlease.Decode(row.Value)
	if err != nil {
		return peridottable.Check{}, err
	}
	if value.Nonce != l.Nonce || value.Token != grant.Token {
		return peridottable.Check{}, peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "another instance holds "+l.Shard)
	}
	return peridottable.Check{Key: row.Key, Version: row.Version}, nil
}

func (l *Ledger) commitID() string {
	l.attempt++
	return "intent/" + l.Shard + "/" + l.Nonce + "/" + strconv.Itoa(l.attempt)
}

// close removes the record of an order whose outcome is known.
func (l *Ledger) close(ctx context.Context, version int64) error {
	_, err := l.Store.Commit(ctx, peridottable.Txn{
		ID:      l.commitID(),
		Checks:  []peridottable.Check{{Key: IntentKey(l.Shard), Version: version}},
		Deletes: []string{IntentKey(l.Shard)},
	})
	return err
}

// Settle finds out what became of the open order, if there is any: if the list
// shows its effect, it is closed. If the list would show it by now and does not,
// the order is repeated with the same ID, or closed when it is not wanted any
// more. It returns nil once no order is open.
func (l *Ledger) Settle(ctx context.Context, wanted func(peridotplatform.BackendOrder) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	grant, err := l.mayOrder()
	if err != nil {
		return err
	}
	row, err := peridottable.GetCurrent(ctx, l.Store, IntentKey(l.Shard))
	if err != nil || row.Version == 0 {
		return notRun(err)
	}
	var i Intent
	if err := json.Unmarshal(row.Value, &i); err != nil {
		return errors.Wrap(err, "decode intent")
	}
	started := time.Now()
	instances, err := l.List(ctx)
	if err != nil {
		return notRun(err)
	}
	if Effective(i.Order, instances) {
		return l.close(ctx, row.Version)
	}
	if wait := l.shownBy(grant).Sub(started); wait > 0 {
		return peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "the list may not show the open order yet", peridotverdict.RetryAfter(wait))
	}
	if !wanted(i.Order) {
		return l.close(ctx, row.Version)
	}
	return l.send(ctx, grant, row, i)
}

// shownBy returns when the list shows whatever was sent before.
func (l *Ledger) shownBy(grant peridotlease.Grant) time.Time {
	shown := l.sent.Add(l.Terms.Lengthen(peridotplatform.OrderReadTimeout + peridotplatform.ListLag))
	if grace := l.grace(grant); grace.After(shown) {
		return grace
	}
	return shown
}

// Expect returns the list as it will be once it shows the orders that were
// answered. Listed is when the reading of the list began.
func (l *Ledger) Expect(instances []peridotplatform.Instance, listed time.Time) []peridotplatform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects = slices.DeleteFunc(l.effects, func(e effect) bool {
		return !listed.Before(e.until) || Effective(e.order, instances)
	})
	expected := slices.Clone(instances)
	for _, e := range l.effects {
		expected = expect(expected, e.order)
	}
	return expected
}

func expect(instances []peridotplatform.Instance, o peridotplatform.BackendOrder) []peridotplatform.Instance {
	if o.Kind == peridotplatform.AddBackend {
		return append(instances, peridotplatform.Instance{
			Role: peridotplatform.RoleAgent, Domain: o.Domain, Model: o.Model, Service: o.Service, OrderID: o.ID,
		})
	}
	for i := range instances {
		if instances[i].ID == o.Instance {
			instances[i].Leaving = true
		}
	}
	return instances
}

// Effective reports whether the list shows the effect of an order.
func Effective(o peridotplatform.BackendOrder, instances []peridotplatform.Instance) bool {
	for _, i := range instances {
		if o.Kind == peridotplatform.RemoveBackend && i.ID == o.Instance {
			return i.Leaving
		}
		if o.Kind == peridotplatform.AddBackend && i.OrderID == o.ID {
			return true
		}
	}
	return o.Kind == peridotplatform.RemoveBackend
}

// notRun marks a failure before anything was sent.
func notRun(err error) error {
	if err == nil {
		return nil
	}
	e := peridotverdict.As(err)
	return peridotverdict.New(e.Code, peridotverdict.NotRun, e.Message, peridotverdict.Cause(err))
}
