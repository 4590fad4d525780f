package peridotmeasure

import (
	"cmp"
	"slices"
	"time"
)

// outcome is what a caller got.
type outcome int

const (
	// inTime answers are whole and within the deadline.
	inTime outcome = iota
	// late answers are whole.
	late
	refused
	failed
	// gaveUp callers have waited long beyond the deadline.
	gaveUp
	outcomes
)

// tally counts what callers got. Arrivals during the warm-up are not counted.
type tally struct {
	profile  Profile
	arrivals int
	settled  int
	counts   [outcomes]int
	// cut counts answers that broke off after their first token.
	cut    int
	calls  [outcomes]int
	firsts []time.Duration
	gaps   []gapWeight
	// work holds the engine-seconds of answers in time, by account.
	work   map[string]float64
	faults []string
}

// gapWeight is a number of tokens that came with one gap, in seconds.
type gapWeight struct {
	gap    float64
	tokens float64
}

func newTally(p Profile) *tally {
	return &tally{profile: p, work: make(map[string]float64)}
}

func (t *tally) arrive(*Record) {
	t.arrivals++
}

// gap counts tokens that came at one pace.
func (t *tally) gap(seconds, tokens float64) {
	t.gaps = append(t.gaps, gapWeight{gap: seconds, tokens: tokens})
}

func (t *tally) answer(x *exchange, o outcome) {
	t.settled++
	if x.record.At < warmUp {
		return
	}
	if x.record.Service != "" {
		t.calls[o]++
		return
	}
	t.counts[o]++
	if o == failed && x.passed > 0 {
		t.cut++
	}
	if o == inTime || o == late {
		t.firsts = append(t.firsts, x.first)
	}
	if o == inTime {
		t.work[x.record.Account] += t.profile.work(x.record).total()
	}
}

// firstP95 returns the time to the first token of 95 in 100 answers.
func (t *tally) firstP95() time.Duration {
	if len(t.firsts) == 0 {
		return 0
	}
	slices.Sort(t.firsts)
	return t.firsts[len(t.firsts)*95/100]
}

// gapP95 returns the gap that 95 in 100 tokens keep within.
func (t *tally) gapP95() time.Duration {
	slices.SortFunc(t.gaps, func(a, b gapWeight) int { return cmp.Compare(a.gap, b.gap) })
	total := 0.0
	for _, g := range t.gaps {
		total += g.tokens
	}
	sum := 0.0
	for _, g := range t.gaps {
		if sum += g.tokens; sum >= 0.95*total {
			return time.Duration(g.gap * float64(time.Second))
		}
	}
	return 0
}
