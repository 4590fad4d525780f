package peridotfront

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// maxAnswerBytes bounds the answer of a plain service, which is kept whole
	// before it is passed on.
	maxAnswerBytes = 8 << 20
	// tryShare is the part of the route's objective after which a safe request is
	// sent to another server.
	tryShare = 0.8
)

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain serves a request of a plain service.
func (x *exchange) servePlain() {
	f := x.front
	var best *wholeAnswer
	for {
		f.mu.Lock()
		id, ok := f.placer.PlacePlain(f.now(), x.service.Name, x.tried)
		f.mu.Unlock()
		to, known := f.backend(id)
		if !ok || !known {
			x.finishPlain(best, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server takes the request", peridotverdict.RetryAfter(noBackendRetry)))
			return
		}
		if !x.may() {
			x.finishPlain(best, x.last)
			return
		}
		answer, err := x.tryPlain(to)
		if err == nil {
			if answer.status < http.StatusInternalServerError {
				x.deliver(answer)
				return
			}
			best = answer
			err = peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.Ran, "backend server answered "+strconv.Itoa(answer.status))
		}
		x.failed(to.ID, err)
		if x.over() {
			x.finishPlain(best, err)
			return
		}
	}
}

// finishPlain passes on a backend server's own failure if there is one, or gives
// up.
func (x *exchange) finishPlain(best *wholeAnswer, err *peridotverdict.Error) {
	if best != nil && !x.callerLeft() {
		x.deliver(best)
		return
	}
	x.giveUp(err)
}

// tryPlain sends the request to one server and reads the whole answer. Its error
// is NotRun only if the request did not run there and never will.
func (x *exchange) tryPlain(to peridotsite.Backend) (*wholeAnswer, *peridotverdict.Error) {
	f := x.front
	ctx, cancel := x.tryContext()
	defer cancel()
	f.mu.Lock()
	flight := f.placer.Begin(f.now(), to.ID)
	f.mu.Unlock()
	x.sends++
	x.note["backend"] = to.ID
	answer, head, err := x.send(ctx, to, Outgoing{})
	if err == nil && head.NotRun {
		answer.Abandon()
		err = turnedAway(head, answer.StatusCode)
	}
	if err != nil {
		if err.Verdict != peridotverdict.NotRun {
			x.runs++
			x.began()
		}
		f.done(flight, x.endOf(err))
		return nil, err
	}
	x.runs++
	x.began()
	body, readErr := answer.ReadAll(maxAnswerBytes)
	if readErr == nil && !head.Sealed && answer.StatusCode < http.StatusMultipleChoices {
		readErr = peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer bears no seal")
	}
	if readErr != nil {
		err := peridotverdict.As(readErr)
		f.done(flight, x.endOf(err))
		return nil, err
	}
	end := peridotplace.Answered
	if answer.StatusCode >= http.StatusInternalServerError {
		end = peridotplace.Failed
	}
	f.done(flight, end)
	return &wholeAnswer{status: answer.StatusCode, header: f.protocol.Return(answer.Header), body: body}, nil
}

// tryContext bounds a try of a safe request, so that time for another is left.
func (x *exchange) tryContext() (context.Context, context.CancelFunc) {
	if x.route.Kind != peridotsite.Safe || x.runs+1 >= x.route.Attempts || x.route.Objective <= 0 {
		return context.WithCancel(x.ctx)
	}
	return context.WithTimeout(x.ctx, time.Duration(tryShare*float64(x.route.Objective)))
}

// deliver passes a whole answer on.
func (x *exchange) deliver(a *wholeAnswer) {
	h := x.writer.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if bodyAllowed(a.status) {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.writer.WriteHeader(a.status)
	x.begun = true
	if len(a.body) > 0 && x.caller.Method != http.MethodHead {
		if _, err := x.writer.Write(a.body); err != nil {
			x.note["write_error"] = err.Error()
		}
	}
	x.log(log.DebugLevel, "answered", a.status)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
