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
)

// Pending contains the suspicions whose server may have ended. The zero value is empty.
type Pending struct {
	ends map[End]*pendingEnd
}

type pendingEnd struct {
	suspicions []Suspicion
	expiresAt  time.Duration
}

// Add adds a suspicion. It reports whether it is the first one of its server, so that the
// caller must find out whether that has ended. now is a time that never decreases.
func (p *Pending) Add(now time.Duration, s Suspicion) (first bool) {
	p.Expire(now)
	if p.ends == nil {
		p.ends = make(map[End]*pendingEnd)
	}
	e := p.ends[s.End()]
	if e == nil {
		if len(p.ends) >= maxPendingEnds {
			return false
		}
		e = &pendingEnd{expiresAt: now + pendingTTL}
		p.ends[s.End()] = e
		first = true
	}
	if len(e.suspicions) < maxPendingPerEnd {
		e.suspicions = append(e.suspicions, s)
	}
	return first
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

// Servers returns one suspicion of each server.
func (p *Pending) Servers() []Suspicion {
	var list []Suspicion
	for _, e := range p.ends {
		list = append(list, e.suspicions[0])
	}
	return list
}

// Expire removes the suspicions whose server has shown no end in time.
func (p *Pending) Expire(now time.Duration) {
	for end, e := range p.ends {
		if now >= e.expiresAt {
			delete(p.ends, end)
		}
	}
}
