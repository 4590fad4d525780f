package peridotclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, suspends included. Its zero
// is a time.Time without a monotonic reading, so that Sub also counts suspends.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; the monotonic one differs only in
		// a suspend.
		return time.Unix(0, int64(time.Since(started)))
	}
	return time.Unix(ts.Unix())
}

var started = time.Now()

// maxRoundTrip is the longest exchange whose clock reading is used; the reading
// is off by up to half of it.
const maxRoundTrip = 200 * time.Millisecond

// True tells true time as the offset between the steady clock of the table
// service, which all instances see alike, and an anchor that the first instance
// wrote there. It is safe for concurrent use.
type True struct {
	mu sync.Mutex
	// service is the service's clock at the boot time at; precise is the round
	// trip of that reading.
	service time.Duration
	at      time.Time
	precise time.Duration
	seen    bool
	// anchor is true time at zero of the service's clock.
	anchor   time.Time
	anchored bool
}

// readingLife is how long a precise reading goes before a less precise newer
// one; steady clocks drift apart by well under 1 in 1,000.
const readingLife = 30 * time.Second

// Observe takes a reading of the service's clock from an exchange that began and
// ended at the given boot times.
func (c *True) Observe(service time.Duration, began, ended time.Time) {
	trip := ended.Sub(began)
	if trip < 0 || trip > maxRoundTrip {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen && trip > c.precise && ended.Sub(c.at) < readingLife {
		return
	}
	c.service, c.at, c.precise, c.seen = service+trip/2, ended, trip, true
}

// Service returns the service's clock now, if it has been read.
func (c *True) Service(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.seen {
		return 0, false
	}
	return c.service + now.Sub(c.at), true
}

// Anchor sets true time at zero of the service's clock.
func (c *True) Anchor(zero time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.anchor, c.anchored = zero, true
}

// Now returns true time at a boot time, if it is known.
func (c *True) Now(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.seen || !c.anchored {
		return time.Time{}, false
	}
	return c.anchor.Add(c.service + now.Sub(c.at)), true
}
