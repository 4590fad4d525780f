package peridotplace

import (
	"time"

	"peridotstack/peridotlimit"
)

// Limit returns what is known of the limit that a server named.
func (p *Placer) Limit(s peridotlimit.Server) peridotlimit.Observation {
	return p.limits.Limit(s)
}

// LimitedServers returns the servers that name a limit.
func (p *Placer) LimitedServers() []peridotlimit.Server {
	return p.limits.Limited()
}

// ObserveLimit records what a server said of its limit. It reports whether that changes
// the limit.
func (p *Placer) ObserveLimit(now time.Duration, s peridotlimit.Server, o peridotlimit.Observation) bool {
	return p.limits.Observe(now, s, o)
}

// SetLimitShare sets this instance's part of a server's limit.
func (p *Placer) SetLimitShare(now time.Duration, s peridotlimit.Server, share float64) {
	p.limits.SetShare(now, s, share)
}

// Reserve counts the requests of a choice against the limits of its servers: one for each
// engine, or for the plain server. It counts none and returns false if a limit does not
// allow that.
func (p *Placer) Reserve(now time.Duration, c Choice) bool {
	servers := p.choiceServers(c)
	for _, s := range servers {
		if !p.limits.Allows(now, s) {
			return false
		}
	}
	for _, s := range servers {
		p.limits.Take(now, s)
	}
	return true
}

// Release takes back a call of Reserve whose requests were not sent.
func (p *Placer) Release(now time.Duration, c Choice) {
	for _, s := range p.choiceServers(c) {
		p.limits.Return(now, s)
	}
}

// CountRequest counts a request against the limit of a server that is sent regardless.
func (p *Placer) CountRequest(now time.Duration, id string) {
	if s := p.servers[id]; s != nil {
		p.limits.Take(now, s.incarnation())
	}
}

// choiceServers returns the registered servers of a choice.
func (p *Placer) choiceServers(c Choice) []peridotlimit.Server {
	var list []peridotlimit.Server
	for _, id := range []string{c.PrefillBackend, c.Backend} {
		if s := p.servers[id]; s != nil {
			list = append(list, s.incarnation())
		}
	}
	return list
}

// dropLimits drops the limits of servers that are not registered any more.
func (p *Placer) dropLimits(now time.Duration) {
	p.limits.KeepRegistered(now, func(l peridotlimit.Server) bool {
		s := p.servers[l.ID]
		return s != nil && s.Born == l.Born
	})
}

// incarnation returns the server as peridotlimit knows it.
func (s *server) incarnation() peridotlimit.Server {
	return peridotlimit.Server{ID: s.ID, Born: s.Born}
}

// withinLimit reports whether the limit of the server allows a request.
func (s *server) withinLimit(now time.Duration) bool {
	return s.limits.Allows(now, s.incarnation())
}
