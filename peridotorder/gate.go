package peridotorder

import (
	"strconv"
	"time"

	"peridotstack/peridotbackend"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	// settleTime bounds the time from when an engine received an order until it
	// says that it is changing. An order not seen by then has no effect any more.
	settleTime = 5 * time.Second
	// maxResults bounds the recorded answers; older ones are forgotten.
	maxResults = 64
)

// Decision is what to do next about an order. The set is closed: Refuse, Answer,
// LearnToken, Inspect, Quiesce and Send.
type Decision interface {
	decision()
}

// Refuse means that the order has no effect.
type Refuse struct {
	Err *peridotverdict.Error
}

// Answer means that the outcome is known; Err is nil when the order took effect.
type Answer struct {
	Err *peridotverdict.Error
}

// LearnToken means to read the lease row and call Gate.Learn.
type LearnToken struct{}

// Inspect means to ask the engine for its state and call Gate.Inspected.
type Inspect struct{}

// Quiesce means to let no new request reach the engine and, once none runs, to
// call Gate.Quieted.
type Quiesce struct{}

// Send means to send the order at once and to call Gate.Sent.
type Send struct{}

func (Refuse) decision()     {}
func (Answer) decision()     {}
func (LearnToken) decision() {}
func (Inspect) decision()    {}
func (Quiesce) decision()    {}
func (Send) decision()       {}

// ticket was issued to a holder with a token.
type ticket struct {
	id     string
	token  int64
	issued time.Time
}

// result is the recorded outcome of an order.
type result struct {
	id  string
	err *peridotverdict.Error
}

// Gate is the decision logic in front of one engine. It has no clock and does no
// I/O; it is not safe for concurrent use. Make one with NewGate.
type Gate struct {
	nonce   string
	started time.Time
	// token is the newest seen. It counts as known once it was read from the
	// lease row by this process: before, a newer one may have been forgotten.
	token  int64
	known  bool
	issued int
	// ticket is the last issued, the only one that counts: an order decided by an
	// older description comes too late.
	ticket  ticket
	results []result
	// pending is the order sent whose outcome is not known yet, or nil.
	pending *peridotwire.Order
	// waiting is set while the answer of pending has neither come nor failed;
	// since is when it failed.
	waiting bool
	since   time.Time
	// state is what the engine said last, but for while an order is pending: then
	// it is what the engine said before. inspected counts for one order.
	state     peridotbackend.State
	inspected bool
	// quiet is set once no request runs on the engine; it counts for one order.
	quiet bool
}

// NewGate returns the gate of a process that started at now. The nonce must
// differ at each start.
func NewGate(nonce string, now time.Time) *Gate {
	return &Gate{nonce: nonce, started: now}
}

// Token returns the newest fencing token seen.
func (g *Gate) Token() int64 {
	return g.token
}

// Pending returns the ID of the order whose outcome is not known, or "".
func (g *Gate) Pending() string {
	if g.pending == nil {
		return ""
	}
	return g.pending.ID
}

// Announce takes the token of a holder and returns a ticket for its orders, or
// "" when a newer token was seen.
func (g *Gate) Announce(token int64, now time.Time) string {
	if token <= 0 || token < g.token {
		return ""
	}
	g.token = token
	g.issued++
	g.ticket = ticket{id: g.nonce + "-" + strconv.Itoa(g.issued), token: token, issued: now}
	return g.ticket.id
}

// Learn takes the token of the lease row, read so that it cannot be stale.
func (g *Gate) Learn(token int64) {
	g.token = max(g.token, token)
	g.known = true
}

// Begin starts to deal with an order, by what the lease row and the engine say
// from now on.
func (g *Gate) Begin() {
	g.known = false
	g.inspected = false
	g.quiet = false
}

// Quieted takes that no request runs on the engine, nor will until the order has
// ended.
func (g *Gate) Quieted() {
	g.quiet = true
}

// Take decides what to do next about o. It is called again after each step until
// it returns Refuse or Answer; after Send the order counts as sent.
func (g *Gate) Take(o peridotwire.Order, now time.Time) Decision {
	if r, ok := g.result(o.ID); ok {
		return Answer{Err: r.err}
	}
	switch {
	case o.Token < g.token:
		return refuse(peridotverdict.StaleToken, "a newer holder has authority")
	case !g.known:
		return LearnToken{}
	case g.waiting:
		return g.busy(o, 0)
	case !g.inspected:
		return Inspect{}
	case g.pending != nil:
		return g.busy(o, g.since.Add(settleTime).Sub(now))
	case g.state.Changing:
		return g.busy(o, settleTime)
	case now.Before(g.started.Add(settleTime)):
		// An order of this process's predecessor may still reach the engine.
		return g.busy(o, g.started.Add(settleTime).Sub(now))
	}
	if err := g.late(o, now); err != nil {
		return Refuse{Err: err}
	}
	if !g.quiet {
		return Quiesce{}
	}
	g.token = o.Token
	g.pending = &o
	g.waiting = true
	return Send{}
}

// late reports why an order may no longer take effect, or nil.
func (g *Gate) late(o peridotwire.Order, now time.Time) *peridotverdict.Error {
	if g.ticket.id != o.Ticket || g.ticket.token != o.Token {
		return peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "not the newest ticket")
	}
	end := g.ticket.issued.Add(time.Duration(o.TimeoutMillis) * time.Millisecond)
	if !now.Before(end) {
		return peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "the sender's lease has ended")
	}
	return nil
}

// Sent takes the outcome of the order that was sent.
func (g *Gate) Sent(err error, now time.Time) {
	g.waiting = false
	g.since = now
	if peridotverdict.Of(err) == peridotverdict.MayHaveRun {
		return
	}
	g.settle(peridotverdict.As(err))
}

// Inspected takes what the engine says it runs and settles the order whose
// outcome was not known, where that tells.
func (g *Gate) Inspected(s peridotbackend.State, now time.Time) {
	g.inspected = true
	switch {
	case g.pending == nil:
		g.state = s
		g.recall(s.LastOrder)
	case g.waiting:
	case s.LastOrder == g.pending.ID:
		g.settle(nil)
		g.state = s
	case s.Changing:
		g.since = now
	case now.Before(g.since.Add(settleTime)):
	default:
		g.settle(undone(g.state, s))
		g.state = s
	}
}

// undone is the outcome of an order that did not take effect and will not.
func undone(before, after peridotbackend.State) *peridotverdict.Error {
	same := before.Model == after.Model && before.Version == after.Version && before.Role == after.Role
	if same && before.LastOrder == after.LastOrder {
		return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "the order had no effect")
	}
	return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the engine failed during the order")
}

// recall records an order that took effect before this process started.
func (g *Gate) recall(id string) {
	if _, ok := g.result(id); !ok && id != "" {
		g.record(id, nil)
	}
}

func (g *Gate) settle(err *peridotverdict.Error) {
	g.record(g.pending.ID, err)
	g.pending = nil
}

func (g *Gate) record(id string, err *peridotverdict.Error) {
	g.results = append(g.results, result{id: id, err: err})
	if len(g.results) > maxResults {
		g.results = g.results[1:]
	}
}

func (g *Gate) result(id string) (result, bool) {
	for _, r := range g.results {
		if r.id == id {
			return r, true
		}
	}
	return result{}, false
}

// busy refuses an order because another, or the same one, is under way.
func (g *Gate) busy(o peridotwire.Order, wait time.Duration) Decision {
	verdict := peridotverdict.NotRun
	if g.Pending() == o.ID {
		verdict = peridotverdict.MayHaveRun
	}
	return Refuse{Err: peridotverdict.New(peridotverdict.OrderBusy, verdict, "the engine is changing", peridotverdict.RetryAfter(max(wait, time.Second)))}
}

func refuse(code peridotverdict.Code, message string) Decision {
	return Refuse{Err: peridotverdict.New(code, peridotverdict.NotRun, message)}
}
