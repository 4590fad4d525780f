package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Val     []byte `json:"val,omitempty"`
	Ver     int64  `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store and of its API. It keeps all history.
type store struct {
	lab   *lab
	start time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	// beats contains the time of the last heartbeat of each registered worker.
	beats map[string]time.Time
}

func newStore(l *lab) *store {
	return &store{lab: l, start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
}

// apply writes or removes rows in one transaction. The caller must hold the mutex.
func (s *store) apply(writes, deletes []row) {
	s.version++
	for _, r := range writes {
		r.Ver, r.Removed = s.version, false
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range deletes {
		key := rowKey{r.Table, r.Part, r.Key}
		if _, ok := s.rows[key]; !ok {
			continue
		}
		delete(s.rows, key)
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a worker does. The store has acknowledged it when put returns.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Val: data}}, nil)
}

// remove removes a row as the platform does. The store has acknowledged it when remove returns.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// rowsOf returns the keys and values of a table that begin with prefix.
func (s *store) rowsOf(table, prefix string) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for key, r := range s.rows {
		if key.table == table && len(key.key) >= len(prefix) && key.key[:len(prefix)] == prefix {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// expire removes the entries of workers that were silent for three heartbeats, until stop is closed.
func (s *store) expire(heartbeat time.Duration, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat / 4):
		}
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > 3*heartbeat {
				delete(s.beats, id)
				s.apply(nil, []row{{Table: "servers", Key: id}})
				s.lab.record("store: the entry of %s is removed after three heartbeats of silence", id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.commit(w, r)
	case "/v1/rows-get":
		s.read(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/usage":
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer sends rows. The caller must hold the mutex.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, hasMore bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": s.version, "now-ms": time.Since(s.start).Milliseconds(), "has-more": hasMore})
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
	for _, list := range [][]row{t.Writes, t.Deletes} {
		for _, change := range list {
			if change.Table == "op" || change.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, check := range t.IfRev {
		known := s.rows[rowKey{check.Table, check.Part, check.Key}]
		failed = failed || known.Ver != check.Ver
		if known.Ver > 0 {
			current = append(current, known)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(t.Writes, t.Deletes)
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for key, r := range s.rows {
		if key.table == q.Get("table") && key.part == q.Get("part") && key.key >= q.Get("from") && (q.Get("to") == "" || key.key < q.Get("to")) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	hasMore := len(list) > limit
	if hasMore {
		list = list[:limit]
	}
	s.answer(w, http.StatusOK, list, hasMore)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var list []row
		for _, change := range s.history {
			if change.Ver > after && change.Table == q.Get("table") {
				list = append(list, change)
			}
		}
		changed := s.changed
		if len(list) > 0 {
			s.answer(w, http.StatusOK, list, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// proxy forwards the channels of one machine to the store.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

// link is one channel through a proxy. Nothing passes once it is silent.
type link struct {
	mu     sync.Mutex
	silent bool
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		l := &link{}
		p.mu.Lock()
		p.links = append(p.links, l)
		p.mu.Unlock()
		go l.copy(in, out)
		go l.copy(out, in)
	}
}

// copy forwards bytes and the end of the channel, and drops both once the channel is silent.
func (l *link) copy(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.isSilent() {
			if err != nil {
				return // The other side never hears of it.
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// silence makes all open channels silent for good. New ones work. It returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.links {
		l.mu.Lock()
		if !l.silent {
			l.silent = true
			n++
		}
		l.mu.Unlock()
	}
	return n
}
