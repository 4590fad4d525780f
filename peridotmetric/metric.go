package peridotmetric

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"peridotstack/peridotverdict"
)

// interval is how often collected values become visible to a scrape.
const interval = time.Second

// Metrics counts what a process does. The zero value counts nothing.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
}

// New returns the metrics of one process, whose names start with role. Closing
// the closer flushes them.
func New(role string) (*Metrics, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "peridot_" + role,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// The names of these metrics are not valid for the reporter.
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{scope: scope, handler: reporter.HTTPHandler()}, closer
}

// Pages serves the values for scraping, the health of the process, and whether
// it is ready for work.
func (m *Metrics) Pages(ready func() bool) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if ready() {
			w.WriteHeader(http.StatusOK)
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Handler serves the values for scraping.
func (m *Metrics) Handler() http.Handler {
	if m.handler == nil {
		return http.NotFoundHandler()
	}
	return m.handler
}

// Count adds one to the counter with the given name.
func (m *Metrics) Count(name string) {
	if m.scope != nil {
		m.scope.Counter(name).Inc(1)
	}
}

// Refused counts a refusal by its code.
func (m *Metrics) Refused(code peridotverdict.Code) {
	m.countBy("refusals", "code", string(code))
}

// Retried counts a retry by the code of the error that led to it.
func (m *Metrics) Retried(code peridotverdict.Code) {
	m.countBy("retries", "code", string(code))
}

// latencies are the upper bounds of the histograms' buckets.
var latencies = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second,
}

// Timed adds a duration to the histogram with the given name.
func (m *Metrics) Timed(name string, d time.Duration) {
	if m.scope != nil {
		m.scope.Histogram(name, latencies).RecordDuration(d)
	}
}

// Gauge sets the gauge with the given name.
func (m *Metrics) Gauge(name string, value float64) {
	if m.scope != nil {
		m.scope.Gauge(name).Update(value)
	}
}

func (m *Metrics) countBy(name, tag, value string) {
	if m.scope != nil {
		m.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
	}
}
