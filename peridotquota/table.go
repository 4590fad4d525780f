package peridotquota

import (
	"math"
	"time"
)

const (
	// startLevel is what an account has left when an instance starts, as a share of the
	// burst, and startRate what becomes free from then on, as a share of the rate, until a
	// window has passed or another instance tells what is left: what was used before the
	// start is not known. They suffice for an account whose usual use is half of its rate.
	startLevel = 0.3
	startRate  = 0.8
	// startMargin is what all instances admit, as a share of the burst, until they hear of
	// each other after a start of all.
	startMargin = 0.2
	// burstShare is the share of the tolerated excess by which an instance exceeds the limit
	// of a window: what the window allows must not be refused. toleranceShare is that on
	// which the reserve may count.
	burstShare     = 0.6
	toleranceShare = 0.3
	// fullShareInterval is the time between two reports of an instance from which on the
	// share is less: the instances admit more without knowing of each other.
	fullShareInterval = 400 * time.Millisecond
	// minReserve and maxReserve bound the reserve as a share of the burst.
	minReserve = 0.05
	maxReserve = 1.0
	// unseenFactor is the ratio of the use that the reserve allows for to the demand of the
	// other instances in the time between two of their reports.
	unseenFactor = 1.0
	// defaultWindow is the window of a Tolerance without one.
	defaultWindow = 8 * time.Second
	// defaultInterval is the time between two reports before any has been observed.
	defaultInterval = 300 * time.Millisecond
	// levelTime is the time in which the instances use up what is left of the limit, and
	// what becomes free meanwhile.
	levelTime = time.Second
	// slots is the number of parts of a window whose use is counted together. One more is
	// counted than the window has: a request runs some time after it was admitted.
	slots = 32
	// minDemandShare is the least demand of an instance as a share of the mean, so that one
	// without requests can begin.
	minDemandShare = 0.05
	// creditTime is the time whose part of the rate an instance may save up.
	creditTime = 500 * time.Millisecond
	// demandTime is the time constant of the moving average of a demand.
	demandTime = 500 * time.Millisecond
	// silenceTime is how long an instance from which no report comes is expected to go on
	// as before. One that is cut off from the others may serve its callers meanwhile.
	silenceTime = 5 * time.Second
	// aloneTime is how long no other instance may be heard before this one takes itself for
	// cut off, and expects all others to go on until they are forgotten.
	aloneTime = time.Second
	// joinTime is the time since the start within which the totals of other instances are
	// taken to be from before it.
	joinTime = 2 * time.Second
	// maxRetryAfter limits the time after which a caller is told to come back.
	maxRetryAfter = 30 * time.Second
)

// Limit is the limit of a client account for all instances together, in requests or tokens.
type Limit struct {
	// Rate is what the account may use in a second; 0 means that it has no limit.
	Rate float64
	// Burst is what it may use at once beyond that.
	Burst float64
}

// Tolerance says how far the use of an account in any Window may exceed Rate x Window +
// Burst: by the share Excess of that, and Slack more. A Window of 0 or less means 8 s.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Usage is what an instance reports of one account.
type Usage struct {
	Account string
	// Total is what it has admitted since its start. It falls if a request that was
	// admitted did not run.
	Total float64
	// Demand is what callers ask of it in a second, admitted or not.
	Demand float64
	// Level is what it takes to be left of the limit, if Report.HasLevels is set.
	Level float64
}

// Report is what an instance tells the others.
type Report struct {
	// Start identifies the start of the instance; a total of another start is a new one.
	Start  uint64
	Usages []Usage
	// HasLevels is set if the instance knows what was used in the window of all Usages: it has
	// run for that long, or another one has told it.
	HasLevels bool
}

// Table counts the use of all accounts. Use NewTable to create one. It is not safe for
// concurrent use.
type Table struct {
	tolerance Tolerance
	accounts  map[string]*account
	// peers contains, by instance, when its last report came and its Report.Start.
	peers map[string]*peer
	// interval is the moving average of the time between two reports of an instance.
	interval time.Duration
	// start is the time of the first call.
	start    time.Duration
	hasStart bool
}

type peer struct {
	heardAt time.Duration
	start   uint64
	// previousStart is the start before that, if hasRestarted is set.
	previousStart uint64
	hasRestarted  bool
}

// account counts the use of one account.
type account struct {
	limit Limit
	// size is what all instances may admit in a window.
	size float64
	// peak is the largest size that was in force in the last window, until peakAt. It is set
	// when the limit changes.
	peak   float64
	peakAt time.Duration
	// startSlot is the slot of window that holds what was used before the start. Once
	// another instance has told what is left, knowsPast is set.
	startSlot int64
	knowsPast bool
	// window is what they are estimated to have admitted in it until updatedAt.
	window window
	// credit is what this instance may use of its own part; it may be negative.
	credit    float64
	updatedAt time.Duration
	// total and demand are those of Usage; demandAt is when demand was computed.
	total, demand float64
	demandAt      time.Duration
	// reportedTotal is the total in the last report.
	reportedTotal float64
	// others contains what the other instances have reported.
	others map[string]*usage
}

// usage is what another instance has reported of an account.
type usage struct {
	total, demand float64
	// rate is what it admitted in a second between its last two reports, and expected what
	// was deducted for the time since the last one.
	rate, expected float64
	// reportedAt is the time of the last report, and expectedUntil the end of the time since
	// then for which expected was deducted.
	reportedAt, expectedUntil time.Duration
}

// NewTable returns a table without limits.
func NewTable(tolerance Tolerance) *Table {
	if tolerance.Window < slots {
		tolerance.Window = defaultWindow
	}
	return &Table{tolerance: tolerance, accounts: make(map[string]*account), peers: make(map[string]*peer), interval: defaultInterval}
}

// of returns the use beyond a limit that is tolerated in a window.
func (t Tolerance) of(l Limit) float64 {
	return t.Excess*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
}

// sizeOf returns what all instances may admit in a window.
func (t *Table) sizeOf(l Limit) float64 {
	share := burstShare * min(1, fullShareInterval.Seconds()/max(t.interval, time.Millisecond).Seconds())
	return l.Rate*t.tolerance.Window.Seconds() + l.Burst + share*t.tolerance.of(l)
}

// SetLimits replaces the limits. If the limit of an account is lowered, what it has used
// counts in proportion, and in full once it is raised again.
func (t *Table) SetLimits(now time.Duration, limits map[string]Limit) {
	t.begin(now)
	for name, a := range t.accounts {
		if limits[name].Rate <= 0 {
			delete(t.accounts, name)
			continue
		}
		t.advance(now, a)
		if next := limits[name]; next != a.limit {
			size := t.sizeOf(next)
			if a.size >= a.peak || now-a.peakAt > t.tolerance.Window+2*a.window.slot {
				a.peak, a.peakAt = a.size, now
			}
			a.window.scale(min(1, size/max(a.peak, 1)))
			a.credit = min(a.credit, 0)
			a.limit, a.size = next, size
		}
	}
	for name, l := range limits {
		if l.Rate > 0 && t.accounts[name] == nil {
			a := &account{limit: l, size: t.sizeOf(l), updatedAt: now, demandAt: now, others: make(map[string]*usage)}
			a.window.slot = t.tolerance.Window / slots
			a.startSlot = a.window.fill(now, startRate*l.Rate*a.window.slot.Seconds(), t.cap(a, 0)-startLevel*l.Burst)
			t.accounts[name] = a
		}
	}
}

// begin sets the start of the table.
func (t *Table) begin(now time.Duration) {
	if !t.hasStart {
		t.start, t.hasStart = now, true
	}
}

// HasLimits reports whether any account has a limit.
func (t *Table) HasLimits() bool {
	return len(t.accounts) > 0
}

// Take admits a request of an account with the given cost, or returns the time after which
// the account has room for it.
func (t *Table) Take(now time.Duration, name string, cost float64) (ok bool, retryAfter time.Duration) {
	a := t.accounts[name]
	if a == nil {
		return true, 0
	}
	t.advance(now, a)
	a.addDemand(now, cost)
	if t.level(a)-cost < t.reserve(a) && a.credit <= 0 {
		return false, t.untilCredit(now, a, cost)
	}
	a.use(cost)
	return true, 0
}

// Return takes back what Take admitted at takenAt for a request that did not run. What has
// left the window meanwhile must not make room for other requests.
func (t *Table) Return(now time.Duration, name string, cost float64, takenAt time.Duration) {
	if a := t.accounts[name]; a != nil {
		t.advance(now, a)
		a.window.change(int64(takenAt/a.window.slot), -cost)
		a.credit += cost
		a.total -= cost
	}
}

// cap returns what all instances may admit in a time that is shorter than the window. If all
// instances are killed after it, they admit startLevel, startMargin and startRate in the rest
// of the window, and the sum must not exceed the limit.
func (t *Table) cap(a *account, in time.Duration) float64 {
	return a.size - (startLevel+startMargin)*a.limit.Burst - startRate*a.limit.Rate*max(0, t.tolerance.Window-in).Seconds()
}

// room returns what is left of the limit, which is negative if it is overdrawn, and what
// becomes free in levelTime.
func (t *Table) room(a *account) (level, freed float64) {
	level, freed = a.size-a.window.sum, a.window.expiring(levelTime)
	used := 0.0
	for age := range int64(slots) {
		used += a.window.at(age)
		if left := t.cap(a, time.Duration(age)*a.window.slot) - used; left < level {
			level, freed = left, startRate*a.limit.Rate*levelTime.Seconds()
		}
	}
	return level, freed
}

// level returns what is left of the limit.
func (t *Table) level(a *account) float64 {
	level, _ := t.room(a)
	return level
}

func (a *account) use(cost float64) {
	a.window.add(cost)
	a.credit -= cost
	a.total += cost
}

// reserve returns the level below which this instance admits only its own
// part: what the others may have admitted since their last reports, beyond what is tolerated.
func (t *Table) reserve(a *account) float64 {
	demand := 0.0
	for _, u := range a.others {
		demand += u.demand
	}
	reserve := unseenFactor*demand*t.interval.Seconds() - toleranceShare*t.tolerance.of(a.limit)
	return min(max(reserve, minReserve*a.limit.Burst), maxReserve*a.limit.Burst)
}

// advance brings an account up to date: what has left the window is free again, less what
// the other instances are expected to have admitted.
func (t *Table) advance(now time.Duration, a *account) {
	if now <= a.updatedAt {
		return
	}
	seconds := (now - a.updatedAt).Seconds()
	a.window.advance(now)
	a.size = t.sizeOf(a.limit)
	expected := t.expectedFor(now)
	for _, u := range a.others {
		until := min(now, u.reportedAt+expected)
		from := max(a.updatedAt, u.reportedAt)
		if dt := (until - from).Seconds(); dt > 0 && u.rate > 0 {
			a.window.spread(from, until, u.rate*dt)
			u.expected += u.rate * dt
			u.expectedUntil = until
		}
	}
	part := t.part(now, a)
	a.credit = min(a.credit+part*seconds, part*creditTime.Seconds())
	a.updatedAt = now
}

// expectedFor returns how long a silent instance is expected to go on.
func (t *Table) expectedFor(now time.Duration) time.Duration {
	for _, p := range t.peers {
		if now-p.heardAt <= aloneTime+3*t.interval {
			return silenceTime
		}
	}
	return time.Hour // Until Forget.
}

// part returns the rate that this instance may admit below the reserve.
func (t *Table) part(now time.Duration, a *account) float64 {
	level, freed := t.room(a)
	rate := max(0, level+freed) / levelTime.Seconds()
	own, sum, n := a.demandAtTime(now), 0.0, 1
	expected := t.expectedFor(now)
	for name, p := range t.peers {
		if now-p.heardAt > expected {
			continue
		}
		n++
		if u := a.others[name]; u != nil {
			sum += u.demand
		}
	}
	sum += own
	if sum <= 0 {
		return rate / float64(n)
	}
	least := minDemandShare * sum / float64(n)
	return rate * (own + least) / (sum + least*float64(n))
}

// untilCredit returns the time until this instance may admit a request of the given cost
// again. All that was used has left the window after its length; only a request that is
// larger than what an account without any use has left may have to wait longer.
func (t *Table) untilCredit(now time.Duration, a *account, cost float64) time.Duration {
	wait := a.window.untilFree(a.window.sum - a.size)
	if level := t.level(a); level < 0 {
		wait = max(wait, retryTime(-level/(startRate*a.limit.Rate)))
	}
	if part := t.part(now, a); part > 0 {
		wait = max(wait, retryTime(-a.credit/part))
	}
	if t.cap(a, 0)-cost >= t.reserve(a) {
		wait = min(wait, time.Duration(len(a.window.used))*a.window.slot)
	}
	return min(wait.Truncate(time.Millisecond)+time.Millisecond, maxRetryAfter)
}

// retryTime converts seconds to a time of at most maxRetryAfter: a small rate gives more than
// a time.Duration can hold.
func retryTime(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// addDemand counts a request in the demand.
func (a *account) addDemand(now time.Duration, cost float64) {
	a.demand = a.demandAtTime(now) + cost/demandTime.Seconds()
	a.demandAt = now
}

// demandAtTime returns the demand, which decays while no request comes.
func (a *account) demandAtTime(now time.Duration) float64 {
	if now <= a.demandAt {
		return a.demand
	}
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandTime.Seconds())
}
