package peridotmetric

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"peridotstack/peridotverdict"
)

// reportInterval is the time between two updates of the values that a scrape
// returns.
const reportInterval = time.Second

// Metrics collects the metrics of a process. The zero value discards them. It is
// safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
}

// New returns the metrics of a process with the given role. Their names start with
// peridot_ and the role. Closing the closer flushes them.
func New(role string) (*Metrics, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "peridot_" + role,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// The names of tally's cardinality metrics are not valid in Prometheus.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, handler: reporter.HTTPHandler()}, closer
}

// NewServeMux returns a new mux that serves the metrics under /metrics, the health
// of the process under /health and its readiness, as reported by ready, under
// /ready.
func (m *Metrics) NewServeMux(ready func() bool) *http.ServeMux {
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

// Handler returns a handler that serves the metrics to Prometheus. The handler of the
// zero value answers every request with status 404.
func (m *Metrics) Handler() http.Handler {
	if m.handler == nil {
		return http.NotFoundHandler()
	}
	return m.handler
}

// Count increments the counter with the given name.
func (m *Metrics) Count(name string) {
	if m.scope != nil {
		m.scope.Counter(name).Inc(1)
	}
}

// CountRefusal increments the counter of refused requests with the given code.
func (m *Metrics) CountRefusal(code peridotverdict.Code) {
	m.countTagged("refusals", "code", string(code))
}

// CountRetry increments the counter of retries after an error with the given code.
func (m *Metrics) CountRetry(code peridotverdict.Code) {
	m.countTagged("retries", "code", string(code))
}

// CountAt increments the counter with the given name and place. The place is a short
// constant that says which part of the process counts.
func (m *Metrics) CountAt(name, place string) {
	m.countTagged(name, "place", place)
}

// CountCrossing increments the counter of requests sent to servers in other failure domains
// for the given reason.
func (m *Metrics) CountCrossing(reason string) {
	m.countTagged("cross_domain_requests", "reason", reason)
}

// CountCrossingBytes adds to the counter of bytes sent to or received from servers in other
// failure domains.
func (m *Metrics) CountCrossingBytes(reason string, n int) {
	if m.scope != nil {
		m.scope.Tagged(map[string]string{"reason": reason}).Counter("cross_domain_bytes").Inc(int64(n))
	}
}

// CountResumption increments the counter of streams that callers resume, by result.
func (m *Metrics) CountResumption(result string) {
	m.countTagged("resumptions", "result", result)
}

// CountOriginLookup increments the counter of look-ups of a stream's origin that ended
// with the given result.
func (m *Metrics) CountOriginLookup(result string) {
	m.countTagged("origin_lookups", "result", result)
}

// CountContentLookup increments the counter of look-ups of a content that ended with the
// given result.
func (m *Metrics) CountContentLookup(result string) {
	m.countTagged("content_lookups", "result", result)
}

// latencyBuckets are the upper bounds of the buckets of all histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second,
}

// RecordDuration adds a duration to the histogram with the given name.
func (m *Metrics) RecordDuration(name string, d time.Duration) {
	if m.scope != nil {
		m.scope.Histogram(name, latencyBuckets).RecordDuration(d)
	}
}

// SetGauge sets the gauge with the given name to value.
func (m *Metrics) SetGauge(name string, value float64) {
	if m.scope != nil {
		m.scope.Gauge(name).Update(value)
	}
}

// countTagged increments the counter with the given name and tag.
func (m *Metrics) countTagged(name, tag, value string) {
	if m.scope != nil {
		m.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
	}
}
