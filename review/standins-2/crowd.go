package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of channels of clients that don't end their bodies. max-fds is 4,100.
	crowdSize = 2000
	crowdTime = 9 * time.Second
	// callers is the number of ordinary clients, each of which tries a new channel every callPause.
	callers   = 8
	callPause = 250 * time.Millisecond
)

// playCrowd opens many channels on which chunked bodies stop short of their end, and lets ordinary
// clients send small requests on new channels meanwhile.
func playCrowd(l *lab) (int, error) {
	c, err := l.newControl()
	if err != nil {
		return failed, err
	}
	l.store.put("op", "config", manifest(3, []map[string]any{
		{"name": "set", "host": testHost, "prefix": "/set/", "type": "mutating", "service": "quadro-api", "attempts": 1, "timeout-ms": 1000, "slo-ms": 300, "prio": 1},
	}, []map[string]any{{"name": "quadro-api", "max-conns": 110}}))
	for n := 1; n <= 2; n++ {
		if _, err := l.newWorker(n, workerSpec{Service: "quadro-api", Version: "v1", Slots: 12, WorkMillis: 10}); err != nil {
			return failed, err
		}
	}
	f, err := l.newFront(1)
	if err != nil {
		return failed, err
	}
	if !l.awaitReady(15 * time.Second) {
		return failed, fmt.Errorf("the front is not ready")
	}
	l.record("the front is ready")
	time.Sleep(contact + time.Second)
	list := &attempts{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(callPause):
				}
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				list.send(client, f, request{method: "POST", path: "/set/1", body: fmt.Sprint(n), timeout: time.Second})
			}
		}()
	}
	var readyNo atomic.Int64
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			if !f.ready() {
				readyNo.Add(1)
				l.record("the front says that it is not ready")
			}
		}
	}()
	time.Sleep(2 * time.Second)
	var open atomic.Int64
	crowdAt := time.Now()
	if trouble("crowd") {
		for i := range crowdSize {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.stall(f, i, stop, &open)
			}()
			if i%20 == 0 {
				time.Sleep(2 * time.Millisecond)
			}
		}
		l.record("%d channels with chunked bodies that don't end have been opened, from %.3f s on", crowdSize, crowdAt.Sub(l.start).Seconds())
	}
	time.Sleep(time.Until(crowdAt.Add(crowdTime)))
	l.record("%d of them are open", open.Load())
	close(stop)
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	l.recordAll(c, list)
	return l.judgeCrowd(list, readyNo.Load()), nil
}

// stall sends the beginning of a chunked body and a chunk of one byte each second.
func (l *lab) stall(f *front, i int, stop chan struct{}, open *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", f.address(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	open.Add(1)
	defer open.Add(-1)
	fmt.Fprintf(conn, "POST /set/9 HTTP/1.1\r\nHost: %s\r\nX-Peridotstack-Request-Id: crowd%011d\r\nX-Peridotstack-Deadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", testHost, i, testKey)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		if _, err := fmt.Fprint(conn, "1\r\nx\r\n"); err != nil {
			return
		}
	}
}

// judgeCrowd checks RECOVER: a front that says it is ready takes a new channel within contact-ms
// while seven clients or more try.
func (l *lab) judgeCrowd(list *attempts, readyNo int64) int {
	all := list.all()
	served := 0
	longest, from := time.Duration(0), time.Time{}
	last := all[0].sent
	var tries int
	for _, t := range all { // In the order in which they were sent.
		if t.status != 0 {
			served++
			last, tries = t.sent, 0
			continue
		}
		tries++
		if gap := t.sent.Sub(last); gap > longest && tries >= 7 {
			longest, from = gap, last
		}
	}
	l.record("%d requests of ordinary clients on new channels, %d answered; the front was not ready %d times", len(all), served, readyNo)
	l.record("RECOVER: the longest time in which no new channel was taken is %.3f s, from %.3f s on; %d clients tried every %v", longest.Seconds(), max(0, from.Sub(l.start).Seconds()), callers, callPause)
	fmt.Printf("RECOVER: %d of %d answered, no new channel for %.3f s\n", served, len(all), longest.Seconds())
	if served == 0 {
		return failed
	}
	if longest > contact && readyNo == 0 {
		return broken
	}
	return held
}
