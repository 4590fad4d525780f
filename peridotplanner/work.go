package peridotplanner

import (
	"math"
	"time"

	"peridotstack/peridotconfig"
)

const (
	// closeTurns is how many holds apart two turns still count as close.
	closeTurns = 2
	// holdGrowth multiplies the hold with each close turn.
	holdGrowth = 2
	// maxHold bounds the hold, in horizons.
	maxHold = 8
)

// work is one call of Plan: the fleet as it will be with all actions so far.
type work struct {
	planner *Planner
	now     time.Duration
	fleet   Fleet
	demands map[string]demand
}

// apply makes the fleet look as it does once the action is under way.
func (w *work) apply(a Action) {
	switch a := a.(type) {
	case SetRole:
		w.move(a.Engine, func(e *Engine) { e.Role = a.To })
	case LoadModel:
		w.move(a.Engine, func(e *Engine) { e.Model, e.Role = a.To, a.Role })
	case AddServer:
		w.fleet.Engines = append(w.fleet.Engines, Engine{
			Domain:      a.Domain,
			Model:       a.Model,
			Role:        a.Role,
			State:       Arriving,
			AvailableAt: w.now + w.fleet.DeliveryDelay,
		})
	case RemoveServer:
		for i := range w.fleet.Engines {
			if w.fleet.Engines[i].ID == a.Engine {
				w.fleet.Engines[i].State = Leaving
			}
		}
	}
}

func (w *work) move(id string, change func(*Engine)) {
	for i := range w.fleet.Engines {
		e := &w.fleet.Engines[i]
		if e.ID != id {
			continue
		}
		change(e)
		m := w.fleet.model(e.Model)
		e.State = Changing
		e.AvailableAt = w.now + m.Drain + m.Away
		return
	}
}

// change returns the change of a role or a model that gains most, if one gains
// enough. It passes over failure domains in which an engine is changing.
func (w *work) change() (Action, bool) {
	var best Action
	most := 0.0
	seen := make(map[Engine]bool)
	for _, e := range w.fleet.Engines {
		alike := Engine{Domain: e.Domain, Model: e.Model, Role: e.Role}
		if e.State != Serving || seen[alike] || w.fleet.changing(e.Domain) {
			continue
		}
		seen[alike] = true
		for _, a := range w.changesOf(e) {
			if gain := w.gain(a); gain > most {
				best, most = a, gain
			}
		}
	}
	if best == nil {
		return nil, false
	}
	w.remember(best)
	return best, true
}

// changesOf lists the changes of an engine that the bounds allow.
func (w *work) changesOf(e Engine) []Action {
	var actions []Action
	for _, role := range rolesOf(w.fleet.model(e.Model)) {
		if role != e.Role && !w.turnsBack(e.Model, role) {
			actions = append(actions, SetRole{Engine: e.ID, Domain: e.Domain, From: e.Role, To: role})
		}
	}
	if w.fleet.live(e.Model, e.Domain) <= w.fleet.bound(e.Model, e.Domain).Min {
		return actions
	}
	for _, m := range w.fleet.Models {
		if m.Name == e.Model || w.fleet.count(m.Name, e.Domain) >= w.fleet.bound(m.Name, e.Domain).Max {
			continue
		}
		for _, role := range rolesOf(m) {
			actions = append(actions, LoadModel{Engine: e.ID, Domain: e.Domain, From: e.Model, To: m.Name, Role: role})
		}
	}
	return actions
}

// rolesOf lists the roles that engines of a model may take.
func rolesOf(m Model) []peridotconfig.Role {
	roles := []peridotconfig.Role{peridotconfig.Prefill, peridotconfig.Decode}
	if m.MixedShare > 0 {
		roles = append(roles, peridotconfig.Mixed)
	}
	return roles
}

// gain returns by how much the action's gain within the horizon exceeds what it
// has to pay for, in engine-seconds; at most 0 means that it is not worth it.
// Both windows must agree: the fast one alone would follow each swing.
func (w *work) gain(a Action) float64 {
	after := &work{planner: w.planner, now: w.now, fleet: w.fleet, demands: w.demands}
	after.fleet.Engines = append([]Engine(nil), w.fleet.Engines...)
	after.apply(a)
	fast, slow, price := 0.0, 0.0, 0.0
	for _, m := range w.fleet.Models {
		d := w.demands[m.Name]
		fast += after.forecast(m, d.fast) - w.forecast(m, d.fast)
		slow += after.forecast(m, d.slow) - w.forecast(m, d.slow)
		if m.Name == modelOf(a, w) {
			price = w.planner.hysteresis * (m.Away + m.Drain).Seconds()
		}
	}
	return min(fast, slow) - price
}

func (w *work) forecast(m Model, n need) float64 {
	return w.fleet.forecast(m, n, w.now, w.planner.horizon, w.planner.target)
}

// modelOf returns the model that an engine has after the action.
func modelOf(a Action, w *work) string {
	switch a := a.(type) {
	case SetRole:
		e, _ := w.fleet.engine(a.Engine)
		return e.Model
	case LoadModel:
		return a.To
	}
	return ""
}

// remember notes which way the roles of a model have turned. Turns that follow
// each other closely double the time until the next one.
func (w *work) remember(a Action) {
	set, ok := a.(SetRole)
	if !ok {
		return
	}
	model := modelOf(a, w)
	last, turned := w.planner.turns[model]
	next := turn{to: set.To, ratio: w.demands[model].fast.ratio(), at: w.now, hold: w.planner.horizon}
	switch {
	case turned && last.to == set.To:
		next.at, next.hold = last.at, last.hold
	case turned && w.now-last.at < max(last.hold, w.planner.horizon)*closeTurns:
		next.hold = min(last.hold*holdGrowth, w.planner.horizon*maxHold)
	}
	w.planner.turns[model] = next
}

// ratio returns prefill to decode.
func (n need) ratio() float64 {
	if n.decode == 0 {
		return math.Inf(1)
	}
	return n.prefill / n.decode
}

// turnsBack reports whether a change to the role would take the last change
// back too soon, or although the ratio has not left the band around the one it
// was made for.
func (w *work) turnsBack(model string, role peridotconfig.Role) bool {
	last, ok := w.planner.turns[model]
	if !ok || last.to == role {
		return false
	}
	if w.now-last.at < last.hold {
		return true
	}
	fast, slow := w.demands[model].fast.ratio(), w.demands[model].slow.ratio()
	up := last.ratio * (1 + w.planner.band)
	down := last.ratio / (1 + w.planner.band)
	moved := (fast >= up && slow >= up) || (fast <= down && slow <= down)
	return !moved
}
