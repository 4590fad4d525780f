package peridotlocality

import "time"

const (
	// startFraction and endFraction are the averaged fractions of requests that leave from
	// which on a domain is in state Sending, and at which it is no more.
	startFraction = 0.02
	endFraction   = 0.005
	// stateTime is the time constant of that average. It keeps the state, and its log lines,
	// from changing with single requests.
	stateTime = time.Second
)

// State tells, for logs, whether a front sends requests of a service to other domains. It
// decides nothing.
type State struct {
	// Sending is the state.
	Sending bool
	// Fraction is the averaged fraction of requests that leave.
	Fraction float64
	at       time.Duration
}

// Observe records the fraction of a decision at now, and reports whether Sending changes.
func (s *State) Observe(now time.Duration, fraction float64) bool {
	kept := decay(now, s.at, stateTime)
	s.Fraction, s.at = s.Fraction*kept+fraction*(1-kept), max(s.at, now)
	sending := s.Fraction >= startFraction || s.Sending && s.Fraction > endFraction
	changed := sending != s.Sending
	s.Sending = sending
	return changed
}
