package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// longBodyBytes is the size of a long request: that of the largest ones of the sheet.
	longBodyBytes = 110000
	// earlyStreamTime is how long an answer takes, and readLater the time after which the
	// worker reads the rest of a body, if it answers before.
	earlyStreamTime = 9 * time.Second
	readLater       = 7 * time.Second
	earlyCallers    = 6
	// configApply is config-apply-ms.
	configApply = 2 * time.Second
)

// earlyStreams lets callers send long prompts. With the disruption, the workers begin to
// answer before they have read the body, and read it later.
func earlyStreams(b *bench) (bool, error) {
	b.store.put("op", "config", streamManifest())
	var brokenOff atomic.Int64
	for i := range 3 {
		w, err := newWorker(fmt.Sprint("i-engine", i), "hino-llm", b.record, b.runs)
		if err != nil {
			return false, err
		}
		w.early = b.trouble
		w.answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			last, err := w.streamEarly(rw, r)
			b.record.add("worker %s ends its run after event %d: %v", w.id, last, err)
			if err != nil {
				brokenOff.Add(1)
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
	// SIGHUP is planned work, with and without the disruption: requests that are sent within
	// config-apply-ms after it must not be cut.
	reload := func() time.Time {
		f.signal(syscall.SIGHUP)
		b.record.add("front gets SIGHUP")
		return time.Now()
	}
	body := bytes.Repeat([]byte("order of service\n"), longBodyBytes/17)
	var cut, other, whole, refused atomic.Int64
	for range 2 {
		hupAt := reload()
		var wg sync.WaitGroup
		for range earlyCallers {
			wg.Go(func() {
				c := newClient(b.record)
				if got := c.send(f.address(), http.MethodGet, "/read/7", "quadro.example", "key-of-musicians", nil, time.Second); got.status != http.StatusOK {
					b.record.add("the short request before it gets %d", got.status)
				}
				inTime := time.Since(hupAt) < configApply
				status, isKept, err := askLong(c, f, body)
				switch {
				case err != nil && !(isKept && inTime):
					other.Add(1)
				case err != nil:
					cut.Add(1)
				case status == http.StatusOK:
					whole.Add(1)
				default:
					refused.Add(1)
				}
			})
		}
		wg.Wait()
	}
	b.record.add("%d streams whole, %d kept channels closed without a whole answer (others cut: %d), %d answered with a failure or refusal; runs broken off at a sound worker: %d", whole.Load(), cut.Load(), other.Load(), refused.Load(), brokenOff.Load())
	return cut.Load() > 3, nil
}

// streamEarly writes an event every 100 ms. A worker that answers early reads the body only
// after readLater.
func (b *worker) streamEarly(w http.ResponseWriter, r *http.Request) (last int, err error) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Peridotstack-Response-Seal", "seal-"+b.id)
	w.Header().Set("X-Peridotstack-Weight-Versions", "1")
	control := http.NewResponseController(w)
	start := time.Now()
	read := !b.early
	for n := 1; time.Since(start) < earlyStreamTime; n++ {
		if !read && time.Since(start) >= readLater {
			data, err := io.ReadAll(r.Body)
			if err != nil {
				return last, fmt.Errorf("the rest of the body: %w", err)
			}
			b.record.add("worker %s has read the body of %d bytes", b.id, len(data))
			read = true
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return last, err
		}
		if err := control.Flush(); err != nil {
			return last, err
		}
		last = n
		time.Sleep(100 * time.Millisecond)
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: end\n\n", last+1)
	return last + 1, err
}

// askLong sends a request with a long body and reads the stream to its end.
func askLong(c *client, f *front, body []byte) (status int, isKept bool, err error) {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { isKept = i.Reused }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address()+"/ask/2f", bytes.NewReader(body))
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
	c.record.add("client sends request %s with %d bytes", id, len(body))
	answer, err := c.http.Do(request)
	if err != nil {
		c.record.add("client gets no answer to %s: %v", id, err)
		return 0, isKept, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode == http.StatusOK && !strings.HasSuffix(string(data), "data: end\n\n") {
		err = io.ErrUnexpectedEOF
	}
	c.record.add("client gets %d for %s, %d events, error %v", answer.StatusCode, id, strings.Count(string(data), "id: "), err)
	return answer.StatusCode, isKept, err
}
