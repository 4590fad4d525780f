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
	// maxAnswerBytes limits the answer of a plain service, which is buffered whole
	// before it is sent to the caller.
	maxAnswerBytes = 8 << 20
	// tryTimeoutShare is the fraction of the route's objective after which a safe
	// request is retried at another server.
	tryTimeoutShare = 0.8
)

// bufferedAnswer is an answer that has been read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain serves a request to a plain service.
func (x *exchange) servePlain() {
	f := x.front
	var errorAnswer *bufferedAnswer
	for {
		f.mu.Lock()
		id, ok := f.placer.PlacePlain(f.now(), x.service.Name, x.triedBackends)
		f.mu.Unlock()
		to, known := f.backend(id)
		if !ok || !known {
			x.finishPlain(errorAnswer, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server takes the request", peridotverdict.RetryAfter(x.untilAccepted())))
			return
		}
		if !x.allowTry() {
			x.finishPlain(errorAnswer, x.lastErr)
			return
		}
		answer, err := x.tryPlain(to)
		if err == nil {
			if answer.status < http.StatusInternalServerError {
				x.deliver(answer)
				return
			}
			errorAnswer = answer
			err = peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.Ran, "backend server answered "+strconv.Itoa(answer.status))
		}
		x.recordFailure(to.ID, err)
		if x.ended() {
			x.finishPlain(errorAnswer, err)
			return
		}
	}
}

// finishPlain sends errorAnswer, the last error answer of a backend server, to the
// caller. If it is nil or the caller has disconnected, finishPlain gives up with err.
func (x *exchange) finishPlain(errorAnswer *bufferedAnswer, err *peridotverdict.Error) {
	if errorAnswer != nil && !x.callerDisconnected() {
		x.deliver(errorAnswer)
		return
	}
	x.giveUp(err)
}

// tryPlain sends the request to one server and reads the whole answer. Its error
// has the verdict NotRun only if the request did not run there and never will.
func (x *exchange) tryPlain(to peridotsite.Backend) (*bufferedAnswer, *peridotverdict.Error) {
	f := x.front
	ctx, cancel := x.tryContext()
	defer cancel()
	f.mu.Lock()
	flight := f.placer.Begin(f.now(), to.ID)
	f.mu.Unlock()
	x.tries++
	x.logFields["backend"] = to.ID
	answer, head, err := x.send(ctx, to, RequestHead{})
	if err == nil && head.NotRun {
		answer.Abandon()
		err = rejectionError(head, answer.StatusCode)
	}
	if err != nil {
		if err.Verdict != peridotverdict.NotRun {
			x.runs++
			x.countRun()
		}
		f.endFlight(flight, x.failureOutcome(err))
		return nil, err
	}
	x.runs++
	x.countRun()
	body, readErr := answer.ReadAll(maxAnswerBytes)
	if readErr == nil && !head.Sealed && answer.StatusCode < http.StatusMultipleChoices {
		readErr = peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer bears no seal")
	}
	if readErr != nil {
		err := peridotverdict.As(readErr)
		f.endFlight(flight, x.failureOutcome(err))
		return nil, err
	}
	outcome := peridotplace.Answered
	if answer.StatusCode >= http.StatusInternalServerError {
		outcome = peridotplace.Failed
	}
	f.endFlight(flight, outcome)
	return &bufferedAnswer{status: answer.StatusCode, header: f.protocol.AnswerHeader(answer.Header), body: body}, nil
}

// tryContext returns the context of one try. It limits the try of a safe request
// that may be retried, to leave time for the retry.
func (x *exchange) tryContext() (context.Context, context.CancelFunc) {
	if x.route.Kind != peridotsite.Safe || x.runs+1 >= x.route.Attempts || x.route.Objective <= 0 {
		return context.WithCancel(x.ctx)
	}
	return context.WithTimeout(x.ctx, time.Duration(tryTimeoutShare*float64(x.route.Objective)))
}

// deliver sends a buffered answer to the caller.
func (x *exchange) deliver(a *bufferedAnswer) {
	h := x.writer.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if bodyAllowed(a.status) {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.writer.WriteHeader(a.status)
	x.answerStarted = true
	if len(a.body) > 0 && x.request.Method != http.MethodHead {
		if _, err := x.writer.Write(a.body); err != nil {
			x.logFields["write_error"] = err.Error()
		}
	}
	x.log(log.DebugLevel, "answered", a.status)
}

// bodyAllowed reports whether an answer with the given status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
