package peridotroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotstack/peridotverdict"
)

const (
	defaultReportLag        = time.Second
	defaultPrefillReportTTL = 200 * time.Millisecond
	defaultDecodeReportTTL  = 2 * time.Second
	defaultOutputTokens     = 128
	defaultChoices          = 2
	defaultMaxPrefixes      = 1 << 15
	defaultHintTTL          = 5 * time.Minute
	noBackendRetryDelay     = time.Second
)

// Router chooses backend servers. Use New to create one.
type Router struct {
	random  *rand.Rand
	options options

	servers      map[string]*server
	groups       map[target]*group
	flights      map[string]*flight
	cache        prefixCache
	lastServerID uint32

	// Candidate lists, reused by Choose to avoid allocations.
	singleCandidates, prefillCandidates, decodeCandidates []*server
}

// target is the model or service that a request asks for; the other is empty.
type target struct {
	model   string
	service string
}

// group holds the servers of one target that may get new requests, by role.
type group struct {
	mixed   roleGroup
	prefill roleGroup
	decode  roleGroup
}

type options struct {
	reportLag        time.Duration
	reportTTL        reportTTL
	choices          int
	maxPrefixes      int
	hintTTL          time.Duration
	kvBytesPerToken  float64
	kvBytesPerSecond float64
	kvFixedTime      time.Duration
}

// Option configures a Router.
type Option func(*options)

// ReportLag sets the maximum age of a report when it is received. Requests sent within
// that time before the receipt are assumed to be missing from the report.
func ReportLag(lag time.Duration) Option {
	return func(o *options) { o.reportLag = lag }
}

// ReportTTL sets the ages at which the prefill and the decode load in a report expire.
// Suitable values are the typical durations of a prefill and of a decode.
func ReportTTL(prefill, decode time.Duration) Option {
	return func(o *options) { o.reportTTL = reportTTL{prefill: prefill, decode: decode} }
}

// Choices sets the number of servers drawn at random for a request.
func Choices(n int) Option {
	return func(o *options) { o.choices = n }
}

// MaxPrefixes sets the maximum number of prefixes whose holders are recorded.
func MaxPrefixes(n int) Option {
	return func(o *options) { o.maxPrefixes = n }
}

// HintTTL sets the time after which a server is no longer assumed to hold a prefix,
// unless a new hint arrives.
func HintTTL(ttl time.Duration) Option {
	return func(o *options) { o.hintTTL = ttl }
}

// TransferKV permits prefill on one server and decode on another. The KV cache transfer
// is estimated to take fixedTime plus the time for its bytes.
func TransferKV(bytesPerToken, bytesPerSecond float64, fixedTime time.Duration) Option {
	return func(o *options) {
		o.kvBytesPerToken = bytesPerToken
		o.kvBytesPerSecond = bytesPerSecond
		o.kvFixedTime = fixedTime
	}
}

// New returns a Router whose random draws are determined by seed.
func New(seed uint64, opts ...Option) *Router {
	o := options{
		reportLag:   defaultReportLag,
		reportTTL:   reportTTL{prefill: defaultPrefillReportTTL, decode: defaultDecodeReportTTL},
		choices:     defaultChoices,
		maxPrefixes: defaultMaxPrefixes,
		hintTTL:     defaultHintTTL,
	}
	for _, option := range opts {
		option(&o)
	}
	return &Router{
		random:  rand.New(rand.NewPCG(seed, seed)),
		options: o,
		servers: make(map[string]*server),
		groups:  make(map[target]*group),
		flights: make(map[string]*flight),
		cache:   newPrefixCache(o.maxPrefixes, o.hintTTL),
	}
}

// SetServers replaces the list of servers. A server that is listed again keeps its
// load estimate.
func (r *Router) SetServers(now time.Duration, list []Server) {
	listed := make(map[string]bool, len(list))
	r.groups = make(map[target]*group)
	for _, s := range list {
		listed[s.Instance] = true
		r.addToGroup(r.updateServer(now, s))
	}
	for instance, s := range r.servers {
		if !listed[instance] {
			delete(r.servers, instance)
			r.cache.removeServer(s.id)
		}
	}
}

// updateServer updates the server with the instance ID of s, or creates it.
func (r *Router) updateServer(now time.Duration, s Server) *server {
	known, ok := r.servers[s.Instance]
	if !ok {
		r.lastServerID++
		known = &server{id: r.lastServerID, reportTTL: r.options.reportTTL, drainedAt: now, measuredAt: now}
		r.servers[s.Instance] = known
		r.cache.servers[known.id] = known
	}
	known.drain(now)
	known.Server = s
	return known
}

// addToGroup adds a server to the group of its target and role, unless it is leaving or
// down.
func (r *Router) addToGroup(s *server) {
	s.group = nil
	if s.Leaving || s.Down {
		return
	}
	key := target{model: s.Model, service: s.Service}
	g := r.groups[key]
	if g == nil {
		g = &group{}
		r.groups[key] = g
	}
	s.group = &g.mixed
	switch s.Role {
	case Prefill:
		s.group = &g.prefill
	case Decode:
		s.group = &g.decode
	}
	s.group.servers = append(s.group.servers, s)
	s.group.addLoad(s.reported, 1)
}

// Observe records a report. It ignores a report that is older than the last one.
func (r *Router) Observe(_ time.Duration, report Report) {
	if s, ok := r.servers[report.Instance]; ok {
		s.observe(report, r.options.reportLag)
	}
}

// HintPrefix records that an instance has cached prefixes, or has evicted them if
// evicted is set. Hints may be late or missing: a wrong hint costs time but does not
// affect correctness.
func (r *Router) HintPrefix(now time.Duration, instance string, hashes []uint64, evicted bool) {
	s, ok := r.servers[instance]
	if !ok {
		return
	}
	for _, hash := range hashes {
		if evicted {
			r.cache.remove(hash, s.id)
		} else {
			r.cache.put(now, hash, s.id)
		}
	}
}

// Begin records that a request was sent to the chosen server or pair of servers.
func (r *Router) Begin(now time.Duration, request Request, c Choice) {
	s, ok := r.servers[c.Instance]
	if !ok {
		return
	}
	f := &flight{id: request.ID, sentAt: now, decodeServer: s, prefillServer: s, decodeTokens: expectedOutputTokens(request)}
	if p, ok := r.servers[c.PrefillInstance]; ok {
		f.prefillServer = p
	}
	f.prefillTokens = float64(max(0, request.PromptTokens-c.CachedTokens))
	r.flights[request.ID] = f
	f.prefillServer.addFlight(now, f)
	if f.decodeServer != f.prefillServer {
		f.decodeServer.addFlight(now, f)
	}
	for _, hash := range request.PrefixHash {
		r.cache.put(now, hash, f.prefillServer.id)
	}
}

// Progress records the number of output tokens that a request has generated so far.
func (r *Router) Progress(now time.Duration, id string, outputTokens int) {
	f, ok := r.flights[id]
	if !ok {
		return
	}
	f.updateOutput(now, float64(outputTokens))
}

// Done records that a request has ended, successfully or not.
func (r *Router) Done(now time.Duration, id string, _ int) {
	f, ok := r.flights[id]
	if !ok {
		return
	}
	delete(r.flights, id)
	f.prefillServer.removeFlight(now, f)
	if f.decodeServer != f.prefillServer {
		f.decodeServer.removeFlight(now, f)
	}
}

// Running returns the number of running requests at the servers of a target: those of
// this process, and the estimated number of all processes.
func (r *Router) Running(model, service string) (own, total int) {
	for _, s := range r.servers {
		if s.Model != model || s.Service != service {
			continue
		}
		own += len(s.flights)
		total += max(int(s.reported.running+s.unreported.running), len(s.flights))
	}
	return own, total
}

func noBackendError(t target) error {
	return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server for "+t.model+t.service, peridotverdict.RetryAfter(noBackendRetryDelay))
}

// expectedOutputTokens returns the expected number of output tokens of a request.
func expectedOutputTokens(request Request) float64 {
	tokens := request.ExpectedOutput
	if tokens <= 0 {
		tokens = defaultOutputTokens
	}
	if request.MaxTokens > 0 {
		tokens = min(tokens, request.MaxTokens)
	}
	return float64(tokens)
}

func isExcluded(request *Request, s *server) bool {
	return len(request.Exclude) > 0 && slices.Contains(request.Exclude, s.Instance)
}
