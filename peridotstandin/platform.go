package peridotstandin

import (
	"encoding/json"
	"net/http"
	"sync"

	"peridotstack/peridotplatform"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// Platform is the stand-in for the platform. Make one with NewPlatform.
type Platform struct {
	// Table is the table service; its switches inject faults.
	Table *peridottable.Faulty
	// Usage is the interface for usage reports.
	Usage Usage

	mu        sync.Mutex
	instances []peridotplatform.Instance
	ordering  ordering
}

// NewPlatform returns a platform with an empty table and the given instances.
func NewPlatform(instances ...peridotplatform.Instance) *Platform {
	return &Platform{Table: &peridottable.Faulty{Store: &peridottable.Memory{}}, instances: instances}
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(instances ...peridotplatform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = instances
}

// Handler serves the platform's interfaces.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/get", p.get)
	mux.HandleFunc("POST /table/scan", p.scan)
	mux.HandleFunc("POST /table/commit", p.commit)
	mux.HandleFunc("POST /instances", p.list)
	mux.HandleFunc("POST /orders", p.takeOrder)
	mux.Handle("POST /usage", &p.Usage)
	return mux
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var body peridotplatform.GetRowRequest
	if !readBody(w, r, &body) {
		return
	}
	row, err := p.Table.Get(r.Context(), body.Key)
	writeAnswer(w, row, err)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	var body peridottable.Range
	if !readBody(w, r, &body) {
		return
	}
	rows, err := p.Table.Scan(r.Context(), body)
	writeAnswer(w, rows, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var body peridottable.Txn
	if !readBody(w, r, &body) {
		return
	}
	version, err := p.Table.Commit(r.Context(), body)
	writeAnswer(w, peridotplatform.CommitAnswer{Version: version}, err)
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeAnswer(w, p.instances, nil)
}

func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		writeAnswer(w, nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, err.Error()))
		return false
	}
	return true
}

// writeAnswer writes an answer or an error. An error whose verdict is MayHaveRun
// stands for a lost answer: the connection is cut instead.
func writeAnswer(w http.ResponseWriter, answer any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
	e := peridotverdict.As(err)
	if e.Verdict == peridotverdict.MayHaveRun {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(e)
}
