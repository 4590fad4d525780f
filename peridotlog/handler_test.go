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

func newEntry(level log.Level, message string, fields log.Fields) *log.Entry {
	return &log.Entry{Level: level, Message: message, Fields: fields, Timestamp: time.Unix(1, 0)}
}

// handleAndDecode calls write with a new handler and returns the decoded lines that
// the handler then writes.
func handleAndDecode(t *testing.T, write func(h *Handler)) []map[string]any {
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

func TestLineEncoding(t *testing.T) {
	lines := handleAndDecode(t, func(h *Handler) {
		_ = h.HandleLog(newEntry(log.WarnLevel, "part: \"x\"", log.Fields{"ms": 1500 * time.Microsecond, "error": errors.New("no\nroute"), "n": 3}))
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

// TestDebugLinesAreSampled tests that the rate of lines at debug level is limited,
// that the number of lines sampled out is logged, and that no line at info level is
// missing.
func TestDebugLinesAreSampled(t *testing.T) {
	const debugLines, infoLines = 500, 20
	lines := handleAndDecode(t, func(h *Handler) {
		for range debugLines {
			_ = h.HandleLog(newEntry(log.DebugLevel, "d", nil))
		}
		for range infoLines {
			_ = h.HandleLog(newEntry(log.InfoLevel, "i", nil))
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
	if count["i"] != infoLines || count["d"] > debugBurstLines || count["d"]+int(sampled) != debugLines {
		t.Errorf("got %d debug lines, %v reported as sampled out, and %d info lines; want %d debug lines in total, at most %v of them written, and %d info lines", count["d"], sampled, count["i"], debugLines, debugBurstLines, infoLines)
	}
}

// blockedWriter is a writer whose Write never returns.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// TestBlockedWriterDoesNotBlockHandler tests that neither HandleLog nor the end of
// Serve blocks if the writer blocks and more lines are logged than the queue can
// contain.
func TestBlockedWriterDoesNotBlockHandler(t *testing.T) {
	h := NewHandler()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	served := make(chan struct{})
	go func() {
		defer close(served)
		h.Serve(ctx, blockedWriter{})
	}()
	handled := make(chan struct{})
	go func() {
		defer close(handled)
		for range 3 * queueCapacity {
			_ = h.HandleLog(newEntry(log.InfoLevel, "x", nil))
		}
	}()
	awaitClosed(t, "writing lines", handled)
	stop()
	awaitClosed(t, "stopping", served)
	if h.droppedCount.Load() == 0 {
		t.Error("got no dropped lines, want some")
	}
}

func awaitClosed(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Errorf("%s: got no end within 10 s, want one although the writer blocks", what)
	}
}

func BenchmarkLine(b *testing.B) {
	fields := log.Fields{"request": "9c41d07be2a35f68", "route": "r-ieispux", "backend": "i-7f3a91c2", "ms": time.Second, "status": 200}
	for name, w := range map[string]io.Writer{"read": io.Discard, "stuck": blockedWriter{}} {
		b.Run(name, func(b *testing.B) {
			h := NewHandler()
			ctx, stop := context.WithCancel(b.Context())
			defer stop()
			go h.Serve(ctx, w)
			for b.Loop() {
				_ = h.HandleLog(newEntry(log.InfoLevel, "front: refused", fields))
			}
		})
	}
}
