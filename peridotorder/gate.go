package peridotorder

import (
	"strconv"
	"time"

	"peridotstack/peridotbackend"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	// orderStartTimeout is the longest time between an engine's receipt of an order
	// and its first state report that shows the change. An order that the reports
	// don't show by then will not take effect.
	orderStartTimeout = 5 * time.Second
	// maxResults limits the number of recorded outcomes; the oldest is discarded
	// first.
	maxResults = 64
)

// Decision is the next step in the handling of an order. The set is closed:
// Refuse, Answer, ReadToken, ReadState, Quiesce and Send.
type Decision interface {
	decision()
}

// Refuse rejects the order with Err, whose verdict says whether an earlier
// delivery of the same order may have taken effect.
type Refuse struct {
	Err *peridotverdict.Error
}

// Answer returns the known outcome of the order. Err is nil if the order took
// effect.
type Answer struct {
	Err *peridotverdict.Error
}

// ReadToken asks the caller to read the lease row and call Gate.ConfirmToken.
type ReadToken struct{}

// ReadState asks the caller to read the engine's state and call Gate.RecordState.
type ReadState struct{}

// Quiesce asks the caller to admit no new requests to the engine and to call
// Gate.RecordQuiesced once no request is running.
type Quiesce struct{}

// Send asks the caller to send the order immediately and to call
// Gate.RecordSendResult with the result.
type Send struct{}

func (Refuse) decision()    {}
func (Answer) decision()    {}
func (ReadToken) decision() {}
func (ReadState) decision() {}
func (Quiesce) decision()   {}
func (Send) decision()      {}

// ticket permits a lease holder to send orders under its token.
type ticket struct {
	id       string
	token    int64
	issuedAt time.Time
}

// result is the recorded outcome of an order.
type result struct {
	id  string
	err *peridotverdict.Error
}

// Gate decides which orders one engine receives. It has no clock and does no I/O.
// It is not safe for concurrent use. Create one with NewGate.
type Gate struct {
	nonce     string
	startedAt time.Time
	// token is the highest fencing token seen by this process.
	// tokenConfirmed reports whether the lease row was read for the current order, so
	// that token is not lower than the row's. Without that read, a restarted process
	// could accept an older token than the process before the restart had seen.
	token          int64
	tokenConfirmed bool
	ticketCount    int
	// ticket is the most recently issued one. Earlier tickets are invalid because
	// their orders are based on outdated descriptions.
	ticket  ticket
	results []result
	// pending is the order that was sent and whose outcome is unknown, or nil.
	pending *peridotwire.Order
	// awaitingReply reports whether the call that sent pending has not returned yet.
	// uncertainSince is when that call returned, or when a later state report last
	// showed the engine changing.
	awaitingReply  bool
	uncertainSince time.Time
	// engineState is the engine's latest reported state. While an order is pending,
	// it is the state reported before the order was sent.
	// stateCurrent reports whether the state was read for the current order.
	engineState  peridotbackend.State
	stateCurrent bool
	// requestsStopped reports whether the engine was found without running requests
	// for the current order.
	requestsStopped bool
}

// NewGate returns the Gate of a process that started at now. The nonce must be
// different after each restart of the process.
func NewGate(nonce string, now time.Time) *Gate {
	return &Gate{nonce: nonce, startedAt: now}
}

// Token returns the highest fencing token seen by this process.
func (g *Gate) Token() int64 {
	return g.token
}

// PendingOrderID returns the ID of the order whose outcome is unknown, or "" if there
// is none.
func (g *Gate) PendingOrderID() string {
	if g.pending == nil {
		return ""
	}
	return g.pending.ID
}

// IssueTicket records the fencing token of a lease holder and returns a ticket for
// the holder's orders. It returns "" if token is not positive or a higher token
// was seen.
func (g *Gate) IssueTicket(token int64, now time.Time) string {
	if token <= 0 || token < g.token {
		return ""
	}
	g.token = token
	g.ticketCount++
	g.ticket = ticket{id: g.nonce + "-" + strconv.Itoa(g.ticketCount), token: token, issuedAt: now}
	return g.ticket.id
}

// ConfirmToken records the fencing token of the lease row. The caller must have
// read the current version of the row.
func (g *Gate) ConfirmToken(token int64) {
	g.token = max(g.token, token)
	g.tokenConfirmed = true
}

// BeginOrder starts the handling of an order. The lease row and the engine's state
// must be read again for it.
func (g *Gate) BeginOrder() {
	g.tokenConfirmed = false
	g.stateCurrent = false
	g.requestsStopped = false
}

// RecordQuiesced records that no request is running on the engine and that none will
// start until the order has ended.
func (g *Gate) RecordQuiesced() {
	g.requestsStopped = true
}

// NextStep returns the next step for o. The caller calls NextStep again after each
// step until it returns Refuse or Answer. When NextStep returns Send, o becomes the
// pending order.
func (g *Gate) NextStep(o peridotwire.Order, now time.Time) Decision {
	if r, ok := g.findResult(o.ID); ok {
		return Answer{Err: r.err}
	}
	switch {
	case o.Token < g.token:
		return newRefusal(peridotverdict.StaleToken, "a newer holder has authority")
	case !g.tokenConfirmed:
		return ReadToken{}
	case g.awaitingReply:
		return g.refuseBusy(o, 0)
	case !g.stateCurrent:
		return ReadState{}
	case g.pending != nil:
		return g.refuseBusy(o, g.uncertainSince.Add(orderStartTimeout).Sub(now))
	case g.engineState.Changing:
		return g.refuseBusy(o, orderStartTimeout)
	case now.Before(g.startedAt.Add(orderStartTimeout)):
		// An order sent by this process before its restart may still reach the
		// engine.
		return g.refuseBusy(o, g.startedAt.Add(orderStartTimeout).Sub(now))
	}
	if err := g.checkTicket(o, now); err != nil {
		return Refuse{Err: err}
	}
	if !g.requestsStopped {
		return Quiesce{}
	}
	g.token = o.Token
	g.pending = &o
	g.awaitingReply = true
	return Send{}
}

// checkTicket returns an error with the code LeaseLost if o does not carry the
// latest ticket or if the sender's lease has ended.
func (g *Gate) checkTicket(o peridotwire.Order, now time.Time) *peridotverdict.Error {
	if g.ticket.id != o.Ticket || g.ticket.token != o.Token {
		return peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "not the newest ticket")
	}
	leaseEnd := g.ticket.issuedAt.Add(time.Duration(o.TimeoutMillis) * time.Millisecond)
	if !now.Before(leaseEnd) {
		return peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "the sender's lease has ended")
	}
	return nil
}

// RecordSendResult records the result of sending the pending order. If the verdict
// of err is MayHaveRun, the order stays pending.
func (g *Gate) RecordSendResult(err error, now time.Time) {
	g.awaitingReply = false
	g.uncertainSince = now
	if peridotverdict.Of(err) == peridotverdict.MayHaveRun {
		return
	}
	g.resolvePending(peridotverdict.As(err))
}

// RecordState records the state that the engine reported. If the state shows that
// the pending order took effect, RecordState records its success. If the engine
// shows no sign of the order for orderStartTimeout, RecordState records its
// failure.
func (g *Gate) RecordState(s peridotbackend.State, now time.Time) {
	g.stateCurrent = true
	switch {
	case g.pending == nil:
		g.engineState = s
		g.recordApplied(s.LastOrder)
	case g.awaitingReply:
	case s.LastOrder == g.pending.ID:
		g.resolvePending(nil)
		g.engineState = s
	case s.Changing:
		g.uncertainSince = now
	case now.Before(g.uncertainSince.Add(orderStartTimeout)):
	default:
		g.resolvePending(unappliedOrderError(g.engineState, s))
		g.engineState = s
	}
}

// unappliedOrderError returns the outcome of an order that did not complete and no
// longer can, given the engine's state before and after it. The verdict is NotRun
// if the state is unchanged.
func unappliedOrderError(before, after peridotbackend.State) *peridotverdict.Error {
	unchanged := before.Model == after.Model && before.Version == after.Version && before.Role == after.Role
	if unchanged && before.LastOrder == after.LastOrder {
		return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "the order had no effect")
	}
	return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the engine failed during the order")
}

// recordApplied records the engine's last order as successful if this process has
// no outcome for it. The order may have been sent before the process started.
func (g *Gate) recordApplied(id string) {
	if _, ok := g.findResult(id); !ok && id != "" {
		g.recordResult(id, nil)
	}
}

func (g *Gate) resolvePending(err *peridotverdict.Error) {
	g.recordResult(g.pending.ID, err)
	g.pending = nil
}

func (g *Gate) recordResult(id string, err *peridotverdict.Error) {
	g.results = append(g.results, result{id: id, err: err})
	if len(g.results) > maxResults {
		g.results = g.results[1:]
	}
}

func (g *Gate) findResult(id string) (result, bool) {
	for _, r := range g.results {
		if r.id == id {
			return r, true
		}
	}
	return result{}, false
}

// refuseBusy refuses o because the engine is changing or an order is pending. The
// verdict is MayHaveRun if the pending order is o itself. The sender is asked to
// retry after retryAfter, or after one second if that is longer.
func (g *Gate) refuseBusy(o peridotwire.Order, retryAfter time.Duration) Decision {
	verdict := peridotverdict.NotRun
	if g.PendingOrderID() == o.ID {
		verdict = peridotverdict.MayHaveRun
	}
	return Refuse{Err: peridotverdict.New(peridotverdict.OrderBusy, verdict, "the engine is changing", peridotverdict.RetryAfter(max(retryAfter, time.Second)))}
}

func newRefusal(code peridotverdict.Code, message string) Decision {
	return Refuse{Err: peridotverdict.New(code, peridotverdict.NotRun, message)}
}
