package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// run is a request that a worker ran.
type run struct {
	worker, request, tenant, method, target string
	bytes                                   int
	at                                      time.Time
}

// runs collects the runs of all workers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(n run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, n)
}

func (r *runs) of(request string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, n := range r.list {
		if n.request == request {
			list = append(list, n)
		}
	}
	return list
}

// worker is a sound worker of a plain service.
type worker struct {
	id, service string
	listener    net.Listener
	record      *record
	runs        *runs
	born        int64
	// answer writes the answer to a request that runs; nil writes a plain success.
	answer func(w http.ResponseWriter, r *http.Request, body []byte)
	// slots and queue bound the requests that run and wait; nil means no bound.
	slots, queue chan struct{}
	// quiet leaves its runs out of the record.
	quiet bool
	// early leaves it to answer to read the body.
	early bool
}

// receiveBuffer is the receive buffer of a worker's channels in bytes: the platform's
// channels have small windows.
const receiveBuffer = 16 << 10

func newWorker(id, service string, rec *record, all *runs) (*worker, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &worker{id: id, service: service, listener: l, record: rec, runs: all, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(l, b) }()
	return b, nil
}

// entry is what the worker writes into the store.
func (b *worker) entry() map[string]any {
	return map[string]any{
		"service": b.service, "addr": b.listener.Addr().String(), "zone": "recife-a", "version": "v1",
		"slots": 6, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": b.born,
	}
}

func (b *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Peridotstack-Request-Id")
	w.Header().Set("X-Peridotstack-Request-Id", id)
	var body []byte
	if b.early {
		_ = http.NewResponseController(w).EnableFullDuplex()
	} else {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return
		}
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Peridotstack-Instance-Id", b.id)
		return
	}
	if expected := r.Header.Get("X-Peridotstack-Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("X-Peridotstack-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.slots != nil {
		select {
		case b.queue <- struct{}{}:
		default:
			w.Header().Set("X-Peridotstack-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b.slots <- struct{}{}
		<-b.queue
		defer func() { <-b.slots }()
	}
	tenant := r.Header.Get("X-Peridotstack-Tenant")
	b.runs.add(run{b.id, id, tenant, r.Method, r.URL.RequestURI(), len(body), time.Now()})
	if !b.quiet {
		b.record.add("worker %s runs request %s (%s %s, tenant %q)", b.id, id, r.Method, r.URL.RequestURI(), tenant)
	}
	if b.answer != nil {
		b.answer(w, r, body)
		return
	}
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("X-Peridotstack-Response-Seal", "seal-"+b.id+"-"+id)
	fmt.Fprintf(w, "answer of %s to %s", b.id, id)
}
