package peridotfront

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

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
	// maxUnnumberedBytes limits the pieces without an ID that are held back until the next
	// event.
	maxUnnumberedBytes = 64 << 10
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 4 << 10
)

// stream forwards the answer of one run to the caller event by event.
type stream struct {
	exchange *exchange
	flight   *peridotplace.Flight
	// server is the one that runs the request, as it was registered when it was sent.
	server peridotsite.Backend
	// isOriginChecked is set once checkOrigin has found no other lifetime of the server.
	isOriginChecked bool
	// mixed returns whether the caller's content is stored as mixed, or is nil if it needn't be.
	mixed <-chan error
	// counted is set once the run is counted in the usage of the client account.
	counted bool
	// hasEvents is set once the first event of the run has arrived, and hasNumbered once
	// the first one with an ID has.
	hasEvents, hasNumbered bool
	// held contains the pieces without an ID that wait for the next event.
	held []byte
	// outcome is that of the flight once the answer has been sent to the caller.
	outcome peridotplace.Outcome
	// expectedWait is the Wait of the run's peridotplace.Choice: the expected time until
	// the prefill has run and its KV cache is at the engine.
	expectedWait time.Duration
	// tolerance is how much longer the prefill may take at an engine of unknown speed.
	tolerance time.Duration
	// watch cancels the run if no event arrives for too long. It is not started if the
	// request must not be resumed at another server.
	watch     *stallWatch
	isWatched bool
}

// isGeneration reports whether an engine generates the events. It numbers them from 1 on
// and sends at least one, and has read the whole prompt by then. Of the events of a plain
// service it is only known that those with an ID have increasing ones.
func (s *stream) isGeneration() bool {
	return s.exchange.service.Engine != nil
}

const (
	// minStallTimeout is the shortest time without an event after which a stream is
	// resumed at another server. It is well above the pauses of a busy engine.
	minStallTimeout = 600 * time.Millisecond
	// stallGapFactor is the stall timeout between two events as a multiple of the
	// route's Gap, if that is longer than minStallTimeout.
	stallGapFactor = 4
	// stallWaitFactor multiplies the expected time to the first event; the stall
	// timeout for that event is minStallTimeout longer.
	stallWaitFactor = 3
)

// startWatch returns a context that is canceled if the stream stalls and can be
// resumed at another server.
func (s *stream) startWatch(to peridotsite.Backend) context.Context {
	x := s.exchange
	var ctx context.Context
	ctx, s.watch = x.watchStall(stallStream, to)
	s.isWatched = x.canRun(x.runs + 1)
	if s.isWatched {
		wait := s.expectedWait
		if !s.isGeneration() {
			wait = x.route.Objective // The queue of a plain server is unknown.
		}
		timeout := minStallTimeout + stallWaitFactor*wait + s.tolerance
		if x.late {
			timeout = max(timeout, x.remainingWait()/2) // A late request may be queued behind others for that long.
		}
		s.watch.start(timeout)
	}
	return ctx
}

// restartWatch restarts the watch after an event. Without a Gap, a plain service may pause
// for any time.
func (s *stream) restartWatch() {
	gap := s.exchange.route.Gap
	if s.isWatched && (s.isGeneration() || gap > 0) {
		s.watch.start(max(minStallTimeout, stallGapFactor*gap))
	}
}

// run sends the request to a server and forwards its answer to the caller. Its error
// has the verdict NotRun only if the request did not run there and never will.
func (s *stream) run(to peridotsite.Backend, requestHead RequestHead) *peridotverdict.Error {
	x := s.exchange
	ctx := s.startWatch(to)
	defer s.watch.stop()
	s.mixed = x.storeElsewhere(s.server.SoftwareVersion)
	answer, head, err := x.send(ctx, to, requestHead)
	if err != nil {
		if err.Verdict != peridotverdict.NotRun {
			x.runs++
			s.countPlainRun()
			x.recordBreak(ctx, to, err, x.suspects)
		}
		return err
	}
	if head.NotRun {
		answer.Abandon()
		return rejectionError(head, answer.StatusCode)
	}
	x.runs++
	s.countPlainRun()
	if !x.isEventStream(answer) {
		return s.forwardWhole(ctx, to, answer, head)
	}
	if !head.Sealed {
		answer.Abandon()
		return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer bears no seal")
	}
	return s.forwardEvents(ctx, to, answer)
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether an answer consists of events: a success on a stream route
// does unless it states another media type.
func (x *exchange) isEventStream(answer *peridotlink.Answer) bool {
	if answer.StatusCode != http.StatusOK || x.request.Method == http.MethodHead {
		return false
	}
	text := answer.Header.Get("Content-Type")
	mediaType, _, _ := mime.ParseMediaType(text) // Malformed parameters don't matter.
	return text == "" || mediaType == eventStreamType
}

// forwardWhole sends an answer that is no stream of events to the caller, such as an error.
// If it is a failure and the request may be retried, or an answer has already been started,
// it returns an error instead.
func (s *stream) forwardWhole(ctx context.Context, to peridotsite.Backend, answer *peridotlink.Answer, head AnswerHead) *peridotverdict.Error {
	x := s.exchange
	whole, err := x.readWhole(ctx, s.watch, to, answer, head)
	if err != nil {
		return err
	}
	if x.answerStarted && !whole.isForwarded {
		return failureError(whole.status)
	}
	if whole.isFailure() {
		x.failure = whole
		if x.canRun(x.runs) {
			return failureError(whole.status)
		}
	}
	s.countRun()
	s.outcome = whole.outcome()
	x.deliver(whole)
	return nil
}

// forwardEvents forwards each complete event to the caller as it arrives.
func (s *stream) forwardEvents(ctx context.Context, to peridotsite.Backend, answer *peridotlink.Answer) *peridotverdict.Error {
	x := s.exchange
	reader := bufio.NewReaderSize(answer.Body, streamBufferBytes)
	for {
		piece, err := readPiece(reader)
		if err == io.EOF && s.mayEnd(answer) && !x.mayBeCut(ctx, to, answer) {
			answer.Finish()
			return s.finish(answer)
		}
		if err != nil {
			answer.Abandon()
			failure := peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the stream broke off", peridotverdict.Cause(err))
			x.recordBreak(ctx, to, failure, x.suspects)
			return failure
		}
		x.recordCrossingBytes(len(piece))
		s.watch.pause() // A caller that reads slowly is no silence of the server.
		if isEvent(piece) {
			s.recordProgress()
		}
		progressed, failure := s.forwardPiece(answer, piece)
		if failure != nil {
			answer.Abandon()
			return failure
		}
		if x.answerStarted && reader.Buffered() == 0 && answer.Buffered() == 0 {
			x.flush()
		}
		if progressed {
			s.restartWatch()
		} else {
			s.watch.resume() // Comments alone don't show that the server goes on.
		}
	}
}

// mayEnd reports whether the end of the answer may be that of the stream. A generation that
// is not resumed has one event at least. An answer without events may be empty or have none
// left, but not if its end is only that of the connection.
func (s *stream) mayEnd(answer *peridotlink.Answer) bool {
	if s.hasEvents {
		return true
	}
	return !answer.EndsWithConnection() && (s.exchange.lastEventID > 0 || !s.isGeneration())
}

// recordProgress records that an event has arrived. It counts the run on the first
// event.
func (s *stream) recordProgress() {
	s.reportProgress()
	s.exchange.recordEvent(peridotclock.BootTime(), s.exchange.arrivedAt)
	s.exchange.events++
	s.exchange.runEvents++
	if s.hasEvents {
		return
	}
	s.hasEvents = true
	s.countRun()
}

// countPlainRun counts a run at a plain server, which begins before its first event.
func (s *stream) countPlainRun() {
	if !s.isGeneration() {
		s.countRun()
	}
}

// countRun counts the run in the usage of the client account, once.
func (s *stream) countRun() {
	if !s.counted {
		s.counted = true
		s.exchange.countRun()
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
	x := s.exchange
	if err := s.checkOrigin(); err != nil {
		return err // The end, too, is that of one version.
	}
	x.front.quarantine.recordAnswered(x.suspects, peridotquarantine.Software{Service: x.service.Name, Version: s.server.SoftwareVersion})
	x.startAnswer(answer)
	if err := x.write(s.held); err != nil {
		return err
	}
	x.flush()
	s.outcome = peridotplace.Answered
	x.log(log.DebugLevel, "answered", http.StatusOK)
	return nil
}

// readPiece reads the next piece of a stream: an event or a comment with the blank line
// that ends it, or a blank line alone. Lines end with LF or CR LF. At the end of the
// stream it returns io.EOF, or io.ErrUnexpectedEOF and the partial piece if the stream ends
// within one. It returns peridotlink.ErrTooLong for a piece larger than maxEventBytes.
func readPiece(r *bufio.Reader) ([]byte, error) {
	var piece []byte
	lineStart := 0
	for {
		read, err := r.ReadSlice('\n')
		piece = append(piece, read...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(piece) > 0:
			return piece, io.ErrUnexpectedEOF
		case err != nil:
			return piece, err
		case len(bytes.TrimRight(piece[lineStart:], "\r\n")) == 0:
			return piece, nil
		default:
			lineStart = len(piece)
		}
		if len(piece) > maxEventBytes {
			return piece, peridotlink.ErrTooLong
		}
	}
}

// isEvent reports whether a piece of a stream has a line that is neither blank nor a
// comment.
func isEvent(piece []byte) bool {
	for line := range bytes.Lines(piece) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
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

// setLastEventID sets the ID of the event behind which the stream begins. It stays 0 for a
// new stream, and for one resumed behind an event whose ID is no number.
func (x *exchange) setLastEventID() {
	if id, err := strconv.ParseInt(x.call.LastEventID, 10, 64); err == nil && id > 0 {
		x.lastEventID = id
	}
}

// resumable reports whether another run could continue the answer: the ID of the last
// event is known unless the answer has not started.
func (x *exchange) resumable() bool {
	return !x.answerStarted || x.lastEventID > 0 && !x.unnumberedSent
}

// forwardPiece sends one piece of the stream to the caller. It reports whether the piece
// shows that the server goes on.
func (s *stream) forwardPiece(answer *peridotlink.Answer, piece []byte) (progressed bool, err *peridotverdict.Error) {
	x := s.exchange
	id, ok := eventID(piece)
	if !ok {
		return s.forwardUnnumbered(answer, piece)
	}
	if !s.follows(id) {
		return false, peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "event "+strconv.FormatInt(id, 10)+" came behind "+strconv.FormatInt(x.lastEventID, 10))
	}
	if err := s.checkOrigin(); err != nil {
		return false, err
	}
	x.fixSoftware(s.server.SoftwareVersion)
	x.lastEventID, s.hasNumbered, x.unnumberedSent = id, true, false
	return true, s.send(answer, piece)
}

// checkOrigin returns an error before the first event of a run, or its end if it has none, is sent
// if the server has started again as another software version since the request was sent, or the
// one of the last run since its own: what they wrote may be of either version.
func (s *stream) checkOrigin() *peridotverdict.Error {
	x := s.exchange
	if s.isOriginChecked || !x.hasOrigin() {
		return nil
	}
	if err := s.awaitMixed(); err != nil {
		return err
	}
	if !x.recordRun(s.server) {
		return replacedError(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun)
	}
	if x.answerStarted && x.front.isReplaced(x.lastServer) {
		return replacedError(peridotverdict.Canceled, peridotverdict.MayHaveRun)
	}
	s.isOriginChecked, x.lastServer = true, s.server
	return nil
}

// follows reports whether an event with the given ID may come next. The IDs must increase,
// by one in a generation, also across runs and requests.
func (s *stream) follows(id int64) bool {
	last := s.exchange.lastEventID
	if s.isGeneration() {
		return id == last+1
	}
	return id > last || last == 0 && !s.hasNumbered
}

// forwardUnnumbered sends a piece without an ID to the caller. It holds back what may come
// again if the stream goes on at another server: the pieces of a generation, and comments
// before the first event.
func (s *stream) forwardUnnumbered(answer *peridotlink.Answer, piece []byte) (progressed bool, err *peridotverdict.Error) {
	x := s.exchange
	if !s.isGeneration() && (x.answerStarted || isEvent(piece)) {
		if isEvent(piece) {
			if err := s.checkOrigin(); err != nil {
				return false, err
			}
			x.fixSoftware(s.server.SoftwareVersion)
			progressed, x.unnumberedSent = true, true
		}
		return progressed, s.send(answer, piece)
	}
	s.held = append(s.held, piece...)
	if len(s.held) > maxUnnumberedBytes {
		return false, peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the stream goes on without event IDs", peridotverdict.Cause(peridotlink.ErrTooLong))
	}
	return false, nil
}

// send sends the held pieces and another one to the caller.
func (s *stream) send(answer *peridotlink.Answer, piece []byte) *peridotverdict.Error {
	x := s.exchange
	x.startAnswer(answer)
	if err := x.write(s.held); err != nil {
		return err
	}
	s.held = s.held[:0]
	return x.write(piece)
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
