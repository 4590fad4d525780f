package peridotplace

import (
	"time"

	"peridotstack/peridotlimit"
	"peridotstack/peridotsite"
)

const (
	// smoothingFactor is the weight of a new observation in the moving averages of
	// slowness and failures.
	smoothingFactor = 0.1
	// minSlowness and maxSlowness bound an observed slowness.
	minSlowness = 0.2
	maxSlowness = 8.0
	// baseBackoff and maxBackoff bound the time for which a server that could not be
	// reached gets no requests.
	baseBackoff = 150 * time.Millisecond
	maxBackoff  = 1500 * time.Millisecond
	// refusedBackoff is the time for which a server that refused a request, because
	// it is full, leaving or changing its role, gets no more.
	refusedBackoff = 100 * time.Millisecond
	// silenceTimeout is how long a server with active requests may send nothing
	// before it gets no more requests.
	silenceTimeout = 600 * time.Millisecond
	// maxFailureRate is the failure rate at which a server becomes unusable, so that
	// it is used only for trials or if there is no other.
	maxFailureRate = 0.5
	// minTrialInterval and maxTrialInterval bound the time from a failure of a server
	// with such a failure rate to the next trial. A failed trial costs a retry.
	minTrialInterval = 2 * time.Second
	maxTrialInterval = 30 * time.Second
)

// server is a backend server and the state that this instance keeps for it.
type server struct {
	peridotsite.Backend
	engine *peridotsite.Engine
	cache  *cache
	// limits is Placer.limits.
	limits *peridotlimit.Table
	// peers is the sum of the loads that the other instances reported for the server.
	peers *peerSum
	// kindSpeed is the speed of the engines of its kind.
	kindSpeed kindSpeed

	// remainingMillis is the estimated time in ms at updatedAt to finish the prefills
	// of flights that are not demoted. unconfirmedMillis is the sum of their prefill
	// times, without deducting the time that has passed.
	remainingMillis   float64
	unconfirmedMillis float64
	updatedAt         time.Duration
	// demotedMillis is the estimated time in ms of unconfirmed prefills of demoted
	// flights, which are served after all others. demotedWaiting is the number of
	// demoted flights that have not got their first token.
	demotedMillis  float64
	demotedWaiting int
	// demotedQueue holds the demoted flights, the oldest first, and some that have ended.
	demotedQueue []*Flight
	// running is the number of this instance's requests at the server.
	running int
	// slowness is the ratio of the server's prefill time to that of most engines of its
	// kind.
	slowness float64
	// failureRate is the moving average of the share of failed requests.
	failureRate float64
	// trialInterval is the last time between a failure and the next trial, zero after an
	// answer. A server whose failure rate is at least maxFailureRate gets one request at
	// a time from trialAt on, since its failure rate falls only with answers.
	trialInterval time.Duration
	trialAt       time.Duration
	// backoff is the length of the last backoff after the server could not be
	// reached, zero after an answer. The server gets no requests until backoffUntil.
	backoff      time.Duration
	backoffUntil time.Duration
	// heldUntil is the end of the time for which the server asked for no requests. Other
	// answers do not end that time.
	heldUntil time.Duration
	// lastProgress is when the server last answered, or when it got a request while it
	// had no active ones.
	lastProgress time.Duration
	// firstTokenDue is when the first token is expected of a prompt that the engine got
	// while it had no active requests; zero once the engine has answered since.
	firstTokenDue time.Duration

	turnState
}

// newServer returns a server that is idle and has the expected speed.
func newServer(now time.Duration) *server {
	return &server{updatedAt: now, slowness: 1}
}

// update replaces the server's registration and the engine settings of its service,
// and keeps the rest of its state.
func (s *server) update(now time.Duration, b peridotsite.Backend, service *peridotsite.Service) {
	s.Backend = b
	s.engine, s.scarce = nil, service != nil && service.Scarce
	if service == nil || service.Engine == nil {
		if !s.scarce {
			s.slowness = 1 // Nothing measures it any more.
		}
		return
	}
	s.engine = service.Engine
	if s.cache == nil {
		s.cache = newCache(s.engine.CacheTokens)
	}
	s.advance(now)
}

// advance deducts the time since updatedAt from the remaining prefill time. At least
// half of the unconfirmed time remains, because a server that has not confirmed its
// prefills is slower than expected.
func (s *server) advance(now time.Duration) {
	if now > s.updatedAt {
		s.remainingMillis = max(s.remainingMillis-toMillis(now-s.updatedAt), s.unconfirmedMillis/2)
		s.updatedAt = now
	}
}

// backlogMillis returns the time in ms to finish this instance's prefills that are
// not demoted.
func (s *server) backlogMillis(now time.Duration) float64 {
	s.advance(now)
	return s.remainingMillis
}

// wantsRequests reports whether the server is neither leaving nor held.
func (s *server) wantsRequests(now time.Duration) bool {
	return !s.Leaving && now >= s.heldUntil
}

// accepts reports whether the server may get a request now if there is no other one.
func (s *server) accepts(now time.Duration) bool {
	return s.wantsRequests(now) && s.withinLimit(now)
}

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Duration) bool {
	return s.reachable(now) && !s.unresponsive(now) && (!s.failing() || s.trialDue(now))
}

// reachable reports whether the server accepts requests and is not in a backoff.
func (s *server) reachable(now time.Duration) bool {
	return s.accepts(now) && now >= s.backoffUntil
}

// failing reports whether most of the recent requests to the server failed.
func (s *server) failing() bool {
	return s.failureRate >= maxFailureRate
}

// trialDue reports whether a failing server may get a request to find out whether it
// answers again.
func (s *server) trialDue(now time.Duration) bool {
	return now >= s.trialAt && s.running == 0
}

// unresponsive reports whether the server has active requests and has sent nothing
// for longer than silenceTimeout.
func (s *server) unresponsive(now time.Duration) bool {
	return s.activeRequests() > 0 && now-s.lastProgress > silenceTimeout
}

// firstTokenPending reports whether the engine has been silent only because it has not
// finished its first prefill, within the estimate and silenceTimeout.
func (s *server) firstTokenPending(now time.Duration) bool {
	return now-s.firstTokenDue <= silenceTimeout
}

// activeRequests returns the number of this instance's requests that hold a slot at the
// server or wait for one ahead of the demoted requests. Demoted requests without a first
// token are not counted.
func (s *server) activeRequests() int {
	return s.running - s.demotedWaiting
}

func (s *server) addRequest(now time.Duration) {
	if s.activeRequests() == 0 {
		s.lastProgress, s.firstTokenDue = now, 0
	}
	s.running++
}

// recordAnswer records that the server sent an answer or a part of one, and ends its
// backoff.
func (s *server) recordAnswer(now time.Duration) {
	s.lastProgress, s.firstTokenDue = max(s.lastProgress, now), 0
	s.backoff, s.backoffUntil = 0, 0
}

// startBackoff begins a backoff after the server could not be reached or broke off an
// answer. Each backoff is twice as long as the last one, within the bounds.
func (s *server) startBackoff(now time.Duration) {
	s.backoff = min(max(2*s.backoff, baseBackoff), maxBackoff)
	s.backoffUntil = now + s.backoff
}

// recordOutcome updates the failure rate and the time of the next trial at the end of a
// request. Failures before that time do not lengthen the interval.
func (s *server) recordOutcome(now time.Duration, failed bool) {
	if !failed {
		s.failureRate -= s.failureRate * smoothingFactor
		s.trialInterval, s.trialAt = 0, now
		return
	}
	s.failureRate += (1 - s.failureRate) * smoothingFactor
	s.delayTrial(now)
}

// delayTrial sets the time of the next trial after a failure or a refused trial, unless
// that time is still to come.
func (s *server) delayTrial(now time.Duration) {
	if now >= s.trialAt {
		s.trialInterval = min(max(2*s.trialInterval, minTrialInterval), maxTrialInterval)
		s.trialAt = now + s.trialInterval
	}
}
