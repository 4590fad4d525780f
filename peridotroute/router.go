package peridotroute

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotstack/peridotverdict"
)

const (
	defaultReportLag    = time.Second
	defaultPrefillTrust = 200 * time.Millisecond
	defaultDecodeTrust  = 2 * time.Second
	defaultOutput       = 128 // tokens
	defaultChoices      = 2
	defaultPrefixes     = 1 << 15
	defaultHintLife     = 5 * time.Minute
	noBackendRetry      = time.Second
)

// Router chooses backend servers. Make one with New.
type Router struct {
	random  *rand.Rand
	options options

	servers map[string]*server
	groups  map[target]*group
	flights map[string]*flight
	cache   prefixCache
	numbers uint32

	// Scratch space that Choose uses again and again.
	whole, prefill, decode []*server
}

// target is what a request asks for.
type target struct {
	model   string
	service string
}

// group holds the servers of one target that take new requests, by role.
type group struct {
	mixed   roleGroup
	prefill roleGroup
	decode  roleGroup
}

type options struct {
	reportLag        time.Duration
	trust            trust
	choices          int
	prefixes         int
	hintLife         time.Duration
	kvBytesPerToken  float64
	kvBytesPerSecond float64
	kvFixed          time.Duration
}

// Option sets an optional part of a Router.
type Option func(*options)

// ReportLag says how old a report may be when it is received. What was sent
// within that time before the report counts as not yet contained in it.
func ReportLag(lag time.Duration) Option {
	return func(o *options) { o.reportLag = lag }
}

// Trust sets the ages at which a report of prefill and of running requests has
// lost its value, which are about the times that a prompt and an output take.
func Trust(prefill, decode time.Duration) Option {
	return func(o *options) { o.trust = trust{prefill: prefill, decode: decode} }
}

// Choices sets how many servers are drawn at random for a request.
func Choices(n int) Option {
	return func(o *options) { o.choices = n }
}

// MaxPrefixes bounds the number of prefixes whose place is remembered.
func MaxPrefixes(n int) Option {
	return func(o *options) { o.prefixes = n }
}

// HintLife sets how long the place of a prefix is believed without news.
func HintLife(life time.Duration) Option {
	return func(o *options) { o.hintLife = life }
}

// MoveKV allows prefill on one server and decode on another. Moving takes the
// fixed time and that of the given bytes at the given rate.
func MoveKV(bytesPerToken, bytesPerSecond float64, fixed time.Duration) Option {
	return func(o *options) {
		o.kvBytesPerToken = bytesPerToken
		o.kvBytesPerSecond = bytesPerSecond
		o.kvFixed = fixed
	}
}

// New returns a Router whose random draws follow from seed.
func New(seed uint64, choices ...Option) *Router {
	o := options{
		reportLag: defaultReportLag,
		trust:     trust{prefill: defaultPrefillTrust, decode: defaultDecodeTrust},
		choices:   defaultChoices,
		prefixes:  defaultPrefixes,
		hintLife:  defaultHintLife,
	}
	for _, option := range choices {
		option(&o)
	}
	return &Router{
		random:  rand.New(rand.NewPCG(seed, seed)),
		options: o,
		servers: make(map[string]*server),
		groups:  make(map[target]*group),
		flights: make(map[string]*flight),
		cache:   newPrefixCache(o.prefixes, o.hintLife),
	}
}

// SetServers replaces the list of servers. A server that stays listed keeps its
// estimate.
func (r *Router) SetServers(now time.Duration, list []Server) {
	listed := make(map[string]bool, len(list))
	r.groups = make(map[target]*group)
	for _, s := range list {
		listed[s.Instance] = true
		r.add(r.keep(now, s))
	}
	for instance, s := range r.servers {
		if !listed[instance] {
			delete(r.servers, instance)
			r.cache.forget(s.number)
		}
	}
}

// keep updates a server or makes it known.
func (r *Router) keep(now time.Duration, s Server) *server {
	known, ok := r.servers[s.Instance]
	if !ok {
		r.numbers++
		known = &server{number: r.numbers, trust: r.options.trust, at: now, described: now}
		r.servers[s.Instance] = known
		r.cache.holders[known.number] = known
	}
	known.drain(now)
	known.Server = s
	return known
}

// add puts a server that takes new requests into its group.
func (r *Router) add(s *server) {
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
	s.group.count(s.reported, 1)
}

// Observe takes a report. One that is older than the last is ignored.
func (r *Router) Observe(_ time.Duration, report Report) {
	if s, ok := r.servers[report.Instance]; ok {
		s.observe(report, r.options.reportLag)
	}
}

// HintPrefix tells that an instance has cached prefixes, or dropped them. The
// news may be late or have gaps; a wrong hint costs time but no correctness.
func (r *Router) HintPrefix(now time.Duration, instance string, hashes []uint64, gone bool) {
	s, ok := r.servers[instance]
	if !ok {
		return
	}
	for _, hash := range hashes {
		if gone {
			r.cache.remove(hash, s.number)
		} else {
			r.cache.put(now, hash, s.number)
		}
	}
}

// Sent records that a request went to the chosen server.
func (r *Router) Sent(now time.Duration, request Request, c Choice) {
	s, ok := r.servers[c.Instance]
	if !ok {
		return
	}
	f := &flight{id: request.ID, at: now, decodeAt: s, prefillAt: s, decode: expected(request)}
	if p, ok := r.servers[c.PrefillInstance]; ok {
		f.prefillAt = p
	}
	f.prefill = float64(max(0, request.PromptTokens-c.CachedTokens))
	r.flights[request.ID] = f
	f.prefillAt.send(now, f)
	if f.decodeAt != f.prefillAt {
		f.decodeAt.send(now, f)
	}
	for _, hash := range request.PrefixHash {
		r.cache.put(now, hash, f.prefillAt.number)
	}
}

// Progress records how many output tokens a request has by now.
func (r *Router) Progress(now time.Duration, id string, outputTokens int) {
	f, ok := r.flights[id]
	if !ok {
		return
	}
	f.progress(now, float64(outputTokens))
}

// Done records that a request has ended, whole or not.
func (r *Router) Done(now time.Duration, id string, _ int) {
	f, ok := r.flights[id]
	if !ok {
		return
	}
	delete(r.flights, id)
	f.prefillAt.done(now, f)
	if f.decodeAt != f.prefillAt {
		f.decodeAt.done(now, f)
	}
}

// Running returns how many requests this process has under way at the servers
// of a target, and how many all processes together are known to have.
func (r *Router) Running(model, service string) (mine, total int) {
	for _, s := range r.servers {
		if s.Model != model || s.Service != service {
			continue
		}
		mine += len(s.flights)
		total += max(int(s.reported.running+s.mine.running), len(s.flights))
	}
	return mine, total
}

func noBackend(t target) error {
	return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server for "+t.model+t.service, peridotverdict.RetryAfter(noBackendRetry))
}

// expected returns the expected number of output tokens.
func expected(request Request) float64 {
	output := request.ExpectedOutput
	if output <= 0 {
		output = defaultOutput
	}
	if request.MaxTokens > 0 {
		output = min(output, request.MaxTokens)
	}
	return float64(output)
}

func excluded(request *Request, s *server) bool {
	return len(request.Exclude) > 0 && slices.Contains(request.Exclude, s.Instance)
}
