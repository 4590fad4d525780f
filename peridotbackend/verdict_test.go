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

// breakingServer is a backend server that closes every connection at a given point.
// It counts the requests that it received completely, which it is considered to
// have run.
type breakingServer struct {
	breakAt  breakPoint
	listener net.Listener

	mu       sync.Mutex
	runCount int
	wg       sync.WaitGroup
}

// breakPoint is the point at which a breakingServer closes the connection.
type breakPoint int

const (
	beforeAccept breakPoint = iota
	afterAccept
	afterRequestHead
	afterRequestBody
	afterAnswerHead
	withinAnswerBody
	never
)

var breakPointNames = []string{"before accept", "after accept", "after the request head", "after the request body", "after the answer head", "within the answer body", "never"}

func startBreakingServer(t *testing.T, point breakPoint) *breakingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &breakingServer{breakAt: point, listener: listener}
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

// serve handles one request until the break point.
func (b *breakingServer) serve(conn net.Conn) {
	defer conn.Close()
	if b.breakAt == afterAccept {
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || b.breakAt == afterRequestHead {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.mu.Lock()
	b.runCount++
	b.mu.Unlock()
	b.answer(conn, r.URL.Path)
}

// answer sends an event stream for a completion and JSON for any other request,
// until the break point.
func (b *breakingServer) answer(conn net.Conn, path string) {
	if b.breakAt == afterRequestBody {
		return
	}
	first, second, kind := "{\"Done\":", "true}", contentTypeJSON
	if path == "/v1/completions" {
		first, second, kind = "data: {\"n\":1}\n\n", "data: {\"n\":2}\n\ndata: [DONE]\n\n", contentTypeEventStream
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", kind, len(first)+len(second))
	if b.breakAt == afterAnswerHead {
		return
	}
	io.WriteString(conn, first)
	if b.breakAt == withinAnswerBody {
		return
	}
	io.WriteString(conn, second)
}

func (b *breakingServer) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runCount
}

// TestVerdictMatchesRuns closes the connection at every point and checks that the
// verdict agrees with the number of requests that the backend server ran.
func TestVerdictMatchesRuns(t *testing.T) {
	for _, kind := range []string{"engine", "stream", "service"} {
		for point := beforeAccept; point <= never; point++ {
			b := startBreakingServer(t, point)
			end := runOnce(t.Context(), b, kind)
			checkVerdict(t, kind+", "+breakPointNames[point], end, b.runs(), point == never)
			if point == beforeAccept && peridotverdict.Of(end.Err) != peridotverdict.NotRun {
				t.Errorf("%s, %s: got %v, want NotRun", kind, breakPointNames[point], end.Err)
			}
		}
	}
}

// runOnce sends one request that is not idempotent to b.
func runOnce(ctx context.Context, b *breakingServer, kind string) peridotstream.End {
	address := b.listener.Addr().String()
	r := Request{ID: "a~1", Method: http.MethodPost, Path: "/push", Body: "{\"Hymn\":42}", IdempotencyKey: "push-1"}
	var backend Backend = NewService(address)
	if kind != "service" {
		r.Path, r.Stream = "/v1/completions", kind == "stream"
		backend = NewEngine(address)
	}
	var timeline peridotstream.Timeline
	Run(ctx, backend, r, &timeline)
	return *timeline.End()
}

// checkVerdict checks that the verdict of end agrees with the number of runs.
func checkVerdict(t *testing.T, name string, end peridotstream.End, runs int, wantSuccess bool) {
	t.Helper()
	if wantSuccess {
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
			t.Errorf("%s: got %v, but the request ran", name, end.Err)
		}
	case peridotverdict.Ran:
		if runs != 1 {
			t.Errorf("%s: got %v, but the request did not run", name, end.Err)
		}
	}
}

// TestReusedConnectionBreaks closes a connection on which an earlier request
// succeeded. In this case an HTTP client may send the request a second time, which
// must not happen.
func TestReusedConnectionBreaks(t *testing.T) {
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
		first, body := runRequest(t, service, r)
		if want := r.Body + " <nil>"; first.Err != nil || body != want {
			t.Errorf("%s with %q: got %q, %v, want %q", r.Method, r.Body, body, first.Err, want)
		}
		second, _ := runRequest(t, service, r)
		if peridotverdict.Of(second.Err) != peridotverdict.MayHaveRun {
			t.Errorf("%s with %q on a broken connection: got %v, want MayHaveRun", r.Method, r.Body, second.Err)
		}
		if got, want := runs.Load(), int64(2); got != want {
			t.Errorf("%s with %q: got %d runs, want %d", r.Method, r.Body, got, want)
		}
		server.Close()
	}
}

// runRequest runs r on b and returns the end and the body of the answer.
func runRequest(t *testing.T, b Backend, r Request) (peridotstream.End, string) {
	t.Helper()
	var timeline peridotstream.Timeline
	Run(t.Context(), b, r, &timeline)
	chunks, end, err := timeline.Next(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	return *end, strings.Join(chunks, "")
}

// TestVerdictOfCanceledRequest cancels a request before it is sent.
func TestVerdictOfCanceledRequest(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	b := startBreakingServer(t, never)
	checkVerdict(t, "canceled before sending", runOnce(canceled, b, "service"), b.runs(), false)
}
