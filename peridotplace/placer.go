package peridotplace

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotstack/peridotlimit"
	"peridotstack/peridotsite"
)

const (
	// peerTTL is the age at which another instance's report expires.
	peerTTL = time.Second
	// peerSumTTL is how long the sums of the reports are reused while no new report
	// arrives.
	peerSumTTL = 10 * time.Millisecond
)

// Part is one of the consecutive parts of a prompt. Parts with equal hashes are
// assumed to hold the same tokens after the same earlier parts. A hash collision makes
// estimates wrong, which costs only time.
type Part struct {
	Hash   uint32
	Tokens int
}

// Placer chooses backend servers. Use New to create one.
type Placer struct {
	random *rand.Rand
	domain string

	servers map[string]*server
	// holds holds the ends of the holds, also those of servers that are not listed.
	holds map[incarnation]time.Duration
	// limits holds the limits that servers name.
	limits *peridotlimit.Table
	// groups holds the servers of each group, ordered by ID.
	groups map[groupKey][]*server
	// rings holds the ring of each group with more than maxCandidates servers.
	rings map[groupKey]ring
	peers map[string]*peer
	// prefillCalibration corrects estimated waits at prefill engines, and
	// decodeCalibration those at all other engines.
	prefillCalibration, decodeCalibration waitCalibration
	// speeds holds the measured speeds at which engines read prompts.
	speeds map[speedKey]*speed
	// meanSlotMillis is the mean time in ms that a request holds a slot, by service.
	meanSlotMillis map[string]float64
	// meanPlainMillis is the mean time in ms that a server of a scarce plain service takes
	// for a request, by service.
	meanPlainMillis map[string]float64
	// peerSums holds the sums of the peers' loads by backend server, those of all listed
	// and reported ones. Their prefill times are of the time peerSumAt, and invalid after a
	// new report until hasPeerSums is set.
	peerSums    map[string]*peerSum
	peerSumAt   time.Duration
	hasPeerSums bool
	// list, prefillEngines and decodeEngines are memory that the next call of Place uses.
	list                          []*server
	prefillEngines, decodeEngines []candidate
	// pendingPlacements holds the first placements since the last Report, at most
	// maxPendingPlacements.
	pendingPlacements []Placement
	locality          locality
}

// groupKey identifies a group of servers: those of one software version of a service,
// or all servers of the service if softwareVersion is empty.
type groupKey struct {
	service, softwareVersion string
}

// peer holds the loads in the last report of another instance, and when the report was
// received.
type peer struct {
	receivedAt time.Duration
	loads      []peerLoad
}

// peerLoad is a reported load and the sum that it is a part of.
type peerLoad struct {
	sum *peerSum
	// prefillTime is the remaining time when the report was received.
	prefillTime time.Duration
	work
}

func newPeerLoad(sum *peerSum, l Load) peerLoad {
	return peerLoad{sum, l.PrefillTime, work{l.LatePrefillTime, l.Running, l.Interactive}}
}

// peerSum is the sum of the loads that the peers reported for a backend server.
type peerSum struct {
	// prefillTime is the sum at Placer.peerSumAt of what remains then. It is added up from
	// all reports, unlike work, which changes only with a report. With 300 peers this takes
	// most of the time of a decision.
	prefillTime time.Duration
	work
	// reportedAt is when a report last named the server, and index its position in the
	// loads of that report.
	reportedAt time.Duration
	index      int
}

// Load is the outstanding work that one instance has sent to a backend server.
type Load struct {
	Backend string
	// PrefillTime is the estimated remaining prefill time of the prompts that are not
	// demoted.
	PrefillTime time.Duration
	// LatePrefillTime is the estimated prefill time of the demoted prompts, which are
	// served after all others.
	LatePrefillTime time.Duration
	// Running is the number of requests that have not ended, without demoted ones
	// that have not got their first token.
	Running int
	// Interactive is the number of interactive ones among them.
	Interactive int
}

// work is the part of a Load that stays the same until the next report.
type work struct {
	latePrefillTime      time.Duration
	running, interactive int
}

func (w *work) add(other work) {
	w.latePrefillTime += other.latePrefillTime
	w.running += other.running
	w.interactive += other.interactive
}

func (w *work) subtract(other work) {
	w.latePrefillTime -= other.latePrefillTime
	w.running -= other.running
	w.interactive -= other.interactive
}

// Placement records that the parts of a prompt were sent to an engine.
type Placement struct {
	Backend string
	Parts   []Part
}

// Report holds the loads and placements that an instance sends to its peers.
type Report struct {
	Loads      []Load
	Placements []Placement
	// Domain is the failure domain of the instance. It is empty, and Arrivals and Times are,
	// if there are no servers of scarce plain services.
	Domain   string
	Arrivals []Arrival
	Times    []ServedTime
}

// New returns a Placer for an instance in the given failure domain. Its random draws
// are determined by seed.
func New(seed uint64, domain string) *Placer {
	return &Placer{
		random:          rand.New(rand.NewPCG(seed, seed)),
		domain:          domain,
		servers:         make(map[string]*server),
		holds:           make(map[incarnation]time.Duration),
		limits:          peridotlimit.NewTable(),
		groups:          make(map[groupKey][]*server),
		peers:           make(map[string]*peer),
		peerSums:        make(map[string]*peerSum),
		speeds:          make(map[speedKey]*speed),
		meanSlotMillis:  make(map[string]float64),
		meanPlainMillis: make(map[string]float64),
		locality:        newLocality(),
	}
}

// SetBackends replaces the list of backend servers. A server that is listed again
// keeps its state, unless its incarnation, address or software version has changed.
func (p *Placer) SetBackends(now time.Duration, list []peridotsite.Backend, config *peridotsite.Config) {
	servers := make(map[string]*server, len(list))
	p.groups = make(map[groupKey][]*server)
	for _, b := range list {
		s := p.servers[b.ID]
		if s == nil || s.Born != b.Born || s.Address != b.Address || s.SoftwareVersion != b.SoftwareVersion {
			s = newServer(now)
			s.limits = p.limits
			s.heldUntil = p.holds[incarnation{b.ID, b.Born}]
		}
		s.peers, s.kindSpeed = p.peerSumOf(b.ID), p.kindSpeedOf(speedKeyOf(b))
		s.update(now, b, config.Service(b.Service))
		servers[b.ID] = s
		all, sameVersion := groupKey{service: b.Service}, groupKey{b.Service, b.SoftwareVersion}
		p.groups[all] = append(p.groups[all], s)
		if sameVersion != all {
			p.groups[sameVersion] = append(p.groups[sameVersion], s)
		}
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
	p.dropPeerSums(now)
	p.updateLocality(config)
	p.dropLimits(now)
	p.rings = make(map[groupKey]ring)
	for key, group := range p.groups {
		if len(group) > maxCandidates {
			p.rings[key] = newRing(group)
		}
	}
}

// SetLeaving marks an incarnation of a server as leaving, so that no request is placed
// there. The next list of backend servers must say the same.
func (p *Placer) SetLeaving(id string, born int64) {
	if s := p.servers[id]; s != nil && s.Born == born {
		s.Leaving = true
	}
}

// Report returns the loads that this instance has sent to the backend servers, and
// the most recent pending placements, at most limit of them. It drops the other pending
// placements.
func (p *Placer) Report(now time.Duration, limit int) Report {
	var r Report
	for _, s := range p.servers {
		p.beginDemoted(now, s)
		backlogMillis := s.backlogMillis(now)
		if s.running > 0 || backlogMillis > 0 {
			r.Loads = append(r.Loads, Load{Backend: s.ID, PrefillTime: fromMillis(backlogMillis), LatePrefillTime: fromMillis(s.demotedMillis), Running: s.activeRequests(), Interactive: s.interactive})
		}
	}
	p.addLocalityReport(now, &r)
	n := min(limit, len(p.pendingPlacements))
	r.Placements = p.pendingPlacements[len(p.pendingPlacements)-n:]
	p.pendingPlacements = nil
	return r
}

// Observe replaces the loads reported by another instance, and records its
// placements.
func (p *Placer) Observe(now time.Duration, instance string, r Report) {
	reported := p.peers[instance]
	if reported == nil {
		reported = &peer{}
		p.peers[instance] = reported
	}
	reported.clear()
	reported.receivedAt = now
	for _, l := range r.Loads {
		sum := p.peerSumOf(l.Backend)
		if i := sum.index; i < len(reported.loads) && reported.loads[i].sum == sum {
			sum.subtract(reported.loads[i].work) // The last one counts.
			reported.loads[i] = newPeerLoad(sum, l)
		} else {
			sum.index = len(reported.loads)
			reported.loads = append(reported.loads, newPeerLoad(sum, l))
		}
		sum.add(reported.loads[sum.index].work)
		sum.reportedAt = now
	}
	p.hasPeerSums = false
	p.observeLocality(now, instance, r)
	for _, placement := range r.Placements {
		if s := p.servers[placement.Backend]; s != nil && s.cache != nil {
			s.cache.add(placement.Parts, now+p.estimateReadTime(now, s, placement.Parts))
		}
	}
}

// estimateReadTime returns the estimated time until a server has read the parts of a prompt
// that another instance sent there.
func (p *Placer) estimateReadTime(now time.Duration, s *server, parts []Part) time.Duration {
	tokens := -s.cache.cachedTokens(parts)
	for _, part := range parts {
		tokens += part.Tokens
	}
	peerMillis, _, _ := p.peerLoad(now, s)
	return fromMillis(s.backlogMillis(now) + peerMillis + p.estimatePrefillMillis(s, tokens))
}

// peerLoad returns the work that the other instances have sent to a server: the
// remaining prefill time and that of demoted prompts in ms, and the running requests.
func (p *Placer) peerLoad(now time.Duration, s *server) (prefillMillis, lateMillis float64, running int) {
	if !p.hasPeerSums || now-p.peerSumAt > peerSumTTL || now < p.peerSumAt {
		p.sumPeerLoads(now)
	}
	sum := s.peers
	return max(0, toMillis(sum.prefillTime-(now-p.peerSumAt))), toMillis(sum.latePrefillTime), sum.running
}

// clear removes the loads of the report from the sums.
func (r *peer) clear() {
	for _, l := range r.loads {
		l.sum.subtract(l.work)
	}
	r.loads = r.loads[:0]
}

// sumPeerLoads adds up the prefill times that the other instances reported, and deletes
// expired reports.
func (p *Placer) sumPeerLoads(now time.Duration) {
	p.hasPeerSums, p.peerSumAt = true, now
	for _, sum := range p.peerSums {
		sum.prefillTime = 0
	}
	for name, peer := range p.peers {
		age := now - peer.receivedAt
		if age > peerTTL {
			peer.clear()
			delete(p.peers, name)
			continue
		}
		for i := range peer.loads {
			if l := &peer.loads[i]; l.prefillTime > age {
				l.sum.prefillTime += l.prefillTime - age
			}
		}
	}
}

// peerSumOf returns the sum of the peers' loads of a backend server, which need not be
// listed.
func (p *Placer) peerSumOf(id string) *peerSum {
	sum := p.peerSums[id]
	if sum == nil {
		sum = &peerSum{}
		p.peerSums[id] = sum
	}
	return sum
}

// dropPeerSums deletes the sums of servers that are not listed and that no report younger
// than peerTTL names.
func (p *Placer) dropPeerSums(now time.Duration) {
	for id, sum := range p.peerSums {
		if p.servers[id] == nil && now-sum.reportedAt > peerTTL {
			sum.prefillTime = 0 // Flights may still refer to the server.
			delete(p.peerSums, id)
		}
	}
}

func fromMillis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

func toMillis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
