package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	plainStreamEvents = 10
	plainStreams      = 300
	plainCallers      = 4
	// breakEvery is the reciprocal of the share of answers that a worker breaks off.
	breakEvery = 20
)

// plainStreamsWhole lets callers ask for streams of a plain service, whose answers have no
// length. With the disruption, one worker breaks off one answer in twenty in the middle of an
// event. It closes the channel and goes on with other requests.
func plainStreamsWhole(b *bench) (bool, error) {
	m := manifest(3, []any{tenant("musicians", "key-of-musicians")})
	m["routes"] = append(m["routes"].([]any), map[string]any{
		"name": "coro-ask", "host": "quadro.example", "prefix": "/ask/", "type": "stream", "timeout-ms": 15000, "slo-ms": 120,
		"prio": 1, "service": "quadro-api", "attempts": 1, "public": false, "sticky": true, "resumable": false, "gap-target-ms": 150,
	})
	b.store.put("op", "config", m)
	var broken sync.Map
	for i := range 4 {
		w, err := newWorker(fmt.Sprint("i-board", i), "quadro-api", b.record, b.runs)
		if err != nil {
			return false, err
		}
		var n atomic.Int64
		w.answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("X-Peridotstack-Request-Id")
			conn, _, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			breaksOff := b.trouble && i == 0 && n.Add(1)%breakEvery == 0
			writeUnframed(conn, w.id, id, breaksOff)
			if breaksOff {
				broken.Store(id, true)
				b.record.add("worker %s breaks off its answer to %s in event %d", w.id, id, plainStreamEvents/2)
			}
		}
		b.store.put("servers", w.id, w.entry())
	}
	f, err := b.addFront("front-recife-a-1", b.store.address(), 8)
	if err != nil {
		return false, err
	}
	b.settle()
	var short, whole, other atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for range plainCallers {
		wg.Go(func() {
			c := newClient(b.record)
			for range plainStreams / plainCallers {
				got := c.send(f.address(), http.MethodPost, "/ask/2f", "quadro.example", "key-of-musicians", []byte("which hymn?"), 15*time.Second)
				isWhole := strings.HasSuffix(got.body, fmt.Sprintf("data: end of %s\n\n", got.id))
				switch {
				case got.status == http.StatusOK && got.err == nil && !isWhole:
					short.Add(1)
					_, wasBroken := broken.Load(got.id)
					b.record.add("BROKEN: %s ends as complete (200, seal %q), behind %q; its worker broke it off: %v", got.id, got.seal, got.body[max(0, len(got.body)-40):], wasBroken)
				case got.status == http.StatusOK && got.err == nil:
					whole.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	wg.Wait()
	b.record.add("%d streams in %.1f s: %d whole, %d ended as complete before their last event, %d others", plainStreams, time.Since(start).Seconds(), whole.Load(), short.Load(), other.Load())
	return short.Load() > 0, nil
}

// writeUnframed writes a stream without a length, which ends with the channel.
func writeUnframed(conn net.Conn, worker, id string, breaksOff bool) {
	out := bufio.NewWriter(conn)
	defer out.Flush()
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Peridotstack-Request-Id: %s\r\nX-Peridotstack-Response-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, worker)
	for n := 1; n < plainStreamEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, id)
		if breaksOff && n == plainStreamEvents/2 {
			_, _ = io.WriteString(out, event[:len(event)/2])
			return
		}
		_, _ = io.WriteString(out, event)
		_ = out.Flush()
		time.Sleep(3 * time.Millisecond)
	}
	fmt.Fprintf(out, "id: %d\ndata: end of %s\n\n", plainStreamEvents, id)
}
