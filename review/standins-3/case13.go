package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["13"] = runCase13 }

const (
	case13Engines = 9
	case13Rate    = 60 // prompts a second
	case13Events  = 40
	case13Gap     = 30 * time.Millisecond
	case13Down    = 2 * time.Second
	case13Recover = 12 * time.Second
	case13After   = 10 * time.Second
)

// runCase13 ends all engines at one moment and starts them again. It checks which share of the
// prompts is served later than recovery-s after they are back.
func runCase13() {
	fl := newFleet()
	fl.store.put("op", "config", map[string]any{
		"version": 3,
		"routes":  []map[string]any{{"name": "r-ask", "host": "h.example", "prefix": "/ask/", "type": "stream", "timeout-ms": 15000, "slo-ms": 120, "prio": 1, "service": "llm", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-target-ms": 150}},
		"services": []map[string]any{{
			"name": "llm", "health-path": "/health", "max-conns": 370, "proto": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv-cap": 1380935, "kv-token-bytes": 163840, "nic-mbps": 5900000.0, "moves": true, "replicas": true, "stride": 57, "most": 12, "kv-ttl-s": 5.0, "switch-s": 3.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "parish", "api-keys": []string{"key-one"}, "prio": 1}},
	})
	var engines []*engine
	for i := range case13Engines {
		e := &engine{id: fmt.Sprintf("i-%d", i+1)}
		l := fl.listen(100 + i)
		e.address = l.Addr().String()
		l.Close()
		e.start()
		e.register(fl)
		engines = append(engines, e)
	}
	var fronts []*front
	for _, zone := range []string{"a", "a"} {
		f := fl.addFront(zone, fl.storeAddress(), fl.apiAddress())
		f.start()
		fronts = append(fronts, f)
	}
	fl.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)
	var phase atomic.Int64 // 0 before the fault, 1 meanwhile, 2 later than recovery-s after it
	var asked, served [3]atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ctx.Err() == nil; n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				p := phase.Load()
				id := fmt.Sprintf("%016x", 0x1000+n)
				record("client: sends prompt %s to %s", id, fronts[n%2].name)
				events, status, retryAfter, err := prompt(fronts[n%2].address(), id)
				record("client: prompt %s got status %d and %d events, Retry-After %q, %v", id, status, events, retryAfter, err)
				asked[p].Add(1)
				if status == 200 && err == nil && events == case13Events {
					served[p].Add(1)
				}
			}()
			time.Sleep(time.Second / case13Rate)
		}
	}()
	time.Sleep(6 * time.Second)
	phase.Store(1)
	if isTrouble() {
		for _, e := range engines {
			e.kill()
		}
		record("all %d engines were killed", case13Engines)
		time.Sleep(case13Down)
		for _, e := range engines {
			e.start()
			e.register(fl)
		}
		record("all engines are back")
	}
	time.Sleep(case13Recover + time.Second)
	phase.Store(2)
	time.Sleep(case13After)
	cancel()
	wg.Wait()
	share := func(p int) float64 { return float64(served[p].Load()) / float64(max(1, asked[p].Load())) }
	text := fmt.Sprintf("before the fault %d of %d prompts were served, later than recovery-s after the engines were back %d of %d", served[0].Load(), asked[0].Load(), served[2].Load(), asked[2].Load())
	switch {
	case share(0) < 0.25:
		cannotRun("%s", text)
	case share(2) < 0.25:
		finish(exitBroken, "RECOVER broken: %s", text)
	}
	finish(exitHeld, "RECOVER held: %s", text)
}

// engine is a sound engine that reads prompts in no time.
type engine struct {
	id, address string
	server      *http.Server
	born        int64
}

func (e *engine) start() {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		cannotRun("%v", err)
	}
	e.born = time.Now().UnixMilli()
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
}

func (e *engine) kill() { _ = e.server.Close() }

func (e *engine) register(fl *fleet) {
	fl.store.put("servers", e.id, workerRow{Service: "llm", Addr: e.address, Zone: "a", Version: "v1", Slots: 64, State: "ready", Stage: "decode", Seq: 1, Born: e.born})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Peridotstack-Request-Id")
	w.Header().Set("X-Peridotstack-Request-Id", id)
	if r.Header.Get("X-Peridotstack-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	record("engine %s runs prompt %s", e.id, id)
	w.Header().Set("X-Peridotstack-Response-Seal", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if after := r.Header.Get("Last-Event-Id"); after != "" {
		_, _ = fmt.Sscan(after, &first)
		first++
	}
	for i := first; i <= case13Events; i++ {
		time.Sleep(case13Gap)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: t\n\n", i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// prompt sends a prompt. All prompts have the first part in common.
func prompt(address, id string) (events, status int, retryAfter string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	fmt.Fprintf(c, "POST /ask/q HTTP/1.1\r\nHost: h.example\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Deadline-Ms: 8000\r\nX-Peridotstack-Model: m\r\nX-Peridotstack-Token-Counts: 219,40\r\nX-Peridotstack-Prompt-Prefix: 5c1e07a2:79,%s:140\r\nAuthorization: Bearer key-one\r\nContent-Length: 5\r\n\r\nquick", id, id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, "", err
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("id:")) {
			events++
		}
	}
	return events, res.StatusCode, res.Header.Get("Retry-After"), lines.Err()
}
