package peridotcontrol

import "time"

// LoadLimiter limits the rate of model loads, which read from the weight store. The
// zero value sets no limit. It is not safe for concurrent use.
type LoadLimiter struct {
	// MinInterval is the shortest time between the starts of two loads.
	MinInterval time.Duration
	// lastLoad is the start of the last load, or the time of the first call of Ready
	// if no load was recorded.
	lastLoad time.Time
}

// Ready reports whether a load may start at now. The first call starts the interval,
// because a new lease holder does not know when the previous one started a load.
func (l *LoadLimiter) Ready(now time.Time) bool {
	if l.lastLoad.IsZero() {
		l.lastLoad = now
	}
	return !now.Before(l.lastLoad.Add(l.MinInterval))
}

// RecordLoad records that a load started at now.
func (l *LoadLimiter) RecordLoad(now time.Time) {
	l.lastLoad = now
}
