package peridotfront

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"peridotstack/peridotclock"
	"peridotstack/peridotlink"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
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
	// latePrefillShare is the minimum prefill timeout of a late request as a fraction
	// of the time left until its caller abandons it.
	latePrefillShare = 0.7
)

// tryStream makes the servers of c run the prefill and generate the answer. It returns
// nil once the caller has received a complete answer.
func (x *exchange) tryStream(c peridotplace.Choice) *peridotverdict.Error {
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

// prefill makes the prefill engine of c run the prefill and returns the source of the
// KV cache. It returns nil if c has no separate prefill engine.
func (x *exchange) prefill(c peridotplace.Choice) (source *kvSource, failure *peridotverdict.Error) {
	if c.PrefillBackend == "" {
		return nil, nil
	}
	f := x.front
	to, ok := x.serverOf(c.PrefillBackend)
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
	handle, err := x.callPrefill(ctx, to, x.kvFetch(c, to))
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
	switch {
	case x.interactive:
		return UrgencyInteractive
	case x.late:
		return UrgencyLow
	}
	return UrgencyNormal
}

// decodeUrgency returns the urgency of a request whose prefill has run on another engine.
func (x *exchange) decodeUrgency() Urgency {
	if x.interactive {
		return UrgencyInteractive
	}
	return UrgencyHigh
}

// kvSource identifies a KV cache that a prefill engine keeps until the cache is
// fetched or freed.
type kvSource struct {
	backend peridotsite.Backend
	handle  string
}

// kvFetch returns the name under which to, which does the prefill of c, fetches a prefix of the
// prompt, or empty if it fetches none. The name is an address, which another engine may have now.
func (x *exchange) kvFetch(c peridotplace.Choice, to peridotsite.Backend) string {
	from, ok := x.front.backend(c.FetchBackend)
	if !ok || !x.front.isOnlySoftwareAt(from.Address, softwareOfServer(to)) {
		return ""
	}
	x.logFields["fetch_from"] = from.ID
	return x.front.protocol.KVFetch(from.Address)
}

// isOnlySoftwareAt reports whether all known backend servers with an address have the given
// software version. It doesn't ask which of them started last: each has the clock of its machine.
func (f *Front) isOnlySoftwareAt(address string, software serviceSoftware) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.backends.registeredAt(address), func(s peridotsite.Backend) bool { return softwareOfServer(s) != software })
}

// hasSuccessor reports whether another backend server, or another lifetime of this one, that may
// have started later is registered at the address of s. One that started before has ended: s has
// answered there.
func (f *Front) hasSuccessor(s peridotsite.Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.backends.registeredAt(s.Address), func(other peridotsite.Backend) bool {
		isSame := other.ID == s.ID && (other.Born == s.Born || other.Born == 0)
		return !isSame && (other.Born >= s.Born || other.Born == 0)
	})
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
// nothing if source is nil, or if its handle may name another KV cache now.
func (x *exchange) freeKV(source *kvSource) {
	f := x.front
	if source == nil || f.hasSuccessor(source.backend) {
		return
	}
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
	if other, found := x.place(software); found && x.reserve(peridotplace.Choice{Backend: other.Backend}) {
		c.Backend = other.Backend
	}
	return c
}

// generate makes a server generate the answer and forwards it to the caller. It
// returns nil once the caller has received a complete answer.
func (x *exchange) generate(c peridotplace.Choice, source *kvSource) *peridotverdict.Error {
	f := x.front
	to, ok := x.serverOf(c.Backend)
	if !ok || !f.acceptsRequests(c.Backend) {
		x.freeKV(source)
		return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the server takes no requests any more")
	}
	if x.answerStarted && f.isReplaced(x.lastServer) {
		x.freeKV(source)
		return replacedError(peridotverdict.NoBackend, peridotverdict.NotRun)
	}
	if !x.softwareFits(to, source) {
		x.freeKV(source)
		return softwareChangedError(to)
	}
	requestHead := RequestHead{Urgency: x.urgency()}
	var flight *peridotplace.Flight
	if source == nil {
		flight = x.beginPrefill(c.Backend, c)
		requestHead.KVFetch = x.kvFetch(c, to)
		x.tries++
	} else {
		flight = x.beginDecode(c.Backend)
		requestHead.KVSource = f.protocol.KVSource(source.backend.Address, source.handle)
		requestHead.Urgency = x.decodeUrgency()
	}
	x.logFields["backend"] = c.Backend
	x.logFields["software"] = to.SoftwareVersion
	x.logFields["late"] = x.late
	x.logFields["urgency"] = requestHead.Urgency.String()
	s := &stream{exchange: x, flight: flight, expectedWait: c.Wait, tolerance: c.SlowestPrefillTime - c.PrefillTime, server: to}
	err := s.run(to, requestHead)
	if err == nil {
		f.endFlight(flight, s.outcome)
		for _, id := range x.streamIDs() {
			f.endOrigin(id)
		}
		return nil
	}
	f.endFlight(flight, x.failureOutcome(err))
	if err.Verdict == peridotverdict.NotRun {
		x.freeKV(source)
	}
	return err
}
