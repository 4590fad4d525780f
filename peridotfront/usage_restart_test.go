package peridotfront

import (
	"context"
	"fmt"
	"maps"
	"net"
	"testing"
	"time"

	"peridotstack/peridotawait"
	"peridotstack/peridotclock"
	"peridotstack/peridotloopback"
	"peridotstack/peridottable"
)

const (
	// restartWindow and restartDue are the length of the usage windows and the time until
	// their reports are due where all fronts are restarted. The latter leaves time for an
	// outage and for the lease of the killed holder to end.
	restartWindow = 3 * time.Second
	restartDue    = 8 * time.Second
	// maxCountLoss is how long before its end a front may have counted requests that no
	// report contains: a front sends its counts every 100 ms, and the holder saves them
	// every 200 ms.
	maxCountLoss = 600 * time.Millisecond
)

// fleet is a group of fronts that are started and killed together.
type fleet struct {
	platform *fakePlatform
	// origin is the boot time at which the clock of the table service was zero.
	origin time.Time
	fronts []*Front
	kill   func()
	// counted is when requests of account a were counted, by window.
	counted map[int64][]time.Time
}

// start starts n fronts.
func (l *fleet) start(t *testing.T, n int) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	l.fronts = nil
	var waits []func()
	for i := range n {
		clock := &peridotclock.SharedClock{}
		now := peridotclock.BootTime()
		clock.Observe(now.Sub(l.origin), now, now)
		f := New(Settings{
			Instance: fmt.Sprint("front-", i), PeerAddress: net.JoinHostPort(peridotloopback.Host(t), "7660"), LeaseTTL: 3 * time.Second,
			UsageWindow: restartWindow, UsageReportDue: restartDue, RetryWindow: time.Second,
		}, l.platform, nil, clock)
		l.fronts = append(l.fronts, f)
		waits = append(waits, run(ctx, t, f.peers.serve, f.anchorClock, func(ctx context.Context) error {
			d := newDuties(f)
			d.start(ctx)
			<-ctx.Done()
			d.wg.Wait()
			return nil
		}))
	}
	l.kill = func() {
		stop()
		for _, wait := range waits {
			wait()
		}
	}
}

// countUntil counts a request at each front every 20 ms until done returns true.
func (l *fleet) countUntil(t *testing.T, what string, done func(now time.Time) bool) {
	t.Helper()
	for end := time.Now().Add(peridotawait.Timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, f := range l.fronts {
			at, ok := f.clock.TrueTime(peridotclock.BootTime())
			if !ok {
				continue
			}
			f.mu.Lock()
			f.tally.Add("a", at)
			window := int64(f.tally.WindowAt(at))
			f.mu.Unlock()
			l.counted[window] = append(l.counted[window], at)
			if done(at) {
				return
			}
		}
	}
	t.Fatalf("got no %s within %v, want it", what, peridotawait.Timeout)
}

// reported reports whether the platform received a report of the window.
func (l *fleet) reported(window int64) bool {
	for _, r := range l.platform.sentReports() {
		if r.window == window {
			return true
		}
	}
	return false
}

// TestUsageWhileAllFrontsRestart guards against usage windows that are reported late, not
// at all, or without what had been counted before, because all fronts were killed at once
// in the middle of a window and started again soon after.
func TestUsageWhileAllFrontsRestart(t *testing.T) {
	tests := []struct {
		name string
		// killAt is when in a window the fronts are killed, and outage how long they are
		// away.
		killAt, outage time.Duration
	}{
		{name: "the last window is not reported yet", killAt: 500 * time.Millisecond, outage: time.Second},
		{name: "a window ends during the outage", killAt: 2700 * time.Millisecond, outage: time.Second},
		{name: "long outage", killAt: 2700 * time.Millisecond, outage: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := &fleet{
				platform: &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}},
				origin:   peridotclock.BootTime().Add(-time.Second),
				counted:  make(map[int64][]time.Time),
			}
			windowOf := func(at time.Time) int64 { return at.UnixNano() / int64(restartWindow) }
			l.start(t, 3)
			var first, last int64
			var killedAt time.Time
			l.countUntil(t, "time to kill the fronts", func(now time.Time) bool {
				if first == 0 {
					first = windowOf(now)
				}
				last, killedAt = windowOf(now), now
				return last >= first+2 && now.UnixNano()%int64(restartWindow) >= int64(test.killAt)
			})
			l.kill()
			time.Sleep(test.outage)
			l.start(t, 3)
			l.countUntil(t, "report of the window after the restart", func(time.Time) bool { return l.reported(last + 1) })
			l.kill()

			reports := make(map[int64]sentReport)
			for _, r := range l.platform.sentReports() {
				if known, ok := reports[r.window]; ok && !maps.Equal(known.counts, r.counts) {
					t.Errorf("window %d: got %v and %v, want the same counts in all reports", r.window, known.counts, r.counts)
				} else if !ok {
					reports[r.window] = r
				}
			}
			for window := first; window <= last+1; window++ {
				r, ok := reports[window]
				if !ok {
					t.Errorf("window %d of %d, the one of the kill: got no report, want one", window-first, last-first)
					continue
				}
				end := time.Unix(0, (window+1)*int64(restartWindow))
				if late := r.at.Sub(end); late > restartDue {
					t.Errorf("window %d: got its report %v after its end, want it within %v", window-first, late, restartDue)
				}
				var want int64
				for _, at := range l.counted[window] {
					if at.Before(killedAt.Add(-maxCountLoss)) || at.After(killedAt) {
						want++
					}
				}
				if got, most := r.counts["a"], int64(len(l.counted[window])); got < want || got > most {
					t.Errorf("window %d of %d, the one of the kill: got %d requests, want %d to %d", window-first, last-first, got, want, most)
				}
			}
		})
	}
}
