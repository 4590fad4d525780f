package peridotstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"peridotstack/peridotplatform"
	"peridotstack/peridotverdict"
)

// UsageReceiveTimeout is how long the stand-in waits for a report once it has
// said that it is ready. A report that comes later is not taken.
const UsageReceiveTimeout = 2 * time.Second

// Usage is the stand-in for the platform's interface for usage reports. It takes
// whatever it gets, also repeats, and logs it. The zero value works.
type Usage struct {
	// ReceiveTimeout replaces UsageReceiveTimeout when it is set.
	ReceiveTimeout time.Duration

	mu          sync.Mutex
	reports     []peridotplatform.UsageReport
	late        int
	loseAnswers int
}

// Reports returns the reports taken so far, in their order.
func (u *Usage) Reports() []peridotplatform.UsageReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.reports)
}

// Late returns how many reports were not taken because they came too late.
func (u *Usage) Late() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.late
}

// LoseAnswers makes the next n reports take effect and lose their answers.
func (u *Usage) LoseAnswers(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loseAnswers = n
}

// ServeHTTP takes one report.
func (u *Usage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	timeout := u.ReceiveTimeout
	if timeout == 0 {
		timeout = UsageReceiveTimeout
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)); err != nil {
		writeAnswer(w, nil, err)
		return
	}
	// The first read tells the sender to go on.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.mu.Lock()
		u.late++
		u.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	var report peridotplatform.UsageReport
	if err := json.Unmarshal(body, &report); err != nil {
		writeAnswer(w, nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, err.Error()))
		return
	}
	if u.take(report) {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, struct{}{}, nil)
}

// take logs a report and tells whether its answer gets lost.
func (u *Usage) take(report peridotplatform.UsageReport) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports = append(u.reports, report)
	if u.loseAnswers == 0 {
		return false
	}
	u.loseAnswers--
	return true
}
