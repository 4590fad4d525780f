package peridotentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
)

// answer is the answer to one request of a caller. One or several tries write to
// it.
type answer struct {
	timeline peridotstream.Timeline
	stream   bool
	// checkpoint is the number of chunks that the caller had already received.
	checkpoint int
	// idempotent is set if the request may run more than once. Such a request is
	// canceled when its caller disconnects.
	idempotent bool
	// resumable is set if the caller may resume the answer. The request then
	// continues to run when its caller disconnects.
	resumable bool

	mu sync.Mutex
	// requestID identifies the current try.
	requestID string
}

func newAnswer(stream, idempotent bool, checkpoint int) *answer {
	a := &answer{stream: stream, idempotent: idempotent, checkpoint: checkpoint}
	a.timeline.MaxBytes = maxAnswerBytes
	return a
}

// id returns the request ID of the current try, or of the last one.
func (a *answer) id() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requestID
}

func (a *answer) setID(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestID = id
}

// serveAnswer runs produce in a goroutine and writes the answer to the caller as
// its chunks arrive.
func (e *Entry) serveAnswer(ctx context.Context, w http.ResponseWriter, a *answer, produce func() (*peridotstream.End, *peridotverdict.Error)) {
	go func() {
		end, err := produce()
		if err != nil {
			end = &peridotstream.End{Err: err}
		}
		a.timeline.Close(*end)
	}()
	if a.stream {
		e.writeStream(ctx, w, a)
	} else {
		e.writeComplete(ctx, w, a)
	}
	if ctx.Err() != nil {
		e.cancelRun(a)
	}
}

// cancelRun notifies the agent that no caller waits for the answer. It does
// nothing if the caller may still get the answer, either by resuming it or by
// repeating a request that may run at most once.
func (e *Entry) cancelRun(a *answer) {
	if !a.idempotent || a.resumable {
		return
	}
	e.pool.cancelRun(a.id())
}

// unfinishedError returns the error for an answer that was not complete when its
// context was done. A try may have been sent.
func (e *Entry) unfinishedError() *peridotverdict.Error {
	if e.closing.Err() != nil {
		return shuttingDownError(peridotverdict.MayHaveRun)
	}
	return deadlinePassedError()
}

// writeComplete writes an answer only once it is complete.
func (e *Entry) writeComplete(ctx context.Context, w http.ResponseWriter, a *answer) {
	var body strings.Builder
	seen := 0
	for {
		chunks, end, err := a.timeline.Next(ctx, seen)
		if err != nil {
			e.refuse(w, e.unfinishedError(), a.id())
			return
		}
		seen += len(chunks)
		for _, chunk := range chunks {
			body.WriteString(chunk)
		}
		if end == nil {
			continue
		}
		if end.Err != nil {
			e.refuse(w, end.Err, a.id())
			return
		}
		header := w.Header()
		header.Set("Content-Type", end.ContentType)
		header.Set(headerRequestID, a.id())
		w.WriteHeader(end.Status)
		_, _ = io.WriteString(w, body.String())
		return
	}
}

// writeStream writes the chunks as numbered server-sent events.
func (e *Entry) writeStream(ctx context.Context, w http.ResponseWriter, a *answer) {
	written := 0
	for {
		chunks, end, err := a.timeline.Next(ctx, written)
		if err != nil {
			end = &peridotstream.End{Err: e.unfinishedError()}
		}
		if written == 0 && len(chunks) == 0 && end.Err != nil {
			e.refuse(w, end.Err, a.id())
			return
		}
		if written == 0 {
			startStream(w, a.id())
		}
		for _, chunk := range chunks {
			written++
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", a.checkpoint+written, chunk)
		}
		if end != nil {
			e.endStream(w, end, a.id())
			return
		}
		w.(http.Flusher).Flush()
	}
}

func startStream(w http.ResponseWriter, requestID string) {
	header := w.Header()
	header.Set("Content-Type", contentTypeEventStream)
	header.Set("Cache-Control", "no-store")
	header.Set(headerRequestID, requestID)
	w.WriteHeader(http.StatusOK)
}

// endStream writes the event that marks the answer as complete, or an error
// event with the reason why it is not.
func (e *Entry) endStream(w http.ResponseWriter, end *peridotstream.End, requestID string) {
	if end.Err == nil {
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	e.metrics.CountRefusal(end.Err.Code)
	body, err := json.Marshal(newRefusal(end.Err, requestID))
	if err == nil {
		fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
	}
}
