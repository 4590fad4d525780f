package peridotplace

import (
	"slices"

	"peridotstack/peridotsite"
)

const (
	// defaultTokensPerMilli is the number of prompt tokens that a prefill engine is assumed
	// to read in a millisecond before one has been measured.
	defaultTokensPerMilli = 300.0
	// decodePrefillFactor is the assumed prefill time of an engine that also decodes,
	// relative to that of a prefill engine, while only one of the two has been measured.
	decodePrefillFactor = 2.0
	// maxSpeedSamples is the number of most recent prefills whose median is the speed.
	maxSpeedSamples = 31
	// minSpeedSamples is the number of prefills from which on an engine is compared with
	// the others of its kind.
	minSpeedSamples = 5
)

// speedKey identifies engines that are assumed to read prompts at one speed: those of a
// service that do only prefills, or all others of the service.
type speedKey struct {
	service string
	prefill bool
}

func speedKeyOf(b peridotsite.Backend) speedKey {
	return speedKey{b.Service, b.Role == peridotsite.Prefill}
}

// speed is the measured number of prompt tokens that engines read in a millisecond. The
// median tolerates prefills that waited for work which this instance did not know of.
type speed struct {
	// samples holds the speeds of the last prefills, the oldest one at next once there are
	// maxSpeedSamples.
	samples []float64
	next    int
	// median is the median of samples.
	median float64
}

// observe records the speed of a prefill.
func (v *speed) observe(tokensPerMilli float64) {
	if len(v.samples) < maxSpeedSamples {
		v.samples = append(v.samples, tokensPerMilli)
	} else {
		v.samples[v.next] = tokensPerMilli
		v.next = (v.next + 1) % maxSpeedSamples
	}
	sorted := slices.Sorted(slices.Values(v.samples))
	v.median = sorted[len(sorted)/2]
}

// isMeasured reports whether a prefill has been observed.
func (v *speed) isMeasured() bool {
	return v != nil && len(v.samples) > 0
}

// isReliable reports whether enough prefills have been observed to compare one engine
// with the others.
func (v *speed) isReliable() bool {
	return len(v.samples) >= minSpeedSamples
}

// speedOf returns the speed of the engines of a key, which may not be measured yet.
func (p *Placer) speedOf(key speedKey) *speed {
	v := p.speeds[key]
	if v == nil {
		v = &speed{}
		p.speeds[key] = v
	}
	return v
}

// isMeasured reports whether the speed of any engine of a service has been measured.
func (p *Placer) isMeasured(service string) bool {
	return p.speeds[speedKey{service, true}].isMeasured() || p.speeds[speedKey{service, false}].isMeasured()
}

// tokensPerMilli returns the estimated number of prompt tokens that the engines of a key
// read in a millisecond.
func (p *Placer) tokensPerMilli(key speedKey) float64 {
	return p.kindSpeedOf(key).tokensPerMilli()
}

// kindSpeed is the speed of one kind of the engines of a service, and that of the other kind,
// from which it is estimated while it is not measured.
type kindSpeed struct {
	own, other *speed
	prefill    bool
}

func (p *Placer) kindSpeedOf(key speedKey) kindSpeed {
	return kindSpeed{p.speedOf(key), p.speedOf(speedKey{key.service, !key.prefill}), key.prefill}
}

// tokensPerMilli returns the estimated number of prompt tokens that an engine reads in a
// millisecond.
func (k kindSpeed) tokensPerMilli() float64 {
	switch {
	case k.own.isMeasured():
		return k.own.median
	case !k.other.isMeasured() && k.prefill:
		return defaultTokensPerMilli
	case !k.other.isMeasured():
		return defaultTokensPerMilli / decodePrefillFactor
	case k.prefill:
		return k.other.median * decodePrefillFactor
	}
	return k.other.median / decodePrefillFactor
}

// estimatePrefillMillis returns the time in ms that an idle server takes to read tokens.
func (p *Placer) estimatePrefillMillis(s *server, tokens int) float64 {
	return float64(tokens) / s.kindSpeed.tokensPerMilli() * s.slowness
}
