package peridotfront

import (
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
	// request is retried if another server can take it.
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
		if err := x.checkQuarantine(); err != nil {
			x.finishPlain(errorAnswer, err)
			return
		}
		id, ok := x.placePlain()
		if !ok && x.readmitSilent() {
			id, ok = x.placePlain()
		}
		to, known := f.backend(id)
		if !ok || !known {
			x.finishPlain(errorAnswer, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server takes the request", peridotverdict.RetryAfter(x.untilAccepted())))
			return
		}
		choice := peridotplace.Choice{Backend: id}
		if !x.reserve(choice) {
			continue
		}
		if !x.allowTry(1) {
			x.release(choice)
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

// placePlain chooses the server for a request to a plain service. It returns false if
// no server accepts requests.
func (x *exchange) placePlain() (id string, ok bool) {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	x.withServers(func(exclude []string) bool {
		id, ok = f.placer.PlacePlain(f.now(), x.service.Name, exclude)
		return ok
	})
	return id, ok
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
	ctx, watch := x.watchStall(stallPlain, to)
	defer watch.stop()
	if limit := x.tryTimeout(); limit > 0 {
		watch.start(limit)
	}
	flight := f.beginFlight(to.ID)
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
			x.recordBreak(ctx, to, err, x.suspects)
		}
		f.endFlight(flight, x.failureOutcome(err))
		return nil, err
	}
	x.runs++
	x.countRun()
	body, readErr := answer.ReadAll(maxAnswerBytes)
	if readErr == nil && f.mayBeCut(ctx, to, answer) {
		readErr = peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the server ended with the answer")
	}
	if readErr == nil {
		f.quarantine.recordBegun(x.suspects, softwareOf(to))
	}
	if readErr != nil {
		x.recordBreak(ctx, to, peridotverdict.As(readErr), x.suspects)
	}
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

// tryTimeout returns the limit of one try of a safe request that may be retried, which
// leaves time for the retry. It returns 0 for other requests.
func (x *exchange) tryTimeout() time.Duration {
	if x.route.Kind != peridotsite.Safe || !x.canRun(x.runs+1) {
		return 0
	}
	return time.Duration(tryTimeoutShare * float64(x.route.Objective))
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
