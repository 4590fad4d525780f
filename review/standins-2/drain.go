package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// serveOn is how long a worker serves on after the store has accepted that it leaves.
const serveOn = 4500 * time.Millisecond

// playDrain removes the entry of a worker that does not report draining. Just after the ack, all
// open channels between the fronts and the store go silent, and new ones work.
func playDrain(l *lab) (int, error) {
	c, err := l.newControl()
	if err != nil {
		return failed, err
	}
	l.store.put("op", "config", manifest(3, []map[string]any{
		{"name": "set", "host": testHost, "prefix": "/set/", "type": "mutating", "service": "quadro-api", "attempts": 1, "timeout-ms": 1000, "slo-ms": 300, "prio": 1},
	}, []map[string]any{{"name": "quadro-api", "max-conns": 110}}))
	var workers []*workerProcess
	for n := 1; n <= 3; n++ {
		w, err := l.newWorker(n, workerSpec{Service: "quadro-api", Version: "v1", Slots: 12, WorkMillis: 100})
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
	list := &attempts{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 16 {
		f := l.fronts[i%2]
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+rand.Intn(100)) * time.Millisecond):
				}
				list.send(client, f, request{method: "POST", path: fmt.Sprintf("/set/%d", n), body: "number " + fmt.Sprint(n), timeout: time.Second})
			}
		}()
	}
	time.Sleep(6 * time.Second)
	leaving := workers[2]
	acked := c.leave(leaving.spec.ID)
	l.record("the store has accepted that the entry of %s is removed; it serves on for %v", leaving.spec.ID, serveOn)
	silentAt := time.Now()
	if trouble("silence") {
		n := 0
		for _, f := range l.fronts {
			n += f.proxy.silence()
		}
		l.record("%d open channels between the fronts and the store go silent; new ones work", n)
	}
	time.Sleep(time.Until(acked.Add(serveOn)))
	leaving.kill()
	l.record("%s ends", leaving.spec.ID)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	l.recordAll(c, list)
	return l.judgeDrain(c, list, leaving.spec.ID, acked, silentAt), nil
}

// judgeDrain checks DRAIN: no request reaches the worker later than drain-ms after the ack if
// the client sent it, and the front passed it on, in touch.
func (l *lab) judgeDrain(c *control, list *attempts, leaving string, acked, silentAt time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrivals := map[string]report{}
	for _, r := range c.reports {
		if r.Worker == leaving && r.What == "runs" {
			arrivals[r.Request] = r
		}
	}
	inTouch := acked
	if trouble("silence") {
		inTouch = silentAt.Add(contact)
	}
	late, lost, all, servedCount := 0, 0, 0, 0
	for _, t := range list.all() {
		all++
		if t.served() {
			servedCount++
		}
		r, reached := arrivals[t.id]
		at := time.Unix(0, r.UnixNano)
		if !reached || at.Before(acked) {
			continue
		}
		isLate := at.After(acked.Add(drainBound)) && t.sent.After(inTouch) && at.After(inTouch)
		note := ""
		if isLate {
			late++
			note = ", too late"
			if !t.served() {
				lost++
			}
		}
		l.record("request %s: sent to %s at %.3f s, reaches %s at %.3f s, %.3f s after the ack%s; answer: %d %s", t.id, t.front, t.sent.Sub(l.start).Seconds(), leaving, at.Sub(l.start).Seconds(), at.Sub(acked).Seconds(), note, t.status, t.err)
	}
	l.record("%d requests, %d served; ack at %.3f s, fronts in touch from %.3f s on", all, servedCount, acked.Sub(l.start).Seconds(), inTouch.Sub(l.start).Seconds())
	l.record("DRAIN: %d requests were sent and passed on in touch and reached %s more than %v after the ack; %d of them got no success", late, leaving, drainBound, lost)
	fmt.Printf("DRAIN: %d late requests, %d of them lost\n", late, lost)
	if servedCount < all/2 {
		l.record("less than half of the requests were served")
		return failed
	}
	if late > 0 {
		return broken
	}
	return held
}
