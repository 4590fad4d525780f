package peridotfront

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotclock"
	"peridotstack/peridotlease"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
	"peridotstack/peridotwait"
)

const (
	// dutyShard names the one lease under which all duties are done.
	dutyShard = "duties"
	// dutyInterval is the time between two looks at what is due.
	dutyInterval = 250 * time.Millisecond
	// leaseRatio is the lease's length in terms of the time in which holders must
	// not take turns, renewRatio the time between renewals in terms of its length.
	// A holder sends its last call a sendMargin before its lease ends, and the next
	// one holds for a whole lease, so that leaseRatio x LeaseTTL + sendMargin lie
	// between two terms of the same holder.
	leaseRatio = 0.8
	renewRatio = 0.25
	// minLease leaves time for a call between two renewals.
	minLease = 2400 * time.Millisecond
	// clockDrift bounds the difference in speed of two steady clocks.
	clockDrift = 0.01
	// sendMargin is what must be left of the lease for a call to be sent: the
	// longest time that a call takes.
	sendMargin = 1300 * time.Millisecond
	// minSettle is how long after its end a usage window waits for late figures at
	// least, settleFactor and settleSlack by how much longer than the time between two
	// announcements of a front: one of its datagrams may be lost.
	minSettle    = 900 * time.Millisecond
	settleFactor = 2.2
	settleSlack  = 200 * time.Millisecond
	// usagePrefix starts the keys of sealed usage windows.
	usagePrefix = "usage/"
)

// duties does what one front at a time may do.
type duties struct {
	front  *Front
	lease  *peridotlease.Manager
	cancel context.CancelFunc
	done   sync.WaitGroup

	// reported are the windows that the platform has confirmed under the grant.
	token    int64
	reported map[peridotusage.Window]bool
	// first is the first window that this holder answers for.
	first peridotusage.Window
}

// newDuties returns the duties of a front, which have not started.
func newDuties(f *Front) *duties {
	ttl := max(minLease, time.Duration(leaseRatio*float64(f.settings.LeaseTTL)))
	terms := peridotlease.Terms{TTL: ttl, RenewInterval: time.Duration(renewRatio * float64(ttl)), MaxClockDrift: clockDrift}
	d := &duties{front: f, cancel: func() {}, lease: peridotlease.NewManager(f.platform, f.settings.Instance, f.self.Incarnation,
		peridotlease.WithTerms(terms), peridotlease.WithClock(peridotclock.Boot), peridotlease.WithCounter(f.metrics.Count), peridotlease.WithoutRelease())}
	d.lease.SetShards([]string{dutyShard})
	d.lease.SetInstances([]string{f.settings.Instance})
	return d
}

// start does the duties until ctx is done or stop is called.
func (d *duties) start(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.done.Go(func() { _ = d.lease.Serve(ctx) }) // It returns nil.
	d.done.Go(func() { d.serve(ctx) })
}

// stop ends the duties; the lease runs out by itself.
func (d *duties) stop() {
	d.cancel()
	d.done.Wait()
}

func (d *duties) serve(ctx context.Context) {
	for ctx.Err() == nil {
		d.lease.SetInstances(append(d.front.peers.instances(), d.front.settings.Instance))
		held := 0.0
		if duty, ok := d.duty(); ok {
			held = 1
			d.reportUsage(ctx, duty)
		}
		d.front.metrics.Gauge("duties_held", held)
		peridotwait.Sleep(ctx, dutyInterval)
	}
}

// duty returns the authority to send a call now.
func (d *duties) duty() (Duty, bool) {
	now := peridotclock.Boot()
	grant, ok := d.lease.Grant(dutyShard)
	if !ok || grant.Remaining(now) < sendMargin {
		return Duty{}, false
	}
	if grant.Token != d.token {
		d.take(grant.Token)
	}
	return Duty{Holder: d.front.settings.Instance, Token: grant.Token}, true
}

// take starts a term as the holder.
func (d *duties) take(token int64) {
	f := d.front
	d.token, d.reported = token, make(map[peridotusage.Window]bool)
	f.mu.Lock()
	d.first = f.tally.WindowAt(f.trueTime().Add(-f.settings.UsageLate - f.settings.UsageWindow))
	f.mu.Unlock()
	log.WithField("token", token).Info(logPrefix + "does the duties now")
}

// reportUsage seals and sends the windows that are over.
func (d *duties) reportUsage(ctx context.Context, duty Duty) {
	f := d.front
	now, ok := f.clock.Now(peridotclock.Boot())
	if !ok {
		return
	}
	f.mu.Lock()
	current := f.tally.WindowAt(now)
	over := f.tally.WindowAt(now.Add(-settle(f.peers.size(), f.settings.UsageLate))) - 1
	f.tally.DeleteOld(current)
	f.mu.Unlock()
	for w := max(d.first, over-usageWindows); w <= over; w++ {
		if d.reported[w] {
			continue
		}
		counts, err := d.seal(ctx, w)
		if err != nil {
			log.WithError(err).WithField("window", int64(w)).Warn(logPrefix + "usage window is not sealed")
			return
		}
		if _, ok := d.duty(); !ok || len(counts) == 0 {
			continue
		}
		if err := f.platform.ReportUsage(ctx, duty, int64(w), counts); err != nil {
			f.metrics.Count("usage_report_failures")
			log.WithError(err).WithField("window", int64(w)).Warn(logPrefix + "usage report is not confirmed")
			return
		}
		d.reported[w] = true
		f.metrics.Count("usage_reports")
		log.WithFields(log.Fields{"window": int64(w), "counts": counts, "token": duty.Token}).Info(logPrefix + "reported usage")
	}
}

// settle is how long after its end a usage window waits for late figures among a
// number of fronts. Half of the time until its report is due is left for the report.
func settle(fronts int, due time.Duration) time.Duration {
	announced := announceEvery * sendInterval(fronts)
	return min(max(minSettle, time.Duration(settleFactor*float64(announced))+settleSlack), due/2)
}

// seal makes the figures of a window final in the table service and returns
// them. Whoever reports the window reports exactly these.
func (d *duties) seal(ctx context.Context, w peridotusage.Window) (map[string]int64, error) {
	f := d.front
	f.mu.Lock()
	counts := f.tally.Sum(w)
	f.mu.Unlock()
	key := usagePrefix + w.String()
	data, err := json.Marshal(counts)
	if err != nil {
		return nil, err
	}
	_, err = f.platform.Commit(ctx, peridottable.Txn{
		ID:      f.self.Incarnation,
		Checks:  []peridottable.Check{{Key: key}},
		Puts:    []peridottable.Put{{Key: key, Value: data}},
		Deletes: []string{usagePrefix + (w - 100).String()},
	})
	if err == nil {
		return counts, nil
	}
	// The window may be sealed already, also by a commit whose answer was lost.
	row, readErr := f.platform.Get(ctx, key)
	if readErr != nil {
		return nil, readErr
	}
	if row.Version == 0 {
		return nil, err
	}
	var sealed map[string]int64
	return sealed, json.Unmarshal(row.Value, &sealed)
}
