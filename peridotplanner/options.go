package peridotplanner

import "time"

const (
	defaultFastWindow        = 10 * time.Second
	defaultSlowWindow        = 20 * time.Second
	defaultHorizon           = time.Minute
	defaultScaleDownDelay    = 10 * time.Minute
	defaultTargetUtilization = 0.85
	defaultLowUtilization    = 0.6
	defaultRatioBand         = 0.25
	defaultHysteresis        = 2.0
	// issuedTimeout is the time after which an issued action that the fleet does
	// not show is considered lost.
	issuedTimeout = 30 * time.Second
)

// Option configures a Planner.
type Option func(*Planner)

// WithWindows sets the lengths of the fast and the slow window in which the rate
// of arrivals is measured. The defaults are 10s and 20s.
func WithWindows(fast, slow time.Duration) Option {
	return func(p *Planner) { p.fastWindow, p.slowWindow = fast, slow }
}

// WithHorizon sets the time within which the gain of a change must outweigh the
// time that engines are unavailable. The default is 1 minute.
func WithHorizon(d time.Duration) Option {
	return func(p *Planner) { p.horizon = d }
}

// WithScaleDownDelay sets the time for which demand must stay low before a
// server is returned. The default is 10 minutes.
func WithScaleDownDelay(d time.Duration) Option {
	return func(p *Planner) { p.scaleDownDelay = d }
}

// WithUtilization sets the target utilization, up to which engines are planned to
// be used, and the low utilization: a server may be returned while the utilization
// with one server fewer would be at most that. The defaults are 0.85 and 0.6.
func WithUtilization(targetUtilization, lowUtilization float64) Option {
	return func(p *Planner) { p.targetUtilization, p.lowUtilization = targetUtilization, lowUtilization }
}

// WithRatioBand sets the relative change of the ratio of prefill to decode that
// must occur before a change of role is reversed. The default is 0.25.
func WithRatioBand(band float64) Option {
	return func(p *Planner) { p.ratioBand = band }
}

// WithHysteresis sets the ratio of gain to cost that a change must exceed. Gain and
// cost are in engine-seconds. The default is 2.
func WithHysteresis(factor float64) Option {
	return func(p *Planner) { p.hysteresis = factor }
}
