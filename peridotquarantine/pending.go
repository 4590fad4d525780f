package peridotquarantine

import "time"

const (
	// pendingTTL is how long a suspicion waits for news of the server. A registration
	// expires, and a server starts again, within some seconds.
	pendingTTL = 10 * time.Second
	// maxPendingPerEnd and maxPendingEnds limit the suspicions of one server, and the
	// servers.
	maxPendingPerEnd = 256
	maxPendingEnds   = 1024
	// maxBreakSpread is the time within which the runs at a server break off that ends. Of
	// a server that still listened after a break, older suspicions are dropped when the
	// next run breaks off.
	maxBreakSpread = time.Second
)

// Registration is what is known of the registrations of backend servers.
type Registration struct {
	// Registered is set if the incarnation is registered, and Leaving if it has said that
	// it leaves.
	Registered, Leaving bool
	// Replaced is set if a later incarnation, of this or another server, is registered at
	// its address.
	Replaced bool
}

// Pending contains the suspicions whose server may have ended. The zero value is empty.
type Pending struct {
	ends map[End]*pendingEnd
}

type pendingEnd struct {
	suspicions []Suspicion
	expiresAt  time.Duration
	// listens is set if a process still listened at the address after the last break. Only
	// a registration of another incarnation there then shows that the server has ended.
	listens bool
	brokeAt time.Duration
}

// Add adds a suspicion. It reports whether it is the first one of its server, so that the
// caller must find out whether that has ended. now is a time that never decreases.
func (p *Pending) Add(now time.Duration, s Suspicion) (first bool) {
	p.Expire(now)
	if p.ends == nil {
		p.ends = make(map[End]*pendingEnd)
	}
	e := p.ends[s.End()]
	if e != nil && e.listens {
		if now-e.brokeAt > maxBreakSpread {
			e.suspicions = e.suspicions[:0]
		}
		e.listens, e.expiresAt, first = false, now+pendingTTL, true
	}
	if e == nil {
		if len(p.ends) >= maxPendingEnds {
			return false
		}
		e = &pendingEnd{expiresAt: now + pendingTTL}
		p.ends[s.End()] = e
		first = true
	}
	e.brokeAt = now
	if len(e.suspicions) < maxPendingPerEnd {
		e.suspicions = append(e.suspicions, s)
	}
	return first
}

// SetListening records that a process still listens at the address of a server.
func (p *Pending) SetListening(end End) {
	if e := p.ends[end]; e != nil {
		e.listens = true
	}
}

// Ended returns the servers that have ended according to the registrations, which lookup
// returns for one suspicion of each server. It drops the suspicions of servers that leave:
// they may end with runs that take too long.
func (p *Pending) Ended(lookup func(s Suspicion) Registration) []End {
	var ended []End
	for end, e := range p.ends {
		switch r := lookup(e.suspicions[0]); {
		case r.Leaving:
			delete(p.ends, end)
		case r.Replaced, !r.Registered && !e.listens:
			ended = append(ended, end)
		}
	}
	return ended
}

// Take removes the suspicions of a server and returns them.
func (p *Pending) Take(end End) []Suspicion {
	e := p.ends[end]
	if e == nil {
		return nil
	}
	delete(p.ends, end)
	return e.suspicions
}

// Expire removes the suspicions whose server has shown no end in time.
func (p *Pending) Expire(now time.Duration) {
	for end, e := range p.ends {
		if now >= e.expiresAt {
			delete(p.ends, end)
		}
	}
}
