package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["11"] = runCase11 }

const (
	case11Channels   = 8
	case11Body       = 1 << 20 // a quarter of max-body-bytes
	case11Events     = 50
	case11Gap        = 120 * time.Millisecond // below gap-target-ms
	case11MostCut    = 3
	case11DeadlineMS = 15000
)

// runCase11 sends long requests on kept channels to a worker that answers before it has read
// their bodies, and checks that no answer is cut.
func runCase11() {
	fl := newFleet()
	l := fl.listen(100)
	go serveCase11(l, "i-1")
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
	fl.store.put("servers", "i-1", workerRow{Service: "desk", Addr: l.Addr().String(), Zone: "a", Version: "v1", Slots: 64, State: "ready", Seq: 1, Born: time.Now().UnixMilli()})
	f := fl.addFront("a", fl.storeAddress(), fl.apiAddress())
	f.start()
	fl.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second) // More than contact-ms: the front is in touch from now on.

	var channels []*keptChannel
	for range case11Channels {
		channels = append(channels, openChannel(f.address()))
	}
	for i, c := range channels { // The channels are kept: each has carried a request.
		if n, status, err := c.ask(fmt.Sprintf("%016x", 0xa00+i), "/ask/short", 600); n != 3 || status != 200 || err != nil {
			cannotRun("short request %d: status %d, %d events, %v", i, status, n, err)
		}
	}
	record("all channels have carried a short request")
	f.signal(syscall.SIGHUP) // Planned work; the settings are the same.
	time.Sleep(200 * time.Millisecond)

	var complete, cut, failed atomic.Int64
	var wg sync.WaitGroup
	for i, c := range channels {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", 0xb00+i)
			begun := time.Now()
			n, status, err := c.ask(id, "/ask/long", case11Body)
			record("client %d: request %s got status %d and %d of %d events in %.1f s: %v", i, id, status, n, case11Events, time.Since(begun).Seconds(), err)
			switch {
			case status == 200 && err == nil && n == case11Events:
				complete.Add(1)
			case err != nil:
				cut.Add(1)
			default:
				failed.Add(1)
			}
		}()
	}
	wg.Wait()
	text := fmt.Sprintf("of %d long requests on kept channels %d were answered whole, %d channels were closed without a complete answer, %d failed", case11Channels, complete.Load(), cut.Load(), failed.Load())
	switch {
	case cut.Load() > case11MostCut:
		finish(exitBroken, "LOST broken: %s", text)
	case failed.Load() > 0:
		cannotRun("%s", text)
	}
	finish(exitHeld, "LOST held: %s", text)
}

// keptChannel is a client's channel for many requests.
type keptChannel struct {
	net.Conn
	reader *bufio.Reader
}

func openChannel(address string) *keptChannel {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		cannotRun("%v", err)
	}
	return &keptChannel{c, bufio.NewReader(c)}
}

// ask sends a request and counts the events of its answer. The error is nil only if the answer
// came to its end.
func (c *keptChannel) ask(id, path string, size int) (events, status int, err error) {
	go func() {
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Deadline-Ms: %d\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n", path, id, case11DeadlineMS, size)
		_, _ = c.Write(bytes.Repeat([]byte("p"), size)) // The reader notices an error.
	}()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	res, err := http.ReadResponse(c.reader, nil)
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

// serveCase11 is a worker. It answers long requests before it has read their bodies, keeps the
// channel and reads on after the answer. Without trouble it reads the body first.
func serveCase11(l net.Listener, instance string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			reader := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil || !answerCase11(c, r, instance) {
					return
				}
			}
		}()
	}
}

// answerCase11 answers one request. It reports whether the channel can carry another one.
func answerCase11(c net.Conn, r *http.Request, instance string) bool {
	id := r.Header.Get("X-Peridotstack-Request-Id")
	if r.Header.Get("X-Peridotstack-Expect-Instance") != instance {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Peridotstack-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", instance)
		return true
	}
	events := 3
	if r.URL.Path == "/ask/long" {
		events = case11Events
	}
	if !isTrouble() || events == 3 {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			record("worker: body of %s: %v", id, err)
			return false
		}
	}
	record("worker: begins to answer %s with a body of %d bytes, deadline %s ms", id, r.ContentLength, r.Header.Get("X-Peridotstack-Deadline-Ms"))
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Response-Seal: s.%s\r\n\r\n", id, id)
	for i := 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: line %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			record("worker: the channel of %s is gone at event %d: %v", id, i, err)
			return false
		}
		if i < events {
			time.Sleep(case11Gap)
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
	n, err := io.Copy(io.Discard, r.Body)
	record("worker: has answered %s whole; read %d bytes of its body after that: %v", id, n, err)
	return err == nil
}
