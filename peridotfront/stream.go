package peridotfront

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"peridotstack/peridotclock"
	"peridotstack/peridotlink"
	"peridotstack/peridotplace"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxUnnumberedBytes limits the bytes without an event ID in sequence: blank lines
	// between two events, and events without an ID between two others.
	maxUnnumberedBytes = 64 << 10
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
)

// stream forwards the events of one run to the caller.
type stream struct {
	exchange *exchange
	flight   *peridotplace.Flight
	// software is the software version of the engine.
	software string
	// hasEvents is set once the first event of the run has arrived.
	hasEvents bool
	// unnumbered contains the events without an ID since the last other event. They
	// are sent to the caller with the next one, or at the end of the stream.
	unnumbered []byte
	// failureForwarded is set once an error answer of the engine has been sent to the
	// caller.
	failureForwarded bool
	// expectedWait is the Wait of the run's peridotplace.Choice: the expected time until
	// the prefill has run and its KV cache is at the engine.
	expectedWait time.Duration
	// tolerance is how much longer the prefill may take at an engine of unknown speed.
	tolerance time.Duration
	// watch cancels the run if no event arrives for too long. It is not started if the
	// request must not be resumed at another engine.
	watch     *stallWatch
	isWatched bool
}

const (
	// minStallTimeout is the shortest time without an event after which a stream is
	// resumed at another engine. It is well above the pauses of a busy engine.
	minStallTimeout = 600 * time.Millisecond
	// stallGapFactor is the stall timeout between two events as a multiple of the
	// route's Gap, if that is longer than minStallTimeout.
	stallGapFactor = 4
	// stallWaitFactor multiplies the expected time to the first event; the stall
	// timeout for that event is minStallTimeout longer.
	stallWaitFactor = 3
)

// startWatch returns a context that is canceled if the stream stalls and can be
// resumed at another engine.
func (s *stream) startWatch(to peridotsite.Backend) context.Context {
	x := s.exchange
	var ctx context.Context
	ctx, s.watch = x.watchStall(stallStream, to)
	s.isWatched = x.canRun(x.runs + 1)
	if s.isWatched {
		timeout := minStallTimeout + stallWaitFactor*s.expectedWait + s.tolerance
		if x.late {
			timeout = max(timeout, x.remainingWait()/2) // A late request may be queued behind others for that long.
		}
		s.watch.start(timeout)
	}
	return ctx
}

// restartWatch restarts the watch after an event.
func (s *stream) restartWatch() {
	if s.isWatched {
		s.watch.start(max(minStallTimeout, stallGapFactor*s.exchange.route.Gap))
	}
}

// run sends the request to an engine and forwards its answer to the caller. Its error
// has the verdict NotRun only if the request did not run there and never will.
func (s *stream) run(to peridotsite.Backend, requestHead RequestHead) *peridotverdict.Error {
	x := s.exchange
	ctx := s.startWatch(to)
	defer s.watch.stop()
	answer, head, err := x.send(ctx, to, requestHead)
	if err != nil {
		if err.Verdict != peridotverdict.NotRun {
			x.runs++
			x.recordBreak(ctx, to, err, x.suspects)
		}
		return err
	}
	if head.NotRun {
		answer.Abandon()
		return rejectionError(head, answer.StatusCode)
	}
	x.runs++
	if answer.StatusCode != http.StatusOK {
		return s.forwardFailure(answer)
	}
	if !head.Sealed {
		answer.Abandon()
		return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer bears no seal")
	}
	return s.forwardEvents(ctx, to, answer)
}

// forwardFailure sends an error answer of the engine to the caller. If the request
// may be retried or an answer has already been started, it returns an error instead.
func (s *stream) forwardFailure(answer *peridotlink.Answer) *peridotverdict.Error {
	x := s.exchange
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		return peridotverdict.As(err)
	}
	if x.answerStarted || x.route.Idempotent() && x.runs < x.route.Attempts {
		return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.Ran, "engine answered "+strconv.Itoa(answer.StatusCode))
	}
	x.countRun()
	s.failureForwarded = true
	x.deliver(&bufferedAnswer{status: answer.StatusCode, header: x.front.protocol.AnswerHeader(answer.Header), body: body})
	return nil
}

// forwardEvents forwards each complete event to the caller as it arrives.
func (s *stream) forwardEvents(ctx context.Context, to peridotsite.Backend, answer *peridotlink.Answer) *peridotverdict.Error {
	x := s.exchange
	reader := bufio.NewReaderSize(answer.Body, streamBufferBytes)
	for {
		event, err := readEvent(reader)
		if err == io.EOF && len(event) == 0 && s.mayEnd(answer) && !x.front.mayBeCut(ctx, to, answer) {
			answer.Finish()
			return s.finish(answer)
		}
		if err != nil {
			answer.Abandon()
			failure := peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the stream broke off", peridotverdict.Cause(err))
			if !s.hasEvents {
				x.recordBreak(ctx, to, failure, x.suspects)
			}
			return failure
		}
		x.events++
		s.watch.pause() // A caller that reads slowly is no silence of the server.
		s.recordProgress()
		lastEventID := x.lastEventID
		if err := s.forwardEvent(answer, event); err != nil {
			answer.Abandon()
			return err
		}
		if x.answerStarted && reader.Buffered() == 0 && answer.Buffered() == 0 {
			x.flush()
		}
		if x.lastEventID == lastEventID {
			s.watch.resume() // Comments alone don't show that the server goes on.
		} else {
			s.restartWatch()
		}
	}
}

// mayEnd reports whether the end of the answer may be that of the stream. A new stream has
// one event at least; a resumed one may have none left, but not if its end is only that of
// the connection.
func (s *stream) mayEnd(answer *peridotlink.Answer) bool {
	return s.hasEvents || s.exchange.lastEventID > 0 && !answer.EndsWithConnection()
}

// recordProgress records that an event has arrived. It counts the run on the first
// event.
func (s *stream) recordProgress() {
	s.reportProgress()
	if !s.hasEvents {
		s.hasEvents = true
		x := s.exchange
		x.countRun()
		x.front.quarantine.recordBegun(x.suspects, peridotquarantine.Software{Service: x.service.Name, Version: s.software})
	}
}

// reportProgress reports to the placer that an event has arrived.
func (s *stream) reportProgress() {
	f := s.exchange.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.hasEvents {
		f.placer.Progress(f.now(), s.flight)
	} else {
		f.placer.FinishPrefill(f.now(), s.flight)
	}
}

// finish completes the answer.
func (s *stream) finish(answer *peridotlink.Answer) *peridotverdict.Error {
	s.exchange.startAnswer(answer)
	if err := s.exchange.write(s.unnumbered); err != nil {
		return err
	}
	s.exchange.flush()
	return nil
}

// readEvent reads one event and the blank line that ends it. At the end of the
// stream it returns io.EOF, or io.ErrUnexpectedEOF and the partial event if the
// stream ends within one. It returns peridotlink.ErrTooLong for an event larger than
// maxEventBytes, or more than maxUnnumberedBytes of blank lines before it.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	lineStart, blankBytes := 0, 0
	for {
		read, err := r.ReadSlice('\n')
		event = append(event, read...)
		line := event[lineStart:]
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) == len(line):
			event = event[:0] // Skip blank lines between events.
			blankBytes += len(line)
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		default:
			lineStart = len(event)
		}
		if len(event) > maxEventBytes || blankBytes > maxUnnumberedBytes {
			return event, peridotlink.ErrTooLong
		}
	}
}

// eventID returns the number in the id field of an event. It returns false if there
// is none.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// resumeEventID returns the ID of the event after which the next run resumes. Before
// the first event it is the ID in the caller's request, or empty.
func (x *exchange) resumeEventID() string {
	if x.answerStarted && x.lastEventID > 0 {
		return strconv.FormatInt(x.lastEventID, 10)
	}
	return x.call.LastEventID
}

// setLastEventID sets the ID of the event behind which the stream begins. The IDs of a new
// stream, and of one resumed behind an event whose ID is no number, begin with 1.
func (x *exchange) setLastEventID() {
	if id, err := strconv.ParseInt(x.call.LastEventID, 10, 64); err == nil && id > 0 {
		x.lastEventID = id
	}
}

// resumable reports whether another run could continue the answer: an event ID is
// known unless the answer has not started.
func (x *exchange) resumable() bool {
	return !x.answerStarted || x.lastEventID > 0
}

// forwardEvent sends one event to the caller. The IDs of the events must be
// consecutive, also across runs and requests. It holds back an event without an ID.
func (s *stream) forwardEvent(answer *peridotlink.Answer, event []byte) *peridotverdict.Error {
	x := s.exchange
	id, ok := eventID(event)
	if !ok {
		s.unnumbered = append(s.unnumbered, event...)
		if len(s.unnumbered) > maxUnnumberedBytes {
			return peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the stream goes on without event IDs", peridotverdict.Cause(peridotlink.ErrTooLong))
		}
		return nil
	}
	if id != x.lastEventID+1 {
		return peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "event "+strconv.FormatInt(id, 10)+" came behind "+strconv.FormatInt(x.lastEventID, 10))
	}
	x.fixSoftware(s.software)
	x.lastEventID = id
	x.startAnswer(answer)
	if err := x.write(s.unnumbered); err != nil {
		return err
	}
	s.unnumbered = s.unnumbered[:0]
	return x.write(event)
}

// write sends bytes of the answer to the caller.
func (x *exchange) write(data []byte) *peridotverdict.Error {
	if len(data) == 0 {
		return nil
	}
	if _, err := x.writer.Write(data); err != nil {
		return peridotverdict.New(peridotverdict.Canceled, peridotverdict.MayHaveRun, "the caller takes no bytes", peridotverdict.Cause(err))
	}
	return nil
}

// startAnswer sends the head of the answer to the caller unless an earlier run has
// done so.
func (x *exchange) startAnswer(answer *peridotlink.Answer) {
	if x.answerStarted {
		return
	}
	h := x.writer.Header()
	for name, values := range x.front.protocol.AnswerHeader(answer.Header) {
		h[name] = values
	}
	x.writer.WriteHeader(answer.StatusCode)
	x.answerStarted = true
	elapsed := peridotclock.BootTime().Sub(x.arrivedAt)
	x.logFields["first_event_ms"] = elapsed
	x.front.metrics.RecordDuration("first_event", elapsed)
}

// flush sends buffered data to the caller.
func (x *exchange) flush() {
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		x.logFields["flush_error"] = err.Error()
	}
}
