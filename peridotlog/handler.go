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
	// defaultQueue is how many lines may wait for the writer; at 400 bytes each
	// they take under 1 MB.
	defaultQueue = 2048
	// routineRate and routineBurst bound the lines a second at debug level, which
	// tell of requests that went well.
	routineRate  = 50.0
	routineBurst = 100.0
	// summaryInterval is the time between two lines that tell what was left out.
	summaryInterval = 5 * time.Second
	// flushTimeout bounds the wait for the writer at the end of the process.
	flushTimeout = 300 * time.Millisecond
)

// Handler is a log.Handler. Make one with NewHandler; it is safe for concurrent
// use. Lines at debug level are sampled when they come too fast.
type Handler struct {
	lines   chan []byte
	dropped atomic.Int64
	sampled atomic.Int64

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// NewHandler returns a handler whose lines wait in a queue until Serve writes
// them.
func NewHandler() *Handler {
	return &Handler{lines: make(chan []byte, defaultQueue), tokens: routineBurst, at: time.Now()}
}

// HandleLog implements log.Handler. It never waits.
func (h *Handler) HandleLog(e *log.Entry) error {
	if e.Level == log.DebugLevel && !h.take(e.Timestamp) {
		h.sampled.Add(1)
		return nil
	}
	h.put(encode(e))
	return nil
}

func (h *Handler) put(line []byte) {
	select {
	case h.lines <- line:
	default:
		h.dropped.Add(1)
	}
}

// take pays for one routine line.
func (h *Handler) take(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = min(routineBurst, h.tokens+max(0, now.Sub(h.at).Seconds())*routineRate)
	h.at = now
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

func encode(e *log.Entry) []byte {
	var b bytes.Buffer
	b.WriteString(`{"time":"`)
	b.WriteString(e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"))
	b.WriteString(`","level":"` + e.Level.String() + `","message":`)
	write(&b, e.Message)
	for _, name := range e.Fields.Names() {
		b.WriteByte(',')
		write(&b, name)
		b.WriteByte(':')
		write(&b, e.Fields.Get(name))
	}
	b.WriteString("}\n")
	return b.Bytes()
}

func write(b *bytes.Buffer, value any) {
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

// Serve writes the lines to w until ctx is done, then those that wait, as far as
// w takes them in a short time.
func (h *Handler) Serve(ctx context.Context, w io.Writer) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.write(ctx, w)
	}()
	<-ctx.Done()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

func (h *Handler) write(ctx context.Context, w io.Writer) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-h.lines:
			if _, err := w.Write(line); err != nil {
				h.dropped.Add(1)
			}
		case <-ticker.C:
			h.summarize()
		case <-ctx.Done():
			h.summarize()
			for {
				select {
				case line := <-h.lines:
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

// summarize tells what was left out since the last time.
func (h *Handler) summarize() {
	dropped, sampled := h.dropped.Swap(0), h.sampled.Swap(0)
	if dropped == 0 && sampled == 0 {
		return
	}
	fields := log.Fields{"dropped": dropped, "sampled": sampled}
	h.put(encode(&log.Entry{Level: log.InfoLevel, Message: "log: left out lines", Timestamp: time.Now(), Fields: fields}))
}
