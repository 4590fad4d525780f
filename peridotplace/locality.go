package peridotplace

import (
	"time"

	"peridotstack/peridotlocality"
	"peridotstack/peridotsite"
)

const (
	// domainMemory is how long an instance counts as one of its failure domain after its last
	// report: as long as it may serve while it is partitioned.
	domainMemory = 20 * time.Second
	// intervalSmoothing is the weight of an observation in the mean time between the reports
	// of an instance.
	intervalSmoothing = 0.05
	// minReportedWeight is the number of recent times of a server below which they are not
	// reported.
	minReportedWeight = 0.3
	// maxHealthyFailureRate is the failure rate above which a server is not counted as
	// capacity: that at which the fixed costs prefer a server in another domain.
	maxHealthyFailureRate = crossDomainCostRequests / failureCost
	// bytesSmoothing is the weight of a request in the mean sizes of a service's requests and
	// answers.
	bytesSmoothing = 0.05
	// maxLocalityChanges is the number of changes kept for the caller; further ones are lost.
	maxLocalityChanges = 64
)

// Arrival is the rate of requests that callers send an instance for a scarce plain service.
type Arrival struct {
	Service   string
	PerSecond float64
}

// ServedTime is how long a plain server of a scarce service lately took for the requests of an
// instance, without the time in its queue.
type ServedTime struct {
	Backend string
	// Millis is the mean time in ms, and Weight the number of requests, of which older ones
	// count less.
	Millis, Weight float64
}

// LocalityChange is a change of an assumed state: a SendingChange or a KnownChange.
type LocalityChange interface{ isLocalityChange() }

// SendingChange tells that this instance begins or ceases to send requests of a service to
// other failure domains because its own would answer late.
type SendingChange struct {
	Service string
	Sending bool
	// OwnAnswer is the expected time of an answer in the own domain; 0 if it has no server.
	OwnAnswer time.Duration
}

// KnownChange tells that the load of another failure domain is known from now on or not.
type KnownChange struct {
	Domain string
	Known  bool
	// Heard is the number of its instances whose reports are recent, of Instances.
	Heard, Instances int
}

func (SendingChange) isLocalityChange() {}
func (KnownChange) isLocalityChange()   {}

// locality is what an instance knows of the load of the failure domains.
type locality struct {
	// applies is set if there are servers of scarce plain services. Otherwise nothing is
	// recorded.
	applies bool
	// instances holds the other instances that reported within domainMemory, and domains what
	// those of each failure domain report.
	instances map[string]*instanceReport
	domains   map[string]*domainState
	checkedAt time.Duration
	// interval is the mean time between two reports of an instance.
	interval time.Duration
	// arrivals holds the rates of this instance's requests, and requestBytes and answerBytes
	// the mean sizes of their bodies and answers, by service.
	arrivals                  map[string]*peridotlocality.Rate
	requestBytes, answerBytes map[string]float64
	states                    map[string]*peridotlocality.State
	changes                   []LocalityChange
}

// domainState is what the instances of a failure domain report.
type domainState struct {
	name string
	// arrivals is the sum of the recent reports, in requests per second, by service.
	arrivals map[string]float64
	// instances is the number of known instances, heard that of those with recent reports.
	instances, heard int
	known            bool
}

// instanceReport is the last report of another instance. It is counted in the sums while it is
// recent: summing up all reports for each decision takes too long with 300 instances.
type instanceReport struct {
	at      time.Duration
	counted bool
	// domain is nil if the instance doesn't tell it.
	domain   *domainState
	arrivals []Arrival
	servers  []serverReport
}

// serverReport is what an instance reports of a server.
type serverReport struct {
	server  *server
	running int
	times   peridotlocality.Times
}

// count adds the report to the sums at now, or takes it back.
func (r *instanceReport) count(now time.Duration, counted bool) {
	if r.counted == counted {
		return
	}
	r.counted = counted
	sign := 1
	if !counted {
		sign = -1
	}
	for _, s := range r.servers {
		s.server.otherRunning += sign * s.running
		s.server.otherTimes.Merge(now, s.times, float64(sign))
	}
	if r.domain != nil {
		for _, a := range r.arrivals {
			r.domain.arrivals[a.Service] = max(0, r.domain.arrivals[a.Service]+float64(sign)*a.PerSecond)
		}
	}
}

func newLocality() locality {
	return locality{
		instances:    make(map[string]*instanceReport),
		domains:      make(map[string]*domainState),
		arrivals:     make(map[string]*peridotlocality.Rate),
		requestBytes: make(map[string]float64),
		answerBytes:  make(map[string]float64),
		states:       make(map[string]*peridotlocality.State),
	}
}

// balances reports whether requests for the server's service are balanced between domains.
func (s *server) balances() bool {
	return s.scarce && s.engine == nil
}

// updateLocality records whether the rules apply to any of the servers.
func (p *Placer) updateLocality(config *peridotsite.Config) {
	applies := false
	for _, s := range p.servers {
		applies = applies || s.balances()
	}
	if !applies && p.locality.applies {
		p.locality = newLocality()
		for _, s := range p.servers {
			s.otherRunning, s.otherTimes = 0, peridotlocality.Times{}
		}
	}
	p.locality.applies = applies
	for service := range p.locality.arrivals {
		if config.Service(service) == nil {
			delete(p.locality.arrivals, service)
			delete(p.locality.requestBytes, service)
			delete(p.locality.answerBytes, service)
			delete(p.locality.states, service)
		}
	}
}

// countArrival counts a request that is sent to a server.
func (p *Placer) countArrival(now time.Duration, s *server) {
	if !s.balances() {
		return
	}
	rate := p.locality.arrivals[s.Service]
	if rate == nil {
		rate = &peridotlocality.Rate{}
		p.locality.arrivals[s.Service] = rate
	}
	rate.Add(now)
}

// RecordBytes records the sizes in bytes of a request for a scarce plain service and of its
// answer.
func (p *Placer) RecordBytes(service string, request, answer int) {
	l := &p.locality
	l.requestBytes[service] += (float64(request) - l.requestBytes[service]) * bytesSmoothing
	l.answerBytes[service] += (float64(answer) - l.answerBytes[service]) * bytesSmoothing
}

// LocalityChanges returns the changes of assumed states since the last call.
func (p *Placer) LocalityChanges() []LocalityChange {
	changes := p.locality.changes
	p.locality.changes = nil
	return changes
}

func (l *locality) addChange(c LocalityChange) {
	if len(l.changes) < maxLocalityChanges {
		l.changes = append(l.changes, c)
	}
}

// addLocalityReport adds to a report what other instances need to balance the domains.
func (p *Placer) addLocalityReport(now time.Duration, r *Report) {
	if !p.locality.applies {
		return
	}
	r.Domain = p.domain
	for service, rate := range p.locality.arrivals {
		if perMilli := rate.PerMilli(now); perMilli > 0 {
			r.Arrivals = append(r.Arrivals, Arrival{Service: service, PerSecond: perMilli * 1000})
		}
	}
	for _, s := range p.servers {
		if !s.balances() {
			continue
		}
		if t := s.times.At(now); t.Weight >= minReportedWeight {
			r.Times = append(r.Times, ServedTime{Backend: s.ID, Millis: t.Sum / t.Weight, Weight: t.Weight})
		}
	}
}

// observeLocality records the part of another instance's report that concerns failure domains
// and plain servers of scarce services.
func (p *Placer) observeLocality(now time.Duration, instance string, r Report) {
	l := &p.locality
	if !l.applies {
		return
	}
	report := &instanceReport{at: now, arrivals: r.Arrivals}
	if previous := l.instances[instance]; previous != nil {
		if previous.counted {
			l.interval += time.Duration(float64(now-previous.at-l.interval) * intervalSmoothing)
		}
		previous.count(now, false)
	}
	if r.Domain != "" {
		report.domain = l.domains[r.Domain]
		if report.domain == nil {
			report.domain = &domainState{name: r.Domain, arrivals: make(map[string]float64)}
			l.domains[r.Domain] = report.domain
		}
	}
	for _, load := range r.Loads {
		if s := p.servers[load.Backend]; s != nil && s.balances() {
			report.servers = append(report.servers, serverReport{server: s, running: load.Running})
		}
	}
	for _, t := range r.Times {
		if s := p.servers[t.Backend]; s != nil && s.balances() {
			report.servers = append(report.servers, serverReport{server: s, times: peridotlocality.NewTimes(now, t.Millis, t.Weight)})
		}
	}
	l.instances[instance] = report
	report.count(now, true)
	if report.domain != nil && !report.domain.known {
		l.checkedAt = 0 // Its load may be known from now on.
	}
}

// checkReports takes back reports older than peerTTL, and finds out which domains' loads are
// known: those of which more than half of the instances reported within that time. One that
// was killed makes a domain unknown only if most were; if most are out of reach, so may be the
// load that they send.
func (p *Placer) checkReports(now time.Duration) {
	l := &p.locality
	if now >= l.checkedAt && now-l.checkedAt <= peerSumTTL && l.checkedAt > 0 {
		return
	}
	l.checkedAt = now
	for _, d := range l.domains {
		d.instances, d.heard = 0, 0
	}
	for name, r := range l.instances {
		age := now - r.at
		if age > peerTTL {
			r.count(now, false)
		}
		if age > domainMemory {
			delete(l.instances, name)
			continue
		}
		if r.domain != nil {
			r.domain.instances++
			if r.counted {
				r.domain.heard++
			}
		}
	}
	for name, d := range l.domains {
		if known := 2*d.heard > d.instances; known != d.known {
			d.known = known
			l.addChange(KnownChange{Domain: name, Known: known, Heard: d.heard, Instances: d.instances})
		}
		if d.instances == 0 {
			delete(l.domains, name)
		}
	}
}

// isKnown reports whether the load of a failure domain is known.
func (l *locality) isKnown(domain string) bool {
	d := l.domains[domain]
	return d != nil && d.known
}

// arrivalsOf returns the requests in a ms that the other instances of a domain get for a
// service.
func (l *locality) arrivalsOf(domain, service string) float64 {
	if d := l.domains[domain]; d != nil {
		return d.arrivals[service] / 1000
	}
	return 0
}

// plainRequests returns the number of requests of all instances at a plain server.
func (p *Placer) plainRequests(now time.Duration, s *server) int {
	if s.balances() {
		p.checkReports(now)
		return s.running + s.otherRunning
	}
	_, _, running := p.peerLoad(now, s)
	return s.running + running
}

// balance returns the load of the failure domains of a group of a scarce plain service, or
// false if it can't be told and fixed costs decide: nothing is known of the servers' times, or
// all servers of the own domain that can be used fail often.
func (p *Placer) balance(now time.Duration, group []*server, prompt *Prompt) (peridotlocality.Balance, bool) {
	p.checkReports(now)
	l := &p.locality
	service := group[0].Service
	mean := p.expectedPlainMillis(now, group)
	b := peridotlocality.Balance{Own: peridotlocality.Domain{Name: p.domain}, Horizon: peridotlocality.Horizon(l.interval)}
	if mean <= 0 {
		return b, false
	}
	index := make(map[string]int, 4)
	ownFails := false
	for _, s := range group {
		d := &b.Own
		if s.Domain != p.domain {
			i, ok := index[s.Domain]
			if !ok {
				i = len(b.Others)
				index[s.Domain] = i
				b.Others = append(b.Others, peridotlocality.Domain{Name: s.Domain, IsKnown: l.isKnown(s.Domain), Arrivals: l.arrivalsOf(s.Domain, service)})
			}
			d = &b.Others[i]
		}
		if !s.canServe(now, prompt) {
			continue
		}
		if s.failureRate > maxHealthyFailureRate {
			ownFails = ownFails || s.Domain == p.domain
			continue
		}
		requests := float64(s.running + s.otherRunning)
		times := s.times.At(now)
		times.Merge(now, s.otherTimes, 1)
		millis, slots := max(minServedMillis, times.Mean(mean)), float64(max(1, s.Slots))
		answer := millis * max(1, (requests+1)/slots)
		if d.Capacity == 0 || answer < d.AnswerMillis {
			d.AnswerMillis = answer
		}
		d.Capacity += slots / millis
		d.Requests += requests
	}
	b.Own.Arrivals = l.arrivalsOf(p.domain, service)
	if rate := l.arrivals[service]; rate != nil {
		b.Own.Arrivals += rate.PerMilli(now)
	}
	return b, b.Own.Capacity > 0 || !ownFails
}

// minServedMillis is the shortest time in ms that a request is assumed to take at a server.
const minServedMillis = 0.01

// expectedPlainMillis returns the mean time in ms that the servers of a group take for a
// request as far as it is known, otherwise 0.
func (p *Placer) expectedPlainMillis(now time.Duration, group []*server) float64 {
	if mean, ok := p.meanPlainMillis[group[0].Service]; ok {
		return mean
	}
	var all peridotlocality.Times
	for _, s := range group {
		all.Merge(now, s.otherTimes, 1)
	}
	if all.Weight <= 0 {
		return 0
	}
	return all.Sum / all.Weight
}

// placeBalanced chooses a server of a scarce plain service with the least cost in the domain
// that the balance of the domains names. It returns false if fixed costs decide among all.
func (p *Placer) placeBalanced(now time.Duration, group []*server, prompt Prompt) (Choice, bool) {
	b, ok := p.balance(now, group, &prompt)
	if !ok {
		return Choice{}, false
	}
	service := group[0].Service
	request := peridotlocality.Request{ToObjective: prompt.ToObjective, ToDeadline: prompt.ToDeadline}
	if prompt.Bytes > 0 {
		request.Bytes = float64(prompt.Bytes) + p.locality.answerBytes[service]
		request.MeanBytes = p.locality.requestBytes[service] + p.locality.answerBytes[service]
	}
	decision := b.Decide(request, p.random)
	p.observeDecision(now, service, &b, decision)
	if decision.Reason == peridotlocality.Cost {
		return Choice{}, false
	}
	best := p.leastCost(now, group, func(s *server) bool {
		if !s.canServe(now, &prompt) {
			return false
		}
		if decision.Domain != "" {
			return s.Domain == decision.Domain
		}
		return s.Domain == p.domain || !p.locality.isKnown(s.Domain)
	})
	if best == nil {
		return Choice{}, false
	}
	return Choice{Backend: best.ID, Reason: p.reasonFor(best, decision.Reason)}, true
}

// reasonFor returns the reason of a choice, which is empty for servers of the own domain.
func (p *Placer) reasonFor(s *server, reason peridotlocality.Reason) peridotlocality.Reason {
	if s.Domain == p.domain {
		return ""
	}
	return reason
}

// observeDecision updates the state of a service with a decision.
func (p *Placer) observeDecision(now time.Duration, service string, b *peridotlocality.Balance, d peridotlocality.Decision) {
	state := p.locality.states[service]
	if state == nil {
		state = &peridotlocality.State{}
		p.locality.states[service] = state
	}
	if state.Observe(now, d.Fraction) {
		change := SendingChange{Service: service, Sending: state.Sending}
		if b.Own.Capacity > 0 {
			change.OwnAnswer = fromMillis(b.Own.AnswerMillis)
		}
		p.locality.addChange(change)
	}
}
