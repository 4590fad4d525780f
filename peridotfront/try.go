package peridotfront

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotlink"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// repeatMargin is the part of the fleet's budget of repeats that is used; the
	// rest covers fronts that have not heard of each other.
	repeatMargin = 0.8
	// connShare is the part of a backend server's connections that the fronts take
	// together.
	connShare = 0.8
	// minConns is the fewest connections to a backend server that a front may have.
	minConns = 4
	// minLeft is the least time that makes another try worthwhile.
	minLeft = 30 * time.Millisecond
)

// shareRepeats sets this front's share of the budget that all have in common.
func (f *Front) shareRepeats() {
	n := f.peers.size()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repeats.Slack = repeatMargin * f.settings.RepeatSlack / float64(n)
}

// send sends the request, or a call about it, to a backend server and returns
// the head of the answer. A connection that broke before a byte was sent is
// replaced. The error has the verdict NotRun if nothing was sent.
func (x *exchange) send(ctx context.Context, to peridotsite.Backend, o Outgoing) (*peridotlink.Answer, AnswerHead, *peridotverdict.Error) {
	f := x.front
	o.Backend, o.Account, o.LastEvent = to.ID, x.account, x.resumeAt()
	for {
		conn, err := f.pool.Get(ctx, to.Address, f.connLimit(x.service))
		if err != nil {
			return nil, AnswerHead{}, peridotverdict.As(err)
		}
		reused := conn.Reused()
		o.Left = x.left()
		answer, err := conn.Do(ctx, peridotlink.Request{
			Method: x.caller.Method, Target: x.caller.RequestURI, Host: x.caller.Host,
			Header: f.protocol.Head(x.caller.Header, o), Body: x.body,
		})
		if err != nil {
			failure := peridotverdict.As(err)
			if reused && failure.Verdict == peridotverdict.NotRun && ctx.Err() == nil {
				continue
			}
			return nil, AnswerHead{}, failure
		}
		head := f.protocol.Answer(answer.StatusCode, answer.Header)
		if head.ID != x.call.ID && (head.ID != "" || !head.NotRun && !o.Prefill) {
			answer.Abandon()
			return nil, AnswerHead{}, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer belongs to another request")
		}
		return answer, head, nil
	}
}

// turnedAway is the failure of a try that a backend server did not run. One whose
// address another server has taken over counts as lost.
func turnedAway(head AnswerHead, status int) *peridotverdict.Error {
	code := peridotverdict.Overloaded
	if head.Moved {
		code = peridotverdict.PeerLost
	}
	return peridotverdict.New(code, peridotverdict.NotRun, "backend server turned the request away with "+strconv.Itoa(status), peridotverdict.RetryAfter(noBackendRetry))
}

// connLimit is how many connections this front may have to one server.
func (f *Front) connLimit(s *peridotsite.Service) int {
	if s.MaxConns <= 0 {
		return 0
	}
	return max(minConns, int(connShare*float64(s.MaxConns))/f.peers.size())
}

// backend returns a registered backend server.
func (f *Front) backend(id string) (peridotsite.Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.backends.known[id]
	return b, ok
}

// takes reports whether a backend server may get requests now.
func (f *Front) takes(id string) bool {
	b, ok := f.backend(id)
	return ok && !b.Leaving
}

// may reports whether the request may be sent to another backend server. It
// counts the send against the fleet's budget.
func (x *exchange) may() bool {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.sends == 0 {
		f.repeats.RecordRequest(f.now(), x.service.Name)
		return true
	}
	if x.over() || x.left() < minLeft {
		return false
	}
	if x.begun && x.lastEvent == 0 {
		return false // There is no event behind which a run could go on.
	}
	if x.runs > 0 && (!x.route.Idempotent() || x.runs >= x.route.Attempts) {
		return false
	}
	if !f.repeats.AllowRepeat(f.now(), x.service.Name) {
		f.metrics.Count("repeats_over_budget")
		x.note["budget"] = "spent"
		return false
	}
	f.metrics.Retried(x.last.Code)
	return true
}

// failed notes a try that failed, and excludes its server.
func (x *exchange) failed(backend string, err *peridotverdict.Error) {
	x.last = err
	x.tried = append(x.tried, backend)
	log.WithFields(log.Fields{"request": x.call.ID, "backend": backend, "code": string(err.Code), "verdict": err.Verdict.String(), "cause": err.Error(), "sends": x.sends, "left_ms": x.left()}).Info(logPrefix + "try failed")
}

// endOf says how a flight ended by the error of its try.
func (x *exchange) endOf(err *peridotverdict.Error) peridotplace.End {
	switch {
	case x.callerLeft():
		return peridotplace.Left
	case err.Code == peridotverdict.PeerLost || err.Code == peridotverdict.ShortAnswer:
		return peridotplace.Lost
	case err.Verdict == peridotverdict.NotRun:
		return peridotplace.Refused
	}
	return peridotplace.Failed
}

// done ends a flight.
func (f *Front) done(flight *peridotplace.Flight, end peridotplace.End) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.Done(f.now(), flight, end)
}

// began counts a run of the request for its account.
func (x *exchange) began() {
	if x.account == "" {
		return
	}
	f := x.front
	at := f.trueTime()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tally.Add(x.account, at)
}
