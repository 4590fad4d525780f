package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["11"] = runCase11 }

const (
	case11Workers = 4
	case11Streams = 24
	case11Events  = 46
	case11Gap     = 100 * time.Millisecond // below gap-target-ms
	// case11ServesOn is the time from the ack of draining to the begin of the shutdown. It exceeds
	// drain-ms (2,000).
	case11ServesOn = 2500 * time.Millisecond
)

// runCase11 lets one of four workers leave as a graceful shutdown does, while streams without a
// length run at all of them, and checks that none is cut.
func runCase11() {
	fl := newFleet()
	fl.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-ask", "host": "h.example", "prefix": "/ask/", "type": "stream", "timeout-ms": 15000, "slo-ms": 150, "prio": 0,
			"service": "desk", "attempts": 1, "public": false, "sticky": false, "resumable": false, "gap-target-ms": 150,
		}},
		"services": []map[string]any{{"name": "desk", "health-path": "/health", "max-conns": 110, "proto": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "parish", "api-keys": []string{"key-one"}, "prio": 1}},
	})
	var workers []*gracefulWorker
	for i := range case11Workers {
		w := &gracefulWorker{id: fmt.Sprintf("i-%d", i+1), born: time.Now().UnixMilli(), channels: map[net.Conn]bool{}}
		w.listener = fl.listen(100 + i)
		go w.serve()
		w.register(fl, "ready", 1)
		workers = append(workers, w)
	}
	f := fl.addFront("a", fl.storeAddress(), fl.apiAddress())
	f.start()
	fl.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second) // More than contact-ms: the front is in touch from now on.

	f.signal(syscall.SIGHUP) // Planned work; the settings are the same.
	var mu sync.Mutex
	whole, cut, other := 0, 0, 0
	var wg sync.WaitGroup
	for n := range case11Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", 0xb00+n)
			record("client: sends request %s", id)
			events, status, err := streamEvents(f.address(), id)
			record("client: request %s got status %d and %d of %d events, %v", id, status, events, case11Events, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status == 200 && err == nil && events == case11Events:
				whole++
			case err != nil:
				cut++
			default:
				other++
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	if isTrouble() {
		w := workers[0]
		w.register(fl, "draining", 2)
		record("the store has accepted that %s is draining", w.id)
		time.Sleep(case11ServesOn)
		w.shutDown()
	}
	wg.Wait()
	text := fmt.Sprintf("of %d streams %d came whole, %d channels ended without a complete answer, %d others", case11Streams, whole, cut, other)
	switch {
	case cut > 0:
		finish(exitBroken, "LOST broken: %s", text)
	case other > 0:
		cannotRun("%s", text)
	}
	finish(exitHeld, "LOST held: %s", text)
}

// gracefulWorker is a sound worker whose answers have no length and end with their channels.
type gracefulWorker struct {
	id       string
	born     int64
	listener net.Listener

	mu       sync.Mutex
	channels map[net.Conn]bool // true while a request runs
	stopping bool
}

func (w *gracefulWorker) register(fl *fleet, state string, seq int) {
	fl.store.put("servers", w.id, workerRow{Service: "desk", Addr: w.listener.Addr().String(), Zone: "a", Version: "v1", Slots: 64, State: state, Seq: seq, Born: w.born})
}

// shutDown stops listening, closes the idle channels, and lets the requests in progress end.
func (w *gracefulWorker) shutDown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
	w.listener.Close()
	idle, running := 0, 0
	for c, isRunning := range w.channels {
		if isRunning {
			running++
			continue
		}
		idle++
		c.Close()
	}
	record("worker %s listens no more and has closed %d idle channels; %d requests go on", w.id, idle, running)
}

func (w *gracefulWorker) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.setRunning(c, false)
		go w.serveChannel(c)
	}
}

// setRunning records whether a request runs on a channel.
func (w *gracefulWorker) setRunning(c net.Conn, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.channels[c] = running
}

func (w *gracefulWorker) serveChannel(c net.Conn) {
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.channels, c)
		c.Close() // Everything has been read, so that no reset is sent.
		if w.stopping && len(w.channels) == 0 {
			record("worker %s has ended its last request and exits", w.id)
		}
	}()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	w.setRunning(c, true)
	id := r.Header.Get("X-Peridotstack-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("X-Peridotstack-Expect-Instance") != w.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Peridotstack-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", w.id)
		return
	}
	record("worker %s runs %s", w.id, id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Response-Seal: %s.%s\r\n\r\n", id, w.id, id)
	for i := 1; i <= case11Events; i++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: line %d\n\n", i, i); err != nil {
			record("worker %s: the channel of %s is gone at event %d: %v", w.id, id, i, err)
			return
		}
		if i < case11Events {
			time.Sleep(case11Gap)
		}
	}
	record("worker %s has answered %s whole and closes its channel", w.id, id)
}

// streamEvents sends one request and counts the events of its answer. The error is nil only if the
// answer came to its end.
func streamEvents(address, id string) (events, status int, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /ask/q HTTP/1.1\r\nHost: h.example\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Deadline-Ms: 15000\r\nAuthorization: Bearer key-one\r\nContent-Length: 5\r\n\r\nquick", id); err != nil {
		return 0, 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("id:")) {
			events++
		}
	}
	return events, res.StatusCode, lines.Err()
}
