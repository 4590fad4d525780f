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
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// streamBuffer is read from a stream at a time.
	streamBuffer = 4 << 10
)

// stream passes the events of one run on to the caller.
type stream struct {
	exchange *exchange
	flight   *peridotplace.Flight
	// counted is set once the run has begun to answer, failed once the engine's own
	// failure has been passed on as the answer.
	counted bool
	failed  bool
	// wait is how long the prompt was expected to take.
	wait time.Duration
	// stall ends the run when it has been silent for too long; nil where the
	// request cannot go on elsewhere.
	stall *time.Timer
}

const (
	// minStall is the least silence for which a stream is resumed elsewhere; it is
	// well above what a busy engine pauses.
	minStall = 600 * time.Millisecond
	// stallFactor multiplies the pauses that are on time.
	stallFactor = 4
	// stallWait multiplies the expected time to the first event.
	stallWait = 3
)

// watch returns a context that ends when a stream which may be resumed elsewhere
// falls silent.
func (s *stream) watch() (context.Context, context.CancelFunc) {
	x := s.exchange
	ctx, cancel := context.WithCancel(x.ctx)
	if x.route.Idempotent() && x.runs+1 < x.route.Attempts {
		first := minStall + stallWait*s.wait
		if x.late {
			first = max(first, x.left()/2) // It may well wait that long behind others.
		}
		s.stall = time.AfterFunc(first, cancel)
	}
	return ctx, cancel
}

// moving puts the end of a silent run off.
func (s *stream) moving() {
	if s.stall != nil {
		s.stall.Reset(max(minStall, stallFactor*s.exchange.route.Gap))
	}
}

// run sends the request to an engine and passes its answer on. Its error is
// NotRun only if the request did not run there and never will.
func (s *stream) run(to peridotsite.Backend, o Outgoing) *peridotverdict.Error {
	x := s.exchange
	ctx, cancel := s.watch()
	defer cancel()
	answer, head, err := x.send(ctx, to, o)
	if err != nil {
		if err.Verdict != peridotverdict.NotRun {
			x.runs++
		}
		return err
	}
	if head.NotRun {
		answer.Abandon()
		return turnedAway(head, answer.StatusCode)
	}
	x.runs++
	if answer.StatusCode != http.StatusOK {
		return s.passFailure(answer)
	}
	if !head.Sealed {
		answer.Abandon()
		return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the answer bears no seal")
	}
	return s.pass(answer)
}

// passFailure passes an engine's own failure on, unless the request may run
// again.
func (s *stream) passFailure(answer *peridotlink.Answer) *peridotverdict.Error {
	x := s.exchange
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		return peridotverdict.As(err)
	}
	if x.begun || x.route.Idempotent() && x.runs < x.route.Attempts {
		return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.Ran, "engine answered "+strconv.Itoa(answer.StatusCode))
	}
	x.began()
	s.failed = true
	x.deliver(&wholeAnswer{status: answer.StatusCode, header: x.front.protocol.Return(answer.Header), body: body})
	return nil
}

// pass passes whole events on as they come.
func (s *stream) pass(answer *peridotlink.Answer) *peridotverdict.Error {
	x := s.exchange
	reader := bufio.NewReaderSize(answer.Body, streamBuffer)
	for {
		event, err := readEvent(reader)
		if err == io.EOF && len(event) == 0 {
			answer.Finish()
			return s.end(answer)
		}
		if err != nil {
			answer.Abandon()
			return peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the stream broke off", peridotverdict.Cause(err))
		}
		s.note()
		if err := x.passEvent(answer, event); err != nil {
			answer.Abandon()
			return err
		}
		if reader.Buffered() == 0 && answer.Buffered() == 0 {
			x.flush()
		}
	}
}

// note records that the run makes progress.
func (s *stream) note() {
	s.moving()
	x := s.exchange
	f := x.front
	f.mu.Lock()
	if s.counted {
		f.placer.Progress(f.now(), s.flight)
	} else {
		f.placer.FinishPrefill(f.now(), s.flight)
	}
	f.mu.Unlock()
	if !s.counted {
		s.counted = true
		x.began()
	}
}

// end completes the answer. A stream without events is a whole answer too.
func (s *stream) end(answer *peridotlink.Answer) *peridotverdict.Error {
	s.exchange.begin(answer)
	s.exchange.flush()
	return nil
}

// readEvent reads up to the blank line behind an event. At the end of the stream
// it returns io.EOF, with what came of an event that was cut.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) == len(line):
			event = event[:0] // A blank line between events.
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
		if len(event) > maxEventBytes {
			return event, io.ErrShortBuffer
		}
	}
}

// eventID returns the number in an event's id line.
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

// resumeAt returns the event behind which the next run goes on; the caller may
// have named one.
func (x *exchange) resumeAt() string {
	if x.begun && x.lastEvent > 0 {
		return strconv.FormatInt(x.lastEvent, 10)
	}
	return x.call.LastEvent
}

// passEvent passes one event on. Events must come in order, also across runs.
func (x *exchange) passEvent(answer *peridotlink.Answer, event []byte) *peridotverdict.Error {
	if id, ok := eventID(event); ok {
		if x.lastEvent > 0 && id != x.lastEvent+1 {
			return peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "event "+strconv.FormatInt(id, 10)+" came behind "+strconv.FormatInt(x.lastEvent, 10))
		}
		x.lastEvent = id
	}
	x.begin(answer)
	if _, err := x.writer.Write(event); err != nil {
		return peridotverdict.New(peridotverdict.Canceled, peridotverdict.MayHaveRun, "the caller takes no bytes", peridotverdict.Cause(err))
	}
	return nil
}

// begin sends the head of the first run's answer.
func (x *exchange) begin(answer *peridotlink.Answer) {
	if x.begun {
		return
	}
	h := x.writer.Header()
	for name, values := range x.front.protocol.Return(answer.Header) {
		h[name] = values
	}
	x.writer.WriteHeader(answer.StatusCode)
	x.begun = true
	took := peridotclock.Boot().Sub(x.arrived)
	x.note["first_event_ms"] = took
	x.front.metrics.Timed("first_event", took)
}

func (x *exchange) flush() {
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		x.note["flush_error"] = err.Error()
	}
}
