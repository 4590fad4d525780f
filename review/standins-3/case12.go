package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["12"] = runCase12 }

const (
	case12Rate      = 60 // requests a second
	case12Length    = 20 * time.Second
	case12Heartbeat = 1200 * time.Millisecond
	case12Pause     = 4 * time.Second // between two entries of the other writer
)

// runCase12 lets another writer put an entry without most of its fields under the id of a
// register worker, and checks that no request for the desk runs there.
func runCase12() {
	fl := newFleet()
	fl.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "r-set", "host": "h.example", "prefix": "/set/", "type": "mutating", "timeout-ms": 1000, "slo-ms": 150, "prio": 0, "service": "desk", "attempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-book", "host": "h.example", "prefix": "/book/", "type": "mutating", "timeout-ms": 1000, "slo-ms": 150, "prio": 0, "service": "register", "attempts": 1, "public": false, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{
			{"name": "desk", "health-path": "/health", "max-conns": 110, "proto": "h1", "tls": false},
			{"name": "register", "health-path": "/health", "max-conns": 110, "proto": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "parish", "api-keys": []string{"key-one"}, "prio": 1}},
	})
	var workers []*plainWorker
	for i, service := range []string{"desk", "desk", "desk", "register", "register"} {
		w := &plainWorker{id: fmt.Sprintf("i-%d", i+1), service: service, born: time.Now().UnixMilli()}
		l := fl.listen(100 + i)
		w.address = l.Addr().String()
		go w.serve(l)
		go w.beat(fl)
		workers = append(workers, w)
	}
	f := fl.addFront("a", fl.storeAddress(), fl.apiAddress())
	f.start()
	fl.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second) // More than contact-ms.

	if isTrouble() {
		victim := workers[3]
		go func() {
			for {
				fl.store.put("servers", victim.id, map[string]any{"service": "desk", "addr": victim.address, "zone": "a", "slots": 6, "state": "ready"})
				record("another writer: servers/%s = service desk, addr %s, zone a, slots 6, state ready; no version, cold-left-ms, seq or born", victim.id, victim.address)
				time.Sleep(case12Pause)
			}
		}()
	}
	var wg sync.WaitGroup
	var answered, wrong atomic.Int64
	end := time.Now().Add(case12Length)
	for n := 0; time.Now().Before(end); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", 0xc000+n)
			record("client: sends request %s to /set/board, a route to the desk", id)
			status, by, err := post(f.address(), "/set/board", id)
			record("client: request %s got status %d, body %q, %v", id, status, by, err)
			if status == 200 {
				answered.Add(1)
			}
			if by == "register" {
				wrong.Add(1)
			}
		}()
		time.Sleep(time.Second / case12Rate)
	}
	wg.Wait()
	ran := 0
	for _, w := range workers {
		if w.service == "register" {
			ran += int(w.ranSet.Load())
		}
	}
	text := fmt.Sprintf("%d requests for the desk ran at register workers, %d of their answers reached clients; %d requests were answered with 200", ran, wrong.Load(), answered.Load())
	switch {
	case ran > 0:
		finish(exitBroken, "ROUTE broken: %s", text)
	case answered.Load() == 0:
		cannotRun("%s", text)
	}
	finish(exitHeld, "ROUTE held: %s", text)
}

// plainWorker is a sound worker of a plain service.
type plainWorker struct {
	id, service, address string
	born                 int64
	ranSet               atomic.Int64
}

// beat writes the worker's entry about every heartbeat-ms.
func (w *plainWorker) beat(fl *fleet) {
	for seq := 1; ; seq++ {
		fl.store.put("servers", w.id, workerRow{Service: w.service, Addr: w.address, Zone: "a", Version: "v1", Slots: 6, State: "ready", Seq: seq, Born: w.born})
		time.Sleep(case12Heartbeat)
	}
}

func (w *plainWorker) serve(l net.Listener) {
	_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Peridotstack-Request-Id")
		rw.Header().Set("X-Peridotstack-Request-Id", id)
		rw.Header().Set("X-Peridotstack-Instance-Id", w.id)
		if r.Header.Get("X-Peridotstack-Expect-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		record("worker %s of service %s runs %s %s, request %s", w.id, w.service, r.Method, r.URL.Path, id)
		if r.URL.Path == "/set/board" {
			w.ranSet.Add(1)
		}
		time.Sleep(30 * time.Millisecond)
		rw.Header().Set("X-Peridotstack-Response-Seal", w.id+"."+id)
		_, _ = fmt.Fprintf(rw, "%s\n", w.service)
	}))
}

// post sends a request on a new channel. It returns the status and the body, which names the
// service that ran it.
func post(address, path, id string) (status int, by string, err error) {
	return postKey(address, path, id, "key-one")
}

// postKey does the same with a key.
func postKey(address, path, id, key string) (status int, by string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	body := "psalm 23"
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Deadline-Ms: 1000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, id, key, len(body), body); err != nil {
		return 0, "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(res.Body)
	if len(data) > 0 {
		by = string(data[:len(data)-1])
	}
	return res.StatusCode, by, err
}
