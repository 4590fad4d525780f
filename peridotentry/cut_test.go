package peridotentry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"peridotstack/peridotagent"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"

	"peridotstack/peridotseed"
)

// cutDirection is the direction of the bytes that a cuttingProxy counts.
type cutDirection string

const (
	toAgent   cutDirection = "to the agent"
	fromAgent cutDirection = "from the agent"
)

// cutPoint makes a proxy close a connection once bytesLeft bytes have passed in
// one direction.
type cutPoint struct {
	bytesLeft int
	direction cutDirection
}

// cuttingProxy forwards connections between an entry instance and an agent and
// closes them at the planned cut points, one after the other.
type cuttingProxy struct {
	target   string
	listener net.Listener

	mu   sync.Mutex
	cuts []cutPoint
}

func startCuttingProxy(t *testing.T, target string) *cuttingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cuttingProxy{target: target, listener: listener}
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
			go c.forward(from, to, toAgent)
			go c.forward(to, from, fromAgent)
		}
	}()
	return c
}

// planCuts appends cut points.
func (c *cuttingProxy) planCuts(cuts ...cutPoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts = append(c.cuts, cuts...)
}

// allowedBytes returns how many of the next n bytes to forward, and whether to
// close the connection after them.
func (c *cuttingProxy) allowedBytes(n int, direction cutDirection) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cuts) == 0 || c.cuts[0].direction != direction {
		return n, false
	}
	next := &c.cuts[0]
	if n < next.bytesLeft {
		next.bytesLeft -= n
		return n, false
	}
	n = next.bytesLeft
	c.cuts = c.cuts[1:]
	return n, true
}

func (c *cuttingProxy) forward(from, to net.Conn, direction cutDirection) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		n, cut := c.allowedBytes(n, direction)
		if _, err := to.Write(buffer[:n]); err != nil || cut {
			return
		}
	}
}

// entryBehindProxy returns an entry instance that is connected to a real agent
// through a cuttingProxy, and the key of its client account.
func entryBehindProxy(t *testing.T, s peridotsettings.Agent, model, service string) (*Entry, string, *cuttingProxy) {
	t.Helper()
	s.Instance = "a"
	s.PeerAddress = reserveAddress(t)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- peridotagent.New(s, &peridottable.Memory{}).Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Errorf("agent: got %v, want nil", err)
		}
	})
	c := startCuttingProxy(t, s.PeerAddress)
	e, key := entryToEndpoints(t, agentEndpoint{instance: "a", address: c.listener.Addr().String(), model: model, service: service})
	return e, key, c
}

// reservedAddresses is the number of addresses that reserveAddress has returned.
var reservedAddresses atomic.Int64

// reserveAddress returns a free port at a loopback address that no other test
// uses, so that no other socket takes the port before the test listens on it.
func reserveAddress(t *testing.T) string {
	t.Helper()
	n := reservedAddresses.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n/250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// remainingCuts returns the number of cut points not yet reached.
func (c *cuttingProxy) remainingCuts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cuts)
}

// checkSent fails the test if a request was refused with NoBackend although no
// connection was closed. A connection may be closed during a heartbeat just before
// the request, and NoBackend is then correct.
func checkSent(t *testing.T, c *cuttingProxy, planned int, answer string) {
	t.Helper()
	if c.remainingCuts() == planned && strings.Contains(answer, string(peridotverdict.NoBackend)) {
		t.Errorf("got %q although no connection was closed, want the request sent", answer)
	}
}

// checkPushThroughCuts sends one push through a proxy with the given cut points
// and compares the caller's response with the runs at the plain service.
func checkPushThroughCuts(t *testing.T, cuts ...cutPoint) {
	var runs atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	defer service.Close()
	e, key, c := entryBehindProxy(t, peridotsettings.Agent{ServiceAddress: service.Listener.Addr().String()}, "", testService)
	c.planCuts(cuts...)
	w := ask(e, key, pushPath, "42")
	checkSent(t, c, len(cuts), w.Body.String())
	got := runs.Load()
	switch {
	case got > 1:
		t.Errorf("runs: got %d, want at most 1", got)
	case w.Code == http.StatusOK && (got != 1 || w.Body.String() != "42"):
		t.Errorf("got %q after %d runs, want 42 after 1", w.Body, got)
	case strings.Contains(w.Body.String(), peridotverdict.NotRun.String()) && got != 0:
		t.Errorf("got %s after %d runs, want none", w.Body, got)
	}
}

// checkStreamThroughCuts requests a stream through a proxy with the given cut
// points and returns the response body. It checks that the caller receives each
// token of one run exactly once, or an error.
func checkStreamThroughCuts(t *testing.T, cuts ...cutPoint) string {
	engine := peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: testModel})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	e, key, c := entryBehindProxy(t, peridotsettings.Agent{EngineAddress: server.Listener.Addr().String()}, testModel, "")
	c.planCuts(cuts...)
	body := ask(e, key, completionsPath, streamRequestBody).Body.String()
	checkSent(t, c, len(cuts), body)
	if strings.HasSuffix(body, "data: [DONE]\n\n") {
		checkTokens(t, body, 8)
	} else if !strings.Contains(body, `"verdict":`) {
		t.Errorf("got %q, want [DONE] or an error", body)
	}
	return body
}

// TestPushThroughCuts closes the connection to the agent at many points of a
// push.
func TestPushThroughCuts(t *testing.T) {
	for _, direction := range []cutDirection{toAgent, fromAgent} {
		for n := 1; n <= 701; n += 50 {
			t.Run(fmt.Sprintf("%d bytes %s", n, direction), func(t *testing.T) {
				t.Parallel()
				checkPushThroughCuts(t, cutPoint{n, direction})
			})
		}
	}
}

// TestStreamThroughCuts closes the connection to the agent at many points of a
// stream. A stream that has started must be completed.
func TestStreamThroughCuts(t *testing.T) {
	for n := 1; n <= 2001; n += 100 {
		t.Run(fmt.Sprintf("%d bytes", n), func(t *testing.T) {
			t.Parallel()
			body := checkStreamThroughCuts(t, cutPoint{n, fromAgent})
			if strings.Contains(body, "id: 1\n") && strings.Contains(body, `"verdict":`) {
				t.Errorf("got %q, want [DONE], or an error and no answer", body)
			}
		})
	}
}

// TestTwoCuts closes two connections at random points.
func TestTwoCuts(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			var cuts []cutPoint
			for range 2 {
				direction := []cutDirection{toAgent, fromAgent}[random.IntN(2)]
				cuts = append(cuts, cutPoint{1 + random.IntN(1200), direction})
			}
			if seed%2 == 0 {
				checkPushThroughCuts(t, cuts...)
			} else {
				checkStreamThroughCuts(t, cuts...)
			}
		})
	}
}

// checkTokens checks that a stream contains each token of one request exactly
// once.
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

// TestResume resumes a completed answer after its third event, with the key of
// the account that it belongs to and with the key of another account.
func TestResume(t *testing.T) {
	engine := peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: testModel})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	e, key, _ := entryBehindProxy(t, peridotsettings.Agent{EngineAddress: server.Listener.Addr().String()}, testModel, "")
	otherKey := addAccount(t, e, "capela")
	complete := ask(e, key, completionsPath, streamRequestBody)
	id := complete.Header().Get(headerRequestID)
	events := strings.SplitAfter(complete.Body.String(), "\n\n")
	tests := []struct {
		name string
		key  string
		want int
	}{
		{"key of the same account", key, http.StatusOK},
		{"key of another account", otherKey, http.StatusNotFound},
	}
	for _, test := range tests {
		r := httptest.NewRequest(http.MethodGet, requestPrefix+id, nil)
		r.Header.Set("Authorization", bearerPrefix+test.key)
		r.Header.Set(headerLastEventID, "3")
		w := httptest.NewRecorder()
		e.serveCaller(w, r)
		if w.Code != test.want {
			t.Errorf("%s: got status %d (%s), want %d", test.name, w.Code, w.Body, test.want)
		}
		if got, want := w.Body.String(), strings.Join(events[3:], ""); w.Code == http.StatusOK && got != want {
			t.Errorf("%s: got %q, want %q", test.name, got, want)
		}
		if strings.Contains(w.Body.String(), "choices") && test.want != http.StatusOK {
			t.Errorf("%s: got %q, want no part of the answer", test.name, w.Body)
		}
	}
}
