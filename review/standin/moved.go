package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// rereadTime is the time that a worker takes to read the prompt of a preempted run in
	// again, and preemptAfter the number of events before.
	rereadTime   = 1500 * time.Millisecond
	preemptAfter = 8
	// overlapBound is the time after which the run before must have ended.
	overlapBound = 400 * time.Millisecond
	movedCallers = 4
)

// work is the time in which a worker worked on a request.
type work struct {
	worker     string
	begin, end time.Time
}

// works collects the work on each request.
type works struct {
	mu   sync.Mutex
	list map[string][]*work
}

func (w *works) begin(worker, request string) *work {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := &work{worker: worker, begin: time.Now()}
	w.list[request] = append(w.list[request], n)
	return n
}

func (w *works) finish(n *work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.end = time.Now()
}

// movedStreams lets callers ask for streams that may be resumed. With the disruption, one
// run in four is preempted in the middle of its stream: its worker reads the prompt in again
// and sends nothing meanwhile. The worker notices a closed channel when it writes.
func movedStreams(b *bench) (bool, error) {
	m := streamManifest()
	ask := m["routes"].([]any)[2].(map[string]any)
	ask["resumable"], ask["attempts"] = true, 2
	b.store.put("op", "config", m)
	all := &works{list: make(map[string][]*work)}
	var preempted sync.Map
	for i := range 3 {
		w, err := newWorker(fmt.Sprint("i-engine", i), "hino-llm", b.record, b.runs)
		if err != nil {
			return false, err
		}
		w.answer = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("X-Peridotstack-Request-Id")
			n := all.begin(w.id, id)
			defer all.finish(n)
			rw.Header().Set("Content-Type", "text/event-stream")
			rw.Header().Set("X-Peridotstack-Response-Seal", "seal-"+w.id)
			rw.Header().Set("X-Peridotstack-Weight-Versions", "1")
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for e := last + 1; e <= streamTokens; e++ {
				time.Sleep(tokenTime)
				if _, second := preempted.Load(id); b.trouble && !second && e == preemptAfter && id[0] < '4' {
					preempted.Store(id, true)
					b.record.add("worker %s preempts %s after event %d and reads its prompt in again", w.id, id, e-1)
					time.Sleep(rereadTime)
				}
				if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", e, e); err != nil {
					break
				}
				if http.NewResponseController(rw).Flush() != nil {
					break
				}
				if r.Context().Err() != nil {
					break
				}
			}
			b.record.add("worker %s ends its work on %s", w.id, id)
		}
		b.store.put("servers", w.id, engineEntry(w))
	}
	f, err := b.addFront("front-recife-a-1", b.store.address(), 8)
	if err != nil {
		return false, err
	}
	b.settle()
	var wg sync.WaitGroup
	for range movedCallers {
		wg.Go(func() {
			c := newClient(b.record)
			for range 12 {
				_, _, _ = askStream(c, f)
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * rereadTime)
	all.mu.Lock()
	defer all.mu.Unlock()
	broken := 0
	for id, list := range all.list {
		for i := 1; i < len(list); i++ {
			overlap := list[i-1].end.Sub(list[i].begin)
			if overlap > overlapBound {
				broken++
				b.record.add("BROKEN: %s goes on at %s, and %s works on it for %.0f ms more", id, list[i].worker, list[i-1].worker, float64(overlap)/float64(time.Millisecond))
			}
		}
	}
	b.record.add("%d requests, %d went on at another worker while the one before worked on them more than 400 ms later", len(all.list), broken)
	return broken > 0, nil
}
