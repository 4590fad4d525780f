package peridotfront

import (
	"context"
	"io"
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
	// before it is sent to the caller if there is memory.
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
	// isForwarded is set if the caller has got it as it arrived. The header and the body are
	// empty then.
	isForwarded bool
}

// isFailure reports whether another server may answer the request better.
func (a *bufferedAnswer) isFailure() bool {
	return a.status >= http.StatusInternalServerError || promisesNotRun(a.status)
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
	to, ok := x.serverOf(c.Backend)
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
	answer, head, err := x.send(ctx, to, RequestHead{Urgency: x.urgency(), KVFetch: x.kvFetch(c, to)})
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
	whole, err := x.readWhole(ctx, watch, to, answer, head)
	if err != nil {
		f.endFlight(flight, x.failureOutcome(err))
		return nil, err
	}
	f.endFlight(flight, whole.outcome())
	return whole, nil
}

// readWhole reads the rest of an answer from a server that has run the request. ctx is that of
// the try. If there is no memory for the whole answer, it forwards the answer to the caller as it
// arrives. It returns an error for an answer whose status promises that the request has not run.
func (x *exchange) readWhole(ctx context.Context, watch *stallWatch, from peridotsite.Backend, answer *peridotlink.Answer, head AnswerHead) (*bufferedAnswer, *peridotverdict.Error) {
	f := x.front
	c := &collector{claim: &x.responseClaim}
	if x.failure != nil {
		c.held = int64(cap(x.failure.body))
	}
	readErr := c.read(answer.Body, answer.ContentLength)
	if c.isFull {
		return x.forwardWhole(ctx, watch, from, answer, head, c)
	}
	if readErr != nil {
		readErr = brokenError(readErr)
	} else if x.mayBeCut(ctx, from, answer) {
		readErr = serverEndedError()
	}
	if readErr != nil {
		answer.Abandon()
		err := peridotverdict.As(readErr)
		x.recordBreak(ctx, from, err, x.suspects)
		return nil, err
	}
	answer.Finish()
	whole := &bufferedAnswer{status: answer.StatusCode, body: c.data}
	x.recordSizes(len(c.data))
	if x.service.Engine == nil || !whole.isFailure() { // An engine may fail before it has read the prompt.
		f.quarantine.recordAnswered(x.suspects, softwareOf(from))
	}
	if promisesNotRun(whole.status) {
		return nil, failureError(whole.status) // The request has run.
	}
	if !head.Sealed && answer.StatusCode < http.StatusMultipleChoices {
		return nil, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer bears no seal")
	}
	whole.header = f.protocol.AnswerHeader(answer.Header)
	return whole, nil
}

// brokenError returns the error of an answer that could not be read to its end.
func brokenError(cause error) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the answer broke off", peridotverdict.Cause(cause))
}

// serverEndedError returns the error of an answer that may be a part of one.
func serverEndedError() *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the server ended with the answer")
}

// forwardWhole forwards an answer as it arrives. c contains its beginning. After an error the
// answer can't be completed, and the request is not tried again if its caller has got a part.
func (x *exchange) forwardWhole(ctx context.Context, watch *stallWatch, from peridotsite.Backend, answer *peridotlink.Answer, head AnswerHead, c *collector) (*bufferedAnswer, *peridotverdict.Error) {
	f := x.front
	f.metrics.Count("responses_forwarded")
	f.noteMemoryPressure()
	whole := &bufferedAnswer{status: answer.StatusCode, isForwarded: true}
	if x.answerStarted || whole.isFailure() {
		answer.Abandon()
		return nil, failureError(answer.StatusCode)
	}
	if !head.Sealed && answer.StatusCode < http.StatusMultipleChoices {
		answer.Abandon()
		return nil, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer bears no seal")
	}
	watch.pause() // A caller that reads slowly is no silence of the server.
	h := x.writer.Header()
	for name, values := range f.protocol.AnswerHeader(answer.Header) {
		h[name] = values
	}
	if answer.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	x.writer.WriteHeader(answer.StatusCode)
	x.answerStarted = true
	if err := x.forwardRest(answer, c); err != nil {
		answer.Abandon()
		x.recordBreak(ctx, from, err, x.suspects)
		return nil, err
	}
	if x.mayBeCut(ctx, from, answer) {
		answer.Abandon()
		err := serverEndedError()
		x.recordBreak(ctx, from, err, x.suspects)
		return nil, err
	}
	answer.Finish()
	f.quarantine.recordAnswered(x.suspects, softwareOf(from))
	return whole, nil
}

// forwardRest sends what c contains and the rest of an answer to the caller.
func (x *exchange) forwardRest(answer *peridotlink.Answer, c *collector) *peridotverdict.Error {
	if err := x.write(c.data); err != nil {
		return err
	}
	forwarded := len(c.data)
	buffer := c.drop()
	for {
		n, readErr := answer.Body.Read(buffer)
		if forwarded += n; forwarded > maxAnswerBytes {
			return brokenError(peridotlink.ErrTooLong)
		}
		if err := x.write(buffer[:n]); err != nil {
			return err
		}
		if readErr == io.EOF {
			x.recordSizes(forwarded)
			return nil
		}
		if readErr != nil {
			return brokenError(readErr)
		}
	}
}

// reserveResponse reserves the memory for the beginning of a whole response. It returns an
// error if there is none.
func (x *exchange) reserveResponse() *peridotverdict.Error {
	if x.route.Kind == peridotsite.Stream || x.responseClaim.Grow(forwardBufferBytes) {
		return nil
	}
	x.front.metrics.Count("responses_refused")
	x.front.noteMemoryPressure()
	return peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "too many responses are held", peridotverdict.RetryAfter(memoryRetryAfter))
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
	if a.isForwarded {
		x.log(log.DebugLevel, "answered", a.status)
		return
	}
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
