package peridotlog

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
)

func entry(level log.Level, message string, fields log.Fields) *log.Entry {
	return &log.Entry{Level: level, Message: message, Fields: fields, Timestamp: time.Unix(1, 0)}
}

// run writes lines with a handler and returns them decoded.
func run(t *testing.T, write func(h *Handler)) []map[string]any {
	t.Helper()
	h := NewHandler()
	write(h)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var b strings.Builder
	h.Serve(ctx, &b)
	var lines []map[string]any
	scanner := bufio.NewScanner(strings.NewReader(b.String()))
	for scanner.Scan() {
		var line map[string]any
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			t.Fatalf("line %q: got %v, want JSON", scanner.Text(), err)
		}
		lines = append(lines, line)
	}
	return lines
}

func TestLine(t *testing.T) {
	lines := run(t, func(h *Handler) {
		_ = h.HandleLog(entry(log.WarnLevel, "part: \"x\"", log.Fields{"ms": 1500 * time.Microsecond, "error": errors.New("no\nroute"), "n": 3}))
	})
	if len(lines) != 1 {
		t.Fatalf("got %d lines, want 1", len(lines))
	}
	want := map[string]any{"time": "1970-01-01T00:00:01.000Z", "level": "warn", "message": "part: \"x\"", "ms": 1.5, "error": "no\nroute", "n": 3.0}
	for name, value := range want {
		if got := lines[0][name]; got != value {
			t.Errorf("%s: got %v, want %v", name, got, value)
		}
	}
}

// TestRoutineLinesAreSampled writes more lines at debug level than are allowed,
// and a few of the others, of which none may be missing.
func TestRoutineLinesAreSampled(t *testing.T) {
	const routine, others = 500, 20
	lines := run(t, func(h *Handler) {
		for range routine {
			_ = h.HandleLog(entry(log.DebugLevel, "d", nil))
		}
		for range others {
			_ = h.HandleLog(entry(log.InfoLevel, "i", nil))
		}
	})
	count := make(map[string]int)
	sampled := 0.0
	for _, line := range lines {
		count[line["message"].(string)]++
		if n, ok := line["sampled"].(float64); ok {
			sampled += n
		}
	}
	if count["i"] != others || count["d"] > routineBurst || count["d"]+int(sampled) != routine {
		t.Errorf("got %d routine lines, %v said to be left out, and %d others; want %d in sum, %v at most, %d", count["d"], sampled, count["i"], routine, routineBurst, others)
	}
}

// stuck is a writer that never returns.
type stuck struct{}

func (stuck) Write([]byte) (int, error) { select {} }

// TestStuckOutputBlocksNobody writes far more lines than the queue holds to an
// output that nobody reads, and then stops.
func TestStuckOutputBlocksNobody(t *testing.T) {
	h := NewHandler()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	served := make(chan struct{})
	go func() {
		defer close(served)
		h.Serve(ctx, stuck{})
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * defaultQueue {
			_ = h.HandleLog(entry(log.InfoLevel, "x", nil))
		}
	}()
	awaitEnd(t, "writing lines", written)
	stop()
	awaitEnd(t, "stopping", served)
	if h.dropped.Load() == 0 {
		t.Error("got no dropped lines, want some")
	}
}

func awaitEnd(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Errorf("%s: got no end, want one in spite of a stuck output", what)
	}
}

func BenchmarkLine(b *testing.B) {
	fields := log.Fields{"request": "9c41d07be2a35f68", "route": "r-ieispux", "backend": "i-7f3a91c2", "ms": time.Second, "status": 200}
	for name, w := range map[string]io.Writer{"read": io.Discard, "stuck": stuck{}} {
		b.Run(name, func(b *testing.B) {
			h := NewHandler()
			ctx, stop := context.WithCancel(b.Context())
			defer stop()
			go h.Serve(ctx, w)
			for b.Loop() {
				_ = h.HandleLog(entry(log.InfoLevel, "front: refused", fields))
			}
		})
	}
}
