package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// leaveEvents is the number of events of a stream, one every 100 ms.
	leaveEvents = 45
	// configBound is config-apply-ms.
	configBound = 2 * time.Second
)

// playLeave sends the fronts a SIGHUP and then streams to workers whose answers end with their
// channels. Meanwhile one worker leaves: it reports draining, serves on, listens no more, finishes
// its streams and ends.
func playLeave(l *lab) (int, error) {
	c, err := l.newControl()
	if err != nil {
		return failed, err
	}
	l.store.put("op", "config", manifest(3, []map[string]any{
		{"name": "ask", "host": testHost, "prefix": "/ask/", "type": "stream", "service": "hino-llm", "attempts": 1, "resumable": false, "timeout-ms": 15000, "slo-ms": 400, "gap-target-ms": 150, "prio": 1, "sticky": true},
	}, []map[string]any{{"name": "hino-llm", "max-conns": 370, "engine": map[string]any{"slots": 64, "kv-cap": 1380935, "kv-token-bytes": 163840, "nic-mbps": 5900000.0}}}))
	var workers []*workerProcess
	for n := 1; n <= 4; n++ {
		w, err := l.newWorker(n, workerSpec{Service: "hino-llm", Stage: "decode", Version: "v1", Slots: 64, WorkMillis: 50, EventMillis: 100, Unframed: true})
		if err != nil {
			return failed, err
		}
		workers = append(workers, w)
	}
	for n := 1; n <= 2; n++ {
		if _, err := l.newFront(n); err != nil {
			return failed, err
		}
	}
	if !l.awaitReady(15 * time.Second) {
		return failed, fmt.Errorf("the fronts are not ready")
	}
	l.record("both fronts are ready")
	time.Sleep(contact + time.Second)
	list := &attempts{}
	for _, f := range l.fronts {
		f.mu.Lock()
		_ = f.command.Process.Signal(syscall.SIGHUP)
		f.mu.Unlock()
		l.record("SIGHUP to %s", f.name)
	}
	reloaded := time.Now()
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			list.send(newClient(), l.fronts[i%2], request{
				method: "POST", path: "/ask/", body: fmt.Sprintf("question %d", i), timeout: 14 * time.Second, events: leaveEvents,
				header: map[string]string{"X-Peridotstack-Model": "m", "X-Peridotstack-Token-Counts": fmt.Sprintf("840,%d", leaveEvents), "X-Peridotstack-Prompt-Prefix": fmt.Sprintf("%08x:840", 0x10000000+i)},
			})
		}()
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	leaving := c.busiest(workers)
	if trouble("leave") {
		_ = leaving.command.Process.Signal(syscall.SIGTERM)
		l.record("%s begins to leave", leaving.spec.ID)
	}
	wg.Wait()
	time.Sleep(time.Second)
	l.recordAll(c, list)
	return l.judgeLeave(c, list, reloaded), nil
}

// busiest returns the worker with the most runs.
func (c *control) busiest(list []*workerProcess) *workerProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := list[0]
	for _, w := range list {
		if c.running[w.spec.ID] > c.running[most.spec.ID] {
			most = w
		}
	}
	return most
}

// judgeLeave checks LOST around the SIGHUP: a request that a front has read and passed on gets a
// complete answer, unless the worker broke off.
func (l *lab) judgeLeave(c *control, list *attempts, reloaded time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasRun := map[string]string{}
	for _, r := range c.reports {
		if r.What == "has run" {
			hasRun[r.Request] = r.Worker
		}
		if r.Request == "" {
			l.record("at %.3f s %s %s", time.Unix(0, r.UnixNano).Sub(l.start).Seconds(), r.Worker, r.What)
		}
	}
	whole, lost, other := 0, 0, 0
	for _, t := range list.all() {
		switch worker, ok := hasRun[t.id]; {
		case t.served():
			whole++
		case ok && t.sent.Before(reloaded.Add(configBound)):
			lost++
			l.record("request %s: %s has sent its whole answer, but the channel of the client ends without a complete one: %s", t.id, worker, t.err)
		default:
			other++
		}
	}
	l.record("LOST: %d streams whole, %d ended without a complete answer though their worker had sent all of it, %d other ends", whole, lost, other)
	fmt.Printf("LOST: %d whole, %d lost, %d others\n", whole, lost, other)
	if whole == 0 {
		return failed
	}
	if lost > 0 {
		return broken
	}
	return held
}
