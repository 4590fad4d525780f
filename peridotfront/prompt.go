package peridotfront

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotclock"
	"peridotstack/peridotlink"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// prefillSlack is how much longer than expected a prefill may take before the
	// prompt is placed elsewhere, and prefillFactor multiplies what is expected.
	prefillSlack  = 400 * time.Millisecond
	prefillFactor = 3
	// maxHandleBytes bounds the answer to a prefill.
	maxHandleBytes = 64 << 10
	// freeTimeout bounds the call that frees KV cache which nobody will fetch.
	freeTimeout = 500 * time.Millisecond
	// waitShare is the part of the time left that a late request may be expected to
	// wait; the rest is for its answer and for errors of the estimate.
	waitShare = 0.5
	// latePrefillShare is the part of the time left that the prefill of a late
	// request may take.
	latePrefillShare = 0.7
	// onTimeMargin is what must be left of the objective, after the prompt has been
	// read, for the first token and its way to the caller.
	onTimeMargin = 25 * time.Millisecond
)

// servePrompt serves a request of a model engine.
func (x *exchange) servePrompt() {
	for {
		x.late = false // It may yet be on time elsewhere.
		choice, ok := x.place()
		if !ok {
			x.giveUp(peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no engine takes the request", peridotverdict.RetryAfter(noBackendRetry)))
			return
		}
		choice, err := x.admit(choice)
		if err != nil {
			x.refuse(err)
			return
		}
		if !x.may() {
			x.giveUp(x.last)
			return
		}
		var source *kvSource
		source, err = x.prefill(choice)
		if err == nil {
			err = x.generate(choice, source)
			if err == nil {
				return
			}
			x.failed(choice.Backend, err)
		} else {
			x.failed(choice.PrefillBackend, err)
		}
		if x.over() {
			x.giveUp(err)
			return
		}
	}
}

// place chooses the engines.
func (x *exchange) place() (peridotplace.Choice, bool) {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placer.Place(f.now(), peridotplace.Prompt{Service: x.service.Name, Parts: x.call.Parts, Tokens: x.promptTokens(), Exclude: x.tried, Late: x.late, SendTime: x.sendingTime()})
}

// sendingTime is how long this instance's link takes to send the body.
func (x *exchange) sendingTime() time.Duration {
	return time.Duration(float64(len(x.body)) / x.front.settings.LinkBytesPerSecond * float64(time.Second))
}

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

// admit decides how urgent a request is. What cannot have its first token in time
// because of those before it waits behind all that can, so that these stay on time
// under overload; what would then pass its deadline is refused at once, with the
// time by which it is late.
func (x *exchange) admit(c peridotplace.Choice) (peridotplace.Choice, *peridotverdict.Error) {
	x.note["uncached"] = c.UncachedTokens
	late := peridotclock.Boot().Sub(x.arrived) + c.Wait + onTimeMargin - x.route.Objective
	x.late = x.route.Objective > 0 && late > 0 && !x.begun
	if x.late {
		if behind, ok := x.place(); ok {
			c = behind
		}
	}
	x.note["wait_ms"] = c.Wait
	if x.late && x.sends == 0 && c.Wait > time.Duration(waitShare*float64(x.left())) {
		return c, peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "the answer would come after the deadline", peridotverdict.RetryAfter(late))
	}
	return c, nil
}

// prefill has the prompt read by the reader of a choice, if it has one, and
// returns the source of the KV cache.
func (x *exchange) prefill(c peridotplace.Choice) (source *kvSource, failure *peridotverdict.Error) {
	if c.PrefillBackend == "" {
		return nil, nil
	}
	f := x.front
	to, ok := f.backend(c.PrefillBackend)
	if !ok {
		return nil, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the engine is not registered any more")
	}
	f.mu.Lock()
	flight := f.placer.BeginPrefill(f.now(), c.PrefillBackend, x.call.Parts, c.UncachedTokens)
	if x.late {
		f.placer.Demote(flight)
	}
	f.mu.Unlock()
	x.note["reader"] = c.PrefillBackend
	x.sends++
	ctx, cancel := context.WithTimeout(x.ctx, x.prefillTimeout(c))
	defer cancel()
	began := peridotclock.Boot()
	handle, err := x.callPrefill(ctx, to)
	x.note["read_ms"] = peridotclock.Boot().Sub(began)
	if err != nil {
		f.done(flight, x.endOf(err))
		return nil, err
	}
	f.mu.Lock()
	f.placer.FinishPrefill(f.now(), flight)
	f.placer.Done(f.now(), flight, peridotplace.Answered)
	f.mu.Unlock()
	return &kvSource{from: to, handle: handle}, nil
}

// prefillTimeout is how long a prefill may take before the prompt is placed
// elsewhere.
func (x *exchange) prefillTimeout(c peridotplace.Choice) time.Duration {
	usual := prefillFactor*c.Wait + prefillSlack
	if x.late {
		return max(usual, time.Duration(latePrefillShare*float64(x.left())))
	}
	return usual
}

// urgency is that of a request whose prompt is still to be read.
func (x *exchange) urgency() Urgency {
	if x.late {
		return UrgencyLow
	}
	return UrgencyUsual
}

// kvSource is KV cache that a reader keeps until it is fetched or freed.
type kvSource struct {
	from   peridotsite.Backend
	handle string
}

// callPrefill returns the handle of the KV cache. A prefill never runs the
// request, so that every error is NotRun.
func (x *exchange) callPrefill(ctx context.Context, to peridotsite.Backend) (string, *peridotverdict.Error) {
	answer, head, err := x.send(ctx, to, Outgoing{Prefill: true, Urgency: x.urgency()})
	if err != nil {
		return "", peridotverdict.New(err.Code, peridotverdict.NotRun, "prefill: "+err.Message, peridotverdict.Cause(err))
	}
	body, readErr := answer.ReadAll(maxHandleBytes)
	if readErr != nil {
		return "", peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "prefill: the answer broke off", peridotverdict.Cause(readErr))
	}
	if answer.StatusCode != http.StatusOK {
		if head.NotRun {
			return "", turnedAway(head, answer.StatusCode)
		}
		return "", peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "prefill: engine answered "+strconv.Itoa(answer.StatusCode))
	}
	handle, decodeErr := x.front.protocol.Prefilled(body)
	if decodeErr != nil {
		return "", peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "prefill", peridotverdict.Cause(decodeErr))
	}
	return handle, nil
}

// free drops KV cache that nobody will fetch.
func (x *exchange) free(source *kvSource) {
	if source == nil {
		return
	}
	f := x.front
	method, path := f.protocol.FreeKV(source.handle)
	limit := f.connLimit(x.service)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		conn, err := f.pool.Get(ctx, source.from.Address, limit)
		if err != nil {
			f.metrics.Count("kv_free_failures")
			return
		}
		answer, err := conn.Do(ctx, peridotlink.Request{Method: method, Target: path, Host: source.from.Address, Header: http.Header{}})
		if err == nil {
			_, err = answer.ReadAll(maxHandleBytes)
		}
		if err != nil {
			f.metrics.Count("kv_free_failures")
		}
	}()
}

// generate has the answer generated and passes it on. It returns nil once the
// caller has got a whole answer.
func (x *exchange) generate(c peridotplace.Choice, source *kvSource) *peridotverdict.Error {
	f := x.front
	if !f.takes(c.Backend) {
		// The engine has left while the prompt was read at another.
		if other, found := x.place(); found {
			c.Backend = other.Backend
		}
	}
	to, ok := f.backend(c.Backend)
	if !ok || to.Leaving {
		x.free(source)
		return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the engine is not registered any more")
	}
	o := Outgoing{Urgency: x.urgency()}
	f.mu.Lock()
	var flight *peridotplace.Flight
	if source == nil {
		flight = f.placer.BeginPrefill(f.now(), c.Backend, x.call.Parts, c.UncachedTokens)
		x.sends++
	} else {
		flight = f.placer.BeginDecode(f.now(), c.Backend, x.call.Parts)
		o.KVSource = f.protocol.KVSource(source.from.Address, source.handle)
		o.Urgency = UrgencyHigh
	}
	if o.Urgency == UrgencyLow {
		f.placer.Demote(flight)
	}
	f.mu.Unlock()
	x.note["backend"] = c.Backend
	x.note["late"] = x.late
	s := &stream{exchange: x, flight: flight, wait: c.Wait}
	err := s.run(to, o)
	if err == nil && s.failed {
		f.done(flight, peridotplace.Failed)
		return nil
	}
	if err == nil {
		f.done(flight, peridotplace.Answered)
		x.log(log.DebugLevel, "answered", http.StatusOK)
		return nil
	}
	f.done(flight, x.endOf(err))
	if err.Verdict == peridotverdict.NotRun {
		x.free(source)
	}
	return err
}
