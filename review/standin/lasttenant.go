package main

import (
	"fmt"
	"net/http"
	"time"
)

// manifest returns a manifest with one mutating and one safe route to a plain service.
func manifest(version int, tenants []any) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "quadro.example", "prefix": prefix, "type": kind, "timeout-ms": 1000, "slo-ms": 150,
			"prio": 2, "service": "quadro-api", "attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("quadro-set", "/set/", "mutating"), route("quadro-read", "/read/", "safe")},
		"services": []any{map[string]any{"name": "quadro-api", "health-path": "/health", "max-conns": 110, "proto": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  tenants,
	}
}

func tenant(name string, keys ...any) map[string]any {
	return map[string]any{"name": name, "api-keys": append([]any{}, keys...), "prio": 1}
}

// lastTenant lets the operator take the last tenant away, and then sends requests with its
// key, with a key that no manifest ever held, and without a key.
func lastTenant(b *bench) (bool, error) {
	b.store.put("op", "config", manifest(3, []any{tenant("sacristans", "key-of-sacristans")}))
	for i := range 2 {
		w, err := newWorker(fmt.Sprint("i-board", i), "quadro-api", b.record, b.runs)
		if err != nil {
			return false, err
		}
		b.store.put("servers", w.id, w.entry())
	}
	for i := range 2 {
		if _, err := b.addFront(fmt.Sprint("front-recife-a-", i+1), b.store.address(), 8); err != nil {
			return false, err
		}
	}
	b.settle()
	c := newClient(b.record)
	send := func(f *front, path, key string) reply {
		method, body := http.MethodGet, []byte(nil)
		if path == "/set/7" {
			method, body = http.MethodPost, []byte("psalm 23")
		}
		return c.send(f.address(), method, path, "quadro.example", key, body, time.Second)
	}
	served := 0
	for _, f := range b.fronts {
		for _, path := range []string{"/set/7", "/read/7"} {
			if send(f, path, "key-of-sacristans").status == http.StatusOK {
				served++
			}
			if got := send(f, path, "never-a-key"); got.status != http.StatusUnauthorized {
				return false, fmt.Errorf("before the change, a key that never was gets %d", got.status)
			}
		}
	}
	if served != 4 {
		return false, fmt.Errorf("before the change, %d of 4 requests are served", served)
	}
	if b.trouble {
		b.store.put("op", "config", manifest(7, []any{}))
		b.record.add("operator writes version 7 without the last tenant; the store acknowledges it")
	} else {
		b.store.put("op", "config", manifest(7, []any{tenant("sacristans", "new-key-of-sacristans")}))
		b.record.add("operator writes version 7 with another key; the store acknowledges it")
	}
	time.Sleep(4 * time.Second) // Twice config-apply-ms.
	broken := false
	for _, f := range b.fronts {
		for _, path := range []string{"/set/7", "/read/7"} {
			for _, key := range []string{"key-of-sacristans", "never-a-key", ""} {
				got := send(f, path, key)
				ran := b.runs.of(got.id)
				if len(ran) > 0 {
					broken = true
					b.record.add("BROKEN: request %s with key %q ran %d times (tenant %q)", got.id, key, len(ran), ran[0].tenant)
				}
			}
		}
	}
	return broken, nil
}
