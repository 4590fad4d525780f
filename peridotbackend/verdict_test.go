package peridotbackend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
)

// breaking is a backend server that breaks every connection at one point. It
// counts the requests that it got whole, which it then has run.
type breaking struct {
	point    breakPoint
	listener net.Listener

	mu   sync.Mutex
	runs int
	wg   sync.WaitGroup
}

// breakPoint is where a breaking server closes the connection.
type breakPoint int

const (
	beforeAccept breakPoint = iota
	afterAccept
	afterHead
	afterBody
	afterStatus
	halfway
	never
)

var breakNames = []string{"before accept", "after accept", "after the head", "after the body", "after the status", "halfway through the answer", "never"}

func startBreaking(t *testing.T, point breakPoint) *breaking {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breaking{point: point, listener: listener}
	if point == beforeAccept {
		listener.Close()
		return b
	}
	b.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.wg.Go(func() { b.serve(conn) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		b.wg.Wait()
	})
	return b
}

// serve takes one request, up to the point.
func (b *breaking) serve(conn net.Conn) {
	defer conn.Close()
	if b.point == afterAccept {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || b.point == afterHead {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.runs++
	b.mu.Unlock()
	b.answer(conn, r.URL.Path)
}

// answer sends a stream to a completion and JSON to any other call.
func (b *breaking) answer(conn net.Conn, path string) {
	if b.point == afterBody {
		return
	}
	first, second, kind := "{\"Done\":", "true}", typeJSON
	if path == "/v1/completions" {
		first, second, kind = "data: {\"n\":1}\n\n", "data: {\"n\":2}\n\ndata: [DONE]\n\n", typeEventStream
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", kind, len(first)+len(second))
	if b.point == afterStatus {
		return
	}
	io.WriteString(conn, first)
	if b.point == halfway {
		return
	}
	io.WriteString(conn, second)
}

func (b *breaking) ran() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

// TestVerdictIsTrue breaks off at every point and compares the verdict with
// what the backend server ran.
func TestVerdictIsTrue(t *testing.T) {
	for _, kind := range []string{"engine", "stream", "service"} {
		for point := beforeAccept; point <= never; point++ {
			b := startBreaking(t, point)
			end := runOnce(t.Context(), b, kind)
			checkVerdict(t, kind+", "+breakNames[point], end, b.ran(), point == never)
			if point == beforeAccept && peridotverdict.Of(end.Err) != peridotverdict.NotRun {
				t.Errorf("%s, %s: got %v, want NotRun", kind, breakNames[point], end.Err)
			}
		}
	}
}

// runOnce runs one request that may run at most once.
func runOnce(ctx context.Context, b *breaking, kind string) peridotstream.End {
	address := b.listener.Addr().String()
	r := Request{ID: "a~1", Method: http.MethodPost, Path: "/push", Body: "{\"Hymn\":42}", IdempotencyKey: "push-1"}
	var backend Backend = NewService(address)
	if kind != "service" {
		r.Path, r.Stream = "/v1/completions", kind == "stream"
		backend = NewEngine(address)
	}
	var timeline peridotstream.Timeline
	Run(ctx, backend, r, &timeline)
	return *timeline.Ended()
}

func checkVerdict(t *testing.T, name string, end peridotstream.End, runs int, whole bool) {
	t.Helper()
	if whole {
		if end.Err != nil || runs != 1 {
			t.Errorf("%s: got %v and %d runs, want no error and 1", name, end.Err, runs)
		}
		return
	}
	if end.Err == nil {
		t.Errorf("%s: got no error, want one", name)
		return
	}
	if runs > 1 {
		t.Errorf("%s: got %d runs, want at most 1", name, runs)
	}
	switch end.Err.Verdict {
	case peridotverdict.NotRun:
		if runs != 0 {
			t.Errorf("%s: got %v but it ran", name, end.Err)
		}
	case peridotverdict.Ran:
		if runs != 1 {
			t.Errorf("%s: got %v but it did not run", name, end.Err)
		}
	}
}

// TestOldConnection breaks a connection that was kept alive after an earlier
// call, which tempts an HTTP client to send the request again.
func TestOldConnection(t *testing.T) {
	tests := []Request{
		{Method: http.MethodPost, Path: "/push", Body: "42", IdempotencyKey: "push-1"},
		{Method: http.MethodPost, Path: "/push", IdempotencyKey: "push-1"},
		{Method: http.MethodPut, Path: "/push", IdempotencyKey: "push-1"},
		{Method: http.MethodGet, Path: "/next", IdempotencyKey: "push-1"},
		{Method: http.MethodDelete, Path: "/board"},
	}
	for _, r := range tests {
		var runs atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got, err := io.ReadAll(r.Body)
			if runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "%s %v", got, err)
		}))
		service := NewService(server.Listener.Addr().String())
		first, body := runOn(t, service, r)
		if want := r.Body + " <nil>"; first.Err != nil || body != want {
			t.Errorf("%s with %q: got %q, %v, want %q", r.Method, r.Body, body, first.Err, want)
		}
		second, _ := runOn(t, service, r)
		if peridotverdict.Of(second.Err) != peridotverdict.MayHaveRun {
			t.Errorf("%s with %q, broken off: got %v, want MayHaveRun", r.Method, r.Body, second.Err)
		}
		if got, want := runs.Load(), int64(2); got != want {
			t.Errorf("%s with %q: got %d runs, want %d", r.Method, r.Body, got, want)
		}
		server.Close()
	}
}

// runOn runs r and returns its end and answer.
func runOn(t *testing.T, b Backend, r Request) (peridotstream.End, string) {
	t.Helper()
	var timeline peridotstream.Timeline
	Run(t.Context(), b, r, &timeline)
	chunks, end, err := timeline.Next(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	return *end, strings.Join(chunks, "")
}

// TestVerdictOnCancel cancels a call before it is sent.
func TestVerdictOnCancel(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	b := startBreaking(t, never)
	checkVerdict(t, "canceled before", runOnce(canceled, b, "service"), b.ran(), false)
}
