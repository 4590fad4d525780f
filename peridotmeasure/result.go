package peridotmeasure

import (
	"math"
	"time"

	"peridotstack/peridotverdict"
)

// Result holds the measurements of one policy on one trace.
type Result struct {
	Profile  string
	Scenario string
	Policy   string
	Baseline bool
	Seed     uint64
	// Arrivals counts all requests, and Settled those with exactly one outcome.
	// Both must be the same.
	Arrivals int
	Settled  int
	// InTime, Late, Refused, Failed and GaveUp count the model requests after the
	// warm-up by their outcomes. Cut counts those of Failed whose answers ended
	// after the first token.
	InTime  int
	Late    int
	Refused int
	Failed  int
	Cut     int
	GaveUp  int
	// CallsInTime and CallsFailed count the calls to the plain service.
	CallsInTime int
	CallsFailed int
	// Goodput is the number of answers in time per second.
	Goodput float64
	// OfBound is Goodput divided by the upper bound.
	OfBound float64
	// OfBestBaseline is Goodput divided by that of the best baseline; 0 if not
	// set.
	OfBestBaseline float64
	// OfPlain is Goodput divided by that of the better of round robin and least
	// outstanding requests; 0 if not set.
	OfPlain float64
	// FirstP95 is the 95th percentile of the time to first token, and GapP95 that
	// of the time between two tokens.
	FirstP95    time.Duration
	GapP95      time.Duration
	RoleChanges int
	// MostMoves is the largest number of role changes of one engine between two
	// shifts of the scenario.
	MostMoves int
	// WorstShare is the smallest fraction that an account, WorstAccount, got of
	// its fair share, and MeanShare the mean of these fractions over all accounts.
	// An account gets the work of its answers in time.
	WorstShare   float64
	WorstAccount string
	MeanShare    float64
	// WorstOther is WorstShare among the accounts that don't flood.
	WorstOther float64
	// Cost is the cost of all servers, and CostPerThousand that of 1,000 answers
	// in time.
	Cost            float64
	CostPerThousand float64
	// Refusals counts the refusals of the admission by their codes.
	Refusals map[peridotverdict.Code]int
	// Faults describes violated invariants: answers that are too short, doubled or
	// mixed up, calls that ran twice, and refusals that report a call as not run
	// although it ran. There must be none.
	Faults []string
}

func (s *simulation) result(trace []Record) Result {
	t := s.tally
	r := Result{
		Profile:     s.profile.Name,
		Scenario:    s.scenario.Name,
		Policy:      s.policy.Name,
		Baseline:    s.policy.Baseline,
		Arrivals:    t.arrivals,
		Settled:     t.settled,
		InTime:      t.requestCounts[outcomeInTime],
		Late:        t.requestCounts[outcomeLate],
		Refused:     t.requestCounts[outcomeRefused],
		Failed:      t.requestCounts[outcomeFailed],
		Cut:         t.interrupted,
		GaveUp:      t.requestCounts[outcomeGaveUp],
		CallsInTime: t.callCounts[outcomeInTime],
		CallsFailed: t.callCounts[outcomeFailed],
		Goodput:     float64(t.requestCounts[outcomeInTime]) / (arrivalDuration - warmUp).Seconds(),
		FirstP95:    t.firstTokenP95(),
		GapP95:      t.tokenGapP95(),
		RoleChanges: s.fleetManager.roleChanges,
		MostMoves:   s.fleetManager.maxChanges,
		Cost:        s.fleetManager.cost,
		Refusals:    s.refusals,
		Faults:      t.faults,
	}
	r.CostPerThousand = 1000 * r.Cost / float64(max(1, r.InTime))
	limit := computeUpperBound(s.profile, s.scenario, trace)
	r.OfBound = float64(r.InTime) / limit.answersInTime
	r.setShares(s.profile, s.scenario, t.inTimeWork, limit.fairShares)
	return r
}

// setShares sets the fields that compare the work of the accounts' answers in
// time with their fair shares, both in engine-seconds.
func (r *Result) setShares(p Profile, s Scenario, inTimeWork, fairShares map[string]float64) {
	r.WorstShare, r.WorstOther = math.Inf(1), math.Inf(1)
	for i, c := range p.Accounts {
		if fairShares[c.Name] == 0 {
			continue
		}
		share := inTimeWork[c.Name] / fairShares[c.Name]
		r.MeanShare += share / float64(len(p.Accounts))
		if share < r.WorstShare {
			r.WorstShare, r.WorstAccount = share, c.Name
		}
		if !s.accountFloods(i) {
			r.WorstOther = min(r.WorstOther, share)
		}
	}
}

// RunAll runs all policies on one trace in parallel, compares them, and returns
// their results in the order of Policies.
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

// compare sets the fields that compare each result with the baselines.
func compare(policies []Policy, results []Result) {
	best, simple := 0.0, 0.0
	for i, r := range results {
		if r.Baseline {
			best = max(best, r.Goodput)
		}
		if _, ok := policies[i].Choice.(routed); !ok {
			simple = max(simple, r.Goodput)
		}
	}
	for i := range results {
		r := &results[i]
		if best > 0 {
			r.OfBestBaseline = r.Goodput / best
		}
		if simple > 0 {
			r.OfPlain = r.Goodput / simple
		}
	}
}
