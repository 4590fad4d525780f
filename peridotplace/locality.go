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
	// answerBytesSmoothing is the weight of an answer in the mean size of a service's answers.
	answerBytesSmoothing = 0.05
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
	// applies is set if there are servers of scarce plain services.
	applies bool
	// instances holds the other instances that reported within domainMemory.
	instances map[string]domainInstance
	// interval is the mean time between two reports of an instance.
	interval time.Duration
	// arrivals holds the rates of this instance's requests, and answerBytes the mean sizes of
	// their answers, by service.
	arrivals    map[string]*peridotlocality.Rate
	answerBytes map[string]float64
	bodyBytes   map[string]float64
	states      map[string]*peridotlocality.State
	known       map[string]KnownChange
	changes     []LocalityChange

	// arrivalSum and timeSum are the sums of the reports at sumAt: the requests in a ms by
	// domain and service, and the times by server. They are nil before the first report.
	arrivalSum map[domainService]float64
	timeSum    map[string]peridotlocality.Times
	sumAt      time.Duration
}

type domainInstance struct {
	domain string
	at     time.Duration
}

type domainService struct{ domain, service string }

// peerLocality is the part of another instance's report on the failure domains.
type peerLocality struct {
	domain   string
	arrivals []Arrival
	times    map[string]peridotlocality.Times
}

func newLocality() locality {
	return locality{
		instances:   make(map[string]domainInstance),
		arrivals:    make(map[string]*peridotlocality.Rate),
		answerBytes: make(map[string]float64),
		bodyBytes:   make(map[string]float64),
		states:      make(map[string]*peridotlocality.State),
		known:       make(map[string]KnownChange),
	}
}

// balances reports whether requests for the server's service are balanced between domains.
func (s *server) balances() bool {
	return s.scarce && s.engine == nil
}

// updateLocality records whether the rules apply to any of the servers.
func (p *Placer) updateLocality(config *peridotsite.Config) {
	l := &p.locality
	l.applies = false
	for _, s := range p.servers {
		l.applies = l.applies || s.balances()
	}
	for service := range l.arrivals {
		if config.Service(service) == nil {
			delete(l.arrivals, service)
			delete(l.answerBytes, service)
			delete(l.bodyBytes, service)
			delete(l.states, service)
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

// RecordBytes records the sizes in bytes of a request for a service and of its answer. Other
// than scarce plain services need none.
func (p *Placer) RecordBytes(service string, request, answer int) {
	l := &p.locality
	l.bodyBytes[service] += (float64(request) - l.bodyBytes[service]) * answerBytesSmoothing
	l.answerBytes[service] += (float64(answer) - l.answerBytes[service]) * answerBytesSmoothing
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

// observeLocality records the part of another instance's report on the failure domains.
// previous is its last report; nil if there is none that is recent.
func (p *Placer) observeLocality(now time.Duration, instance string, r Report, previous *peer) peerLocality {
	l := &p.locality
	if previous != nil {
		l.interval += time.Duration(float64(now-previous.receivedAt-l.interval) * intervalSmoothing)
	}
	if r.Domain == "" {
		return peerLocality{}
	}
	l.instances[instance] = domainInstance{r.Domain, now}
	times := make(map[string]peridotlocality.Times, len(r.Times))
	for _, t := range r.Times {
		times[t.Backend] = peridotlocality.NewTimes(now, t.Millis, t.Weight)
	}
	return peerLocality{r.Domain, r.Arrivals, times}
}

// sumLocality adds up the recent reports, at most once in peerSumTTL.
func (p *Placer) sumLocality(now time.Duration) {
	l := &p.locality
	if l.arrivalSum != nil && now >= l.sumAt && now-l.sumAt <= peerSumTTL {
		return
	}
	l.arrivalSum, l.timeSum, l.sumAt = make(map[domainService]float64), make(map[string]peridotlocality.Times), now
	for _, peer := range p.peers {
		if now-peer.receivedAt > peerTTL {
			continue
		}
		for _, a := range peer.locality.arrivals {
			l.arrivalSum[domainService{peer.locality.domain, a.Service}] += a.PerSecond / 1000
		}
		for id, t := range peer.locality.times {
			sum := l.timeSum[id]
			sum.Merge(t.At(now))
			l.timeSum[id] = sum
		}
	}
	l.updateKnown(now)
}

// updateKnown records which domains' loads are known: those of which more than half of the
// instances reported within peerTTL. One that was killed makes a domain unknown only if most
// were; if most are out of reach, so may be the load that they send.
func (l *locality) updateKnown(now time.Duration) {
	counts := make(map[string]KnownChange)
	for instance, at := range l.instances {
		if now-at.at > domainMemory {
			delete(l.instances, instance)
			continue
		}
		c := counts[at.domain]
		c.Instances++
		if now-at.at <= peerTTL {
			c.Heard++
		}
		counts[at.domain] = c
	}
	for domain := range l.known {
		if _, ok := counts[domain]; !ok {
			counts[domain] = KnownChange{}
		}
	}
	for domain, c := range counts {
		c.Domain, c.Known = domain, 2*c.Heard > c.Instances
		if c.Known != l.known[domain].Known {
			l.addChange(c)
		}
		l.known[domain] = c
		if c.Instances == 0 {
			delete(l.known, domain)
		}
	}
}

// balance returns the load of the failure domains of a group of a scarce plain service, or
// false if it can't be told and fixed costs decide: nothing is known of the servers' times, or
// all servers of the own domain that can be used fail often.
func (p *Placer) balance(now time.Duration, group []*server, exclude []string) (peridotlocality.Balance, bool) {
	p.sumLocality(now)
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
				b.Others = append(b.Others, peridotlocality.Domain{Name: s.Domain, IsKnown: l.known[s.Domain].Known, Arrivals: l.arrivalSum[domainService{s.Domain, service}]})
			}
			d = &b.Others[i]
		}
		_, _, peerRunning := p.peerLoad(now, s.ID)
		requests := float64(s.running + peerRunning)
		if !s.canServe(now, exclude) {
			continue
		}
		if s.failureRate > maxHealthyFailureRate {
			ownFails = ownFails || s.Domain == p.domain
			continue
		}
		times := s.times.At(now)
		times.Merge(l.timeSum[s.ID])
		millis, slots := max(minServedMillis, times.Mean(mean)), float64(max(1, s.Slots))
		answer := millis * max(1, (requests+1)/slots)
		if d.Capacity == 0 || answer < d.AnswerMillis {
			d.AnswerMillis = answer
		}
		d.Capacity += slots / millis
		d.Requests += requests
	}
	b.Own.Arrivals = l.arrivalSum[domainService{p.domain, service}]
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
		all.Merge(p.locality.timeSum[s.ID])
	}
	if all.Weight <= 0 {
		return 0
	}
	return all.Sum / all.Weight
}

// placeBalanced chooses a server of a scarce plain service with the least cost in the domain
// that the balance of the domains names. It returns false if fixed costs decide among all.
func (p *Placer) placeBalanced(now time.Duration, group []*server, prompt Prompt) (Choice, bool) {
	b, ok := p.balance(now, group, prompt.Exclude)
	if !ok {
		return Choice{}, false
	}
	service := group[0].Service
	request := peridotlocality.Request{ToObjective: prompt.ToObjective, ToDeadline: prompt.ToDeadline}
	if prompt.Bytes > 0 {
		request.Bytes = float64(prompt.Bytes) + p.locality.answerBytes[service]
		request.MeanBytes = p.locality.bodyBytes[service] + p.locality.answerBytes[service]
	}
	decision := b.Decide(request, p.random)
	p.observeDecision(now, service, &b, decision)
	if decision.Reason == peridotlocality.Cost {
		return Choice{}, false
	}
	best := p.leastCost(now, group, func(s *server) bool {
		if !s.canServe(now, prompt.Exclude) {
			return false
		}
		if decision.Domain != "" {
			return s.Domain == decision.Domain
		}
		return s.Domain == p.domain || !p.locality.known[s.Domain].Known
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
