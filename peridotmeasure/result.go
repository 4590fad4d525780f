package peridotmeasure

import (
	"math"
	"time"

	"peridotstack/peridotverdict"
)

// Result is what one policy reached on one trace.
type Result struct {
	Profile  string
	Scenario string
	Policy   string
	Baseline bool
	Seed     uint64
	// Arrivals and Settled count all requests and those that got exactly one
	// outcome; they must be the same.
	Arrivals int
	Settled  int
	// The counts below are of model requests after the warm-up. Each is in one of
	// InTime, Late, Refused, Failed and GaveUp; Cut is a part of Failed.
	InTime  int
	Late    int
	Refused int
	Failed  int
	Cut     int
	GaveUp  int
	// CallsInTime and CallsFailed count the calls to the plain service.
	CallsInTime int
	CallsFailed int
	// Goodput is answers in time a second.
	Goodput float64
	// OfBound is Goodput against the upper bound.
	OfBound float64
	// OfBestBaseline is Goodput against that of the best baseline; 0 if not set.
	OfBestBaseline float64
	// OfPlain is Goodput against the better of round robin and least outstanding
	// requests; 0 if not set.
	OfPlain     float64
	FirstP95    time.Duration
	GapP95      time.Duration
	RoleChanges int
	// MostMoves is the largest number of role changes of one engine between two
	// shifts of the scenario.
	MostMoves int
	// WorstShare is the smallest part of its fair share that an account got, in
	// the work of answers in time, and MeanShare the mean over the accounts.
	WorstShare   float64
	WorstAccount string
	MeanShare    float64
	// WorstOther is WorstShare among the accounts that do not flood.
	WorstOther float64
	// Cost is that of all servers, and CostPerThousand that of 1,000 answers in
	// time.
	Cost            float64
	CostPerThousand float64
	Refusals        map[peridotverdict.Code]int
	// Faults are broken promises: short, doubled or crossed answers, calls that
	// ran twice, refusals as not run that ran. There must be none.
	Faults []string
}

func (b *bench) result(trace []Record) Result {
	t := b.tally
	r := Result{
		Profile:     b.profile.Name,
		Scenario:    b.scenario.Name,
		Policy:      b.policy.Name,
		Baseline:    b.policy.Baseline,
		Arrivals:    t.arrivals,
		Settled:     t.settled,
		InTime:      t.counts[inTime],
		Late:        t.counts[late],
		Refused:     t.counts[refused],
		Failed:      t.counts[failed],
		Cut:         t.cut,
		GaveUp:      t.counts[gaveUp],
		CallsInTime: t.calls[inTime],
		CallsFailed: t.calls[failed],
		Goodput:     float64(t.counts[inTime]) / (length - warmUp).Seconds(),
		FirstP95:    t.firstP95(),
		GapP95:      t.gapP95(),
		RoleChanges: b.control.changes,
		MostMoves:   b.control.most,
		Cost:        b.control.spent,
		Refusals:    b.refusals,
		Faults:      t.faults,
	}
	r.CostPerThousand = 1000 * r.Cost / float64(max(1, r.InTime))
	limit := boundOf(b.profile, b.scenario, trace)
	r.OfBound = float64(r.InTime) / limit.inTime
	r.shares(b.profile, b.scenario, t.work, limit.entitled)
	return r
}

// shares compares what accounts got with what they are entitled to.
func (r *Result) shares(p Profile, s Scenario, got, entitled map[string]float64) {
	r.WorstShare, r.WorstOther = math.Inf(1), math.Inf(1)
	for i, c := range p.Accounts {
		if entitled[c.Name] == 0 {
			continue
		}
		share := got[c.Name] / entitled[c.Name]
		r.MeanShare += share / float64(len(p.Accounts))
		if share < r.WorstShare {
			r.WorstShare, r.WorstAccount = share, c.Name
		}
		if !s.floods(i) {
			r.WorstOther = min(r.WorstOther, share)
		}
	}
}

// RunAll runs all policies on one trace and compares them.
func RunAll(p Profile, s Scenario, trace []Record, seed uint64) []Result {
	policies := Policies()
	results := make([]Result, len(policies))
	done := make(chan int)
	for i := range policies {
		go func() {
			results[i] = Run(p, s, policies[i], trace, seed)
			results[i].Seed = seed
			done <- i
		}()
	}
	for range policies {
		<-done
	}
	compare(policies, results)
	return results
}

// compare fills in what results reached against the baselines.
func compare(policies []Policy, results []Result) {
	best, plain := 0.0, 0.0
	for i, r := range results {
		if r.Baseline {
			best = max(best, r.Goodput)
		}
		if _, ok := policies[i].Choice.(routed); !ok {
			plain = max(plain, r.Goodput)
		}
	}
	for i := range results {
		r := &results[i]
		if best > 0 {
			r.OfBestBaseline = r.Goodput / best
		}
		if plain > 0 {
			r.OfPlain = r.Goodput / plain
		}
	}
}
