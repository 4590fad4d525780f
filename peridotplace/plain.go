package peridotplace

import (
	"slices"
	"time"
)

const (
	// otherDomainCost is the extra cost, in requests waiting, of a plain server in
	// another failure domain, whose traffic is paid for.
	otherDomainCost = 0.7
	// failureCost is the extra cost of a server that fails all of its requests.
	failureCost = 6.0
	// plainSlots is the size of a plain server, in requests at once, whose requests
	// count once; those of larger servers count less.
	plainSlots = 6.0
)

// Plain returns the server of a plain service with the least work for its size,
// or false if none takes requests. Servers that look faulty are used only if
// there is no other.
func (p *Placer) Plain(now time.Duration, service string, exclude []string) (string, bool) {
	var best *server
	least := 0.0
	for pass := range 2 {
		ties := 1
		for _, s := range p.groups[service] {
			if s.Leaving || slices.Contains(exclude, s.ID) || pass == 0 && !s.usable(now) {
				continue
			}
			cost := p.plainCost(now, s)
			if best != nil && cost == least {
				ties++
				if p.random.IntN(ties) == 0 {
					best = s
				}
			}
			if best == nil || cost < least {
				best, least, ties = s, cost, 1
			}
		}
		if best != nil {
			return best.ID, true
		}
	}
	return "", false
}

// plainCost is the work at a server in requests, weighed by its size.
func (p *Placer) plainCost(now time.Duration, s *server) float64 {
	_, _, others := p.others(now, s.ID)
	cost := float64(s.running+others+1) * plainSlots / float64(max(1, s.Slots)) * s.slow
	cost += failureCost * s.failures
	if s.Domain != p.domain {
		cost += otherDomainCost
	}
	return cost
}
