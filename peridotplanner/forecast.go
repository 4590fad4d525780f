package peridotplanner

import (
	"slices"
	"time"

	"peridotstack/peridotconfig"
)

// need is the work that arrives, in engines kept fully busy.
type need struct {
	prefill float64
	decode  float64
}

func (n need) total() float64 { return n.prefill + n.decode }

// share returns the part of the work that is prefill.
func (n need) share() float64 {
	if n.total() == 0 {
		return 0
	}
	return n.prefill / n.total()
}

// capacity counts engines by role.
type capacity struct {
	prefill float64
	decode  float64
	mixed   float64
}

// served returns the part of the work that the engines get done while each is
// busy for at most the part target of its time.
func (c capacity) served(n need, target float64) float64 {
	part := 1.0
	if n.prefill > 0 {
		part = min(part, target*(c.prefill+c.mixed)/n.prefill)
	}
	if n.decode > 0 {
		part = min(part, target*(c.decode+c.mixed)/n.decode)
	}
	if n.total() > 0 {
		part = min(part, target*(c.prefill+c.decode+c.mixed)/n.total())
	}
	return part
}

// capacityAt counts the engines of a model that take requests at a time.
func (f *Fleet) capacityAt(m Model, at time.Duration) capacity {
	var c capacity
	for _, e := range f.Engines {
		if e.Model != m.Name || !e.availableAt(at) {
			continue
		}
		switch e.Role {
		case peridotconfig.Prefill:
			c.prefill++
		case peridotconfig.Decode:
			c.decode++
		default:
			c.mixed += m.MixedShare
		}
	}
	return c
}

func (e Engine) availableAt(at time.Duration) bool {
	switch e.State {
	case Serving:
		return true
	case Leaving, Down:
		return false
	}
	return e.AvailableAt <= at
}

// forecast returns the engine-seconds of a model's work that get done between
// now and the horizon, with arrivals and returns of engines as they are planned.
func (f *Fleet) forecast(m Model, n need, now, horizon time.Duration, target float64) float64 {
	times := []time.Duration{now, now + horizon}
	for _, e := range f.Engines {
		if e.Model == m.Name && e.AvailableAt > now && e.AvailableAt < now+horizon {
			times = append(times, e.AvailableAt)
		}
	}
	slices.Sort(times)
	done := 0.0
	for i, at := range times[:len(times)-1] {
		part := f.capacityAt(m, at).served(n, target)
		done += part * n.total() * (times[i+1] - at).Seconds()
	}
	return done
}
