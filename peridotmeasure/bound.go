package peridotmeasure

import (
	"time"
)

// boundInterval is the time for which the upper bound keeps each assignment of
// roles.
const boundInterval = 30 * time.Second

// work is an amount of prefill and decode work in engine-seconds.
type work struct {
	prefill float64
	decode  float64
}

func (w work) total() float64 { return w.prefill + w.decode }

// work returns the work of a request whose shared prefix is cached.
func (p Profile) work(r *Record) work {
	return work{
		prefill: float64(r.PromptTokens-r.SharedTokens) / p.Engine.PrefillTokensPerSecond,
		decode:  float64(r.OutputTokens) / p.Engine.decodeTokensPerSecond(),
	}
}

// upperBound holds the best possible results of a policy that knows all arrivals
// in advance.
type upperBound struct {
	// answersInTime is the number of answers within their deadlines.
	answersInTime float64
	// fairShares maps each account to its fair share in engine-seconds.
	fairShares map[string]float64
}

// intervalWork is the work that arrives in one interval.
type intervalWork struct {
	requests float64
	work     work
	// byAccount maps each account to its work in engine-seconds.
	byAccount map[string]float64
}

// computeUpperBound returns the upper bound for a trace. In each interval it
// knows the arrivals and assigns whole engines to the roles in the best way.
// Role changes cost nothing, and every shared prefix is cached.
//
// If the engines' time doesn't suffice for all arrivals of an interval, the same
// fraction of each kind of request is answered in time and the others are lost.
// The bound therefore ignores work that a queue carries over to the next
// interval. Engines of a failed domain don't count. Engines that can be ordered
// count from the time at which an order of the first second could have been
// delivered.
func computeUpperBound(p Profile, s Scenario, trace []Record) upperBound {
	b := upperBound{fairShares: make(map[string]float64)}
	for from := warmUp; from < arrivalDuration; from += boundInterval {
		w := workBetween(p, trace, from, from+boundInterval)
		fraction := bestFraction(w.work, p.enginesAt(s, from), boundInterval.Seconds())
		b.answersInTime += fraction * w.requests
		addFairShares(p, w.byAccount, fraction*w.work.total(), b.fairShares)
	}
	return b
}

// workBetween returns the work of the model requests that arrive in [from, to).
func workBetween(p Profile, trace []Record, from, to time.Duration) intervalWork {
	w := intervalWork{byAccount: make(map[string]float64)}
	for i := range trace {
		r := &trace[i]
		if r.Model == "" || r.At < from || r.At >= to {
			continue
		}
		needed := p.work(r)
		w.requests++
		w.work.prefill += needed.prefill
		w.work.decode += needed.decode
		w.byAccount[r.Account] += needed.total()
	}
	return w
}

// bestFraction returns the fraction of the work that the best assignment of
// engines to roles completes in the given time.
func bestFraction(w work, engines int, seconds float64) float64 {
	best := 0.0
	for prefill := 1; prefill < engines; prefill++ {
		fraction := min(1, float64(prefill)*seconds/w.prefill, float64(engines-prefill)*seconds/w.decode)
		best = max(best, fraction)
	}
	return best
}

// enginesAt returns the largest number of engines that can be available at a
// time.
func (p Profile) enginesAt(s Scenario, at time.Duration) int {
	n := p.Engines
	if at >= s.deliveryTime() {
		n = p.MaxEngines
	}
	for _, e := range s.Events {
		d, ok := e.(DomainOutage)
		if !ok || at < d.At || at >= d.Until {
			continue
		}
		for i := range p.Engines {
			if i%len(p.Domains) == d.Domain {
				n--
			}
		}
	}
	return n
}

// addFairShares adds to fairShares each account's share of the capacity by
// weighted max-min fairness: an account gets at most its demand, and the other
// accounts share what it leaves by their weights. Demand, capacity and shares
// are in engine-seconds.
func addFairShares(p Profile, demand map[string]float64, capacity float64, fairShares map[string]float64) {
	unsatisfied := make([]Customer, 0, len(p.Accounts))
	for _, c := range p.Accounts {
		if demand[c.Name] > 0 {
			unsatisfied = append(unsatisfied, c)
		}
	}
	for len(unsatisfied) > 0 {
		weight := 0.0
		for _, c := range unsatisfied {
			weight += float64(c.Weight)
		}
		var stillUnsatisfied []Customer
		granted := 0.0
		for _, c := range unsatisfied {
			if demand[c.Name] <= capacity*float64(c.Weight)/weight {
				fairShares[c.Name] += demand[c.Name]
				granted += demand[c.Name]
			} else {
				stillUnsatisfied = append(stillUnsatisfied, c)
			}
		}
		if len(stillUnsatisfied) == len(unsatisfied) {
			for _, c := range stillUnsatisfied {
				fairShares[c.Name] += capacity * float64(c.Weight) / weight
			}
			return
		}
		capacity -= granted
		unsatisfied = stillUnsatisfied
	}
}
