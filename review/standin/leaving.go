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

const (
	leavingStreams = 12
	leavingTime    = 14 * time.Second
	// leavingEvents and leavingGap make a stream of four seconds.
	leavingEvents = 40
	leavingGap    = 100 * time.Millisecond
)

// leavingEngine is an engine whose answers have no length. When it leaves, it stops
// listening, and it exits once its runs have ended.
type leavingEngine struct {
	id       string
	listener net.Listener
	active   sync.WaitGroup
}

func newLeavingEngine(id string) (*leavingEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &leavingEngine{id: id, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *leavingEngine) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	e.active.Add(1)
	defer e.active.Done()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Response-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", r.Header.Get("X-Peridotstack-Request-Id"), e.id)
	for n := 1; n <= leavingEvents; n++ {
		time.Sleep(leavingGap)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: token\n\n", n); err != nil {
			return
		}
	}
}

// leavingWorkers replaces the engines one after the other while callers ask for streams. Each
// engine says that it leaves, serves for 2.5 s more, stops listening, and finishes its runs.
func leavingWorkers(b *bench) (bool, error) {
	b.store.put("op", "config", streamManifest())
	put := func(e *leavingEngine, state string) {
		b.store.put("servers", e.id, map[string]any{
			"service": "hino-llm", "addr": e.listener.Addr().String(), "zone": "recife-a", "version": "v1", "slots": 64,
			"state": state, "cold-left-ms": 0, "stage": "decode", "seq": 1, "born": 1,
		})
	}
	var engines []*leavingEngine
	for i := range 3 {
		e, err := newLeavingEngine(fmt.Sprint("i-engine", i))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
		put(e, "ready")
	}
	f, err := b.addFront("front-recife-a-1", b.store.address(), 8)
	if err != nil {
		return false, err
	}
	b.settle()
	var whole, cut atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(leavingTime)
	for range leavingStreams {
		wg.Go(func() {
			c := newClient(b.record)
			for time.Now().Before(end) {
				if status, _, err := askStream(c, f); err == nil && status == http.StatusOK {
					whole.Add(1)
				} else {
					cut.Add(1)
				}
			}
		})
	}
	for i, e := range engines {
		if !b.trouble {
			break
		}
		time.Sleep(time.Second)
		next, err := newLeavingEngine(fmt.Sprint("i-next", i))
		if err != nil {
			return false, err
		}
		put(next, "ready")
		put(e, "draining")
		b.record.add("worker %s is draining", e.id)
		time.Sleep(2500 * time.Millisecond)
		e.listener.Close()
		b.record.add("worker %s listens no more and finishes its runs", e.id)
		go func() {
			e.active.Wait()
			b.store.remove("servers", e.id)
			b.record.add("worker %s has finished all its runs", e.id)
		}()
	}
	wg.Wait()
	b.record.add("%d streams whole, %d without a whole answer", whole.Load(), cut.Load())
	return cut.Load() > 3, nil
}
