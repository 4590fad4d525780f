package peridotfront

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotclock"
	"peridotstack/peridotlease"
	"peridotstack/peridotusage"
	"peridotstack/peridotwait"
)

const (
	// dutyShard is the name of the lease that covers all duties.
	dutyShard = "duties"
	// dutyInterval is the time between two checks for due usage reports.
	dutyInterval = 250 * time.Millisecond
	// leaseTTLRatio is the duration of the lease as a fraction of Settings.LeaseTTL.
	// A holder sends its last call sendMargin before its lease ends, and the next
	// holder keeps the lease for its full duration. Two terms of the same holder are
	// therefore at least leaseTTLRatio*LeaseTTL + sendMargin apart.
	leaseTTLRatio = 0.8
	// leaseRenewRatio is the time between renewals as a fraction of the duration of
	// the lease.
	leaseRenewRatio = 0.25
	// minLeaseTTL is the shortest duration of the lease. It leaves time for a call
	// between two renewals.
	minLeaseTTL = 2400 * time.Millisecond
	// clockDrift is the largest relative difference in rate between the monotonic
	// clocks of two machines.
	clockDrift = 0.01
	// sendMargin is the remaining lease time required to send a call. It equals the
	// longest duration of a call.
	sendMargin = 1300 * time.Millisecond
	// minSettleTime is the shortest time to wait for late counts after the end of a
	// usage window.
	minSettleTime = 900 * time.Millisecond
	// settleFactor and settleSlack extend that wait to settleFactor times the
	// usage interval of a front plus settleSlack, because one of its datagrams may be
	// lost.
	settleFactor = 2.2
	settleSlack  = 200 * time.Millisecond
	// reportedUsageWindows is the number of latest usage windows that a holder reports.
	reportedUsageWindows = 3
	// usagePrefix is the key prefix of the rows that hold sealed usage windows.
	usagePrefix = "usage/"
)

// duties performs the work that only the holder of the duties lease may do.
type duties struct {
	front  *Front
	lease  *peridotlease.Manager
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// grantToken is the fencing token of the current term.
	grantToken int64
	// reported contains the windows whose reports the platform confirmed in the
	// current term.
	reported map[peridotusage.Window]bool
	// firstWindow is the first window that this holder must report.
	firstWindow peridotusage.Window
	// termStart is when the current term started, as a boot time.
	termStart time.Time
	// collected is set if the other fronts sent their usage counts to this one already
	// before the current term, and heldAt is the boot time at which this front held the
	// lease last.
	collected bool
	heldAt    time.Time
	// era is the era of the table service, seen first at the boot time eraSeenAt.
	era       int64
	eraSeenAt time.Time
	// writtenEra and writtenToken are the era and term in which this front last wrote
	// its seals again.
	writtenEra, writtenToken int64
}

// newDuties returns the duties of f. Call start to run them.
func newDuties(f *Front) *duties {
	ttl := max(minLeaseTTL, time.Duration(leaseTTLRatio*float64(f.settings.LeaseTTL)))
	terms := peridotlease.Terms{TTL: ttl, RenewInterval: time.Duration(leaseRenewRatio * float64(ttl)), MaxClockDrift: clockDrift}
	d := &duties{front: f, cancel: func() {}, lease: peridotlease.NewManager(f.platform, f.settings.Instance, f.self.Incarnation,
		peridotlease.WithTerms(terms), peridotlease.WithClock(peridotclock.BootTime), peridotlease.WithCounter(f.metrics.Count), peridotlease.WithoutRelease())}
	d.lease.SetShards([]string{dutyShard})
	d.lease.SetInstances([]string{f.settings.Instance})
	return d
}

// start runs the duties in the background until ctx is done or stop is called.
func (d *duties) start(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.wg.Go(func() { _ = d.lease.Serve(ctx) }) // Always returns nil.
	d.wg.Go(func() { d.serve(ctx) })
}

// stop stops the duties and waits until they have ended. It does not release the
// lease but lets it expire.
func (d *duties) stop() {
	d.cancel()
	d.wg.Wait()
}

// serve reports usage while this front holds the lease, until ctx is done.
func (d *duties) serve(ctx context.Context) {
	for ctx.Err() == nil {
		d.lease.SetInstances(append(d.front.peers.aliveInstances(), d.front.settings.Instance))
		d.observeEra()
		heldGauge := 0.0
		if holder, ok := d.currentHolder(); ok {
			heldGauge = 1
			d.heldAt = peridotclock.BootTime()
			d.reportUsage(ctx, holder)
		}
		d.front.holdsDuties.Store(heldGauge > 0)
		d.front.metrics.SetGauge("duties_held", heldGauge)
		peridotwait.Sleep(ctx, dutyInterval)
	}
}

// currentHolder returns the holder and fencing token for a call that is sent now. It
// returns false if this front does not hold the lease or less than sendMargin of
// it remains.
func (d *duties) currentHolder() (DutyHolder, bool) {
	now := peridotclock.BootTime()
	grant, ok := d.lease.Grant(dutyShard)
	if !ok || grant.Remaining(now) < sendMargin {
		return DutyHolder{}, false
	}
	if grant.Token != d.grantToken {
		d.startTerm(grant.Token)
	}
	return DutyHolder{Instance: d.front.settings.Instance, Token: grant.Token}, true
}

// startTerm resets the state for a new term as the holder of the lease.
func (d *duties) startTerm(token int64) {
	f := d.front
	d.grantToken, d.reported = token, make(map[peridotusage.Window]bool)
	d.termStart = peridotclock.BootTime()
	rank := peridotlease.Rank(dutyShard, f.settings.Instance, f.peers.aliveInstances())
	d.collected = rank < collectorsAhead || !d.heldAt.IsZero() && d.termStart.Sub(d.heldAt) < holderMemory
	f.mu.Lock()
	d.firstWindow = f.tally.WindowAt(f.trueTime().Add(-f.settings.UsageReportDue - f.settings.UsageWindow))
	f.mu.Unlock()
	log.WithField("token", token).Info(logPrefix + "does the duties now")
}

// reportUsage seals and reports every usage window that has ended and settled.
func (d *duties) reportUsage(ctx context.Context, holder DutyHolder) {
	f := d.front
	now, ok := f.clock.TrueTime(peridotclock.BootTime())
	if !ok {
		return
	}
	settle := settleTime(f.peers.frontCount(), f.settings.UsageReportDue)
	if !d.collected && peridotclock.BootTime().Sub(d.termStart) < settle {
		return // The other fronts send their counts once they know that this one is the holder.
	}
	f.mu.Lock()
	current := f.tally.WindowAt(now)
	lastSettled := f.tally.WindowAt(now.Add(-settle)) - 1
	f.tally.DeleteOld(current)
	f.mu.Unlock()
	d.rewriteSeals(ctx)
	for w := max(d.firstWindow, lastSettled-reportedUsageWindows); w <= lastSettled; w++ {
		if d.reported[w] {
			continue
		}
		counts, err := d.sealWindow(ctx, w)
		if err != nil {
			f.metrics.Count("usage_seal_failures")
			log.WithError(err).WithField("window", int64(w)).Warn(logPrefix + "cannot seal usage window")
			return
		}
		if len(counts) == 0 {
			d.reported[w] = true
			continue
		}
		if _, ok := d.currentHolder(); !ok || !d.isAnnounced(w) {
			continue
		}
		if err := f.platform.ReportUsage(ctx, holder, int64(w), counts); err != nil {
			f.metrics.Count("usage_report_failures")
			log.WithError(err).WithField("window", int64(w)).Warn(logPrefix + "platform did not confirm usage report")
			return
		}
		d.reported[w] = true
		f.metrics.Count("usage_reports")
		log.WithFields(log.Fields{"window": int64(w), "counts": counts, "token": holder.Token}).Info(logPrefix + "reported usage")
	}
}

// settleTime returns how long to wait for late counts after the end of a usage
// window, given the number of fronts and the time from the end of the window until
// its report is due. At least half of the time until due is left for the report.
func settleTime(fronts int, due time.Duration) time.Duration {
	return min(max(minSettleTime, time.Duration(settleFactor*float64(usageInterval(fronts)))+settleSlack), due/2)
}
