package peridotplace

import (
	"math"
	"time"

	"peridotstack/peridotlocality"
	"peridotstack/peridotsite"
	"peridotstack/peridotturn"
)

// turnState is the state of a server of a scarce service that decides which requests get
// their turn there. Servers of other services leave it as it is.
type turnState struct {
	// scarce is peridotsite.Service.Scarce.
	scarce bool
	// interactive is the number of this instance's interactive requests at the server.
	interactive int
	// pace is how long the server takes relative to most servers of its kind.
	pace peridotturn.Pace
	// times are how long a plain server lately took for this instance's requests.
	times peridotlocality.Times
	// otherRunning and otherTimes are the sums of what the other instances reported lately of
	// a plain server.
	otherRunning int
	otherTimes   peridotlocality.Times
}

// IsInteractive reports whether a request for a service is interactive at the measured
// speed of the service's engines. Requests for services that are not scarce are not.
func (p *Placer) IsInteractive(service *peridotsite.Service, r peridotturn.Request) bool {
	return service.Scarce && service.Engine != nil && r.IsInteractive(p.tokensPerMilli(speedKey{service: service.Name}))
}

// SetInteractive records that a flight is interactive. A nil, ended or interactive flight,
// and one to a server that is not scarce, is left as it is.
func (f *Flight) SetInteractive() {
	if f != nil && f.server.scarce && !f.ended && !f.interactive {
		f.interactive = true
		f.server.interactive++
	}
}

// endTurn records the end of a flight.
func (p *Placer) endTurn(now time.Duration, f *Flight, outcome Outcome) {
	if f.interactive {
		f.server.interactive--
	}
	if outcome == Answered && f.requestsAtStart > 0 {
		p.observePlain(now, f)
	}
}

// updatePace sets the slowness of a server of a scarce service to its present pace.
func (s *server) updatePace(now time.Duration) {
	if s.scarce {
		s.slowness = s.pace.At(now)
	}
}

// meanPlainSmoothing is the weight of an observation in the mean time of the requests of a
// plain service. It is small, since a change at one server must not change the mean.
const meanPlainSmoothing = 0.02

// observePlain updates the pace of a plain server with a request that ended. Of a request
// that found all slots taken, only the share of its time that it was served counts.
func (p *Placer) observePlain(now time.Duration, f *Flight) {
	s := f.server
	served := toMillis(now-f.startedAt) * min(1, float64(max(1, s.Slots))/float64(f.requestsAtStart))
	s.times.Observe(now, served)
	mean, ok := p.meanPlainMillis[s.Service]
	if !ok {
		mean = served
	}
	p.meanPlainMillis[s.Service] = mean + (served-mean)*meanPlainSmoothing
	if mean > 0 {
		s.pace.Observe(now, served/mean)
	}
}

// countRequests returns the number of requests at a plain server of a scarce service, or 0
// for other servers.
func (p *Placer) countRequests(now time.Duration, s *server) int {
	if !s.balances() {
		return 0
	}
	return p.plainRequests(now, s)
}

// spreadShare is the largest random cost of a long prompt at an engine, relative to its
// prefill. Without it, fronts with the same old reports send their prompts to the same
// engine. An instance without others needs none. It doesn't count between failure domains. A
// prefix that an engine fetches counts like the rest of the prefill: leaving it out led to a
// seventh more fetches in a simulation, with as many prompts on time.
const spreadShare = 0.5

// domainChoices holds the best choice within the own failure domain, and the best one that
// needs an engine in another, also if only to fetch a prefix from it.
type domainChoices struct {
	own, other domainChoice
}

// domainChoice is a candidate that does both prefill and decode, or a pair if prefill is set.
// Both are nil if there is none.
type domainChoice struct {
	prefill, decode *candidate
	// leastCost is the least cost in ms so far without random costs, and spreadCost that of
	// the choice with them.
	leastCost, spreadCost float64
}

func newDomainChoices() domainChoices {
	none := domainChoice{leastCost: math.Inf(1), spreadCost: math.Inf(1)}
	return domainChoices{none, none}
}

// of returns the best choice so far of those that leave the own domain, or of those that don't.
func (c *domainChoices) of(leaves bool) *domainChoice {
	if leaves {
		return &c.other
	}
	return &c.own
}

// update records a choice with the given cost and random cost in ms, and reports whether it
// is better than the best one so far.
func (c *domainChoice) update(cost, random float64) bool {
	c.leastCost = min(c.leastCost, cost)
	if cost+random < c.spreadCost {
		c.spreadCost = cost + random
		return true
	}
	return false
}

// best returns the choice within the own domain unless the other domains have one of less
// cost. Random costs don't count: otherwise long prompts, whose random costs are many times
// that of leaving the domain, would leave it although it has engines that are as fast.
func (c *domainChoices) best() *domainChoice {
	if c.own.leastCost <= c.other.leastCost {
		return &c.own
	}
	return &c.other
}

// applyTurn changes the estimates of a candidate of a scarce service by the rules for
// interactive requests. An engine admits these before others.
func (p *Placer) applyTurn(c *candidate, prompt Prompt) {
	peers := c.peers // Place has updated it with peerLoad.
	c.interactive = c.server.interactive + peers.interactive
	if !prompt.Interactive {
		if len(p.peers) > 0 {
			c.spreadCost = spreadShare * p.random.Float64() * c.prefillMillis
		}
		return
	}
	slots := c.engine.Slots
	if c.Role == peridotsite.Prefill {
		slots = 0 // A prefill takes none.
	}
	e := peridotturn.Engine{
		PrefillMillis: c.urgentMillis, LateMillis: c.demotedMillis + toMillis(peers.latePrefillTime),
		ChunkMillis: p.estimatePrefillMillis(c.server, peridotturn.ChunkTokens), SlotMillis: p.meanSlotMillis[c.Service],
		Running: c.requests, Interactive: c.interactive, Slots: slots,
	}
	wait := e.WaitMillis()
	c.urgentMillis, c.waitMillis, c.slotWaitMillis = wait, wait, wait
	c.decodeCost += e.InteractiveCost(prompt.Gap)
}

// pauseCost returns the cost in ms of the pauses that the prefill makes in the interactive
// answers of the engine.
func (c *candidate) pauseCost() float64 {
	return peridotturn.Engine{Interactive: c.interactive}.PauseCost(c.prefillMillis)
}
