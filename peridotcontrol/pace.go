package peridotcontrol

import "time"

// Pace spaces out what reads from the weight store. It is not safe for
// concurrent use.
type Pace struct {
	// Interval is the least time between two loads.
	Interval time.Duration
	last     time.Time
}

// Ready reports whether a load may start at now. The first call starts the
// clock: a new holder does not know when the last one loaded.
func (p *Pace) Ready(now time.Time) bool {
	if p.last.IsZero() {
		p.last = now
	}
	return !now.Before(p.last.Add(p.Interval))
}

// Loaded records that a load started at now.
func (p *Pace) Loaded(now time.Time) {
	p.last = now
}
