package peridotstandin

import (
	"encoding/json"
	"net/http"
	"sync"

	"peridotstack/peridotplatform"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// Platform is the stand-in for the platform. Make one with NewPlatform. Its
// methods may be called from several goroutines.
type Platform struct {
	// Table is the table service. It can inject faults.
	Table *peridottable.Faulty
	// Usage receives the usage reports.
	Usage Usage

	mu        sync.Mutex
	instances []peridotplatform.Instance
	orders    orderState
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

// Handler returns the handler of the platform's HTTP interfaces.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/get", p.serveGet)
	mux.HandleFunc("POST /table/scan", p.serveScan)
	mux.HandleFunc("POST /table/commit", p.serveCommit)
	mux.HandleFunc("POST /instances", p.serveInstances)
	mux.HandleFunc("POST /orders", p.serveOrder)
	mux.Handle("POST /usage", &p.Usage)
	return mux
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	var body peridotplatform.GetRowRequest
	if !readBody(w, r, &body) {
		return
	}
	row, err := p.Table.Get(r.Context(), body.Key)
	writeAnswer(w, row, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var body peridottable.Range
	if !readBody(w, r, &body) {
		return
	}
	rows, err := p.Table.Scan(r.Context(), body)
	writeAnswer(w, rows, err)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var body peridottable.Txn
	if !readBody(w, r, &body) {
		return
	}
	version, err := p.Table.Commit(r.Context(), body)
	writeAnswer(w, peridotplatform.CommitAnswer{Version: version}, err)
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeAnswer(w, p.instances, nil)
}

// readBody decodes a JSON body. If that fails, it answers with the error and
// returns false.
func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		writeAnswer(w, nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, err.Error()))
		return false
	}
	return true
}

// writeAnswer writes an answer or an error. For an error with the verdict
// MayHaveRun, it closes the connection without an answer, as if the answer had
// been lost.
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
