package peridotlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// queueCapacity is the maximum number of lines that wait for the writer. At 400
	// bytes per line, they take less than 1 MB.
	queueCapacity = 2048
	// debugLinesPerSecond and debugBurstLines limit the rate of lines at debug level,
	// which report successful requests.
	debugLinesPerSecond = 50.0
	debugBurstLines     = 100.0
	// summaryInterval is the time between two lines that report how many lines were
	// dropped or sampled out.
	summaryInterval = 5 * time.Second
	// flushTimeout is the maximum time that Serve waits for the writer once its
	// context is done.
	flushTimeout = 300 * time.Millisecond
)

// Handler is a log.Handler that queues lines until Serve writes them. It samples
// lines at debug level if their rate is too high. Make one with NewHandler. It is
// safe for concurrent use.
type Handler struct {
	queue chan []byte
	// droppedCount and sampledOutCount are the numbers of lines that were not written
	// since the last summary.
	droppedCount    atomic.Int64
	sampledOutCount atomic.Int64

	// mu guards the token bucket for lines at debug level.
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewHandler returns a Handler with an empty queue.
func NewHandler() *Handler {
	return &Handler{queue: make(chan []byte, queueCapacity), tokens: debugBurstLines, refilledAt: time.Now()}
}

// HandleLog implements log.Handler. It does not block and always returns nil. It
// drops the entry if the queue is full.
func (h *Handler) HandleLog(e *log.Entry) error {
	if e.Level == log.DebugLevel && !h.allowDebugLine(e.Timestamp) {
		h.sampledOutCount.Add(1)
		return nil
	}
	h.enqueue(encodeEntry(e))
	return nil
}

// enqueue adds a line to the queue, or drops it if the queue is full.
func (h *Handler) enqueue(line []byte) {
	select {
	case h.queue <- line:
	default:
		h.droppedCount.Add(1)
	}
}

// allowDebugLine takes a token from the bucket for lines at debug level, and
// reports whether there was one.
func (h *Handler) allowDebugLine(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = min(debugBurstLines, h.tokens+max(0, now.Sub(h.refilledAt).Seconds())*debugLinesPerSecond)
	h.refilledAt = now
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// encodeEntry returns the line for an entry: a JSON object and a newline.
func encodeEntry(e *log.Entry) []byte {
	var b bytes.Buffer
	b.WriteString(`{"time":"`)
	b.WriteString(e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"))
	b.WriteString(`","level":"` + e.Level.String() + `","message":`)
	writeValue(&b, e.Message)
	for _, name := range e.Fields.Names() {
		b.WriteByte(',')
		writeValue(&b, name)
		b.WriteByte(':')
		writeValue(&b, e.Fields.Get(name))
	}
	b.WriteString("}\n")
	return b.Bytes()
}

// writeValue writes the JSON encoding of value. A duration is written as a number
// of milliseconds.
func writeValue(b *bytes.Buffer, value any) {
	switch v := value.(type) {
	case error:
		value = v.Error()
	case time.Duration:
		value = v.Round(10*time.Microsecond).Seconds() * 1000
	}
	data, err := json.Marshal(value)
	if err != nil {
		data = []byte(`"unprintable"`)
	}
	b.Write(data)
}

// Serve writes queued lines to w until ctx is done. It then writes the lines that
// are still in the queue, and returns after flushTimeout at the latest, even if w
// blocks.
func (h *Handler) Serve(ctx context.Context, w io.Writer) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.writeLines(ctx, w)
	}()
	<-ctx.Done()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

func (h *Handler) writeLines(ctx context.Context, w io.Writer) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-h.queue:
			if _, err := w.Write(line); err != nil {
				h.droppedCount.Add(1)
			}
		case <-ticker.C:
			h.logSkippedLines()
		case <-ctx.Done():
			h.logSkippedLines()
			for {
				select {
				case line := <-h.queue:
					if _, err := w.Write(line); err != nil {
						return
					}
				default:
					return
				}
			}
		}
	}
}

// logSkippedLines logs the numbers of lines that were dropped and sampled out since
// its last call, if there were any.
func (h *Handler) logSkippedLines() {
	dropped, sampled := h.droppedCount.Swap(0), h.sampledOutCount.Swap(0)
	if dropped == 0 && sampled == 0 {
		return
	}
	fields := log.Fields{"dropped": dropped, "sampled": sampled}
	h.enqueue(encodeEntry(&log.Entry{Level: log.InfoLevel, Message: "log: left out lines", Timestamp: time.Now(), Fields: fields}))
}
