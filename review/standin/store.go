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

// row is a row of the platform's store in its JSON form.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Val     []byte `json:"val,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowName struct{ table, part, key string }

// usageReport is a usage report that the platform accepted.
type usageReport struct {
	Holder string
	Fence  string
	Window int64
	Counts map[string]int64
}

// store is a stand-in for the platform: its store and its API for usage reports.
type store struct {
	record   *record
	listener net.Listener
	start    time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowName]row
	changes []row
	changed chan struct{}
	usage   []usageReport
}

// retention is the number of changes that the store keeps as its history.
const retention = 20000

func newStore(rec *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{record: rec, listener: l, start: time.Now(), rows: make(map[rowName]row), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row as the operator or a worker does. It returns once the row is stored,
// which is the ack.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Val: data})
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Removed: true})
}

// apply applies one change at the current version. The caller must hold mu.
func (s *store) apply(r row) {
	r.Ver = s.ver
	name := rowName{r.Table, r.Part, r.Key}
	if r.Removed {
		r.Val = nil
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.changes = append(s.changes, r)
	if len(s.changes) > retention {
		s.changes = s.changes[len(s.changes)-retention:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer sends rows. The caller must hold mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": s.ver, "now-ms": time.Since(s.start).Milliseconds(), "has-more": more})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/rows-tx":
		s.commit(w, r)
	case "GET /v1/rows-get":
		s.get(w, r)
	case "GET /v1/rows-feed":
		s.feed(w, r)
	case "POST /usage":
		s.takeUsage(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		IfRev   []row `json:"if-rev"`
		Writes  []row `json:"writes"`
		Deletes []row `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, c := range t.IfRev {
		now, ok := s.rows[rowName{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, now)
		}
		conflict = conflict || now.Ver != c.Ver
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	for _, c := range append(t.Writes, t.Deletes...) {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.ver++
	for _, c := range t.Writes {
		s.apply(row{Table: c.Table, Part: c.Part, Key: c.Key, Val: c.Val})
	}
	for _, c := range t.Deletes {
		s.apply(row{Table: c.Table, Part: c.Part, Key: c.Key, Removed: true})
	}
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for name, r := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		if after > s.ver || len(s.changes) > 0 && after < s.changes[0].Ver-1 {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, c := range s.changes {
			if c.Ver > after && c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		if len(rows) > 0 || done {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) takeUsage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window int64            `json:"window-id"`
		Counts map[string]int64 `json:"counts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.usage = append(s.usage, usageReport{r.Header.Get("X-Peridotstack-Duty-Holder"), r.Header.Get("X-Peridotstack-Fence-Token"), body.Window, body.Counts})
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
