package peridotmeasure

import (
	"time"
)

// boundInterval is the time for which the upper bound assigns roles.
const boundInterval = 30 * time.Second

// work is engine-seconds of prefill and decode.
type work struct {
	prefill float64
	decode  float64
}

func (w work) total() float64 { return w.prefill + w.decode }

// work returns what a request needs when its shared beginning is cached.
func (p Profile) work(r *Record) work {
	return work{
		prefill: float64(r.PromptTokens-r.SharedTokens) / p.Engine.PrefillTokensPerSecond,
		decode:  float64(r.OutputTokens) / p.Engine.decodeTokensPerSecond(),
	}
}

// bound is what could be reached at most if all arrivals were known.
type bound struct {
	// inTime is the number of answers.
	inTime float64
	// entitled holds the engine-seconds of each account's fair share.
	entitled map[string]float64
}

// intervalWork is what arrives in one interval.
type intervalWork struct {
	requests  float64
	work      work
	byAccount map[string]float64
}

// boundOf assigns, for each interval and with the arrivals known, whole engines
// to the roles as is best, where a change costs nothing and every shared
// beginning is cached. The part of the arrivals that their time suffices for
// counts as answered in time; the mix of the arrivals is kept. Engines of a lost
// domain do not count. Those that can be ordered count as soon as an order of
// the first second could have been delivered. What does not fit within
// an interval is lost, so that the bound leaves out what a queue carries over.
func boundOf(p Profile, s Scenario, trace []Record) bound {
	b := bound{entitled: make(map[string]float64)}
	for from := warmUp; from < length; from += boundInterval {
		w := workBetween(p, trace, from, from+boundInterval)
		part := bestPart(w.work, p.enginesAt(s, from), boundInterval.Seconds())
		b.inTime += part * w.requests
		shareOut(p, w.byAccount, part*w.work.total(), b.entitled)
	}
	return b
}

func workBetween(p Profile, trace []Record, from, to time.Duration) intervalWork {
	w := intervalWork{byAccount: make(map[string]float64)}
	for i := range trace {
		r := &trace[i]
		if r.Model == "" || r.At < from || r.At >= to {
			continue
		}
		one := p.work(r)
		w.requests++
		w.work.prefill += one.prefill
		w.work.decode += one.decode
		w.byAccount[r.Account] += one.total()
	}
	return w
}

// bestPart returns the part of the work that the best assignment gets done.
func bestPart(w work, engines int, seconds float64) float64 {
	best := 0.0
	for prefill := 1; prefill < engines; prefill++ {
		part := min(1, float64(prefill)*seconds/w.prefill, float64(engines-prefill)*seconds/w.decode)
		best = max(best, part)
	}
	return best
}

// enginesAt counts the engines that can be there.
func (p Profile) enginesAt(s Scenario, at time.Duration) int {
	n := p.Engines
	if at >= s.delivery() {
		n = p.MaxEngines
	}
	for _, t := range s.Turns {
		d, ok := t.(DomainFails)
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

// shareOut adds to entitled each account's share of the capacity by weight,
// where what one does not ask for goes to the others.
func shareOut(p Profile, asked map[string]float64, capacity float64, entitled map[string]float64) {
	left := make([]Customer, 0, len(p.Accounts))
	for _, c := range p.Accounts {
		if asked[c.Name] > 0 {
			left = append(left, c)
		}
	}
	for len(left) > 0 {
		weight := 0.0
		for _, c := range left {
			weight += float64(c.Weight)
		}
		var unmet []Customer
		given := 0.0
		for _, c := range left {
			if asked[c.Name] <= capacity*float64(c.Weight)/weight {
				entitled[c.Name] += asked[c.Name]
				given += asked[c.Name]
			} else {
				unmet = append(unmet, c)
			}
		}
		if len(unmet) == len(left) {
			for _, c := range unmet {
				entitled[c.Name] += capacity * float64(c.Weight) / weight
			}
			return
		}
		capacity -= given
		left = unmet
	}
}
