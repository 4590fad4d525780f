package peridotplanner

import (
	"math"
	"time"
)

// minElapsed is the shortest time that a rate is computed over. It keeps the
// first arrivals from giving an unbounded rate.
const minElapsed = time.Second

// rateWindow measures a rate of tokens as an exponentially weighted moving
// average.
type rateWindow struct {
	length        time.Duration
	startedAt     time.Duration
	updatedAt     time.Duration
	decayedTokens float64
	started       bool
}

// add records tokens that arrived at now.
func (w *rateWindow) add(now time.Duration, tokens int) {
	if !w.started {
		w.started = true
		w.startedAt, w.updatedAt = now, now
	}
	w.decayedTokens = w.tokensAt(now) + float64(tokens)
	w.updatedAt = max(w.updatedAt, now)
}

// perSecond returns the rate at now, corrected for the part of the window that
// lies before the first arrival.
func (w *rateWindow) perSecond(now time.Duration) float64 {
	if !w.started {
		return 0
	}
	elapsed := max(now-w.startedAt, minElapsed)
	filled := -math.Expm1(-elapsed.Seconds() / w.length.Seconds())
	return w.tokensAt(now) / (w.length.Seconds() * filled)
}

// tokensAt returns the decayed number of tokens at now.
func (w *rateWindow) tokensAt(now time.Duration) float64 {
	elapsed := max(now-w.updatedAt, 0)
	return w.decayedTokens * math.Exp(-elapsed.Seconds()/w.length.Seconds())
}

// tokenRates holds the rates at which tokens of one model arrive in one failure
// domain, measured with a fast and a slow window.
type tokenRates struct {
	fastPrefill, fastOutput rateWindow
	slowPrefill, slowOutput rateWindow
}

func newTokenRates(fast, slow time.Duration) *tokenRates {
	return &tokenRates{
		fastPrefill: rateWindow{length: fast},
		fastOutput:  rateWindow{length: fast},
		slowPrefill: rateWindow{length: slow},
		slowOutput:  rateWindow{length: slow},
	}
}

func (r *tokenRates) add(now time.Duration, prefill, output int) {
	r.fastPrefill.add(now, prefill)
	r.slowPrefill.add(now, prefill)
	r.fastOutput.add(now, output)
	r.slowOutput.add(now, output)
}
