package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["14"] = runCase14 }

const (
	case14Rate        = 20 // requests a second with each key
	case14Contact     = 3 * time.Second
	case14ConfigApply = 2 * time.Second
)

// runCase14 changes the store's address in the settings file and sends SIGHUP. Later the
// operator withdraws a key. It checks that no request with that key runs after config-apply-ms.
func runCase14() {
	fl := newFleet()
	old := newRetiringServer(fl.base+".210:8408", fl.store.handler())
	config := func(version int, keys ...string) map[string]any {
		return map[string]any{
			"version":  version,
			"routes":   []map[string]any{{"name": "r-set", "host": "h.example", "prefix": "/set/", "type": "mutating", "timeout-ms": 1000, "slo-ms": 150, "prio": 0, "service": "desk", "attempts": 1, "public": false, "sticky": false, "resumable": false}},
			"services": []map[string]any{{"name": "desk", "health-path": "/health", "max-conns": 110, "proto": "h1", "tls": false}},
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
			"tenants":  []map[string]any{{"name": "parish", "api-keys": keys, "prio": 1}},
		}
	}
	fl.store.put("op", "config", config(3, "key-one", "key-two"))
	for i := range 2 {
		w := &plainWorker{id: fmt.Sprintf("i-%d", i+1), service: "desk", born: time.Now().UnixMilli()}
		l := fl.listen(100 + i)
		w.address = l.Addr().String()
		go w.serve(l)
		go w.beat(fl)
	}
	f := fl.addFront("a", old.address, fl.apiAddress())
	f.start()
	for range 2 { // These have the new address from their start.
		fl.addFront("a", fl.storeAddress(), fl.apiAddress()).start()
	}
	fl.awaitReady(10 * time.Second)
	time.Sleep(case14Contact + time.Second)

	if isTrouble() {
		text, err := os.ReadFile(f.settings)
		if err != nil {
			cannotRun("%v", err)
		}
		changed := strings.ReplaceAll(string(text), old.address, fl.storeAddress())
		if err := os.WriteFile(f.settings, []byte(changed), 0o600); err != nil {
			cannotRun("%v", err)
		}
		record("the settings file has a new [infra] addr: %s instead of %s, which answers for 5 s more", fl.storeAddress(), old.address)
		f.signal(syscall.SIGHUP)
		time.Sleep(5 * time.Second)
		old.retire()
		record("the store answers at %s only", fl.storeAddress())
		time.Sleep(2*case14Contact + time.Second) // The front is in touch again.
	}
	ack := fl.store.put("op", "config", config(5, "key-one"))
	record("the store acknowledged version 5, without key-two")
	var ranOld, good, refused, other int
	for n := 0; time.Since(ack) < 12*time.Second; n++ {
		sent := time.Now()
		id := fmt.Sprintf("%016x", 0xd000+n)
		status, _, err := postKey(f.address(), "/set/board", id, "key-one")
		record("client: request %s with the other key, sent %.1f s after the ack, got status %d, %v", id, sent.Sub(ack).Seconds(), status, err)
		if status == 200 && err == nil {
			good++
		}
		id = fmt.Sprintf("%016x", 0xe000+n)
		sent = time.Now()
		status, _, err = postKey(f.address(), "/set/board", id, "key-two")
		record("client: request %s with the withdrawn key, sent %.1f s after the ack, got status %d, %v", id, sent.Sub(ack).Seconds(), status, err)
		if since := sent.Sub(ack); since > case14ConfigApply+500*time.Millisecond {
			switch {
			case status == 200 && err == nil:
				ranOld++
			case status == 401:
				refused++
			default:
				other++
			}
		}
		time.Sleep(time.Second / case14Rate)
	}
	text := fmt.Sprintf("later than config-apply-ms after the ack, %d requests with the withdrawn key ran and %d were refused with 401 (%d other answers); %d with the other key were served", ranOld, refused, other, good)
	switch {
	case ranOld > 0:
		finish(exitBroken, "CONFIG broken: %s", text)
	case good == 0 || refused == 0:
		cannotRun("%s", text)
	}
	finish(exitHeld, "CONFIG held: %s", text)
}

// retiringServer serves a handler until it is retired.
type retiringServer struct {
	address string
	server  *http.Server
}

func newRetiringServer(address string, h http.Handler) *retiringServer {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("%v", err)
	}
	s := &retiringServer{address, &http.Server{Handler: h}}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *retiringServer) retire() { _ = s.server.Close() }
