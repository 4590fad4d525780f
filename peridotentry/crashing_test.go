package peridotentry_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotstack/peridotawait"
)

const (
	// crashingPrompt is the prompt under which a crashingEngine ends, and engineRestartTime
	// the time until it is back.
	crashingPrompt    = "crash"
	engineRestartTime = 200 * time.Millisecond
)

// crashingEngine serves an engine that ends when it runs a request with crashingPrompt.
type crashingEngine struct {
	handler http.Handler
	address string

	mu     sync.Mutex
	server *http.Server
	closed bool
	// ends is the number of times that it has ended, and arrivals that of the requests with
	// crashingPrompt that it has got.
	ends, arrivals int
}

// start serves the engine at its address.
func (e *crashingEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: e}
	go e.server.Serve(listener)
	return nil
}

// stop ends the engine for good.
func (e *crashingEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.server.Close()
}

// ServeHTTP implements http.Handler.
func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !bytes.Contains(body, []byte(crashingPrompt)) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		e.handler.ServeHTTP(w, r)
		return
	}
	e.mu.Lock()
	e.arrivals++
	e.ends++
	server := e.server
	e.mu.Unlock()
	server.Close()
	go func() {
		time.Sleep(engineRestartTime)
		for e.start() != nil {
			time.Sleep(engineRestartTime)
		}
	}()
}

// TestCrashingRequestIsKeptFromAgents guards against a request that ends one backend server
// after the other because nothing is remembered of it beyond one attempt of its caller.
func TestCrashingRequestIsKeptFromAgents(t *testing.T) {
	const (
		contactTime     = 3 * time.Second
		maxLateArrivals = 3
	)
	var engines []*crashingEngine
	f := startFleet(t, fleetOptions{serveEngine: func(t *testing.T, h http.Handler) string {
		e := &crashingEngine{handler: h, address: "127.0.0.1:0"}
		if err := e.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.stop)
		engines = append(engines, e)
		return e.address
	}})
	counts := func() (ends, arrivals int) {
		for _, e := range engines {
			e.mu.Lock()
			ends, arrivals = ends+e.ends, arrivals+e.arrivals
			e.mu.Unlock()
		}
		return ends, arrivals
	}
	ask := func(entry int, prompt string) (status int, retryAfter, body string) {
		text := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":1,"stream":true}`, fleetModel, prompt)
		request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddresses[entry]+"/v1/completions", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		response, err := f.do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body) // A broken answer is no success by its status or its end.
		return response.StatusCode, response.Header.Get("Retry-After"), string(data)
	}
	for n := range 10 {
		ask(n%2, crashingPrompt)
		time.Sleep(2 * engineRestartTime)
	}
	time.Sleep(contactTime)
	ends, before := counts()
	if ends < 3 {
		t.Fatalf("got %d ends, want 3 or more", ends)
	}
	for n := range 10 {
		status, retryAfter, body := ask(n%2, crashingPrompt)
		if seconds, err := strconv.Atoi(retryAfter); status != http.StatusServiceUnavailable || err != nil || seconds < 60 {
			t.Errorf("got status %d, Retry-After %q, body %s; want 503 with more than a minute", status, retryAfter, body)
		}
		time.Sleep(2 * engineRestartTime)
	}
	if _, after := counts(); after-before > maxLateArrivals {
		t.Errorf("got %d requests at engines of 10 sent %v after %d ends, want %d at most", after-before, contactTime, ends, maxLateArrivals)
	}
	for entry := range f.entries {
		peridotawait.Until(t, fmt.Sprint("answer to another request at entry ", entry), func() bool {
			status, _, body := ask(entry, "p")
			return status == http.StatusOK && strings.Contains(body, "[DONE]")
		})
	}
}
