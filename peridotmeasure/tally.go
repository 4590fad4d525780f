package peridotmeasure

import (
	"cmp"
	"slices"
	"time"
)

// outcome is how a request ended for its caller.
type outcome int

const (
	// outcomeInTime is a complete answer within the deadline.
	outcomeInTime outcome = iota
	// outcomeLate is a complete answer after the deadline.
	outcomeLate
	outcomeRefused
	outcomeFailed
	// outcomeGaveUp is a caller that gave up after callerPatience beyond the
	// deadline.
	outcomeGaveUp
	outcomeCount
)

// tally counts the outcomes of requests and records their latencies. The counts
// of outcomes, the first-token times and inTimeWork leave out the requests that
// arrive during the warm-up.
type tally struct {
	profile       Profile
	arrivals      int
	settled       int
	requestCounts [outcomeCount]int
	// interrupted counts failed answers that ended after their first token.
	interrupted     int
	callCounts      [outcomeCount]int
	firstTokenTimes []time.Duration
	tokenGaps       []weightedGap
	// inTimeWork is the work of the answers in time by account, in engine-seconds.
	inTimeWork map[string]float64
	faults     []string
}

// weightedGap is a time between two tokens, in seconds, and the number of tokens
// that were generated at this pace.
type weightedGap struct {
	gap    float64
	tokens float64
}

func newTally(p Profile) *tally {
	return &tally{profile: p, inTimeWork: make(map[string]float64)}
}

func (t *tally) recordArrival(*Record) {
	t.arrivals++
}

// recordGap records a number of tokens that were generated with the given time
// between two of them, in seconds.
func (t *tally) recordGap(seconds, tokens float64) {
	t.tokenGaps = append(t.tokenGaps, weightedGap{gap: seconds, tokens: tokens})
}

func (t *tally) recordOutcome(x *exchange, o outcome) {
	t.settled++
	if x.record.At < warmUp {
		return
	}
	if x.record.Service != "" {
		t.callCounts[o]++
		return
	}
	t.requestCounts[o]++
	if o == outcomeFailed && x.passedTokens > 0 {
		t.interrupted++
	}
	if o == outcomeInTime || o == outcomeLate {
		t.firstTokenTimes = append(t.firstTokenTimes, x.firstTokenTime)
	}
	if o == outcomeInTime {
		t.inTimeWork[x.record.Account] += t.profile.work(x.record).total()
	}
}

// firstTokenP95 returns the 95th percentile of the time to first token.
func (t *tally) firstTokenP95() time.Duration {
	if len(t.firstTokenTimes) == 0 {
		return 0
	}
	slices.Sort(t.firstTokenTimes)
	return t.firstTokenTimes[len(t.firstTokenTimes)*95/100]
}

// tokenGapP95 returns the 95th percentile of the time between two tokens,
// weighted by tokens.
func (t *tally) tokenGapP95() time.Duration {
	slices.SortFunc(t.tokenGaps, func(a, b weightedGap) int { return cmp.Compare(a.gap, b.gap) })
	total := 0.0
	for _, g := range t.tokenGaps {
		total += g.tokens
	}
	sum := 0.0
	for _, g := range t.tokenGaps {
		if sum += g.tokens; sum >= 0.95*total {
			return time.Duration(g.gap * float64(time.Second))
		}
	}
	return 0
}
