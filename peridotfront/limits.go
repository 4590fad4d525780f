package peridotfront

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotlimit"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
)

// maxLimitsPerDatagram limits the limits, and the demands, in one datagram. A limit takes
// about 20 bytes.
const maxLimitsPerDatagram = 64

// maxToldLimit is the largest limit that a front accepts from another one, in requests per
// second.
const maxToldLimit = 1e9

// observedLimit is the encoded form of what a front knows of a server's limit from the
// server's own answers.
type observedLimit struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Limited bool
	Rate    float64
	// AgeMillis is the age of the answer.
	AgeMillis uint32
}

// demand is the rate of requests for a service at a front.
type demand struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	Rate    float32
}

// limitShares tracks the demand of this front and of the others, by which the limits that
// servers name are shared out. Front.mu guards it.
type limitShares struct {
	// own is this front's demand by service.
	own map[string]*peridotlimit.Demand
	// announced is what the others were last told of it. This front reckons with that,
	// too, so that all shares add up.
	announced map[uint32]float64
	// others contains the demands of the other fronts by address, as told.
	others map[string]map[uint32]float64
	// observed contains what this front knows of limits from answers that it got itself,
	// and recent those that the others have to be told in the next round.
	observed map[peridotlimit.Server]peridotlimit.Observation
	recent   map[peridotlimit.Server]bool
}

func newLimitShares() limitShares {
	return limitShares{
		own: make(map[string]*peridotlimit.Demand), announced: make(map[uint32]float64), others: make(map[string]map[uint32]float64),
		observed: make(map[peridotlimit.Server]peridotlimit.Observation), recent: make(map[peridotlimit.Server]bool),
	}
}

// serviceHash returns the hash that identifies a service in datagrams.
func serviceHash(service string) uint32 {
	return uint32(xxhash.Sum64String(service))
}

// recordDemand counts a request for a service.
func (f *Front) recordDemand(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.limitShares.own[service]
	if d == nil {
		d = &peridotlimit.Demand{}
		f.limitShares.own[service] = d
	}
	d.Add(f.now())
}

// recordLimit records what a backend server says of its limit in the answer to a request
// that was sent at sentAt. An answer without a limit ends the one that the server named
// before sentAt. An answer of another backend server at its address says nothing about it.
func (x *exchange) recordLimit(from peridotsite.Backend, head AnswerHead, sentAt time.Duration) {
	if head.Misdirected {
		return
	}
	f := x.front
	line := log.WithFields(log.Fields{"request": x.call.ID, "backend": from.ID, "born": from.Born, "source": "answer"})
	if head.UnreadableLimit != "" {
		f.metrics.Count("unreadable_limits")
		line.WithField("value", head.UnreadableLimit).Warn(logPrefix + "ignoring a limit that cannot be decoded")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	s := peridotlimit.Server{ID: from.ID, Born: from.Born}
	o := peridotlimit.Observation{At: now, Limited: head.Limited, Rate: head.Limit}
	known := f.placer.Limit(s)
	if !head.Limited && (head.UnreadableLimit != "" || head.NotRun || !known.Limited || sentAt <= known.At) {
		return
	}
	f.limitShares.observed[s] = o
	if f.placer.ObserveLimit(now, s, o) {
		f.limitShares.recent[s] = true
		f.updateLimitShares(now)
		line.WithFields(log.Fields{"limited": head.Limited, "limit": head.Limit}).Info(logPrefix + "backend server changed its limit")
	}
}

// reserve counts the requests of a choice against the limits of its servers. It returns
// false if another request has taken the place meanwhile.
func (x *exchange) reserve(c peridotplace.Choice) bool {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placer.Reserve(f.now(), c)
}

// release takes back a call of reserve whose requests are not sent.
func (x *exchange) release(c peridotplace.Choice) {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.placer.Release(f.now(), c)
}

// updateLimitShares computes this front's part of each limit. The caller must hold f.mu.
func (f *Front) updateLimitShares(now time.Duration) {
	limited := f.placer.LimitedServers()
	f.metrics.SetGauge("backends_limited", float64(len(limited)))
	if len(limited) == 0 {
		return
	}
	var addresses []string
	for _, address := range f.peers.targetAddresses() {
		addresses = append(addresses, address.String())
	}
	maps.DeleteFunc(f.limitShares.others, func(address string, _ map[uint32]float64) bool { return !slices.Contains(addresses, address) })
	for _, s := range limited {
		b, ok := f.backends.byID[s.ID]
		if !ok {
			continue
		}
		service := serviceHash(b.Service)
		var others []peridotlimit.Instance
		for _, address := range addresses {
			rate, ok := f.limitShares.others[address][service]
			if !ok {
				rate = -1
			}
			others = append(others, peridotlimit.Instance{Demand: rate, Score: instanceScore(s, address)})
		}
		rate, ok := f.limitShares.announced[service]
		if !ok {
			rate = -1
		}
		own := peridotlimit.Instance{Demand: rate, Score: instanceScore(s, f.settings.PeerAddress)}
		f.placer.SetLimitShare(now, s, peridotlimit.Share(f.placer.Limit(s).Rate, own, others))
	}
}

// instanceScore returns the score of the front with the given address for a server.
func instanceScore(s peridotlimit.Server, address string) uint64 {
	return xxhash.Sum64String(s.ID + "\n" + address)
}

// addLimits adds to a message what this front has to tell of limits: those that have
// changed, and in an announcement all that it knows from answers, and its demand. The
// caller must hold f.mu.
func (f *Front) addLimits(m *message, announce bool) {
	now := f.now()
	shares := &f.limitShares
	for s, o := range shares.observed {
		if _, ok := f.backends.byID[s.ID]; !ok || now-o.At > peerForgetTimeout {
			delete(shares.observed, s)
			continue
		}
		if (announce || shares.recent[s]) && len(m.Limits) < maxLimitsPerDatagram {
			m.Limits = append(m.Limits, observedLimit{Server: serverHash(s.ID), Limited: o.Limited, Rate: o.Rate, AgeMillis: uint32((now - o.At).Milliseconds())})
		}
	}
	clear(shares.recent)
	if len(f.placer.LimitedServers()) == 0 {
		return
	}
	defer f.updateLimitShares(now)
	if !announce {
		return
	}
	for service, d := range shares.own {
		rate := d.Rate(now)
		shares.announced[serviceHash(service)] = rate
		if len(m.Demands) < maxLimitsPerDatagram {
			m.Demands = append(m.Demands, demand{Service: serviceHash(service), Rate: float32(rate)})
		}
	}
}

// handleLimits applies what another front tells of limits. The caller must hold f.mu.
func (f *Front) handleLimits(m *message) {
	if len(m.Limits)+len(m.Demands) == 0 {
		return
	}
	now := f.now()
	changed := false
	for _, l := range m.Limits {
		b, ok := f.backends.byID[f.backends.idByHash[l.Server]]
		if !ok || !(l.Rate >= 0 && l.Rate <= maxToldLimit) {
			continue
		}
		o := peridotlimit.Observation{At: now - time.Duration(l.AgeMillis)*time.Millisecond, Limited: l.Limited, Rate: l.Rate}
		s := peridotlimit.Server{ID: b.ID, Born: b.Born}
		if f.placer.ObserveLimit(now, s, o) {
			changed = true
			log.WithFields(log.Fields{"backend": b.ID, "born": b.Born, "limited": l.Limited, "limit": l.Rate, "source": m.From}).Info(logPrefix + "backend server changed its limit")
		}
	}
	if len(m.Demands) > 0 {
		demands := make(map[uint32]float64, len(m.Demands))
		for _, d := range m.Demands {
			demands[d.Service] = float64(d.Rate)
		}
		f.limitShares.others[m.Address] = demands
	}
	if changed {
		f.updateLimitShares(now) // Otherwise the next round does.
	}
}
