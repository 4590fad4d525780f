package peridotplanner

import (
	"cmp"
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

// add counts an engine of a model with a role.
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

// capacityAt counts the engines of a model that take requests at a time.
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

// coming is an engine that will take requests.
type coming struct {
	at   time.Duration
	role peridotconfig.Role
}

// comingTo lists the engines of a model that will take requests after now and
// within the horizon, in the order of their times.
func (f *Fleet) comingTo(m Model, now, horizon time.Duration) []coming {
	var list []coming
	for i := range f.Engines {
		e := &f.Engines[i]
		if e.Model != m.Name || e.availableAt(now) || !e.availableAt(now+horizon) {
			continue
		}
		list = append(list, coming{at: e.AvailableAt, role: e.Role})
	}
	slices.SortStableFunc(list, func(a, b coming) int { return cmp.Compare(a.at, b.at) })
	return list
}

// forecast returns the engine-seconds of a model's work that get done between
// now and the horizon, with arrivals and returns of engines as they are planned,
// when the work is as d says through the fast and through the slow window.
func (f *Fleet) forecast(m Model, d demand, now, horizon time.Duration, target float64) done {
	c := f.capacityAt(m, now)
	var sum done
	at := now
	for _, next := range f.comingTo(m, now, horizon) {
		sum.add(c, d, target, next.at-at)
		c.add(m, next.role)
		at = next.at
	}
	sum.add(c, d, target, now+horizon-at)
	return sum
}

// done is work in engine-seconds, through both windows.
type done struct {
	fast float64
	slow float64
}

func (s *done) add(c capacity, d demand, target float64, length time.Duration) {
	s.fast += c.served(d.fast, target) * d.fast.total() * length.Seconds()
	s.slow += c.served(d.slow, target) * d.slow.total() * length.Seconds()
}
