package peridotplace

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotstack/peridotsite"
)

const (
	// readRate is the prompt tokens that an engine reads in a millisecond if its
	// slowness is 1; the slowness of each engine is learned.
	readRate = 300.0
	// decodeReadFactor is how much longer an engine that generates tokens takes to
	// read a prompt than one that only reads.
	decodeReadFactor = 2.0
	// peerLife is how long another instance's figures count without news.
	peerLife = time.Second
	// sumLife is how long the sum of their figures is used; they come less often.
	sumLife = 10 * time.Millisecond
)

// Part is a part of a prompt, in order. Parts with equal hashes are taken for the
// same tokens behind the same earlier parts; a mistake costs only time.
type Part struct {
	Hash   uint32
	Tokens int
}

// Placer chooses backend servers. Make one with New.
type Placer struct {
	random *rand.Rand
	domain string

	servers map[string]*server
	// groups holds the servers of a service in the order of their IDs.
	groups map[string][]*server
	// rings holds the servers of large services by hash.
	rings map[string]ring
	peers map[string]*peer
	// readers and writers learn how long prompts wait at engines that only read and
	// at the others.
	readers, writers stretch
	// holds is the mean time in ms that a request of a service holds a slot.
	holds map[string]float64
	// summed is the sum of the peers\' loads at a time, nil after news.
	summed   map[string]Load
	summedAt time.Duration
	// placed are the parts given to servers since the last Report.
	placed []Placement
}

// peer is another instance's last report.
type peer struct {
	at    time.Duration
	loads map[string]Load
}

// Load is the work that one instance has at a backend server.
type Load struct {
	Backend string
	// Reading is the time that the prompts sent there still take to read.
	Reading time.Duration
	// Late is the same for those that wait behind all others.
	Late time.Duration
	// Running counts the requests sent there that have not ended, without those
	// that wait behind all others.
	Running int
}

// Placement says that an engine was given parts of prompts.
type Placement struct {
	Backend string
	Parts   []Part
}

// Report is what an instance tells the others.
type Report struct {
	Loads  []Load
	Placed []Placement
}

// New returns a Placer of an instance in a failure domain, whose random draws
// follow from seed.
func New(seed uint64, domain string) *Placer {
	return &Placer{
		random:  rand.New(rand.NewPCG(seed, seed)),
		domain:  domain,
		servers: make(map[string]*server),
		groups:  make(map[string][]*server),
		peers:   make(map[string]*peer),
		holds:   make(map[string]float64),
	}
}

// SetBackends replaces the list of backend servers. One that is listed again in
// the same incarnation keeps what is known of it.
func (p *Placer) SetBackends(now time.Duration, list []peridotsite.Backend, config *peridotsite.Config) {
	servers := make(map[string]*server, len(list))
	p.groups = make(map[string][]*server)
	for _, b := range list {
		s := p.servers[b.ID]
		if s == nil || s.Born != b.Born || s.Address != b.Address {
			s = newServer(now)
		}
		s.update(now, b, config.Service(b.Service))
		servers[b.ID] = s
		p.groups[b.Service] = append(p.groups[b.Service], s)
	}
	for _, group := range p.groups {
		slices.SortFunc(group, func(a, b *server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	p.servers = servers
	p.rings = make(map[string]ring)
	for name, group := range p.groups {
		if len(group) > maxCandidates {
			p.rings[name] = newRing(group)
		}
	}
}

// Report returns what the other instances are to know, and at most limit
// placements of those since the last call.
func (p *Placer) Report(now time.Duration, limit int) Report {
	var r Report
	for _, s := range p.servers {
		reading := s.backlog(now)
		if s.running > 0 || reading > 0 {
			r.Loads = append(r.Loads, Load{Backend: s.ID, Reading: milliseconds(reading), Late: milliseconds(s.late), Running: s.pressing()})
		}
	}
	n := min(limit, len(p.placed))
	r.Placed = p.placed[len(p.placed)-n:]
	p.placed = nil
	return r
}

// Observe takes another instance's report.
func (p *Placer) Observe(now time.Duration, instance string, r Report) {
	loads := make(map[string]Load, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Backend] = l
	}
	p.peers[instance] = &peer{at: now, loads: loads}
	p.summed = nil
	for _, placed := range r.Placed {
		if s := p.servers[placed.Backend]; s != nil && s.cache != nil {
			s.cache.add(placed.Parts)
		}
	}
}

// others returns the work of the other instances at a server.
func (p *Placer) others(now time.Duration, id string) (reading, late float64, running int) {
	if p.summed == nil || now-p.summedAt > sumLife || now < p.summedAt {
		p.sum(now)
	}
	l := p.summed[id]
	return max(0, inMilliseconds(l.Reading-(now-p.summedAt))), inMilliseconds(l.Late), l.Running
}

// sum adds up what the other instances told.
func (p *Placer) sum(now time.Duration) {
	p.summed, p.summedAt = make(map[string]Load), now
	for name, peer := range p.peers {
		age := now - peer.at
		if age > peerLife {
			delete(p.peers, name)
			continue
		}
		for id, l := range peer.loads {
			total := p.summed[id]
			total.Reading += max(0, l.Reading-age)
			total.Late += l.Late
			total.Running += l.Running
			p.summed[id] = total
		}
	}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func inMilliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
