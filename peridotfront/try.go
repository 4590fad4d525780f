package peridotfront

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridotanswer"
	"peridotstack/peridotlink"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// retryBudgetShare is the fraction of the common retry budget that the fronts use.
	// The rest covers fronts that do not know each other yet.
	retryBudgetShare = 0.8
	// connLimitShare is the fraction of a backend server's connection limit that all
	// fronts together may use.
	connLimitShare = 0.8
	// minConns is the lower bound of a front's connection limit per backend server.
	minConns = 4
	// minRetryTime is the remaining time below which a request is not retried.
	minRetryTime = 30 * time.Millisecond
)

// updateRetryBudget sets this front's share of the slack in the common retry budget
// of all fronts.
func (f *Front) updateRetryBudget() {
	n := f.peers.frontCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget.Slack = retryBudgetShare * f.settings.RetrySlack / float64(n)
}

// send sends the request, or its prefill, to a backend server and returns the
// answer with its decoded head. If a reused connection breaks before a byte was
// sent, send uses another connection. The error has the verdict NotRun if nothing
// was sent.
func (x *exchange) send(ctx context.Context, to peridotsite.Backend, requestHead RequestHead) (*peridotlink.Answer, AnswerHead, *peridotverdict.Error) {
	f := x.front
	x.headReceived, x.runEvents = false, 0
	if err := x.refuseQuarantined(to); err != nil {
		return nil, AnswerHead{}, err
	}
	if err := x.refuseUnstored(to); err != nil {
		return nil, AnswerHead{}, err
	}
	requestHead.Backend, requestHead.Account, requestHead.LastEventID = to.ID, x.account, x.resumeEventID()
	for {
		conn, err := f.pool.Get(ctx, to.Address, f.connLimit(x.service))
		if err != nil {
			return nil, AnswerHead{}, peridotverdict.As(err)
		}
		reused := conn.Reused()
		x.dialedAt = conn.DialedAt().Sub(f.startedAt)
		requestHead.Timeout = x.remaining()
		sentAt := f.now()
		answer, err := conn.Do(ctx, peridotlink.Request{
			Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
			Header: f.protocol.RequestHeader(x.request.Header, requestHead), Body: x.body,
		})
		if err != nil {
			failure := peridotverdict.As(err)
			if reused && failure.Verdict == peridotverdict.NotRun && ctx.Err() == nil {
				continue
			}
			if failure.Verdict != peridotverdict.NotRun {
				x.recordCrossing(to)
			}
			return nil, AnswerHead{}, failure
		}
		x.recordCrossing(to)
		head := f.protocol.DecodeAnswer(answer.StatusCode, answer.Header)
		// An answer without an ID may be a late copy of an earlier one on a reused connection.
		mayLackID := !reused && (head.NotRun || requestHead.Prefill)
		if head.ID != x.call.ID && (head.ID != "" || !mayLackID) {
			answer.Abandon()
			return nil, AnswerHead{}, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer belongs to another request")
		}
		x.recordLeaving(to, head)
		x.recordHold(to, head)
		x.recordLimit(to, head, sentAt)
		x.headReceived = !head.NotRun
		x.logFields["unframed"] = answer.EndsWithConnection()
		return answer, head, nil
	}
}

// mayBeCut reports whether an answer that seems complete may be a part of one: its end is
// that of the connection, and the server may have ended, too.
func (x *exchange) mayBeCut(ctx context.Context, from peridotsite.Backend, answer *peridotlink.Answer) bool {
	if !answer.EndsWithConnection() {
		return false
	}
	proof := x.front.pool.ProveAlive(ctx, from.Address)
	x.logFields["server_alive"] = string(proof)
	return proof == peridotlink.Unproved
}

// rejectionError returns the error of a try that the backend server rejected without
// running it. Its code is PeerLost if the address now belongs to another backend
// server.
func rejectionError(head AnswerHead, status int) *peridotverdict.Error {
	code := peridotverdict.Overloaded
	if head.Misdirected {
		code = peridotverdict.PeerLost
	}
	return peridotverdict.New(code, peridotverdict.NotRun, "backend server turned the request away with "+strconv.Itoa(status), peridotverdict.RetryAfter(noBackendRetryAfter))
}

// connLimit returns the maximum number of connections from this front to one backend
// server of s; 0 means no limit.
func (f *Front) connLimit(s *peridotsite.Service) int {
	if s.MaxConns == 0 {
		return 0
	}
	return max(minConns, int(connLimitShare*float64(s.MaxConns))/f.peers.frontCount())
}

// backend returns the known backend server with the given ID.
func (f *Front) backend(id string) (peridotsite.Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.backends.byID[id]
	return b, ok
}

// serverOf returns the known backend server with the given ID if it belongs to the service of the
// request: it may have started again in another one since it was chosen.
func (x *exchange) serverOf(id string) (peridotsite.Backend, bool) {
	b, ok := x.front.backend(id)
	return b, ok && b.Service == x.service.Name
}

// acceptsRequests reports whether a backend server is known and neither leaving nor
// held.
func (f *Front) acceptsRequests(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placer.Accepts(f.now(), id)
}

// canRun reports whether the route permits another run after the given number of runs.
func (x *exchange) canRun(runs int) bool {
	return runs == 0 || x.route.Idempotent() && runs < x.route.Attempts
}

// canRetry reports whether enough time remains for a retry, the answer can be continued
// and the route permits another run.
func (x *exchange) canRetry() bool {
	return !x.ended() && x.remainingWait() >= minRetryTime && x.resumable() && x.canRun(x.runs)
}

// repeatsOf returns the number of requests at backend servers that a further try with c
// adds. A prefill counts only if one has been accepted before.
func (x *exchange) repeatsOf(c peridotplace.Choice) int {
	if c.PrefillBackend != "" && x.prefillAccepted {
		return 2
	}
	return 1
}

// allowTry reports whether the request may be sent to a backend server now, where it adds
// the given number of requests if it is a retry. It always allows the first try. It allows
// a retry only if canRetry does and the retry budget is not exhausted, and counts the
// retry against the budget, but for the requests that were reserved.
func (x *exchange) allowTry(repeats int) bool {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.tries == 0 {
		f.retryBudget.RecordRequest(f.now(), x.service.Name)
		return true
	}
	if !x.canRetry() {
		return false
	}
	repeats -= x.reservedRepeats
	if repeats > 0 && !f.retryBudget.AllowRepeats(f.now(), x.service.Name, repeats) {
		if !x.budgetSpent {
			f.metrics.Count("repeats_over_budget")
		}
		x.budgetSpent = true
		x.logFields["budget"] = "spent"
		return false
	}
	x.reservedRepeats = 0
	f.metrics.CountRetry(x.lastErr.Code)
	return true
}

// recordFailure records and logs a failed try and excludes its backend server from
// further tries.
func (x *exchange) recordFailure(backend string, err *peridotverdict.Error) {
	x.lastErr = err
	var malformed *peridotanswer.HeadError
	switch {
	case errors.Is(err, peridotlink.ErrTooLong):
		x.front.metrics.Count("answers_too_long")
	case errors.As(err, &malformed):
		x.front.metrics.Count("answers_malformed")
	}
	x.triedBackends = append(x.triedBackends, backend)
	to, _ := x.front.backend(backend)
	fields := log.Fields{"request": x.call.ID, "backend": backend, "software": to.SoftwareVersion, "last_event": x.lastEventID, "code": string(err.Code), "verdict": err.Verdict.String(), "cause": err.Error(), "sends": x.tries, "left_ms": x.remaining(), "head": x.headReceived, "run_events": x.runEvents, "identity": x.identity}
	if len(x.call.PromptParts) > 0 {
		fields["parts"] = x.call.PromptParts
	}
	if err.Verdict == peridotverdict.NotRun && err.Code == peridotverdict.Overloaded {
		x.refusedBackends = append(x.refusedBackends, backend)
	}
	if x.silentFor > 0 || err.Verdict != peridotverdict.NotRun {
		x.gaveUpTry = x.silentFor > 0
	}
	if x.silentFor > 0 {
		x.silentBackends = append(x.silentBackends, backend)
		fields["silent_ms"], x.logFields["silent_ms"] = x.silentFor, x.silentFor
		x.silentFor = 0 // The next failure may come before its try begins.
	}
	log.WithFields(fields).Info(logPrefix + "try failed")
}

// readmitSilent lets the backend servers be tried again that were given up because they
// were silent. It reports whether there are any.
func (x *exchange) readmitSilent() bool {
	if len(x.silentBackends) == 0 {
		return false
	}
	x.triedBackends = slices.DeleteFunc(x.triedBackends, func(id string) bool { return slices.Contains(x.silentBackends, id) })
	x.silentBackends = nil
	return true
}

// readmitRefused lets the backend servers be tried again that were full, once the placer
// considers them usable again.
func (x *exchange) readmitRefused() {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	x.refusedBackends = slices.DeleteFunc(x.refusedBackends, func(id string) bool {
		if !f.placer.Usable(now, id) {
			return false
		}
		x.triedBackends = slices.DeleteFunc(x.triedBackends, func(tried string) bool { return tried == id })
		return true
	})
}

// withServers calls place with the backend servers that must not be chosen, and returns
// its result. A request that must not run twice goes to a failing server only if place
// finds no other. The caller must hold Front.mu.
func (x *exchange) withServers(place func(exclude []string) bool) bool {
	if !x.route.Idempotent() {
		failing := x.front.placer.Failing(x.service.Name)
		if len(failing) > 0 && place(append(failing, x.excludedBackends()...)) {
			return true
		}
	}
	return place(x.excludedBackends())
}

// failureOutcome returns the outcome of a try that failed with err.
func (x *exchange) failureOutcome(err *peridotverdict.Error) peridotplace.Outcome {
	switch {
	case x.callerDisconnected() || err.Code == peridotverdict.Canceled || err.Code == peridotverdict.StoreUnavailable: // No fault of the server.
		return peridotplace.Canceled
	case err.Code == peridotverdict.PeerLost || err.Code == peridotverdict.ShortAnswer:
		return peridotplace.Unavailable
	case err.Verdict == peridotverdict.NotRun:
		return peridotplace.Refused
	}
	return peridotplace.Failed
}

// beginPrefill reports to the placer that the request is sent to a server of c, which reads
// its prompt if it is an engine.
func (x *exchange) beginPrefill(backend string, c peridotplace.Choice) *peridotplace.Flight {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	flight := f.placer.BeginPrefill(f.now(), backend, x.call.Parts, c.UncachedTokens)
	if c.FetchBackend != "" {
		flight.Fetches()
	}
	if x.late {
		f.placer.Demote(flight)
	}
	if x.interactive {
		flight.SetInteractive()
	}
	return flight
}

// beginDecode reports to the placer that the request is sent to an engine, which fetches
// the KV cache of the prompt.
func (x *exchange) beginDecode(backend string) *peridotplace.Flight {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	flight := f.placer.BeginDecode(f.now(), backend, x.call.Parts)
	if x.interactive {
		flight.SetInteractive()
	}
	return flight
}

// endPrefill reports to the placer that an engine has run a prefill.
func (f *Front) endPrefill(flight *peridotplace.Flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.FinishPrefill(f.now(), flight)
	f.placer.Done(f.now(), flight, peridotplace.Answered)
}

// endFlight reports the end of a flight to the placer.
func (f *Front) endFlight(flight *peridotplace.Flight, outcome peridotplace.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.Done(f.now(), flight, outcome)
}

// countRun counts a run of the request in the usage of its client account.
func (x *exchange) countRun() {
	if x.account == "" {
		return
	}
	f := x.front
	at := f.trueTime()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tally.Add(x.account, at)
}
