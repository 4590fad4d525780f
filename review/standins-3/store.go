package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as PROTOCOL.md describes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Val     []byte `json:"val,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a sound metadata store: linearizable, with a feed, without rate limits.
type store struct {
	mu      sync.Mutex
	start   time.Time
	ver     int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), ver: 1, rows: map[rowKey]row{}, changed: make(chan struct{})}
}

func (s *store) nowMS() int64 { return 1000 + time.Since(s.start).Milliseconds() }

// put writes a row as the operator or a worker does, and returns when the store acknowledged it.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Val: data}}, nil)
	return time.Now()
}

// remove deletes a row.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
	return time.Now()
}

// apply applies a transaction. The caller holds s.mu.
func (s *store) apply(writes, deletes []row) {
	s.ver++
	for _, w := range writes {
		w.Ver, w.Removed = s.ver, false
		s.rows[rowKey{w.Table, w.Part, w.Key}] = w
		s.history = append(s.history, w)
	}
	for _, d := range deletes {
		k := rowKey{d.Table, d.Part, d.Key}
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		IfRev   []row `json:"if-rev"`
		Writes  []row `json:"writes"`
		Deletes []row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, 400, map[string]string{"error": err.Error()})
		return
	}
	for _, list := range [][]row{t.Writes, t.Deletes} {
		for _, x := range list {
			if x.Table == "op" || x.Table == "servers" {
				reply(w, 403, map[string]string{"error": "not yours"})
				return
			}
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	conflict := false
	current := []row{}
	for _, c := range t.IfRev {
		have := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if have.Ver != c.Ver {
			conflict = true
		}
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	if conflict {
		ver := s.ver
		s.mu.Unlock()
		reply(w, 412, map[string]any{"rows": current, "ver": ver, "now-ms": s.nowMS()})
		return
	}
	s.apply(t.Writes, t.Deletes)
	ver := s.ver
	s.mu.Unlock()
	reply(w, 200, map[string]any{"ver": ver, "now-ms": s.nowMS()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	rows := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply(w, 200, map[string]any{"rows": rows, "has-more": more, "ver": ver, "now-ms": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, h := range s.history {
			if h.Ver > after && h.Table == q.Get("table") {
				rows = append(rows, h)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, 200, map[string]any{"rows": rows, "ver": ver, "now-ms": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, 200, map[string]any{"rows": rows, "ver": ver, "now-ms": s.nowMS()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// usageCall is a call to the platform's API.
type usageCall struct {
	at     time.Time
	holder string
	fence  int64
	window int64
	body   string
}

// api is the platform's API.
type api struct {
	mu    sync.Mutex
	calls []usageCall
}

func (a *api) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			WindowID int64            `json:"window-id"`
			Counts   map[string]int64 `json:"counts"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, 400, map[string]string{"error": err.Error()})
			return
		}
		fence, _ := strconv.ParseInt(r.Header.Get("X-Peridotstack-Fence-Token"), 10, 64)
		data, _ := json.Marshal(body.Counts)
		a.mu.Lock()
		a.calls = append(a.calls, usageCall{time.Now(), r.Header.Get("X-Peridotstack-Duty-Holder"), fence, body.WindowID, string(data)})
		a.mu.Unlock()
		reply(w, 200, map[string]bool{"ok": true})
	})
	mux.HandleFunc("POST /scale", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, map[string]bool{"ok": true}) })
	return mux
}

// serveHTTP serves a handler at an address until the program ends.
func serveHTTP(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen at %s: %v", address, err)
	}
	go func() { _ = http.Serve(l, h) }()
}
