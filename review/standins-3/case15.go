package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["15"] = runCase15 }

const (
	case15Rate   = 50 // pushes a second
	case15Length = 20 * time.Second
	case15Share  = 0.45 // of the requests of one worker of four
)

// runCase15 lets one of four workers fail part of its requests, with 503, after it has run them.
// It checks that no push that has run is answered with a status that promises the opposite.
func runCase15() {
	fl := newFleet()
	fl.store.put("op", "config", map[string]any{
		"version":  3,
		"routes":   []map[string]any{{"name": "r-set", "host": "h.example", "prefix": "/set/", "type": "mutating", "timeout-ms": 1000, "slo-ms": 150, "prio": 0, "service": "desk", "attempts": 1, "public": false, "sticky": false, "resumable": false}},
		"services": []map[string]any{{"name": "desk", "health-path": "/health", "max-conns": 110, "proto": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "parish", "api-keys": []string{"key-one"}, "prio": 1}},
	})
	ran := &runLog{attempts: map[string]string{}, pushes: map[string]int{}}
	for i := range 4 {
		w := &failingWorker{id: fmt.Sprintf("i-%d", i+1), fails: isTrouble() && i == 0, log: ran}
		l := fl.listen(100 + i)
		go func() { _ = http.Serve(l, w) }()
		fl.store.put("servers", w.id, workerRow{Service: "desk", Addr: l.Addr().String(), Zone: "a", Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: time.Now().UnixMilli()})
	}
	f := fl.addFront("a", fl.storeAddress(), fl.apiAddress())
	f.start()
	fl.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second) // More than contact-ms.

	var mu sync.Mutex
	broken, served, twice := 0, 0, 0
	var wg sync.WaitGroup
	end := time.Now().Add(case15Length)
	for n := 0; time.Now().Before(end); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			name := fmt.Sprintf("push-%d", n)
			for attempt := range 2 { // One retry, only after a promise.
				id := fmt.Sprintf("%012x%04x", 0xf000+n, attempt)
				record("client: sends %s, request %s", name, id)
				status, err := pushOnce(f.address(), name, id)
				record("client: request %s got status %d, %v", id, status, err)
				by := ran.ranBy(id)
				promise := err == nil && (status == 503 || status == 429 || status == 408 || status == 421)
				mu.Lock()
				if promise && by != "" {
					broken++
					record("client: %s, request %s, was answered %d, which promises that it has not run; worker %s has run it", name, id, status, by)
				}
				if status == 200 && err == nil {
					served++
				}
				mu.Unlock()
				if !promise {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			if runs := ran.runsOf(name); runs > 1 {
				mu.Lock()
				twice++
				mu.Unlock()
				record("%s was applied %d times", name, runs)
			}
		}()
		time.Sleep(time.Second / case15Rate)
	}
	wg.Wait()
	text := fmt.Sprintf("%d requests that had run were answered with a status that promises that they have not; %d pushes were applied twice; %d were answered with 200", broken, twice, served)
	switch {
	case broken > 0:
		finish(exitBroken, "REFUSED broken: %s", text)
	case served == 0:
		cannotRun("%s", text)
	}
	finish(exitHeld, "REFUSED held: %s", text)
}

// runLog records what workers have run.
type runLog struct {
	mu       sync.Mutex
	attempts map[string]string // the worker by request id
	pushes   map[string]int
}

func (l *runLog) add(id, name, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id] = worker
	l.pushes[name]++
}

func (l *runLog) ranBy(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[id]
}

func (l *runLog) runsOf(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pushes[name]
}

// failingWorker runs each request. If it fails, it answers part of them with 503 after that,
// without X-Peridotstack-Not-Run, since it has run them.
type failingWorker struct {
	id    string
	fails bool
	log   *runLog
}

func (w *failingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Peridotstack-Request-Id")
	rw.Header().Set("X-Peridotstack-Request-Id", id)
	rw.Header().Set("X-Peridotstack-Instance-Id", w.id)
	if r.Header.Get("X-Peridotstack-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	name, _ := io.ReadAll(r.Body)
	time.Sleep(30 * time.Millisecond)
	w.log.add(id, string(name), w.id)
	record("worker %s has run request %s (%s)", w.id, id, name)
	rw.Header().Set("X-Peridotstack-Response-Seal", w.id+"."+id)
	if w.fails && rand.Float64() < case15Share {
		record("worker %s answers request %s with 503 without X-Peridotstack-Not-Run", w.id, id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(rw, "done\n")
}

// pushOnce sends one client attempt on a new channel.
func pushOnce(address, name, id string) (status int, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /set/board HTTP/1.1\r\nHost: h.example\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Deadline-Ms: 1000\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n%s", id, len(name), name); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}
