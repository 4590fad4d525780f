package peridotplace

import (
	"time"

	"peridotstack/peridotlocality"
)

const (
	// crossDomainCostRequests is the extra cost of a plain server in another failure
	// domain, in requests. Traffic between domains is billed.
	crossDomainCostRequests = 0.7
	// failureCost is the extra cost of a server at which all requests fail: in
	// requests for a plain server, in ms for an engine.
	failureCost = 6.0
	// referenceSlots is the number of slots of a plain server at which one request
	// costs 1. The cost is inversely proportional to the number of slots.
	referenceSlots = 6.0
)

// placePlain returns the server of a group of a plain service with the least work relative
// to its size, or false if every server is excluded, leaving or held. It returns an
// unusable server only if no other is left. Of a scarce service, the balance of the failure
// domains comes first.
func (p *Placer) placePlain(now time.Duration, group []*server, prompt Prompt) (Choice, bool) {
	if group[0].balances() {
		if c, ok := p.placeBalanced(now, group, prompt); ok {
			return c, true
		}
	}
	for pass := range 2 {
		best := p.leastCost(now, group, func(s *server) bool {
			if pass == 0 {
				return s.canServe(now, &prompt)
			}
			return s.accepts(now) && !prompt.excludes(s)
		})
		if best != nil {
			return Choice{Backend: best.ID, Reason: p.reasonFor(best, peridotlocality.Cost)}, true
		}
	}
	return Choice{}, false
}

// canServe reports whether the server may get a request now and the prompt does not exclude it.
func (s *server) canServe(now time.Duration, prompt *Prompt) bool {
	return s.usable(now) && !prompt.excludes(s)
}

// leastCost returns the server with the least cost of those that are accepted, or nil if none
// is. It draws among equal ones.
func (p *Placer) leastCost(now time.Duration, group []*server, accepts func(s *server) bool) *server {
	var best *server
	leastCost, ties := 0.0, 1
	for _, s := range group {
		if !accepts(s) {
			continue
		}
		cost := p.plainCost(now, s)
		if best != nil && cost == leastCost {
			ties++
			if p.random.IntN(ties) == 0 {
				best = s
			}
		}
		if best == nil || cost < leastCost {
			best, leastCost, ties = s, cost, 1
		}
	}
	return best
}

// plainCost returns the cost of sending another request to a server: its requests
// relative to its size, with penalties for failures and for another failure domain.
func (p *Placer) plainCost(now time.Duration, s *server) float64 {
	s.updatePace(now)
	cost := float64(p.plainRequests(now, s)+1) * referenceSlots / float64(max(1, s.Slots)) * s.slowness
	cost += failureCost * s.failureRate
	if s.Domain != p.domain {
		cost += crossDomainCostRequests
	}
	return cost
}
