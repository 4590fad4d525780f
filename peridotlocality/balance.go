package peridotlocality

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// LinkMillis is the assumed extra time in ms of a request and its answer between two
	// domains: twice the longest measured one-way delay of 0.9 ms.
	LinkMillis = 1.8
	// stayShare is the fraction of the time left to the objective within which the own
	// domain is expected to answer a request that stays in any case. The rest covers
	// estimates that are a report interval old, in which a server may slow down by 2.5 times.
	stayShare = 0.5
	// targetShare is the fraction of that time at which the answers of the own domain are
	// held. It is above stayShare, so that the fraction that leaves changes gradually
	// instead of switching between none and all that is needed.
	targetShare = 0.6
	// gainShare is the fraction of that time by which another domain must answer sooner.
	// Without it, requests would leave on differences that are errors of the estimates.
	gainShare = 0.1
	// MinHorizon is the shortest time in which the waits are to be equalized. A delayed
	// proportional control doesn't oscillate if its time constant is at least e times the
	// delay; reports are about 200 ms old.
	MinHorizon = 600 * time.Millisecond
	// horizonDelays is the horizon in delays of the reports, if they are older than that.
	horizonDelays = 3
)

// Horizon returns the time in which the waits are to be equalized, given the time between
// two reports of a front.
func Horizon(interval time.Duration) time.Duration {
	return max(MinHorizon, horizonDelays*interval)
}

// Domain is the load of the servers of a service in one failure domain, as known now.
type Domain struct {
	Name string
	// Requests is the number of requests in progress at its servers, also waiting ones.
	Requests float64
	// Capacity is the number of requests that its usable servers answer in a ms at their
	// present speeds; 0 if there is none.
	Capacity float64
	// AnswerMillis is the time in ms until the best of these servers has answered another
	// request. It has no meaning if Capacity is 0.
	AnswerMillis float64
	// Arrivals is the number of requests in a ms that callers send to the fronts of the
	// domain.
	Arrivals float64
	// IsKnown is set if recent reports tell the load. It is not read for the own domain.
	IsKnown bool
}

// load returns the requests that the domain has, and gets within the horizon in ms if each
// front sends its requests to the servers of its own domain.
func (d *Domain) load(horizon float64) float64 {
	return d.Requests + d.Arrivals*horizon
}

// Request is a request to decide on.
type Request struct {
	// ToObjective and ToDeadline are the times left; 0 means that there is none, and a
	// negative one that it has passed.
	ToObjective, ToDeadline time.Duration
	// Bytes is the expected size of the request and its answer, and MeanBytes the mean one of
	// the service. If either is 0 or negative, the size does not count.
	Bytes, MeanBytes float64
}

// target returns the time in ms within which the request is to be answered, or 0 if there is
// none.
func (r *Request) target() float64 {
	if r.ToObjective > 0 {
		return toMillis(r.ToObjective)
	}
	return toMillis(max(0, r.ToDeadline))
}

// sizeFactor returns the probability of the request to leave relative to one of mean size:
// up to 2 for a small one, so that as many requests leave with fewer bytes.
func (r *Request) sizeFactor() float64 {
	if r.Bytes <= 0 || r.MeanBytes <= 0 {
		return 1
	}
	return 2 * r.MeanBytes / (r.MeanBytes + r.Bytes)
}

// Reason says why a request is sent to another domain, in a word for counters.
type Reason string

const (
	// Wait means that the own domain would answer late and another one sooner.
	Wait Reason = "wait"
	// NoServer means that no server of the own domain takes the request.
	NoServer Reason = "no_server"
	// Unknown means a comparison of the own domain with those of unknown load by fixed costs.
	Unknown Reason = "unknown"
	// Cost means a comparison of all domains by fixed costs, as for services that are not
	// scarce.
	Cost Reason = "cost"
)

// Decision is a decision on a request.
type Decision struct {
	// Domain is the one whose servers get the request; empty with the reasons Unknown and
	// Cost.
	Domain string
	// Reason is empty if Domain is the own one.
	Reason Reason
	// Fraction is the fraction of the requests of mean size that leave now, from 0 to 1.
	Fraction float64
}

// Balance is the load of all domains of a service.
type Balance struct {
	Own    Domain
	Others []Domain
	// Horizon is the time in which the waits are to be equalized.
	Horizon time.Duration
}

// Decide decides on a request.
func (b *Balance) Decide(r Request, random *rand.Rand) Decision {
	target := r.target()
	if b.Own.Capacity <= 0 {
		return b.leaveEmpty(random)
	}
	if target <= 0 {
		return Decision{Reason: Cost}
	}
	stay := Decision{Domain: b.Own.Name}
	if b.Own.AnswerMillis <= stayShare*target {
		return stay
	}
	rooms, fraction := b.rooms(r, target)
	if random.Float64() < fraction*r.sizeFactor() || fraction >= 1 {
		return Decision{Domain: b.pick(rooms, random), Reason: Wait, Fraction: fraction}
	}
	stay.Fraction = fraction
	if slices.ContainsFunc(b.Others, func(d Domain) bool { return !d.IsKnown && d.Capacity > 0 }) {
		stay.Domain, stay.Reason = "", Unknown
	}
	return stay
}

// rooms returns the room in requests of each other domain that may get the request, and the
// fraction of the own domain's requests that leaves. If each domain with more than its share
// of the load sends away the excess, all waits are equal at the end of the horizon. The own
// domain sends less while it answers within the target in ms: only what it needs to send so
// that it answers within targetShare of the target.
func (b *Balance) rooms(r Request, target float64) (rooms []float64, fraction float64) {
	horizon := toMillis(b.Horizon)
	load, capacity := b.Own.load(horizon), b.Own.Capacity
	for i := range b.Others {
		if d := &b.Others[i]; d.IsKnown && d.Capacity > 0 {
			load += d.load(horizon)
			capacity += d.Capacity
		}
	}
	wait := load / capacity
	excess := b.Own.load(horizon) - wait*b.Own.Capacity
	needed := b.Own.load(horizon) - (horizon+targetShare*target)*b.Own.Capacity
	rooms = make([]float64, len(b.Others))
	all, usable := 0.0, 0.0
	for i := range b.Others {
		d := &b.Others[i]
		if !d.IsKnown || d.Capacity <= 0 {
			continue
		}
		room := max(0, wait*d.Capacity-d.load(horizon))
		all += room
		if b.pays(d, r, target) {
			rooms[i] = room
			usable += room
		}
	}
	arriving := max(1, b.Own.Arrivals*horizon)
	if usable <= 0 {
		return rooms, 0
	}
	leaving := excess * usable / all
	if needed < leaving {
		lateness := (b.Own.AnswerMillis/target - targetShare) / (1 - targetShare)
		leaving = needed + (leaving-needed)*min(1, max(0, lateness))
	}
	return rooms, min(1, max(0, leaving/arriving))
}

// pays reports whether a domain is expected to answer the request clearly sooner than the own
// one, and before its deadline.
func (b *Balance) pays(d *Domain, r Request, target float64) bool {
	there := d.AnswerMillis + LinkMillis
	if r.ToDeadline != 0 && there > toMillis(r.ToDeadline) {
		return false
	}
	return there+gainShare*target < b.Own.AnswerMillis
}

// leaveEmpty decides on a request that no server of the own domain takes. The fronts divide
// such requests among the other domains by what those have left over, or else by their
// capacity, so that they don't all choose the same one.
func (b *Balance) leaveEmpty(random *rand.Rand) Decision {
	horizon := toMillis(b.Horizon)
	free, capacities := make([]float64, len(b.Others)), make([]float64, len(b.Others))
	anyFree, anyServer := false, false
	for i, d := range b.Others {
		if d.Capacity <= 0 {
			continue
		}
		if !d.IsKnown {
			return Decision{Reason: Cost}
		}
		anyServer = true
		capacities[i] = d.Capacity
		free[i] = max(0, d.Capacity*horizon-d.load(horizon))
		anyFree = anyFree || free[i] > 0
	}
	switch {
	case anyFree:
		return Decision{Domain: b.pick(free, random), Reason: NoServer, Fraction: 1}
	case anyServer:
		return Decision{Domain: b.pick(capacities, random), Reason: NoServer, Fraction: 1}
	}
	return Decision{Reason: Cost}
}

// pick returns the name of another domain, drawn with the given weights, of which at least
// one is positive.
func (b *Balance) pick(weights []float64, random *rand.Rand) string {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	rest, last := random.Float64()*sum, 0
	for i, weight := range weights {
		if weight <= 0 {
			continue
		}
		last = i
		if rest -= weight; rest < 0 {
			break
		}
	}
	return b.Others[last].Name
}

func toMillis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
