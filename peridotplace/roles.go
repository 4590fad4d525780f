package peridotplace

import (
	"time"

	"peridotstack/peridotsite"
)

const (
	// trendTime is the time constant of the means that role changes follow. It is
	// close to the time that an engine is away for one.
	trendTime = 2 * time.Second
	// readPressure is the mean time in ms that prompts wait at the engines above
	// which another reader is worth its absence.
	readPressure = 8.0
	// spareWriting is the share of the writers' slots, after one has left, below
	// which a writer can be spared; fullWriting is the share above which they need
	// help from a reader.
	spareWriting = 0.3
	fullWriting  = 1.5
	// minWriterShare and minWriters keep writers for failures and for moves.
	minWriterShare = 0.55
	minWriters     = 2
	// changePause is the time between two orders, within which the first shows.
	changePause = 600 * time.Millisecond
	// changeLife is when an order that does not show is taken for lost; some are
	// carried out late.
	changeLife = 15 * time.Second
)

// RoleChange is an order for an engine to change its role.
type RoleChange struct {
	Backend peridotsite.Backend
	To      peridotsite.Role
}

// Roles decides on role changes of one service's engines. Its zero value is
// ready; it belongs to the one instance that gives orders.
type Roles struct {
	pressure float64
	writing  float64
	at       time.Duration
	seen     bool
	ordered  time.Duration
	// pending holds the engines that were ordered, and when.
	pending map[peridotsite.Incarnation]order
}

// order is a role change that was sent.
type order struct {
	at time.Duration
	to peridotsite.Role
}

// role returns the role that a server has, or will have once the order that it
// was sent shows. Without the latter, the same lack would be met again and again.
func (r *Roles) role(now time.Duration, s *server) peridotsite.Role {
	if o, ok := r.pending[s.Incarnation()]; ok && now-o.at < changeLife {
		return o.to
	}
	return s.Role
}

// Next returns the role change that is due now, if any. Ordered must be called
// for each one that is sent.
func (r *Roles) Next(now time.Duration, p *Placer, service string) (RoleChange, bool) {
	var readers, writers []*server
	for _, s := range p.groups[service] {
		if s.Leaving || s.engine == nil {
			continue
		}
		if r.role(now, s) == peridotsite.Prefill {
			readers = append(readers, s)
		} else {
			writers = append(writers, s)
		}
	}
	if len(writers) == 0 {
		return RoleChange{}, false
	}
	r.observe(now, p, readers, writers)
	if now-r.ordered < changePause && r.ordered > 0 {
		return RoleChange{}, false
	}
	floor := max(minWriters, int(minWriterShare*float64(len(readers)+len(writers))+0.5))
	left := float64(len(writers) - 1)
	switch {
	case len(writers) > floor && r.pressure > readPressure && r.writing*float64(len(writers)) < spareWriting*left:
		return r.pick(now, p, writers, peridotsite.Prefill)
	case len(readers) > 1 && r.pressure < readPressure && r.writing > fullWriting:
		return r.pick(now, p, readers, peridotsite.Decode)
	}
	return RoleChange{}, false
}

// observe follows the load of the engines.
func (r *Roles) observe(now time.Duration, p *Placer, readers, writers []*server) {
	waiting, running, slots := 0.0, 0, 0
	for _, s := range readers {
		reading, _ := p.others(now, s.ID)
		waiting += reading + s.backlog(now)
	}
	for _, s := range writers {
		reading, others := p.others(now, s.ID)
		waiting += reading + s.backlog(now)
		running += others + s.running
		slots += s.engine.Slots
	}
	weight := 1.0
	if r.seen {
		weight = min(1, float64(now-r.at)/float64(trendTime))
	}
	r.at, r.seen = now, true
	r.pressure += (waiting/float64(len(readers)+len(writers)) - r.pressure) * weight
	r.writing += (float64(running)/float64(max(1, slots)) - r.writing) * weight
}

// pick returns the engine to change: one in the domain that has most of its
// kind, and among these the one with the least work.
func (r *Roles) pick(now time.Duration, p *Placer, from []*server, to peridotsite.Role) (RoleChange, bool) {
	domains := make(map[string]int)
	for _, s := range from {
		domains[s.Domain]++
	}
	var best *server
	least := 0.0
	for _, s := range from {
		if o, ok := r.pending[s.Incarnation()]; ok && now-o.at < changeLife {
			continue
		}
		reading, running := p.others(now, s.ID)
		cost := reading + s.backlog(now) + float64(running+s.running) - domainWeight*float64(domains[s.Domain])
		if best == nil || cost < least {
			best, least = s, cost
		}
	}
	if best == nil {
		return RoleChange{}, false
	}
	return RoleChange{Backend: best.Backend, To: to}, true
}

// domainWeight makes the number of engines in a domain go before their work.
const domainWeight = 1000.0

// Ordered notes that a role change has been sent, with or without an answer.
func (r *Roles) Ordered(now time.Duration, c RoleChange) {
	if r.pending == nil {
		r.pending = make(map[peridotsite.Incarnation]order)
	}
	r.pending[c.Backend.Incarnation()] = order{at: now, to: c.To}
	r.ordered = now
}
