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

// IntentKey returns the key of the row that records the open order of the shard.
// An order is open until its outcome is known.
func IntentKey(shard string) string {
	return "intent/" + shard
}

// maxRecordAttempts limits the attempts to record an order. An attempt conflicts if
// the lease is renewed at the same time.
const maxRecordAttempts = 5

// Intent is the value of the row that records an open order. Each shard has at most
// one.
type Intent struct {
	Order peridotplatform.BackendOrder
	// Attempts is the number of times that the order was recorded for sending.
	Attempts int
}

// Sender sends orders to the platform.
type Sender interface {
	// Send sends o if authorize returns nil. It calls authorize when the platform
	// has received the head of the message and waits for the body.
	Send(ctx context.Context, o peridotplatform.BackendOrder, authorize func(context.Context) error) error
}

// GrantFunc returns the process's current lease grant and whether it has one.
type GrantFunc func() (peridotlease.Grant, bool)

// Dispatcher sends the orders of one shard to the platform. Its exported fields must
// not change after first use. Its methods are safe for concurrent use.
type Dispatcher struct {
	Shard string
	// Nonce is the nonce under which the lease manager holds leases.
	Nonce  string
	Store  peridottable.Store
	Sender Sender
	Grant  GrantFunc
	Terms  peridotlease.Terms
	// List returns the platform's list of instances.
	List func(context.Context) ([]peridotplatform.Instance, error)

	mu sync.Mutex
	// lastSendEnd is when the last attempt to send an order ended.
	lastSendEnd time.Time
	// commitCount numbers the transactions.
	commitCount int
	// unlisted contains the orders that the platform confirmed and the list may not
	// show yet.
	unlisted []answeredOrder
}

// answeredOrder is an order that the platform confirmed.
type answeredOrder struct {
	order peridotplatform.BackendOrder
	// listedBy is the time by which the list shows the order's effect.
	listedBy time.Time
}

// Send records an order and sends it to the platform. After an error with the
// verdict MayHaveRun the order is open, and ResolveOpenOrder must determine its
// outcome. While an order is open, Send refuses others with the code OrderBusy.
//
// The order must be based on a list whose read began at listStart. Send refuses the
// order if that list may lack orders of the previous lease holder.
func (d *Dispatcher) Send(ctx context.Context, o peridotplatform.BackendOrder, listStart time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	grant, err := d.orderGrant()
	if err != nil {
		return err
	}
	if listStart.Before(d.handoverEnd(grant)) {
		return peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "the list is older than the lease")
	}
	row, err := peridottable.GetCurrent(ctx, d.Store, IntentKey(d.Shard))
	if err != nil {
		return withNotRunVerdict(err)
	}
	if row.Version != 0 {
		return peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "an order is open")
	}
	return d.recordAndSend(ctx, grant, row, Intent{Order: o})
}

// orderGrant returns the lease grant under which orders may be sent now. It returns
// an error until the list shows every order that the previous holder may have had
// in flight. A holder that sent orders earlier would repeat those of the previous
// one.
func (d *Dispatcher) orderGrant() (peridotlease.Grant, error) {
	grant, ok := d.Grant()
	if !ok {
		return grant, peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "no authority over "+d.Shard)
	}
	if wait := time.Until(d.handoverEnd(grant)); wait > 0 {
		return grant, peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "orders of the last holder may be under way", peridotverdict.RetryAfter(wait))
	}
	return grant, nil
}

// handoverEnd returns the time from which the list shows every order of the
// previous lease holder.
func (d *Dispatcher) handoverEnd(grant peridotlease.Grant) time.Time {
	return grant.AcquiredAt.Add(d.Terms.Lengthen(peridotplatform.OrderReadTimeout + peridotplatform.MaxListLag))
}

// recordAndSend sends the order in two parts. It records the intent, in a commit
// that checks the lease, after the platform has received the head of the message
// and before the body is sent. The platform drops an order whose body arrives later
// than OrderReadTimeout after the head, and a new holder waits at least that long.
// A body that is accepted has therefore arrived before a new holder sends orders.
func (d *Dispatcher) recordAndSend(ctx context.Context, grant peridotlease.Grant, row peridottable.Row, i Intent) error {
	i.Order.Token = grant.Token
	i.Attempts++
	var recordedVersion int64
	mayBeOpen := i.Attempts > 1
	err := d.Sender.Send(ctx, i.Order, func(ctx context.Context) error {
		version, err := d.recordIntent(ctx, grant, row.Version, i)
		if err != nil {
			mayBeOpen = mayBeOpen || peridotverdict.Of(err) == peridotverdict.MayHaveRun
			return err
		}
		recordedVersion = version
		if current, ok := d.Grant(); !ok || current.Token != grant.Token {
			return peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "the lease has ended")
		}
		return nil
	})
	d.lastSendEnd = time.Now()
	if err == nil {
		d.unlisted = append(d.unlisted, answeredOrder{order: i.Order, listedBy: d.lastSendEnd.Add(d.Terms.Lengthen(peridotplatform.MaxListLag))})
		// If the commit fails, ResolveOpenOrder deletes the row later.
		_ = d.deleteIntent(ctx, recordedVersion)
		return nil
	}
	if !mayBeOpen && recordedVersion != 0 && peridotverdict.Of(err) == peridotverdict.NotRun {
		mayBeOpen = d.deleteIntent(ctx, recordedVersion) != nil
	}
	return withOpenVerdict(err, mayBeOpen)
}

// withOpenVerdict returns err with the verdict MayHaveRun if the order may still be
// recorded, because ResolveOpenOrder may then send it again.
func withOpenVerdict(err error, mayBeOpen bool) error {
	if !mayBeOpen || peridotverdict.Of(err) == peridotverdict.MayHaveRun {
		return err
	}
	e := peridotverdict.As(err)
	return peridotverdict.New(e.Code, peridotverdict.MayHaveRun, e.Message, peridotverdict.Cause(err))
}

// recordIntent writes the intent in a commit that also checks the lease row and the
// given version of the intent row. It returns the new version of the intent row.
func (d *Dispatcher) recordIntent(ctx context.Context, grant peridotlease.Grant, version int64, i Intent) (int64, error) {
	value, err := json.Marshal(i)
	if err != nil {
		return 0, errors.Wrap(err, "encode intent")
	}
	for range maxRecordAttempts {
		leaseCheck, err := d.newLeaseCheck(ctx, grant)
		if err != nil {
			return 0, err
		}
		newVersion, err := d.Store.Commit(ctx, peridottable.Txn{
			ID:     d.nextCommitID(),
			Checks: []peridottable.Check{leaseCheck, {Key: IntentKey(d.Shard), Version: version}},
			Puts:   []peridottable.Put{{Key: IntentKey(d.Shard), Value: value}},
		})
		if !peridottable.IsConflict(err) {
			return newVersion, err
		}
	}
	return 0, peridotverdict.New(peridotverdict.Conflict, peridotverdict.NotRun, "the lease row or the open order has changed")
}

// newLeaseCheck returns a commit check that fails if the lease row no longer belongs
// to the grant. The row read here may be stale; the commit compares its version
// with the current one.
func (d *Dispatcher) newLeaseCheck(ctx context.Context, grant peridotlease.Grant) (peridottable.Check, error) {
	row, err := d.Store.Get(ctx, peridotlease.RowKey(d.Shard))
	if err != nil {
		return peridottable.Check{}, err
	}
	value, err := peridotlease.DecodeRow(row.Value)
	if err != nil {
		return peridottable.Check{}, err
	}
	if value.Nonce != d.Nonce || value.Token != grant.Token {
		return peridottable.Check{}, peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "another instance holds "+d.Shard)
	}
	return peridottable.Check{Key: row.Key, Version: row.Version}, nil
}

func (d *Dispatcher) nextCommitID() string {
	d.commitCount++
	return "intent/" + d.Shard + "/" + d.Nonce + "/" + strconv.Itoa(d.commitCount)
}

// deleteIntent deletes the intent row, at the given version, of an order whose
// outcome is known.
func (d *Dispatcher) deleteIntent(ctx context.Context, version int64) error {
	_, err := d.Store.Commit(ctx, peridottable.Txn{
		ID:      d.nextCommitID(),
		Checks:  []peridottable.Check{{Key: IntentKey(d.Shard), Version: version}},
		Deletes: []string{IntentKey(d.Shard)},
	})
	return err
}

// ResolveOpenOrder determines the outcome of the open order, if there is one, and
// returns nil if no order is open afterwards.
//
// If the list shows the effect of the order, ResolveOpenOrder closes the order. If
// the list does not show the effect although enough time has passed,
// ResolveOpenOrder sends the order again with the same ID, or closes it if
// stillWanted returns false. Before that time it returns an error with the code
// OrderBusy.
func (d *Dispatcher) ResolveOpenOrder(ctx context.Context, stillWanted func(peridotplatform.BackendOrder) bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	grant, err := d.orderGrant()
	if err != nil {
		return err
	}
	row, err := peridottable.GetCurrent(ctx, d.Store, IntentKey(d.Shard))
	if err != nil || row.Version == 0 {
		return withNotRunVerdict(err)
	}
	var i Intent
	if err := json.Unmarshal(row.Value, &i); err != nil {
		return errors.Wrap(err, "decode intent")
	}
	listStart := time.Now()
	instances, err := d.List(ctx)
	if err != nil {
		return withNotRunVerdict(err)
	}
	if EffectListed(i.Order, instances) {
		return d.deleteIntent(ctx, row.Version)
	}
	if wait := d.sentOrdersListedAt(grant).Sub(listStart); wait > 0 {
		return peridotverdict.New(peridotverdict.OrderBusy, peridotverdict.NotRun, "the list may not show the open order yet", peridotverdict.RetryAfter(wait))
	}
	if !stillWanted(i.Order) {
		return d.deleteIntent(ctx, row.Version)
	}
	return d.recordAndSend(ctx, grant, row, i)
}

// sentOrdersListedAt returns the time from which the list shows every order that
// this holder or the previous one has sent.
func (d *Dispatcher) sentOrdersListedAt(grant peridotlease.Grant) time.Time {
	listedAt := d.lastSendEnd.Add(d.Terms.Lengthen(peridotplatform.OrderReadTimeout + peridotplatform.MaxListLag))
	if handoverEnd := d.handoverEnd(grant); handoverEnd.After(listedAt) {
		return handoverEnd
	}
	return listedAt
}

// ExpectedInstances returns a copy of the list with the effects of those confirmed
// orders that the list does not show yet. listStart is when the read of the list
// began.
func (d *Dispatcher) ExpectedInstances(instances []peridotplatform.Instance, listStart time.Time) []peridotplatform.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unlisted = slices.DeleteFunc(d.unlisted, func(e answeredOrder) bool {
		return !listStart.Before(e.listedBy) || EffectListed(e.order, instances)
	})
	expected := slices.Clone(instances)
	for _, e := range d.unlisted {
		expected = applyOrder(expected, e.order)
	}
	return expected
}

// applyOrder returns the list with the effect of o. It may modify instances.
func applyOrder(instances []peridotplatform.Instance, o peridotplatform.BackendOrder) []peridotplatform.Instance {
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

// EffectListed reports whether the list shows the effect of o. A removal has taken
// effect if its instance is leaving or not listed.
func EffectListed(o peridotplatform.BackendOrder, instances []peridotplatform.Instance) bool {
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

// withNotRunVerdict returns err with the verdict NotRun, for a failure that occurred
// before anything was sent. It returns nil for nil.
func withNotRunVerdict(err error) error {
	if err == nil {
		return nil
	}
	e := peridotverdict.As(err)
	return peridotverdict.New(e.Code, peridotverdict.NotRun, e.Message, peridotverdict.Cause(err))
}
