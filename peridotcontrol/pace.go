package peridotcontrol

import "time"

// Pace limits the rate of model loads, which read from the weight store. The zero
// value sets no limit. It is not safe for concurrent use.
type Pace struct {
	// Interval is the shortest time between the starts of two loads.
	Interval time.Duration
	// lastLoad is the start of the last load, or the time of the first call of Ready
	// if no load was recorded.
	lastLoad time.Time
}

// Ready reports whether a load may start at now. The first call counts as a load
// because a new lease holder does not know when the previous one started a load.
func (p *Pace) Ready(now time.Time) bool {
	if p.lastLoad.IsZero() {
		p.lastLoad = now
	}
	return !now.Before(p.lastLoad.Add(p.Interval))
}

// Loaded records that a load started at now.
func (p *Pace) Loaded(now time.Time) {
	p.lastLoad = now
}
