package peridotplace

import (
	"time"

	"peridotstack/peridotsite"
)

// incarnation identifies one run of a backend server.
type incarnation struct {
	id   string
	born int64
}

// Hold records that an incarnation of a server wants no requests for the time d. A hold
// that ends later stays. It reports whether the end has changed.
func (p *Placer) Hold(now time.Duration, id string, born int64, d time.Duration) bool {
	p.deleteEndedHolds(now)
	at := incarnation{id, born}
	until := now + d
	if until <= max(now, p.holds[at]) {
		return false
	}
	p.holds[at] = until
	if s := p.servers[id]; s != nil && s.Born == born {
		s.heldUntil = until
	}
	return true
}

// deleteEndedHolds deletes the holds that have ended.
func (p *Placer) deleteEndedHolds(now time.Duration) {
	for at, until := range p.holds {
		if now >= until {
			delete(p.holds, at)
		}
	}
}

// Accepts reports whether a server is registered and neither leaving nor held. Its limit
// does not count: a request may have been reserved.
func (p *Placer) Accepts(now time.Duration, id string) bool {
	s := p.servers[id]
	return s != nil && s.wantsRequests(now)
}

// HeldFor returns the time until a server of the service that can answer requests is not
// held and its limit allows one, or 0 if that is so now or all are leaving. A prefill
// engine answers none. Only servers of softwareVersion count unless it is empty.
func (p *Placer) HeldFor(now time.Duration, service, softwareVersion string) time.Duration {
	var least time.Duration
	for _, s := range p.groups[groupKey{service, softwareVersion}] {
		if s.Leaving || s.Role == peridotsite.Prefill {
			continue
		}
		left := max(s.heldUntil-now, p.limits.Wait(now, s.incarnation()))
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
