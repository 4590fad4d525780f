package peridotlimit

import (
	"math"
	"time"
)

const (
	// minRate is the rate, in requests per second, that all instances together use of a
	// lower limit. Without any request, nothing would tell that the limit has ended.
	minRate = 0.1
	// burstTime is the time whose share of the limit a bucket holds, or one request if
	// that is more.
	burstTime = 250 * time.Millisecond
	// forgetTime is how long a limit is kept of a server that is not registered.
	forgetTime = time.Minute
	// foreignWait is the time after which to come back to an instance that must not use a
	// server.
	foreignWait = time.Second
)

// Server identifies an incarnation of a backend server.
type Server struct {
	ID   string
	Born int64
}

// Observation is what an instance knows of a server's limit.
type Observation struct {
	// At is when the server said so.
	At time.Duration
	// Limited is set if the server named a limit. Rate is that limit, in requests per
	// second from all instances.
	Limited bool
	Rate    float64
}

// Table contains the limits of the servers. The zero value is not usable; call NewTable.
type Table struct {
	limits map[Server]*limit
}

// limit is the limit of one server and the token bucket of this instance.
type limit struct {
	Observation
	// share is this instance's part of the limit.
	share float64
	// tokens is the number of requests that may be sent at updatedAt. It is negative after
	// requests that were sent regardless.
	tokens    float64
	updatedAt time.Duration
	// registeredAt is when the server was last registered.
	registeredAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{limits: make(map[Server]*limit)}
}

// Observe records an observation unless a later one is known. It reports whether the
// server has begun or ceased to name a limit, or has named another one.
func (t *Table) Observe(now time.Duration, s Server, o Observation) (changed bool) {
	l := t.limits[s]
	if l == nil {
		if !o.Limited {
			return false
		}
		l = &limit{share: 1, tokens: 1, updatedAt: now, registeredAt: now}
		t.limits[s] = l
	}
	if o.At < l.At {
		return false
	}
	changed = o.Limited != l.Limited || o.Rate != l.Rate
	l.refill(now)
	l.Observation = o
	l.tokens = min(l.tokens, l.burst())
	return changed
}

// Limit returns what is known of a server's limit.
func (t *Table) Limit(s Server) Observation {
	if l := t.limits[s]; l != nil {
		return l.Observation
	}
	return Observation{}
}

// Limited returns the servers that name a limit.
func (t *Table) Limited() []Server {
	var list []Server
	for s, l := range t.limits {
		if l.Limited {
			list = append(list, s)
		}
	}
	return list
}

// SetShare sets this instance's part of a server's limit; 0 means that it must not use
// the server.
func (t *Table) SetShare(now time.Duration, s Server, share float64) {
	if l := t.limits[s]; l != nil {
		l.refill(now)
		l.share = share
		l.tokens = min(l.tokens, l.burst())
	}
}

// Allows reports whether a request may be sent to a server now.
func (t *Table) Allows(now time.Duration, s Server) bool {
	return t.Wait(now, s) == 0
}

// Wait returns the time until a request may be sent to a server.
func (t *Table) Wait(now time.Duration, s Server) time.Duration {
	l := t.limits[s]
	if l == nil || !l.Limited {
		return 0
	}
	if l.share <= 0 {
		return foreignWait
	}
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration(math.Ceil((1 - l.tokens) / l.rate() * float64(time.Second)))
}

// Take counts a request that is sent to a server, whether it may or not.
func (t *Table) Take(now time.Duration, s Server) {
	if l := t.limits[s]; l != nil && l.Limited {
		l.refill(now)
		l.tokens--
	}
}

// Return takes back a call of Take whose request was not sent.
func (t *Table) Return(now time.Duration, s Server) {
	if l := t.limits[s]; l != nil && l.Limited {
		l.refill(now)
		l.tokens = min(l.tokens+1, l.burst())
	}
}

// KeepRegistered drops the limits of servers that have not been registered for a while.
func (t *Table) KeepRegistered(now time.Duration, isRegistered func(s Server) bool) {
	for s, l := range t.limits {
		if isRegistered(s) {
			l.registeredAt = now
		} else if now-l.registeredAt >= forgetTime {
			delete(t.limits, s)
		}
	}
}

// rate returns the requests per second that this instance may send.
func (l *limit) rate() float64 {
	return max(l.Rate, minRate) * l.share
}

// burst returns the most requests that this instance may send at once.
func (l *limit) burst() float64 {
	return max(1, l.rate()*burstTime.Seconds())
}

// refill adds the tokens since the last call.
func (l *limit) refill(now time.Duration) {
	if now > l.updatedAt {
		l.tokens = min(l.tokens+l.rate()*(now-l.updatedAt).Seconds(), l.burst())
		l.updatedAt = now
	}
}
