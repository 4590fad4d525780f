package peridotplanner

import (
	"cmp"
	"slices"
	"time"

	"peridotstack/peridotconfig"
)

// workRate is the rate at which prefill and decode work arrive. The unit is
// tokens per second or, as returned by toEngines, fully busy engines.
type workRate struct {
	prefill float64
	decode  float64
}

func (w workRate) total() float64 { return w.prefill + w.decode }

// prefillShare returns the part of the work that is prefill.
func (w workRate) prefillShare() float64 {
	if w.total() == 0 {
		return 0
	}
	return w.prefill / w.total()
}

// capacity is the number of engines by role. A Mixed engine adds the model's
// MixedShare to mixed, not 1.
type capacity struct {
	prefill float64
	decode  float64
	mixed   float64
}

// completedShare returns the part of the work w, in engines, that is completed
// if no engine exceeds the given utilization.
func (c capacity) completedShare(w workRate, targetUtilization float64) float64 {
	share := 1.0
	if w.prefill > 0 {
		share = min(share, targetUtilization*(c.prefill+c.mixed)/w.prefill)
	}
	if w.decode > 0 {
		share = min(share, targetUtilization*(c.decode+c.mixed)/w.decode)
	}
	if w.total() > 0 {
		share = min(share, targetUtilization*(c.prefill+c.decode+c.mixed)/w.total())
	}
	return share
}

// add adds an engine with the given model and role.
func (c *capacity) add(m Model, role peridotconfig.Role) {
	switch role {
	case peridotconfig.Prefill:
		c.prefill++
	case peridotconfig.Decode:
		c.decode++
	default:
		c.mixed += m.MixedShare
	}
}

// capacityAt returns the capacity of the engines of a model that take requests
// at the given time.
func (f *Fleet) capacityAt(m Model, at time.Duration) capacity {
	var c capacity
	for i := range f.Engines {
		if e := &f.Engines[i]; e.Model == m.Name && e.availableAt(at) {
			c.add(m, e.Role)
		}
	}
	return c
}

func (e *Engine) availableAt(at time.Duration) bool {
	switch e.State {
	case Serving:
		return true
	case Leaving, Down:
		return false
	}
	return e.AvailableAt <= at
}

// upcomingEngine is an engine that will take requests from availableAt on.
type upcomingEngine struct {
	availableAt time.Duration
	role        peridotconfig.Role
}

// upcomingEngines returns the engines of a model that do not yet take requests
// but will within the horizon, in the order in which they become available.
func (f *Fleet) upcomingEngines(m Model, now, horizon time.Duration) []upcomingEngine {
	var list []upcomingEngine
	for i := range f.Engines {
		e := &f.Engines[i]
		if e.Model != m.Name || e.availableAt(now) || !e.availableAt(now+horizon) {
			continue
		}
		list = append(list, upcomingEngine{availableAt: e.AvailableAt, role: e.Role})
	}
	slices.SortStableFunc(list, func(a, b upcomingEngine) int { return cmp.Compare(a.availableAt, b.availableAt) })
	return list
}

// forecast returns the work of a model, in engine-seconds, that is completed
// from now until the end of the horizon. It assumes that the demand stays at d
// and that engines arrive and leave as planned.
func (f *Fleet) forecast(m Model, d demand, now, horizon time.Duration, targetUtilization float64) completedWork {
	c := f.capacityAt(m, now)
	var total completedWork
	at := now
	for _, next := range f.upcomingEngines(m, now, horizon) {
		total.add(c, d, targetUtilization, next.availableAt-at)
		c.add(m, next.role)
		at = next.availableAt
	}
	total.add(c, d, targetUtilization, now+horizon-at)
	return total
}

// completedWork is completed work in engine-seconds, for the demand as measured
// with the fast and the slow window.
type completedWork struct {
	fast float64
	slow float64
}

// add adds the work that an engine capacity c completes of the demand d in a
// period of the given length.
func (w *completedWork) add(c capacity, d demand, targetUtilization float64, length time.Duration) {
	w.fast += c.completedShare(d.fast, targetUtilization) * d.fast.total() * length.Seconds()
	w.slow += c.completedShare(d.slow, targetUtilization) * d.slow.total() * length.Seconds()
}
