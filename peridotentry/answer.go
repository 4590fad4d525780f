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
	"peridotstack/peridotwire"
)

// answer is what the caller of one request gets, from one try or several.
type answer struct {
	timeline peridotstream.Timeline
	stream   bool
	// after is how many chunks the caller already had.
	after int
	// idempotent requests are canceled when their caller goes away.
	idempotent bool
	// resumable answers go on without their caller, who may come back for them.
	resumable bool

	mu        sync.Mutex
	requestID string
}

func newAnswer(stream, idempotent bool, after int) *answer {
	a := &answer{stream: stream, idempotent: idempotent, after: after}
	a.timeline.MaxBytes = maxAnswer
	return a
}

// id returns the id of the try under way, or of the last.
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

// serveAnswer has an answer made and writes it as it comes.
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
		e.writeWhole(ctx, w, a)
	}
	if ctx.Err() != nil {
		e.cancelRun(a)
	}
}

// cancelRun tells the agent that nobody waits for the answer any more. A
// request that runs at most once goes on, for its caller may ask again.
func (e *Entry) cancelRun(a *answer) {
	if !a.idempotent || a.resumable {
		return
	}
	requestID := a.id()
	instance, _ := agentOf(requestID)
	if peer := e.pool.peerOf(instance); peer != nil {
		_ = peer.Notify(context.Background(), peridotwire.MethodCancel, peridotwire.Cancel{RequestID: requestID})
	}
}

// writeWhole writes an answer only once it is known to be whole.
func (e *Entry) writeWhole(ctx context.Context, w http.ResponseWriter, a *answer) {
	var body strings.Builder
	seen := 0
	for {
		chunks, end, err := a.timeline.Next(ctx, seen)
		if err != nil {
			e.refuse(w, deadlinePassed(), a.id())
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

// writeStream writes chunks as numbered server-sent events.
func (e *Entry) writeStream(ctx context.Context, w http.ResponseWriter, a *answer) {
	written := 0
	for {
		chunks, end, err := a.timeline.Next(ctx, written)
		if err != nil {
			end = &peridotstream.End{Err: deadlinePassed()}
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
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", a.after+written, chunk)
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
	header.Set("Content-Type", typeEventStream)
	header.Set("Cache-Control", "no-store")
	header.Set(headerRequestID, requestID)
	w.WriteHeader(http.StatusOK)
}

// endStream marks the answer as whole, or says why it is not.
func (e *Entry) endStream(w http.ResponseWriter, end *peridotstream.End, requestID string) {
	if end.Err == nil {
		fmt.Fprint(w, "data: [DONE]\n\n")
		return
	}
	e.metrics.Refused(end.Err.Code)
	body, err := json.Marshal(refusal(end.Err, requestID))
	if err == nil {
		fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
	}
}
