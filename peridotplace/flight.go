package peridotplace

import (
	"slices"
	"time"

	"peridotstack/peridotsite"
)

// Flight is a request, or only the prefill of one, that was sent to a server.
type Flight struct {
	server *server
	// prefillMillis is the estimated prefill time in ms; zero once the prefill or the
	// flight has ended.
	prefillMillis  float64
	uncachedTokens int
	// parts are those of the prompt that the server reads, and fetches is set if it gets
	// some of them from another engine's KV cache.
	parts   []Part
	fetches bool
	// estimatedWaitMillis is the estimated time in ms until the prefill begins.
	estimatedWaitMillis float64
	// startedIdle is set if no instance had other prefills at the server when the flight
	// started, as far as this one knew, demoted flights aside.
	startedIdle bool
	startedAt   time.Duration
	// firstTokenAt is the time of the first token; zero before that.
	firstTokenAt time.Duration
	// lowUrgency is set if the server begins the flight's prefill only when it has no
	// prefills of more urgent flights, and demoted while it has not begun, as far as this
	// instance knows.
	lowUrgency bool
	demoted    bool
	ended      bool
	// interactive is set by SetInteractive.
	interactive bool
	// requestsAtStart is the number of requests at a plain server of a scarce service when
	// the flight started, with itself; 0 for other servers.
	requestsAtStart int
}

// transferDelay is the time after which an engine is assumed to have the KV cache that
// another engine is sent to fetch.
const transferDelay = 50 * time.Millisecond

// maxPendingPlacements is the maximum number of placements kept for the next
// Report; further ones are dropped.
const maxPendingPlacements = 256

// Begin records that a plain request is sent to a server. It returns nil if the
// server is not registered any more.
func (p *Placer) Begin(now time.Duration, backend string) *Flight {
	s := p.servers[backend]
	if s == nil {
		return nil
	}
	s.addRequest(now)
	p.countArrival(now, s)
	return &Flight{server: s, startedAt: now, requestsAtStart: p.countRequests(now, s)}
}

// BeginPrefill records that a prompt is sent to a server, which must read
// uncachedTokens of it. It returns nil if the server is not registered any more.
func (p *Placer) BeginPrefill(now time.Duration, backend string, parts []Part, uncachedTokens int) *Flight {
	f := p.Begin(now, backend)
	if f == nil {
		return nil
	}
	s := f.server
	peerPrefillMillis, _, _ := p.peerLoad(now, s)
	f.estimatedWaitMillis = s.backlogMillis(now) + peerPrefillMillis
	f.startedIdle = s.unconfirmedMillis == 0 && peerPrefillMillis < minBusyWaitMillis
	f.prefillMillis, f.uncachedTokens = p.estimatePrefillMillis(s, uncachedTokens), uncachedTokens
	if s.activeRequests() == 1 {
		s.firstTokenDue = now + fromMillis(f.estimatedWaitMillis+f.prefillMillis)
	}
	s.remainingMillis += f.prefillMillis
	s.unconfirmedMillis += f.prefillMillis
	f.parts = parts
	p.recordParts(s, parts, now+fromMillis(f.estimatedWaitMillis+f.prefillMillis))
	return f
}

// Fetches records that the server of a flight fetches a part of the prompt from another
// engine's KV cache, so that its prefill time says nothing about its speed. A nil flight is
// ignored.
func (f *Flight) Fetches() {
	if f != nil {
		f.fetches = true
	}
}

// BeginDecode records that a request is sent to a server, which fetches the KV cache
// of the prompt from another server. It returns nil if the server is not registered any
// more.
func (p *Placer) BeginDecode(now time.Duration, backend string, parts []Part) *Flight {
	f := p.Begin(now, backend)
	if f != nil {
		p.recordParts(f.server, parts, now+transferDelay)
	}
	return f
}

// recordParts records the parts of a prompt that was sent to a server, which is expected to
// have read them at readyAt, in the server's cache and for the next Report.
func (p *Placer) recordParts(s *server, parts []Part, readyAt time.Duration) {
	if s.cache == nil || len(parts) == 0 {
		return
	}
	s.cache.add(parts, readyAt)
	if len(p.pendingPlacements) < maxPendingPlacements {
		p.pendingPlacements = append(p.pendingPlacements, Placement{Backend: s.ID, Parts: parts})
	}
}

// Demote records that a flight was sent with low urgency, so that its server begins it
// after all flights that are not demoted. A nil, ended or demoted flight is left as it
// is.
func (p *Placer) Demote(f *Flight) {
	if f == nil || f.lowUrgency || f.ended {
		return
	}
	s := f.server
	f.lowUrgency, f.demoted = true, true
	s.demotedQueue = append(s.demotedQueue, f)
	s.demotedWaiting++
	s.unconfirmedMillis = max(0, s.unconfirmedMillis-f.prefillMillis)
	s.remainingMillis = min(s.remainingMillis, s.unconfirmedMillis)
	s.demotedMillis += f.prefillMillis
	p.beginDemoted(f.startedAt, s)
}

// beginDemoted counts the oldest demoted flight of a server like the others if the server
// has no other prefill. An engine finishes a prefill that it has begun, whatever the
// urgency of those that arrive meanwhile.
func (p *Placer) beginDemoted(now time.Duration, s *server) {
	s.demotedQueue = slices.DeleteFunc(s.demotedQueue, func(f *Flight) bool { return f.ended || f.prefillMillis == 0 })
	if len(s.demotedQueue) == 0 || s.unconfirmedMillis >= minBusyWaitMillis {
		return
	}
	if peerMillis, _, _ := p.peerLoad(now, s); peerMillis >= minBusyWaitMillis {
		return
	}
	f := s.demotedQueue[0]
	s.demotedQueue = s.demotedQueue[1:]
	f.demoted = false
	s.demotedWaiting--
	s.demotedMillis = max(0, s.demotedMillis-f.prefillMillis)
	s.advance(now)
	s.unconfirmedMillis += f.prefillMillis
	s.remainingMillis += f.prefillMillis
}

// recordFirstToken records the time of a flight's first token.
func (f *Flight) recordFirstToken(now time.Duration) {
	if f.firstTokenAt > 0 {
		return
	}
	f.firstTokenAt = now
	if f.demoted {
		f.server.demotedWaiting--
	}
}

const (
	// minSampleTokens is the minimum number of uncached tokens of a flight whose prefill
	// time updates the speeds.
	minSampleTokens = 1000
	// minObservedMillis is the shortest prefill time in ms that is assumed of such a
	// flight.
	minObservedMillis = 0.01
)

// FinishPrefill records that a server has read the prompt of a flight. A nil or ended
// flight is ignored.
func (p *Placer) FinishPrefill(now time.Duration, f *Flight) {
	if f == nil || f.ended {
		return
	}
	s := f.server
	s.recordAnswer(now)
	f.recordFirstToken(now)
	if !f.lowUrgency && !f.interactive && f.uncachedTokens > 0 {
		p.calibration(s).observe(f.estimatedWaitMillis, toMillis(now-f.startedAt)-p.estimatePrefillMillis(s, f.uncachedTokens))
	}
	if f.prefillMillis == 0 {
		return
	}
	if s.cache != nil {
		s.cache.add(f.parts, now)
	}
	if f.startedIdle && !f.lowUrgency && !f.fetches && f.uncachedTokens >= minSampleTokens {
		p.updateSpeed(now, f, toMillis(now-f.startedAt))
	}
	p.confirmPrefill(now, f)
}

// updateSpeed updates the speed of the engines of a kind, and the slowness of the one of a
// flight relative to the others, with the observed prefill time in ms of the flight.
func (p *Placer) updateSpeed(now time.Duration, f *Flight, observedMillis float64) {
	s := f.server
	tokensPerMilli := float64(f.uncachedTokens) / max(observedMillis, minObservedMillis)
	v := p.speedOf(speedKeyOf(s.Backend))
	if v.isReliable() {
		ratio := min(max(v.median/tokensPerMilli, minSlowness), maxSlowness)
		s.slowness += (ratio - s.slowness) * smoothingFactor
		if s.scarce {
			s.pace.Observe(now, ratio)
			s.updatePace(now)
		}
	}
	v.observe(tokensPerMilli)
}

// confirmPrefill removes a flight's prefill from its server's outstanding work.
func (p *Placer) confirmPrefill(now time.Duration, f *Flight) {
	s := f.server
	s.advance(now)
	if f.demoted {
		s.demotedMillis = max(0, s.demotedMillis-f.prefillMillis)
		f.prefillMillis = 0
		return
	}
	s.unconfirmedMillis = max(0, s.unconfirmedMillis-f.prefillMillis)
	f.prefillMillis = 0
	s.remainingMillis = min(s.remainingMillis, s.unconfirmedMillis)
	p.beginDemoted(now, s)
}

// calibration returns the wait calibration for engines with the role of s.
func (p *Placer) calibration(s *server) *waitCalibration {
	if s.Role == peridotsite.Prefill {
		return &p.prefillCalibration
	}
	return &p.decodeCalibration
}

// slotTimeSmoothing is the smoothing factor of the mean time that a request holds a
// slot. It is small because a few long requests take up most of the slots' time.
const slotTimeSmoothing = 0.02

// updateSlotTime updates the mean slot time of the service of s with a request that
// held a slot of s for slotMillis.
func (p *Placer) updateSlotTime(s *server, slotMillis float64) {
	if s.engine == nil || s.Role == peridotsite.Prefill {
		return
	}
	p.meanSlotMillis[s.Service] += (slotMillis - p.meanSlotMillis[s.Service]) * slotTimeSmoothing
}

// slotWaitMillis returns the estimated time in ms until a server that has the given
// number of requests has a free slot for another.
func (p *Placer) slotWaitMillis(s *server, requests int) float64 {
	if s.Role == peridotsite.Prefill || s.engine.Slots <= 0 || requests < s.engine.Slots {
		return 0
	}
	return float64(requests+1-s.engine.Slots) * p.meanSlotMillis[s.Service] / float64(s.engine.Slots)
}

// Progress records that the server of a flight has sent a part of its answer.
func (p *Placer) Progress(now time.Duration, f *Flight) {
	if f != nil {
		f.server.recordAnswer(now)
	}
}

// Outcome says how a flight ended.
type Outcome int

const (
	// Answered flights got a valid answer.
	Answered Outcome = iota
	// Canceled flights were canceled by their caller, which says nothing about the
	// server.
	Canceled
	// Refused flights were rejected because the server is full or leaving.
	Refused
	// Failed flights got an error or a corrupt answer.
	Failed
	// Unavailable flights broke off, or their server could not be reached.
	Unavailable
)

// Done records the end of a flight. A nil or ended flight is ignored.
func (p *Placer) Done(now time.Duration, f *Flight, outcome Outcome) {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	s := f.server
	s.running--
	p.endTurn(now, f, outcome)
	if f.firstTokenAt > 0 && outcome == Answered {
		p.updateSlotTime(s, toMillis(now-f.firstTokenAt)+p.estimatePrefillMillis(s, f.uncachedTokens))
	}
	f.recordFirstToken(now)
	if f.prefillMillis > 0 {
		p.confirmPrefill(now, f)
	}
	switch outcome {
	case Answered:
		s.recordAnswer(now)
		s.recordOutcome(now, false)
	case Refused:
		s.recordAnswer(now)
		s.backoffUntil = now + refusedBackoff
		if s.failing() {
			s.delayTrial(now) // A refused trial costs a retry, too.
		}
	case Failed:
		s.recordAnswer(now)
		s.recordOutcome(now, true)
	case Unavailable:
		s.startBackoff(now)
		s.recordOutcome(now, true)
	case Canceled:
	}
}
