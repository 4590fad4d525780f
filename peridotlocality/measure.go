package peridotlocality

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of measured rates. It averages out single requests and
	// follows a swing of 15 s.
	rateTime = 500 * time.Millisecond
	// timeTime is the time constant of measured times. Servers become slow for about 600 ms
	// at a time.
	timeTime = 300 * time.Millisecond
)

// decay returns the factor by which an observation at the time at counts less at now.
func decay(now, at, constant time.Duration) float64 {
	return math.Exp(-float64(max(0, now-at)) / float64(constant))
}

// Rate is a rate of events, averaged over about half a second. The zero value is a rate of 0.
type Rate struct {
	count float64
	at    time.Duration
}

// Add counts an event at now.
func (r *Rate) Add(now time.Duration) {
	r.count = r.count*decay(now, r.at, rateTime) + 1
	r.at = max(r.at, now)
}

// PerMilli returns the events in a ms at now.
func (r *Rate) PerMilli(now time.Duration) float64 {
	return r.count * decay(now, r.at, rateTime) / toMillis(rateTime)
}

// Times averages the times that requests took lately. The zero value has none.
type Times struct {
	// Sum is the sum of the times in ms, and Weight their number; both count observations
	// less the older they are.
	Sum, Weight float64
	at          time.Duration
}

// Observe adds a time in ms that was measured at now. One that is negative or not finite is
// ignored.
func (t *Times) Observe(now time.Duration, ms float64) {
	if !(ms >= 0) || math.IsInf(ms, 0) {
		return
	}
	*t = t.At(now)
	t.Sum += ms
	t.Weight++
}

// NewTimes returns the average of a number of observations, which may be a fraction, with the
// given mean in ms, as received at now. It is the zero value if a number is not positive or
// not finite.
func NewTimes(now time.Duration, ms, weight float64) Times {
	if !(ms > 0) || !(weight > 0) || math.IsInf(ms*weight, 0) {
		return Times{}
	}
	return Times{ms * weight, weight, now}
}

// At returns the average with its weight at now.
func (t *Times) At(now time.Duration) Times {
	if t.Weight == 0 {
		return Times{at: max(t.at, now)}
	}
	factor := decay(now, t.at, timeTime)
	return Times{t.Sum * factor, t.Weight * factor, max(t.at, now)}
}

// Merge adds the observations of another front at now, or takes them back if sign is -1.
func (t *Times) Merge(now time.Duration, other Times, sign float64) {
	*t, other = t.At(now), other.At(now)
	t.Sum = max(0, t.Sum+sign*other.Sum)
	t.Weight = max(0, t.Weight+sign*other.Weight)
}

// Mean returns the mean time in ms. The expected one counts like a single observation.
func (t *Times) Mean(expected float64) float64 {
	return (t.Sum + expected) / (t.Weight + 1)
}
