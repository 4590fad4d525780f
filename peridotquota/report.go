package peridotquota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minNews is the use since the last report from which on an account is reported, as a
	// share of its burst.
	minNews = 0.005
	// smoothing is the weight of a new observation of another instance's rate.
	smoothing = 0.5
	// intervalSmoothing is that of a new observation of the time between two reports.
	intervalSmoothing = 0.02
	// maxUsage limits what is believed of another instance's total and demand.
	maxUsage = 1e15
)

// Report returns what the other instances have to know of this one: of at most limit
// accounts, those whose use has changed most, or all that were ever used if all is set.
func (t *Table) Report(now time.Duration, start uint64, limit int, all bool) Report {
	t.begin(now)
	r := Report{Start: start, HasLevels: true}
	news := func(a *account) float64 { return math.Abs(a.total-a.reportedTotal) / max(a.limit.Burst, 1) }
	var names []string
	for name, a := range t.accounts {
		if news(a) >= minNews || all && a.total != 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(news(t.accounts[b]), news(t.accounts[a])), cmp.Compare(a, b))
	})
	for _, name := range names[:min(limit, len(names))] {
		a := t.accounts[name]
		t.advance(now, a)
		a.reportedTotal = a.total
		r.HasLevels = r.HasLevels && (a.knowsPast || now-t.start >= t.tolerance.Window)
		r.Usages = append(r.Usages, Usage{Account: name, Total: a.total, Demand: a.demandAtTime(now), Level: t.level(a)})
	}
	return r
}

// Observe applies the report of another instance. Every report counts as a sign of
// life, except one from before the instance's last restart, which is ignored.
func (t *Table) Observe(now time.Duration, instance string, r Report) {
	t.begin(now)
	p := t.peers[instance]
	isNew := p == nil
	if isNew {
		p = &peer{start: r.Start}
		t.peers[instance] = p
	}
	hasRestarted := p.start != r.Start
	if hasRestarted && p.hasRestarted && p.previousStart == r.Start {
		return // Sent before the restart, and delayed.
	}
	if !isNew && !hasRestarted {
		t.interval += time.Duration(intervalSmoothing * float64(min(now-p.heardAt, silenceTime)-t.interval))
	}
	if hasRestarted {
		p.previousStart, p.hasRestarted = p.start, true
		t.restartTotals(now, instance)
	}
	p.heardAt, p.start = now, r.Start
	for _, u := range r.Usages {
		if a := t.accounts[u.Account]; a != nil && isPlausible(u) {
			t.advance(now, a)
			if r.HasLevels && now-t.start < t.tolerance.Window {
				t.adoptLevel(a, u.Level)
			}
			a.observe(now, t.interval, t.tolerance.Window, instance, u, isNew && now-t.start < joinTime)
		}
	}
	if !isNew {
		t.correctUnreported(now, instance, r)
	}
}

// restartTotals sets what another instance has reported of all accounts to 0, including those
// that its first report after a restart does not name.
func (t *Table) restartTotals(now time.Duration, instance string) {
	for _, a := range t.accounts {
		if u := a.others[instance]; u != nil {
			t.advance(now, a)
			u.total, u.rate = 0, 0
		}
	}
}

// adoptLevel sets what is left of a limit to what another instance tells that has run for
// longer, less what this one has admitted since its start.
func (t *Table) adoptLevel(a *account, level float64) {
	if a.knowsPast || !(math.Abs(level) <= maxUsage) {
		return
	}
	a.knowsPast = true
	a.window.change(a.startSlot, t.level(a)-(level-a.total))
}

// ObserveSilence records that another instance has reported no use.
func (t *Table) ObserveSilence(now time.Duration, instance string) {
	if p := t.peers[instance]; p != nil {
		p.heardAt = now
		t.correctUnreported(now, instance, Report{})
	}
}

// correctUnreported takes the accounts that are missing in a report as not used since the
// last one. Those that were left out for want of room are corrected by the next one.
func (t *Table) correctUnreported(now time.Duration, instance string, r Report) {
	for name, a := range t.accounts {
		u := a.others[instance]
		if u == nil || slices.ContainsFunc(r.Usages, func(reported Usage) bool { return reported.Account == name }) {
			continue
		}
		t.advance(now, a)
		a.correct(now, t.interval, u, u.total)
	}
}

// isPlausible reports whether the numbers can be reckoned with.
func isPlausible(u Usage) bool {
	return u.Total >= -maxUsage && u.Total <= maxUsage && u.Demand >= 0 && u.Demand <= maxUsage
}

// observe applies what another instance reports of the account. wasBefore is set if its
// total is from before the start of this instance.
func (a *account) observe(now, interval, window time.Duration, instance string, reported Usage, wasBefore bool) {
	u := a.others[instance]
	if u == nil {
		// The total may be hours old, as after a partition. In the window the instance has
		// admitted at most about what is asked of it.
		recent := reported.Demand * window.Seconds()
		if wasBefore {
			recent = 0
		}
		u = &usage{reportedAt: now, total: min(reported.Total, max(0, reported.Total-recent))}
		a.others[instance] = u
	}
	u.demand = reported.Demand
	a.correct(now, interval, u, reported.Total)
}

// correct replaces what another instance was expected to have admitted by what it has.
// interval is the usual time between two reports: what a delayed one tells was not admitted
// in the short time until the next.
func (a *account) correct(now, interval time.Duration, u *usage, total float64) {
	used := total - u.total
	a.window.add(used)
	// Taken from the slots that it is in: what has left the window must not be taken again.
	a.window.spread(u.reportedAt, u.expectedUntil, -u.expected)
	if now > u.reportedAt {
		u.rate += (max(0, used)/max(now-u.reportedAt, interval).Seconds() - u.rate) * smoothing
		u.reportedAt = now
	}
	u.total, u.expected = total, 0
}

// Forget removes the instances from which no report has come for a while. What they
// admitted before stays deducted.
func (t *Table) Forget(now, after time.Duration) {
	for name, p := range t.peers {
		if now-p.heardAt <= after {
			continue
		}
		delete(t.peers, name)
		for _, a := range t.accounts {
			delete(a.others, name)
		}
	}
}

// State is what an operator may see of an account.
type State struct {
	// Level is what is left of the limit, as a share of the burst.
	Level float64
	// IsStrict is set while this instance admits only its own part.
	IsStrict bool
}

// State returns the state of an account. It returns false if the account has no limit.
func (t *Table) State(now time.Duration, name string) (State, bool) {
	a := t.accounts[name]
	if a == nil {
		return State{}, false
	}
	t.advance(now, a)
	return State{Level: t.level(a) / max(a.limit.Burst, 1), IsStrict: t.level(a) < t.reserve(a)}, true
}
