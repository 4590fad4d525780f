package peridotplanner

import (
	"math"
	"slices"
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
	// forecasts holds those of the fleet as it is now, by model.
	forecasts map[string]done
}

// apply makes the fleet look as it does once the action is under way.
func (w *work) apply(a Action) {
	w.forecasts = nil
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
	short := w.shortModels()
	if len(short) == 0 {
		return nil, false
	}
	for _, e := range w.movable() {
		for _, a := range w.changesOf(e, short) {
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

// shortModels returns the models whose work does not all get done, through both
// windows. No change gains anything for the others.
func (w *work) shortModels() []Model {
	var short []Model
	for _, m := range w.fleet.Models {
		d, f := w.demands[m.Name], w.forecast(m)
		seconds := w.planner.horizon.Seconds()
		if f.fast < d.fast.total()*seconds && f.slow < d.slow.total()*seconds {
			short = append(short, m)
		}
	}
	return short
}

// movable returns one engine of each kind that is alike, from the failure
// domains in which none is changing.
func (w *work) movable() []Engine {
	busy := make(map[string]bool)
	for _, e := range w.fleet.Engines {
		if e.State == Changing || e.State == Leaving {
			busy[e.Domain] = true
		}
	}
	seen := make(map[Engine]bool)
	var list []Engine
	for _, e := range w.fleet.Engines {
		alike := Engine{Domain: e.Domain, Model: e.Model, Role: e.Role}
		if e.State == Serving && !busy[e.Domain] && !seen[alike] {
			seen[alike] = true
			list = append(list, e)
		}
	}
	return list
}

// changesOf lists the changes of an engine that the bounds allow and that help
// one of the models that are short.
func (w *work) changesOf(e Engine, short []Model) []Action {
	var actions []Action
	leaves := w.fleet.live(e.Model, e.Domain) > w.fleet.bound(e.Model, e.Domain).Min
	for _, m := range short {
		for _, role := range rolesOf(m) {
			switch {
			case m.Name != e.Model && leaves && w.takes(m, e.Domain):
				actions = append(actions, LoadModel{Engine: e.ID, Domain: e.Domain, From: e.Model, To: m.Name, Role: role})
			case m.Name == e.Model && role != e.Role && !w.turnsBack(e.Model, role):
				actions = append(actions, SetRole{Engine: e.ID, Domain: e.Domain, From: e.Role, To: role})
			}
		}
	}
	return actions
}

// takes reports whether the failure domain may have one more server of m.
func (w *work) takes(m Model, domain string) bool {
	return w.fleet.count(m.Name, domain) < w.fleet.bound(m.Name, domain).Max
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
	models := w.modelsOf(a)
	var before, after done
	for _, m := range models {
		before.plus(w.forecast(m))
	}
	undo := w.try(a)
	for _, m := range models {
		after.plus(w.fleet.forecast(m, w.demands[m.Name], w.now, w.planner.horizon, w.planner.target))
	}
	undo()
	m := models[0]
	price := w.planner.hysteresis * (m.Away + m.Drain).Seconds()
	return min(after.fast-before.fast, after.slow-before.slow) - price
}

// try applies an action to the fleet, and returns what takes it back.
func (w *work) try(a Action) (undo func()) {
	forecasts := w.forecasts
	i := w.index(a)
	was := w.fleet.Engines[i]
	w.apply(a)
	return func() {
		w.fleet.Engines[i] = was
		w.forecasts = forecasts
	}
}

// index returns the place of the engine that an action changes.
func (w *work) index(a Action) int {
	id := ""
	switch a := a.(type) {
	case SetRole:
		id = a.Engine
	case LoadModel:
		id = a.Engine
	}
	return slices.IndexFunc(w.fleet.Engines, func(e Engine) bool { return e.ID == id })
}

func (s *done) plus(other done) {
	s.fast += other.fast
	s.slow += other.slow
}

// forecast returns that of the fleet as it is now.
func (w *work) forecast(m Model) done {
	if f, ok := w.forecasts[m.Name]; ok {
		return f
	}
	f := w.fleet.forecast(m, w.demands[m.Name], w.now, w.planner.horizon, w.planner.target)
	if w.forecasts == nil {
		w.forecasts = make(map[string]done)
	}
	w.forecasts[m.Name] = f
	return f
}

// modelsOf returns the models that an action concerns, first that which the
// engine has afterwards.
func (w *work) modelsOf(a Action) []Model {
	switch a := a.(type) {
	case SetRole:
		return []Model{w.fleet.model(modelOf(a, w))}
	case LoadModel:
		return []Model{w.fleet.model(a.To), w.fleet.model(a.From)}
	}
	return nil
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
