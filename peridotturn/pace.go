package peridotturn

import (
	"math"
	"slices"
	"time"
)

const (
	// maxPaceAge is the age at which an observation no longer tells the present speed.
	// Servers become slow for about 600 ms at a time.
	maxPaceAge = 600 * time.Millisecond
	// paceSamples is the number of last observations whose median is the present pace.
	paceSamples = 5
	// minFreshSamples is the number of recent observations that outweigh the average. One
	// alone may be an unusual request.
	minFreshSamples = 2
	// slowWeight is the weight of an observation in the moving average.
	slowWeight = 0.1
	// paceHalfLife is the time without an observation after which the average is half as
	// far from 1, on a logarithmic scale. So a server that was slow is tried again.
	paceHalfLife = 10 * time.Second
	// minPace and maxPace bound an observation.
	minPace = 0.2
	maxPace = 8.0
)

// Pace is how long a server takes relative to what is expected: 2 means twice as long. The
// zero value has a pace of 1. It is the median of the last observations while there are
// recent ones, otherwise a moving average.
type Pace struct {
	samples [paceSamples]paceSample
	// count is the number of observations so far, of which the last is at count-1 modulo
	// paceSamples.
	count int
	// average is the logarithm of the moving average at averageAt.
	average   float64
	averageAt time.Duration
}

// paceSample is an observation.
type paceSample struct {
	at    time.Duration
	ratio float64
}

// Observe records the ratio of the observed to the expected time of a request that ended at
// now. A ratio that is not a positive finite number is ignored.
func (p *Pace) Observe(now time.Duration, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	ratio = min(max(ratio, minPace), maxPace)
	average := p.averageNow(now)
	p.average, p.averageAt = average+(math.Log(ratio)-average)*slowWeight, now
	p.samples[p.count%paceSamples] = paceSample{now, ratio}
	p.count++
}

// At returns the pace at now.
func (p *Pace) At(now time.Duration) float64 {
	var buffer [paceSamples]float64
	fresh := buffer[:0]
	for _, s := range p.samples[:min(p.count, paceSamples)] {
		if now-s.at <= maxPaceAge {
			fresh = append(fresh, s.ratio)
		}
	}
	if len(fresh) < minFreshSamples {
		return math.Exp(p.averageNow(now))
	}
	slices.Sort(fresh)
	return fresh[(len(fresh)-1)/2]
}

// averageNow returns the logarithm of the moving average at now.
func (p *Pace) averageNow(now time.Duration) float64 {
	if p.average == 0 {
		return 0
	}
	return p.average * math.Exp2(-float64(max(0, now-p.averageAt))/float64(paceHalfLife))
}
