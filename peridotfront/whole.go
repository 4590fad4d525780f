package peridotfront

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotlink"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// maxAnswerBytes limits an answer that is no stream of events, which is buffered whole
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

// isFailure reports whether another server may answer the request better.
func (a *bufferedAnswer) isFailure() bool {
	return a.status >= http.StatusInternalServerError
}

// outcome returns the outcome of the flight that brought the answer.
func (a *bufferedAnswer) outcome() peridotplace.Outcome {
	if a.isFailure() {
		return peridotplace.Failed
	}
	return peridotplace.Answered
}

// failureError returns the error of a try that a server answered with a failure.
func failureError(status int) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.Ran, "backend server answered "+strconv.Itoa(status))
}

// tryWhole makes the server of c run the request and sends its whole answer to the caller.
// It returns nil once it has done so.
func (x *exchange) tryWhole(c peridotplace.Choice) *peridotverdict.Error {
	answer, err := x.sendWhole(c)
	if err == nil && answer.isFailure() {
		x.failure = answer
		err = failureError(answer.status)
	}
	if err != nil {
		x.recordFailure(c.Backend, err)
		return err
	}
	x.deliver(answer)
	return nil
}

// sendWhole sends the request to the server of c and reads the whole answer. Its error
// has the verdict NotRun only if the request did not run there and never will.
func (x *exchange) sendWhole(c peridotplace.Choice) (*bufferedAnswer, *peridotverdict.Error) {
	f := x.front
	to, ok := f.backend(c.Backend)
	if !ok {
		return nil, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the server is not registered any more", peridotverdict.RetryAfter(x.untilAccepted()))
	}
	ctx, watch := x.watchStall(stallPlain, to)
	defer watch.stop()
	if limit := x.tryTimeout(); limit > 0 {
		watch.start(limit)
	}
	flight := x.beginPrefill(to.ID, c)
	x.tries++
	x.logFields["backend"] = to.ID
	answer, head, err := x.send(ctx, to, RequestHead{Urgency: x.urgency(), KVFetch: x.kvFetch(c)})
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
	whole, err := x.readWhole(ctx, to, answer, head)
	if err != nil {
		f.endFlight(flight, x.failureOutcome(err))
		return nil, err
	}
	f.endFlight(flight, whole.outcome())
	return whole, nil
}

// readWhole reads the rest of an answer. ctx is that of the try.
func (x *exchange) readWhole(ctx context.Context, from peridotsite.Backend, answer *peridotlink.Answer, head AnswerHead) (*bufferedAnswer, *peridotverdict.Error) {
	f := x.front
	body, readErr := answer.ReadAll(maxAnswerBytes)
	if readErr == nil && f.mayBeCut(ctx, from, answer) {
		readErr = peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the server ended with the answer")
	}
	if readErr != nil {
		err := peridotverdict.As(readErr)
		x.recordBreak(ctx, from, err, x.suspects)
		return nil, err
	}
	whole := &bufferedAnswer{status: answer.StatusCode, body: body}
	x.recordSizes(len(body))
	if x.service.Engine == nil || !whole.isFailure() { // An engine may fail before it has read the prompt.
		f.quarantine.recordAnswered(x.suspects, softwareOf(from))
	}
	if !head.Sealed && answer.StatusCode < http.StatusMultipleChoices {
		return nil, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer bears no seal")
	}
	whole.header = f.protocol.AnswerHeader(answer.Header)
	return whole, nil
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
