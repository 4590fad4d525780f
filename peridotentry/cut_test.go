package peridotentry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"peridotstack/peridotagent"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// direction is that of the bytes that a cutter counts.
type direction string

const (
	toAgent   direction = "to the agent"
	fromAgent direction = "from the agent"
)

// cutter stands between an entry and an agent and cuts their connection once.
type cutter struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	armed bool
	way   direction
	left  int
}

func startCutter(t *testing.T, target string) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{target: target, listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", c.target)
			if err != nil {
				from.Close()
				continue
			}
			go c.pass(from, to, toAgent)
			go c.pass(to, from, fromAgent)
		}
	}()
	return c
}

// cutAfter lets n more bytes pass one way.
func (c *cutter) cutAfter(n int, way direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed, c.left, c.way = true, n, way
}

// allow returns how many of n bytes may pass, and whether the cut follows.
func (c *cutter) allow(n int, way direction) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.armed || c.way != way {
		return n, false
	}
	if n < c.left {
		c.left -= n
		return n, false
	}
	c.armed = false
	return c.left, true
}

func (c *cutter) pass(from, to net.Conn, way direction) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		n, cut := c.allow(n, way)
		if _, err := to.Write(buffer[:n]); err != nil || cut {
			return
		}
	}
}

// behindCutter returns an entry that reaches a real agent through a cutter.
func behindCutter(t *testing.T, s peridotsettings.Agent, model, service string) (*Entry, string, *cutter) {
	t.Helper()
	s.Instance = "a"
	agent := peridotagent.New(s, &peridottable.Memory{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &peridotwire.Server{Listener: listener, Handler: agent}
	go func() { _ = server.Serve(t.Context()) }()
	c := startCutter(t, listener.Addr().String())
	e, key := entryTo(t, place{instance: "a", address: c.listener.Addr().String(), model: model, service: service})
	return e, key, c
}

// TestCutPush cuts the connection to the agent at many points of a push, and
// compares what the caller is told with what the plain service ran.
func TestCutPush(t *testing.T) {
	for _, way := range []direction{toAgent, fromAgent} {
		for n := 1; n <= 701; n += 50 {
			t.Run(fmt.Sprintf("%d bytes %s", n, way), func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int64
				service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					_, _ = io.Copy(w, r.Body)
				}))
				defer service.Close()
				e, key, c := behindCutter(t, peridotsettings.Agent{ServiceAddress: service.Listener.Addr().String()}, "", testService)
				c.cutAfter(n, way)
				w := ask(e, key, push, "42")
				got := runs.Load()
				switch {
				case got > 1:
					t.Errorf("runs: got %d, want at most 1", got)
				case w.Code == http.StatusOK && (got != 1 || w.Body.String() != "42"):
					t.Errorf("got %q after %d runs, want 42 after 1", w.Body, got)
				case strings.Contains(w.Body.String(), peridotverdict.NotRun.String()) && got != 0:
					t.Errorf("got %s after %d runs, want none", w.Body, got)
				}
			})
		}
	}
}

// TestCutStream cuts the connection at many points of a stream. The caller gets
// each token of one run once, or a final error.
func TestCutStream(t *testing.T) {
	for n := 1; n <= 2001; n += 100 {
		t.Run(fmt.Sprintf("%d bytes", n), func(t *testing.T) {
			t.Parallel()
			engine := peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: testModel})
			server := httptest.NewServer(engine.Handler())
			defer server.Close()
			e, key, c := behindCutter(t, peridotsettings.Agent{EngineAddress: server.Listener.Addr().String()}, testModel, "")
			c.cutAfter(n, fromAgent)
			body := ask(e, key, completions, streamBody).Body.String()
			if strings.HasSuffix(body, "data: [DONE]\n\n") {
				checkTokens(t, body, 8)
			} else if strings.Contains(body, "id: 1\n") || !strings.Contains(body, `"verdict":`) {
				t.Errorf("got %q, want the end mark, or an error in place of an answer", body)
			}
		})
	}
}

// checkTokens checks that a stream holds each token of one request once.
func checkTokens(t *testing.T, body string, tokens int) {
	t.Helper()
	_, rest, _ := strings.Cut(body, `"id":"`)
	id, _, _ := strings.Cut(rest, `"`)
	if got, want := strings.Count(body, "id: "), tokens+1; got != want {
		t.Errorf("events: got %d in %q, want %d", got, body, want)
	}
	for i := range tokens {
		if got := strings.Count(body, `"`+peridotstandin.Token(id, i)+`"`); got != 1 {
			t.Errorf("token %d of %s: got it %d times in %q, want once", i, id, got, body)
		}
	}
}
