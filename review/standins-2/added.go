package main

import (
	"fmt"
	"time"
)

// addedRequests is the number of requests on each route after the change.
const addedRequests = 60

// playAdded adds a route by a new version of the manifest. Its host has capitals, and the clients
// send it just so. Without the disruption it has none.
func playAdded(l *lab) (int, error) {
	c, err := l.newControl()
	if err != nil {
		return failed, err
	}
	services := []map[string]any{{"name": "quadro-api", "max-conns": 110}}
	route := func(name, host string) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": "/set/", "type": "mutating", "service": "quadro-api", "attempts": 1, "timeout-ms": 1000, "slo-ms": 300, "prio": 1}
	}
	l.store.put("op", "config", manifest(3, []map[string]any{route("first", testHost)}, services))
	for n := 1; n <= 2; n++ {
		if _, err := l.newWorker(n, workerSpec{Service: "quadro-api", Version: "v1", Slots: 12, WorkMillis: 10}); err != nil {
			return failed, err
		}
		if _, err := l.newFront(n); err != nil {
			return failed, err
		}
	}
	if !l.awaitReady(15 * time.Second) {
		return failed, fmt.Errorf("the fronts are not ready")
	}
	l.record("both fronts are ready")
	time.Sleep(contact + time.Second)
	host := "quadro.example"
	if trouble("capitals") {
		host = "Quadro.Example"
	}
	l.store.put("op", "config", manifest(7, []map[string]any{route("first", testHost), route("added", host)}, services))
	l.record("the store has accepted version 7 of the manifest, with a route for the host %q", host)
	time.Sleep(configBound + time.Second)
	first, added := &attempts{}, &attempts{}
	for n := range addedRequests {
		f := l.fronts[n%2]
		first.send(newClient(), f, request{method: "POST", path: "/set/1", body: fmt.Sprint(n), timeout: time.Second})
		added.send(newClient(), f, request{method: "POST", path: "/set/1", body: fmt.Sprint(n), timeout: time.Second, host: host})
	}
	time.Sleep(300 * time.Millisecond)
	l.record("requests on the first route:")
	l.recordAll(c, first)
	l.record("requests on the added route:")
	l.recordAll(c, added)
	servedFirst, servedAdded, denied := 0, 0, 0
	for _, t := range append(first.all(), added.all()...) {
		if t.status >= 300 && t.status < 500 && t.status != 408 && t.status != 421 && t.status != 429 {
			denied++
		}
	}
	for _, t := range first.all() {
		if t.served() {
			servedFirst++
		}
	}
	for _, t := range added.all() {
		if t.served() {
			servedAdded++
		}
	}
	l.record("CONFIG: %d of %d requests served on the first route, %d of %d on the added one; DENIED: %d of all ended with a 3xx or 4xx", servedFirst, addedRequests, servedAdded, addedRequests, denied)
	fmt.Printf("CONFIG: first route %d, added route %d of %d; DENIED: %d\n", servedFirst, servedAdded, addedRequests, denied)
	if servedFirst < addedRequests/2 {
		return failed, nil
	}
	if servedAdded*4 < servedFirst {
		return broken, nil
	}
	return held, nil
}
