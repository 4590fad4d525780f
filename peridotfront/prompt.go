package peridotfront

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotclock"
	"peridotstack/peridotlink"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
)

const (
	// A prefill that takes longer than prefillTimeoutFactor times the expected time
	// plus prefillTimeoutSlack is canceled if the prompt can be placed elsewhere.
	prefillTimeoutSlack  = 400 * time.Millisecond
	prefillTimeoutFactor = 3
	// maxHandleBytes limits the size of the answer to a prefill.
	maxHandleBytes = 64 << 10
	// kvFreeTimeout limits the call that frees a KV cache that no engine will fetch.
	kvFreeTimeout = 500 * time.Millisecond
	// maxLateWaitShare is the longest time for which a late request is expected to wait for
	// other work, as a fraction of the time left until its caller abandons it, without the
	// prefill itself. The rest is for the answer and for errors of the estimate.
	maxLateWaitShare = 0.7
	// latePrefillShare is the minimum prefill timeout of a late request as a fraction
	// of the time left until its caller abandons it.
	latePrefillShare = 0.7
	// onTimeMargin is the part of the objective reserved, after the prefill, to
	// generate the first token and send it to the caller.
	onTimeMargin = 25 * time.Millisecond
)

// servePrompt serves a request to a model engine.
func (x *exchange) servePrompt() {
	if err := x.findSoftware(); err != nil {
		x.giveUp(err)
		return
	}
	for {
		choice, ok := x.nextEngines()
		if !ok {
			return
		}
		err := x.tryPrompt(choice)
		if err == nil {
			return
		}
		if x.ended() {
			x.giveUp(err)
			return
		}
	}
}

// nextEngines returns the engines for the next try once it may begin. If the request is
// not tried again, it answers the caller and returns false.
func (x *exchange) nextEngines() (peridotplace.Choice, bool) {
	for {
		if err := x.checkQuarantine(); err != nil {
			x.giveUp(err)
			return peridotplace.Choice{}, false
		}
		x.late = false // Another engine may still meet the objective.
		choice, ok := x.placePrompt(x.software)
		if !ok && x.readmitSilent() {
			choice, ok = x.placePrompt(x.software)
		}
		if !ok && x.awaitRetry() {
			x.readmitRefused()
			continue
		}
		if !ok {
			x.countNoServer()
			x.giveUp(peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no engine takes the request", peridotverdict.RetryAfter(x.untilAccepted())))
			return choice, false
		}
		choice, err := x.admit(choice)
		if err != nil {
			x.refuse(err)
			return choice, false
		}
		claimed, placeAgain := x.claimTry(choice)
		if claimed {
			return choice, true
		}
		if !placeAgain && !x.awaitRetry() {
			x.giveUp(x.lastErr)
			return choice, false
		}
	}
}

// claimTry counts a try with c against the limits of its engines and the retry budget. It
// returns false if one of them does not allow it; another choice may be allowed at once
// if placeAgain is set.
func (x *exchange) claimTry(c peridotplace.Choice) (claimed, placeAgain bool) {
	if !x.reserve(c) {
		return false, true // Another request has taken the place.
	}
	repeats := x.repeatsOf(c)
	if x.allowTry(repeats) {
		return true, false
	}
	x.release(c)
	if repeats > 1 {
		x.singleEngine = true // It adds one repeat only.
		return false, true
	}
	return false, false
}

// tryPrompt makes the engines of c run the prefill and generate the answer. It returns
// nil once the caller has received a complete answer.
func (x *exchange) tryPrompt(c peridotplace.Choice) *peridotverdict.Error {
	source, err := x.prefill(c)
	if err != nil {
		x.recordFailure(c.PrefillBackend, err)
		return err
	}
	c = x.replaceLeft(c, source)
	if err = x.generate(c, source); err != nil {
		x.recordFailure(c.Backend, err)
	}
	return err
}

// awaitRetry waits for a short time until a started answer may go on at some engine. It
// returns false if it cannot go on anywhere, or if the last run was not given up by this
// instance: after a run that its engine broke off, the caller can resume the stream
// sooner itself.
func (x *exchange) awaitRetry() bool {
	if !x.gaveUpTry || !x.answerStarted || !x.canRetry() || !x.hasEngine() {
		return false
	}
	x.reservedRepeats = 0 // They were counted in a window that may pass before it is sent.
	peridotwait.Sleep(x.ctx, stallCheckInterval)
	return true
}

// hasEngine reports whether an engine is registered that could go on with the answer
// sooner or later.
func (x *exchange) hasEngine() bool {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	excluded := slices.DeleteFunc(slices.Clone(x.excludedBackends()), func(id string) bool { return slices.Contains(x.refusedBackends, id) })
	return f.placer.HasRegistered(peridotplace.Alternative{Service: x.service.Name, SoftwareVersion: x.software, Generates: true, Exclude: excluded})
}

// placePrompt chooses the engines for the prompt, of the given software version unless
// it is empty. It returns false if no engine accepts requests.
func (x *exchange) placePrompt(software string) (choice peridotplace.Choice, ok bool) {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	prompt := peridotplace.Prompt{Service: x.service.Name, Parts: x.call.Parts, Tokens: x.promptTokens(), SoftwareVersion: software, Single: x.singleEngine, Late: x.late, SendTime: x.sendTime()}
	x.withServers(func(exclude []string) bool {
		prompt.Exclude = exclude
		choice, ok = f.placer.Place(f.now(), prompt)
		return ok
	})
	return choice, ok
}

// sendTime returns the time that the network link of this instance takes to send
// the body.
func (x *exchange) sendTime() time.Duration {
	return time.Duration(float64(len(x.body)) / x.front.settings.LinkBytesPerSecond * float64(time.Second))
}

// promptTokens returns the number of prompt tokens that the caller states, or the
// sum over the parts of the prompt if it states none.
func (x *exchange) promptTokens() int {
	if x.call.PromptTokens > 0 {
		return x.call.PromptTokens
	}
	tokens := 0
	for _, part := range x.call.Parts {
		tokens += part.Tokens
	}
	return tokens
}

// admit decides the urgency of a request and returns the choice to use for it. A
// request is late if the requests queued before it keep its first token from arriving
// within the objective. Late requests are queued behind all others, so that the
// others still meet their objective under overload. If the caller of a late request that
// has not run is expected to leave before the first event, admit refuses it immediately.
// The Retry-After of the refusal is the time by which the request would miss the
// objective. A resumed stream has fewer engines to choose from and is refused only if
// the wait alone exceeds its deadline.
func (x *exchange) admit(c peridotplace.Choice) (peridotplace.Choice, *peridotverdict.Error) {
	x.logFields["uncached"] = c.UncachedTokens
	lateBy := peridotclock.BootTime().Sub(x.arrivedAt) + c.Wait + onTimeMargin - x.route.Objective
	x.late = x.route.Objective > 0 && lateBy > 0 && !x.answerStarted
	if x.late {
		if lateChoice, ok := x.placePrompt(x.software); ok {
			c = lateChoice
		}
	}
	x.logFields["wait_ms"] = c.Wait
	maxQueueing := time.Duration(maxLateWaitShare * float64(x.remainingWait()-c.PrefillTime))
	if x.resumesStream() {
		maxQueueing = x.remainingWait() - c.PrefillTime
	}
	if x.late && x.runs == 0 && c.Wait-c.PrefillTime > maxQueueing {
		return c, peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "the answer would come after the deadline", peridotverdict.RetryAfter(lateBy))
	}
	return c, nil
}

// prefill makes the prefill engine of c run the prefill and returns the source of the
// KV cache. It returns nil if c has no separate prefill engine.
func (x *exchange) prefill(c peridotplace.Choice) (source *kvSource, failure *peridotverdict.Error) {
	if c.PrefillBackend == "" {
		return nil, nil
	}
	f := x.front
	to, ok := f.backend(c.PrefillBackend)
	if !ok {
		return nil, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the engine is not registered any more")
	}
	flight := x.beginPrefill(c.PrefillBackend, c)
	x.logFields["reader"] = c.PrefillBackend
	x.tries++
	ctx, watch := x.watchStall(stallPrefill, to)
	defer watch.stop()
	if x.canRun(x.runs) {
		watch.start(x.prefillTimeout(c))
	}
	start := peridotclock.BootTime()
	handle, err := x.callPrefill(ctx, to, x.kvFetch(c))
	x.logFields["read_ms"] = peridotclock.BootTime().Sub(start)
	if err != nil {
		f.endFlight(flight, x.failureOutcome(err))
		return nil, err
	}
	f.endPrefill(flight)
	return &kvSource{backend: to, handle: handle}, nil
}

// prefillTimeout returns how long the prefill of c may take before it is canceled
// if the prompt can be placed elsewhere. An engine of unknown speed may be sound although
// it takes many times as long.
func (x *exchange) prefillTimeout(c peridotplace.Choice) time.Duration {
	timeout := prefillTimeoutFactor*c.Wait + prefillTimeoutSlack + c.SlowestPrefillTime - c.PrefillTime
	if x.late {
		return max(timeout, time.Duration(latePrefillShare*float64(x.remainingWait())))
	}
	return timeout
}

// urgency returns the urgency of a request whose prefill has not run yet.
func (x *exchange) urgency() Urgency {
	if x.late {
		return UrgencyLow
	}
	return UrgencyNormal
}

// kvSource identifies a KV cache that a prefill engine keeps until the cache is
// fetched or freed.
type kvSource struct {
	backend peridotsite.Backend
	handle  string
}

// kvFetch returns the name under which the engine that does the prefill of c fetches a
// prefix of the prompt, or empty if it fetches none.
func (x *exchange) kvFetch(c peridotplace.Choice) string {
	from, ok := x.front.backend(c.FetchBackend)
	if !ok {
		return ""
	}
	x.logFields["fetch_from"] = from.ID
	return x.front.protocol.KVFetch(from.Address)
}

// callPrefill sends a prefill to an engine, which fetches a prefix of the prompt from the
// one that kvFetch names, and returns the handle of the KV cache. A prefill never runs the
// request, so every error has the verdict NotRun.
func (x *exchange) callPrefill(ctx context.Context, to peridotsite.Backend, kvFetch string) (string, *peridotverdict.Error) {
	answer, head, err := x.send(ctx, to, RequestHead{Prefill: true, KVFetch: kvFetch, Urgency: x.urgency()})
	isRejected := err == nil && head.NotRun || err != nil && err.Verdict == peridotverdict.NotRun
	x.prefillAccepted = x.prefillAccepted || !isRejected
	if err != nil {
		if !isRejected {
			x.recordPrefillBreak(ctx, to, err)
		}
		return "", peridotverdict.New(err.Code, peridotverdict.NotRun, "prefill: "+err.Message, peridotverdict.Cause(err))
	}
	body, readErr := answer.ReadAll(maxHandleBytes)
	if readErr != nil {
		x.recordPrefillBreak(ctx, to, peridotverdict.As(readErr))
		return "", peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "prefill: the answer broke off", peridotverdict.Cause(readErr))
	}
	if answer.StatusCode != http.StatusOK {
		if head.NotRun {
			return "", rejectionError(head, answer.StatusCode)
		}
		return "", peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "prefill: engine answered "+strconv.Itoa(answer.StatusCode))
	}
	handle, decodeErr := x.front.protocol.DecodePrefill(body)
	if decodeErr != nil {
		return "", peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "prefill", peridotverdict.Cause(decodeErr))
	}
	return handle, nil
}

// freeKV frees, in the background, a KV cache that no engine will fetch. It does
// nothing if source is nil.
func (x *exchange) freeKV(source *kvSource) {
	if source == nil {
		return
	}
	f := x.front
	method, path := f.protocol.FreeKV(source.handle)
	limit := f.connLimit(x.service)
	f.mu.Lock()
	f.placer.CountRequest(f.now(), source.backend.ID)
	f.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), kvFreeTimeout)
		defer cancel()
		conn, err := f.pool.Get(ctx, source.backend.Address, limit)
		if err != nil {
			f.metrics.Count("kv_free_failures")
			return
		}
		answer, err := conn.Do(ctx, peridotlink.Request{Method: method, Target: path, Host: source.backend.Address, Header: http.Header{}})
		if err == nil {
			_, err = answer.ReadAll(maxHandleBytes)
		}
		if err != nil {
			f.metrics.Count("kv_free_failures")
		}
	}()
}

// replaceLeft returns c with another engine to generate the answer if that of c left or
// was held while another one was running the prefill.
func (x *exchange) replaceLeft(c peridotplace.Choice, source *kvSource) peridotplace.Choice {
	if x.front.acceptsRequests(c.Backend) {
		return c
	}
	software := x.software
	if source != nil {
		software = source.backend.SoftwareVersion
	}
	if other, found := x.placePrompt(software); found && x.reserve(peridotplace.Choice{Backend: other.Backend}) {
		c.Backend = other.Backend
	}
	return c
}

// generate makes an engine generate the answer and forwards it to the caller. It
// returns nil once the caller has received a complete answer.
func (x *exchange) generate(c peridotplace.Choice, source *kvSource) *peridotverdict.Error {
	f := x.front
	to, ok := f.backend(c.Backend)
	if !ok || !f.acceptsRequests(c.Backend) {
		x.freeKV(source)
		return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the engine takes no requests any more")
	}
	if !x.softwareFits(to, source) {
		x.freeKV(source)
		return softwareChangedError(to)
	}
	requestHead := RequestHead{Urgency: x.urgency()}
	var flight *peridotplace.Flight
	if source == nil {
		flight = x.beginPrefill(c.Backend, c)
		requestHead.KVFetch = x.kvFetch(c)
		x.tries++
	} else {
		flight = x.beginDecode(c.Backend)
		requestHead.KVSource = f.protocol.KVSource(source.backend.Address, source.handle)
		requestHead.Urgency = UrgencyHigh
	}
	x.logFields["backend"] = c.Backend
	x.logFields["software"] = to.SoftwareVersion
	x.logFields["late"] = x.late
	s := &stream{exchange: x, flight: flight, expectedWait: c.Wait, tolerance: c.SlowestPrefillTime - c.PrefillTime, software: to.SoftwareVersion}
	err := s.run(to, requestHead)
	if err == nil && s.failureForwarded {
		f.endFlight(flight, peridotplace.Failed)
		return nil
	}
	if err == nil {
		f.endFlight(flight, peridotplace.Answered)
		f.endOrigin(x.streamID())
		x.log(log.DebugLevel, "answered", http.StatusOK)
		return nil
	}
	f.endFlight(flight, x.failureOutcome(err))
	if err.Verdict == peridotverdict.NotRun {
		x.freeKV(source)
	}
	return err
}
