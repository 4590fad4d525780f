package peridotclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine booted, including suspends, as a
// time after the Unix epoch. The result has no monotonic clock reading, so that Sub
// includes suspends as well.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has CLOCK_BOOTTIME. The monotonic clock differs from
		// it only in that it stops during suspends.
		return time.Unix(0, int64(time.Since(processStart)))
	}
	return time.Unix(ts.Unix())
}

var processStart = time.Now()

// maxRoundTrip is the longest round trip of an exchange whose clock reading is
// used. The error of a reading is at most half of its round trip.
const maxRoundTrip = 200 * time.Millisecond

// SharedClock computes true time from the monotonic clock of the table service,
// which is the same for all instances, and an anchor, which the first instance
// stored in the table service. The zero value has neither a reading nor an anchor.
// It is safe for concurrent use.
type SharedClock struct {
	mu sync.Mutex
	// serviceTime is the time of the service's clock at the boot time readAt, and
	// roundTrip the round trip of that reading. They are valid if hasReading is set.
	serviceTime time.Duration
	readAt      time.Time
	roundTrip   time.Duration
	hasReading  bool
	// anchor is the true time at which the service's clock was zero. It is valid if
	// hasAnchor is set.
	anchor    time.Time
	hasAnchor bool
}

// maxReadingAge is the age from which a reading is replaced by a newer, less precise
// one. Until then, the drift between the two clocks matters less than precision:
// it is well under 1 in 1,000.
const maxReadingAge = 30 * time.Second

// Observe records a reading of the service's clock. sentAt and receivedAt are the
// boot times at which the exchange that returned it began and ended. Observe
// ignores the reading if the round trip is negative or too long, or if the current
// reading is recent and more precise.
func (c *SharedClock) Observe(serviceTime time.Duration, sentAt, receivedAt time.Time) {
	roundTrip := receivedAt.Sub(sentAt)
	if roundTrip < 0 || roundTrip > maxRoundTrip {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasReading && roundTrip > c.roundTrip && receivedAt.Sub(c.readAt) < maxReadingAge {
		return
	}
	c.serviceTime, c.readAt, c.roundTrip, c.hasReading = serviceTime+roundTrip/2, receivedAt, roundTrip, true
}

// ServiceTime returns the time of the service's clock at the boot time now, or false
// if no reading was recorded.
func (c *SharedClock) ServiceTime(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasReading {
		return 0, false
	}
	return c.serviceTime + now.Sub(c.readAt), true
}

// MaxError returns the largest error of ServiceTime that the delays of the exchange can
// cause, half of its round trip, or false if no reading was recorded.
func (c *SharedClock) MaxError() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roundTrip / 2, c.hasReading
}

// SetAnchor sets the true time at which the service's clock was zero.
func (c *SharedClock) SetAnchor(zero time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.anchor, c.hasAnchor = zero, true
}

// TrueTime returns true time at the boot time now, or false if there is no reading
// or no anchor.
func (c *SharedClock) TrueTime(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasReading || !c.hasAnchor {
		return time.Time{}, false
	}
	return c.anchor.Add(c.serviceTime + now.Sub(c.readAt)), true
}
