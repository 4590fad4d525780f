package main

import (
	"net/http"
	"time"
)

// addedRequests is the number of requests on each route in the steady state.
const addedRequests = 30

// addedRoutes lets the operator add a mutating and a safe route, to a service of engines with
// the disruption and to a plain service without it. The engines answer such requests with a
// body, as plain workers do.
func addedRoutes(b *bench) (bool, error) {
	b.store.put("op", "config", streamManifest())
	board, err := newWorker("i-board0", "quadro-api", b.record, b.runs)
	if err != nil {
		return false, err
	}
	engine, err := newWorker("i-engine0", "hino-llm", b.record, b.runs)
	if err != nil {
		return false, err
	}
	b.store.put("servers", board.id, board.entry())
	b.store.put("servers", engine.id, engineEntry(engine))
	f, err := b.addFront("front-recife-a-1", b.store.address(), 8)
	if err != nil {
		return false, err
	}
	b.settle()
	m := streamManifest()
	m["version"] = 7
	service := "quadro-api"
	if b.trouble {
		service = "hino-llm"
	}
	routes := m["routes"].([]any)
	for _, r := range routes[:2] {
		added := make(map[string]any)
		for name, value := range r.(map[string]any) {
			added[name] = value
		}
		added["name"], added["prefix"], added["service"] = "added"+added["name"].(string), "/added"+added["prefix"].(string), service
		routes = append(routes, added)
	}
	m["routes"] = routes
	b.store.put("op", "config", m)
	b.record.add("operator adds two routes to %s; the store acknowledges it", service)
	time.Sleep(4 * time.Second) // Twice config-apply-ms.
	c := newClient(b.record)
	served := map[bool]int{}
	ran := 0
	for range addedRequests {
		for _, isAdded := range []bool{false, true} {
			prefix := ""
			if isAdded {
				prefix = "/added"
			}
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				path, body := prefix+"/read/7", []byte(nil)
				if method == http.MethodPost {
					path, body = prefix+"/set/7", []byte("psalm 23")
				}
				got := c.send(f.address(), method, path, "quadro.example", "key-of-musicians", body, time.Second)
				if got.status == http.StatusOK {
					served[isAdded]++
				} else if len(b.runs.of(got.id)) > 0 {
					ran++
				}
			}
		}
	}
	b.record.add("served on the first routes: %d of %d; on the added ones: %d of %d; run, but answered with a failure: %d", served[false], 2*addedRequests, served[true], 2*addedRequests, ran)
	return 4*served[true] < served[false], nil
}
