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

// direction is that of the bytes that a cutter counts.
type direction string

const (
	toAgent   direction = "to the agent"
	fromAgent direction = "from the agent"
)

// cut breaks a connection once that many bytes have passed one way.
type cut struct {
	left int
	way  direction
}

// cutter stands between an entry and an agent and cuts their connections, one
// cut after the other.
type cutter struct {
	target   string
	listener net.Listener

	mu   sync.Mutex
	cuts []cut
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

// cutAfter plans cuts.
func (c *cutter) cutAfter(cuts ...cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts = append(c.cuts, cuts...)
}

// allow returns how many of n bytes may pass, and whether a cut follows.
func (c *cutter) allow(n int, way direction) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cuts) == 0 || c.cuts[0].way != way {
		return n, false
	}
	next := &c.cuts[0]
	if n < next.left {
		next.left -= n
		return n, false
	}
	n = next.left
	c.cuts = c.cuts[1:]
	return n, true
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
	s.PeerAddress = ownAddress(t)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- peridotagent.New(s, &peridottable.Memory{}).Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Errorf("agent: got %v, want nil", err)
		}
	})
	c := startCutter(t, s.PeerAddress)
	e, key := entryTo(t, place{instance: "a", address: c.listener.Addr().String(), model: model, service: service})
	return e, key, c
}

// addresses numbers the loopback addresses that ownAddress has given out.
var addresses atomic.Int64

// ownAddress returns a free port at a loopback address that no other test uses,
// so that nothing takes the port before it is listened on again.
func ownAddress(t *testing.T) string {
	t.Helper()
	n := addresses.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, n/250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// planned returns how many cuts are still to come.
func (c *cutter) planned() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cuts)
}

// sent fails when a request found no backend server though nothing was cut. A
// cut may hit a heartbeat just before the request.
func sent(t *testing.T, c *cutter, cuts int, answer string) {
	t.Helper()
	if c.planned() == cuts && strings.Contains(answer, string(peridotverdict.NoBackend)) {
		t.Errorf("got %q without a cut, want the request sent", answer)
	}
}

// cutPush pushes once through the planned cuts, and compares what the caller is
// told with what the plain service ran.
func cutPush(t *testing.T, cuts ...cut) {
	var runs atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	defer service.Close()
	e, key, c := behindCutter(t, peridotsettings.Agent{ServiceAddress: service.Listener.Addr().String()}, "", testService)
	c.cutAfter(cuts...)
	w := ask(e, key, push, "42")
	sent(t, c, len(cuts), w.Body.String())
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

// cutStream asks for a stream through the planned cuts. The caller gets each
// token of one run once, or an error.
func cutStream(t *testing.T, cuts ...cut) string {
	engine := peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: testModel})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	e, key, c := behindCutter(t, peridotsettings.Agent{EngineAddress: server.Listener.Addr().String()}, testModel, "")
	c.cutAfter(cuts...)
	body := ask(e, key, completions, streamBody).Body.String()
	sent(t, c, len(cuts), body)
	if strings.HasSuffix(body, "data: [DONE]\n\n") {
		checkTokens(t, body, 8)
	} else if !strings.Contains(body, `"verdict":`) {
		t.Errorf("got %q, want the end mark or an error", body)
	}
	return body
}

// TestCutPush cuts the connection to the agent at many points of a push.
func TestCutPush(t *testing.T) {
	for _, way := range []direction{toAgent, fromAgent} {
		for n := 1; n <= 701; n += 50 {
			t.Run(fmt.Sprintf("%d bytes %s", n, way), func(t *testing.T) {
				t.Parallel()
				cutPush(t, cut{n, way})
			})
		}
	}
}

// TestCutStream cuts the connection at many points of a stream. Once it has
// begun, it comes whole.
func TestCutStream(t *testing.T) {
	for n := 1; n <= 2001; n += 100 {
		t.Run(fmt.Sprintf("%d bytes", n), func(t *testing.T) {
			t.Parallel()
			body := cutStream(t, cut{n, fromAgent})
			if strings.Contains(body, "id: 1\n") && strings.Contains(body, `"verdict":`) {
				t.Errorf("got %q, want the end mark, or an error in place of an answer", body)
			}
		})
	}
}

// TestCutTwice cuts two connections at random points.
func TestCutTwice(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			var cuts []cut
			for range 2 {
				way := []direction{toAgent, fromAgent}[random.IntN(2)]
				cuts = append(cuts, cut{1 + random.IntN(1200), way})
			}
			if seed%2 == 0 {
				cutPush(t, cuts...)
			} else {
				cutStream(t, cuts...)
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

// TestResume asks for an ended answer again, behind a checkpoint, with the key
// of the account it belongs to and with another's.
func TestResume(t *testing.T) {
	engine := peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: testModel})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	e, key, _ := behindCutter(t, peridotsettings.Agent{EngineAddress: server.Listener.Addr().String()}, testModel, "")
	other := withSecondAccount(t, e, "capela")
	whole := ask(e, key, completions, streamBody)
	id := whole.Header().Get(headerRequestID)
	events := strings.SplitAfter(whole.Body.String(), "\n\n")
	tests := []struct {
		name string
		key  string
		want int
	}{
		{"own", key, http.StatusOK},
		{"another's", other, http.StatusNotFound},
	}
	for _, test := range tests {
		r := httptest.NewRequest(http.MethodGet, requestPrefix+id, nil)
		r.Header.Set("Authorization", bearer+test.key)
		r.Header.Set(headerLastEvent, "3")
		w := httptest.NewRecorder()
		e.serveCaller(w, r)
		if w.Code != test.want {
			t.Errorf("%s: got status %d (%s), want %d", test.name, w.Code, w.Body, test.want)
		}
		if got, want := w.Body.String(), strings.Join(events[3:], ""); w.Code == http.StatusOK && got != want {
			t.Errorf("%s: got %q, want %q", test.name, got, want)
		}
		if strings.Contains(w.Body.String(), "choices") && test.want != http.StatusOK {
			t.Errorf("%s: got %q, want nothing of the answer", test.name, w.Body)
		}
	}
}
