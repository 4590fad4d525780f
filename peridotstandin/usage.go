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

// UsageReceiveTimeout is the time for which the stand-in waits for a report after
// it has signaled that it is ready. It rejects a report that arrives later.
const UsageReceiveTimeout = 2 * time.Second

// Usage is the stand-in for the platform's interface for usage reports. It
// accepts and logs each report, also a repeated one. The zero value is ready to
// use.
type Usage struct {
	// ReceiveTimeout replaces UsageReceiveTimeout unless it is 0.
	ReceiveTimeout time.Duration

	mu            sync.Mutex
	reports       []peridotplatform.UsageReport
	lateReports   int
	answersToLose int
}

// Reports returns the reports accepted so far, oldest first.
func (u *Usage) Reports() []peridotplatform.UsageReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.reports)
}

// LateReports returns the number of reports that were rejected because they
// arrived too late.
func (u *Usage) LateReports() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lateReports
}

// LoseAnswers makes the next n reports take effect without an answer: Usage
// closes the connection instead.
func (u *Usage) LoseAnswers(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answersToLose = n
}

// ServeHTTP receives one report.
func (u *Usage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	timeout := u.ReceiveTimeout
	if timeout == 0 {
		timeout = UsageReceiveTimeout
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)); err != nil {
		writeAnswer(w, nil, err)
		return
	}
	// The first read makes the server send "100 Continue", for which the sender
	// waits.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.mu.Lock()
		u.lateReports++
		u.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	var report peridotplatform.UsageReport
	if err := json.Unmarshal(body, &report); err != nil {
		writeAnswer(w, nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, err.Error()))
		return
	}
	if u.recordReport(report) {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, struct{}{}, nil)
}

// recordReport logs a report and reports whether the answer is lost.
func (u *Usage) recordReport(report peridotplatform.UsageReport) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports = append(u.reports, report)
	if u.answersToLose == 0 {
		return false
	}
	u.answersToLose--
	return true
}
