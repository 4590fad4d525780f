package main

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"
)

const (
	systemPart = "5c1e07a2:800"
	engines    = 20
	oldEngines = 5
)

// playRecover loses the last engines of an older software version for good, and later kills all
// fronts at once. TROUBLE=crash and TROUBLE=kill make only one of the two.
func playRecover(l *lab) (int, error) {
	c, err := l.newControl()
	if err != nil {
		return failed, err
	}
	l.store.put("op", "config", manifest(3, []map[string]any{
		{"name": "ask", "host": testHost, "prefix": "/ask/", "type": "stream", "service": "hino-llm", "attempts": 2, "resumable": true, "timeout-ms": 15000, "slo-ms": 400, "gap-target-ms": 150, "prio": 1, "sticky": true},
	}, []map[string]any{{"name": "hino-llm", "max-conns": 370, "engine": map[string]any{"slots": 64, "kv-cap": 1380935, "kv-token-bytes": 163840, "nic-mbps": 5900000.0}}}))
	var workers []*workerProcess
	for n := 1; n <= engines; n++ {
		version := "v2"
		if n <= oldEngines {
			version = "v1"
		}
		w, err := l.newWorker(n, workerSpec{Service: "hino-llm", Stage: "decode", Version: version, Slots: 64, WorkMillis: 200, EventMillis: 100})
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
	for i := range 144 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(400+rand.Intn(400)) * time.Millisecond):
				}
				list.send(client, l.fronts[(i+n)%2], request{
					method: "POST", path: "/ask/", body: fmt.Sprintf("question %d of %d", n, i), timeout: 15 * time.Second, events: 20,
					header: map[string]string{"X-Peridotstack-Model": "m", "X-Peridotstack-Token-Counts": "840,20", "X-Peridotstack-Prompt-Prefix": fmt.Sprintf("%s,%08x:40", systemPart, 0x10000000+i*100000+n)},
				})
			}
		}()
	}
	time.Sleep(6 * time.Second)
	if trouble("crash") {
		c.awaitRuns(workers[:oldEngines], 3*time.Second)
		for _, w := range workers[:oldEngines] {
			go w.kill()
		}
		l.record("%d of %d engines, all of the rack that still runs v1, crash and are lost for good", oldEngines, engines)
	}
	time.Sleep(6 * time.Second)
	l.recordPart()
	faultAt := time.Now()
	if trouble("kill") {
		for _, f := range l.fronts {
			f.kill()
		}
		time.Sleep(time.Second)
		for _, f := range l.fronts {
			if err := f.run(); err != nil {
				return failed, err
			}
		}
	}
	back := time.Now()
	time.Sleep(recovery + 6*time.Second)
	close(stop)
	wg.Wait()
	l.recordAll(c, list)
	return l.judgeRecover(list, faultAt, back), nil
}

// recordPart records what the fronts keep in the store about the part that most prompts share.
func (l *lab) recordPart() {
	rows := l.store.rowsOf("peridotstack", "quarantine/")
	ends := map[string]int{}
	most := ""
	for _, r := range rows {
		part, _, _ := strings.Cut(strings.TrimPrefix(r.Key, "quarantine/"), "/")
		if ends[part]++; ends[part] > ends[most] {
			most = part
		}
	}
	l.record("the fronts keep %d accusations in the store, %d of them of one part", len(rows), ends[most])
}

// judgeRecover checks RECOVER.
func (l *lab) judgeRecover(list *attempts, faultAt, back time.Time) int {
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	answers := map[string]int{}
	for _, t := range list.all() {
		switch {
		case t.sent.Before(faultAt.Add(-time.Second)):
			before++
			if t.served() {
				servedBefore++
			}
		case t.sent.After(back.Add(recovery)):
			after++
			if t.served() {
				servedAfter++
			} else {
				answers[fmt.Sprintf("%d %s", t.status, t.err)]++
			}
		}
	}
	for second := time.Duration(0); second < 60*time.Second; second += time.Second {
		n, ok := 0, 0
		for _, t := range list.all() {
			if at := t.sent.Sub(l.start); at >= second && at < second+time.Second {
				n++
				if t.served() {
					ok++
				}
			}
		}
		if n > 0 {
			l.record("requests sent in second %2.0f: %d, served %d", second.Seconds(), n, ok)
		}
	}
	l.record("before the final fault: %d of %d requests served", servedBefore, before)
	l.record("later than %v after the fronts are back (%.3f s): %d of %d requests served; the others: %v", recovery, back.Sub(l.start).Seconds(), servedAfter, after, answers)
	fmt.Printf("RECOVER: before %d of %d, after %d of %d served\n", servedBefore, before, servedAfter, after)
	if servedBefore*4 < before || after == 0 {
		return failed
	}
	if servedAfter*4 < after {
		return broken
	}
	return held
}
