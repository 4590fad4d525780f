package peridotplanner

import (
	"math"
	"time"
)

// minElapsed keeps the first arrivals from counting as an endless rate.
const minElapsed = time.Second

// window is a rate that forgets exponentially.
type window struct {
	length time.Duration
	begun  time.Duration
	at     time.Duration
	sum    float64
	used   bool
}

// add counts tokens that arrived at now.
func (w *window) add(now time.Duration, tokens int) {
	if !w.used {
		w.used = true
		w.begun, w.at = now, now
	}
	w.sum = w.decayed(now) + float64(tokens)
	w.at = max(w.at, now)
}

// perSecond returns the rate, corrected for a window that has not yet filled.
func (w *window) perSecond(now time.Duration) float64 {
	if !w.used {
		return 0
	}
	elapsed := max(now-w.begun, minElapsed)
	filled := -math.Expm1(-elapsed.Seconds() / w.length.Seconds())
	return w.decayed(now) / (w.length.Seconds() * filled)
}

func (w *window) decayed(now time.Duration) float64 {
	elapsed := max(now-w.at, 0)
	return w.sum * math.Exp(-elapsed.Seconds()/w.length.Seconds())
}

// rates are the arriving tokens of one model in one failure domain, seen
// through a fast and a slow window.
type rates struct {
	fastPrefill, fastOutput window
	slowPrefill, slowOutput window
}

func newRates(fast, slow time.Duration) *rates {
	return &rates{
		fastPrefill: window{length: fast},
		fastOutput:  window{length: fast},
		slowPrefill: window{length: slow},
		slowOutput:  window{length: slow},
	}
}

func (r *rates) add(now time.Duration, prefill, output int) {
	r.fastPrefill.add(now, prefill)
	r.slowPrefill.add(now, prefill)
	r.fastOutput.add(now, output)
	r.slowOutput.add(now, output)
}
