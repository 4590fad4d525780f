package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamTokens is the number of tokens of each answer, and tokenTime the time that a
	// worker takes for one.
	streamTokens = 40
	tokenTime    = 15 * time.Millisecond
	// fullBatch is the number of runs at a worker from which on it puts several tokens into
	// one event.
	fullBatch       = 4
	tokensPerEvent  = 3
	usualCallers    = 6
	streamsByCaller = 10
)

// streamManifest returns a manifest with a route to engines, too: a stream that must not
// run twice.
func streamManifest() map[string]any {
	m := manifest(3, []any{tenant("musicians", "key-of-musicians")})
	m["routes"] = append(m["routes"].([]any), map[string]any{
		"name": "coro-ask", "host": "quadro.example", "prefix": "/ask/", "type": "stream", "timeout-ms": 15000, "slo-ms": 120,
		"prio": 1, "service": "hino-llm", "attempts": 1, "public": false, "sticky": true, "resumable": false, "gap-target-ms": 150,
	})
	m["services"] = append(m["services"].([]any), map[string]any{
		"name": "hino-llm", "health-path": "/health", "max-conns": 370, "proto": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv-cap": 1380935, "kv-token-bytes": 163840, "nic-mbps": 5900000.0, "kv-ttl-s": 5.0, "switch-s": 3.0,
			"models": []any{map[string]any{"name": "m"}},
		},
	})
	return m
}

// engineEntry is what a decode worker writes into the store.
func engineEntry(b *worker) map[string]any {
	e := b.entry()
	e["slots"], e["stage"] = 64, "decode"
	e["models"] = []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}}
	return e
}

// streamTo writes the events of an answer. The ID of an event is the number of its last
// token; with several tokens in one event, the IDs still increase.
func streamTo(w http.ResponseWriter, r *http.Request, b *worker, active *atomic.Int64) (last, events int, whole bool) {
	n := active.Add(1)
	defer active.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Peridotstack-Response-Seal", "seal-"+b.id)
	w.Header().Set("X-Peridotstack-Weight-Versions", "1")
	for last < streamTokens {
		step := 1
		if n >= fullBatch {
			step = min(tokensPerEvent, streamTokens-last)
		}
		select {
		case <-r.Context().Done():
			return last, events, false
		case <-time.After(time.Duration(step) * tokenTime):
		}
		last += step
		events++
		if _, err := fmt.Fprintf(w, "id: %d\ndata: tokens up to %d\n\n", last, last); err != nil {
			return last, events, false
		}
		_ = http.NewResponseController(w).Flush()
		n = max(n, active.Load())
	}
	return last, events, true
}

// streamIDs lets callers ask for streams on kept channels. In a burst the workers run more
// requests at once and put several tokens into one event.
func streamIDs(b *bench) (bool, error) {
	b.store.put("op", "config", streamManifest())
	var brokenOff atomic.Int64
	for i := range 3 {
		w, err := newWorker(fmt.Sprint("i-engine", i), "hino-llm", b.record, b.runs)
		if err != nil {
			return false, err
		}
		var active atomic.Int64
		w.answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			last, events, whole := streamTo(rw, r, w, &active)
			b.record.add("worker %s ends its run: %d tokens in %d events, whole %v", w.id, last, events, whole)
			if !whole {
				brokenOff.Add(1) // The front has closed the channel.
			}
		}
		b.store.put("servers", w.id, engineEntry(w))
	}
	board, err := newWorker("i-board0", "quadro-api", b.record, b.runs)
	if err != nil {
		return false, err
	}
	b.store.put("servers", board.id, board.entry())
	f, err := b.addFront("front-recife-a-1", b.store.address(), 8)
	if err != nil {
		return false, err
	}
	b.settle()
	callers := usualCallers
	if b.trouble {
		callers *= burstFactor
	}
	var cut, other, whole, refused atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			c := newClient(b.record) // Keeps its channel.
			for range streamsByCaller {
				if got := c.send(f.address(), http.MethodGet, "/read/7", "quadro.example", "key-of-musicians", nil, time.Second); got.status != http.StatusOK {
					b.record.add("the short request before it gets %d", got.status)
				}
				status, isKept, err := askStream(c, f)
				switch {
				case err != nil && !isKept:
					other.Add(1)
				case err != nil:
					cut.Add(1)
				case status == http.StatusOK:
					whole.Add(1)
				default:
					refused.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	b.record.add("%d callers: %d streams whole, %d kept channels closed without a whole answer (new ones: %d), %d answered with a failure or refusal; runs that the front broke off at a sound worker: %d", callers, whole.Load(), cut.Load(), other.Load(), refused.Load(), brokenOff.Load())
	return cut.Load() > 3, nil
}

// askStream sends one request for a stream and reads it to its end.
func askStream(c *client, f *front) (status int, isKept bool, err error) {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { isKept = i.Reused }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address()+"/ask/2f", strings.NewReader("which hymn?"))
	if err != nil {
		return 0, isKept, err
	}
	request.Host = "quadro.example"
	for name, value := range map[string]string{
		"X-Peridotstack-Request-Id": id, "X-Peridotstack-Deadline-Ms": "15000", "Authorization": "Bearer key-of-musicians",
		"X-Peridotstack-Model": "m", "X-Peridotstack-Token-Counts": "220," + strconv.Itoa(streamTokens), "X-Peridotstack-Prompt-Prefix": "5c1e07a2:79," + id[:8] + ":141",
	} {
		request.Header.Set(name, value)
	}
	c.record.add("client sends request %s", id)
	answer, err := c.http.Do(request)
	if err != nil {
		c.record.add("client gets no answer to %s: %v", id, err)
		return 0, isKept, err
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	last := ""
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = text
		}
	}
	err = lines.Err()
	if err == nil && answer.StatusCode == http.StatusOK && last != strconv.Itoa(streamTokens) {
		err = io.ErrUnexpectedEOF
	}
	c.record.add("client gets %d for %s, up to event %q, error %v", answer.StatusCode, id, last, err)
	return answer.StatusCode, isKept, err
}
