package peridotplanner

import "time"

const (
	defaultFast       = 10 * time.Second
	defaultSlow       = 20 * time.Second
	defaultHorizon    = time.Minute
	defaultCalm       = 10 * time.Minute
	defaultTarget     = 0.85
	defaultLow        = 0.6
	defaultBand       = 0.25
	defaultHysteresis = 2.0
	// issuedGrace is how long an issued action may go unseen in the fleet.
	issuedGrace = 30 * time.Second
)

// Option changes a Planner that New makes.
type Option func(*Planner)

// WithWindows sets the lengths of the fast and the slow window.
func WithWindows(fast, slow time.Duration) Option {
	return func(p *Planner) { p.fast, p.slow = fast, slow }
}

// WithHorizon sets how long a change has to pay for the time it costs.
func WithHorizon(d time.Duration) Option {
	return func(p *Planner) { p.horizon = d }
}

// WithCalm sets how long demand must stay low before a server is returned.
func WithCalm(d time.Duration) Option {
	return func(p *Planner) { p.calm = d }
}

// WithTarget sets the part of their time that engines may be busy, and the part
// below which one server fewer is thought of.
func WithTarget(target, low float64) Option {
	return func(p *Planner) { p.target, p.low = target, low }
}

// WithBand sets by which part the ratio of prefill to decode must move before a
// change of role is taken back.
func WithBand(band float64) Option {
	return func(p *Planner) { p.band = band }
}

// WithHysteresis sets how many times the engine-seconds that a change takes away
// its gain must be.
func WithHysteresis(times float64) Option {
	return func(p *Planner) { p.hysteresis = times }
}
