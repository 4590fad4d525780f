package peridotplace

import (
	"slices"
	"time"
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
// unusable server only if no other is left.
func (p *Placer) placePlain(now time.Duration, group []*server, exclude []string) (Choice, bool) {
	var best *server
	leastCost := 0.0
	for pass := range 2 {
		ties := 1
		for _, s := range group {
			if !s.accepts(now) || slices.Contains(exclude, s.ID) || pass == 0 && !s.usable(now) {
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
		if best != nil {
			return Choice{Backend: best.ID}, true
		}
	}
	return Choice{}, false
}

// plainCost returns the cost of sending another request to a server: its requests
// relative to its size, with penalties for failures and for another failure domain.
func (p *Placer) plainCost(now time.Duration, s *server) float64 {
	_, _, peerRunning := p.peerLoad(now, s)
	s.updatePace(now)
	cost := float64(s.running+peerRunning+1) * referenceSlots / float64(max(1, s.Slots)) * s.slowness
	cost += failureCost * s.failureRate
	if s.Domain != p.domain {
		cost += crossDomainCostRequests
	}
	return cost
}
