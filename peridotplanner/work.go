package peridotplanner

import (
	"math"
	"slices"
	"time"

	"peridotstack/peridotconfig"
)

const (
	// closeReversalHolds is the number of hold times within which a reversal of
	// the roles is considered close to the change before it.
	closeReversalHolds = 2
	// holdGrowthFactor multiplies the hold time with each close reversal.
	holdGrowthFactor = 2
	// maxHoldHorizons is the longest hold time, in multiples of the horizon.
	maxHoldHorizons = 8
)

// planRun is the state of one call of Plan.
type planRun struct {
	planner *Planner
	now     time.Duration
	// fleet is the fleet as it is while all actions issued so far are in progress.
	fleet Fleet
	// demands holds the demand for each model, by name.
	demands map[string]demand
	// forecasts caches the forecasts for fleet, by model name.
	forecasts map[string]completedWork
}

// apply changes the fleet to its state while the action is in progress.
func (r *planRun) apply(a Action) {
	r.forecasts = nil
	switch a := a.(type) {
	case SetRole:
		r.changeEngine(a.Engine, func(e *Engine) { e.Role = a.To })
	case LoadModel:
		r.changeEngine(a.Engine, func(e *Engine) { e.Model, e.Role = a.To, a.Role })
	case AddServer:
		r.fleet.Engines = append(r.fleet.Engines, Engine{
			Domain:      a.Domain,
			Model:       a.Model,
			Role:        a.Role,
			State:       Provisioning,
			AvailableAt: r.now + r.fleet.DeliveryDelay,
		})
	case RemoveServer:
		for i := range r.fleet.Engines {
			if r.fleet.Engines[i].ID == a.Engine {
				r.fleet.Engines[i].State = Leaving
			}
		}
	}
}

// changeEngine applies change to an engine, and marks the engine as changing.
func (r *planRun) changeEngine(id string, change func(*Engine)) {
	for i := range r.fleet.Engines {
		e := &r.fleet.Engines[i]
		if e.ID != id {
			continue
		}
		change(e)
		m := r.fleet.model(e.Model)
		e.State = Changing
		e.AvailableAt = r.now + m.DrainTime + m.ChangeTime
		return
	}
}

// nextChange returns the change of a role or a model with the largest net gain,
// if one has a positive net gain. It skips failure domains in which an engine is
// changing or leaving.
func (r *planRun) nextChange() (Action, bool) {
	var best Action
	bestGain := 0.0
	overloaded := r.overloadedModels()
	if len(overloaded) == 0 {
		return nil, false
	}
	for _, e := range r.candidateEngines() {
		for _, a := range r.allowedChanges(e, overloaded) {
			if gain := r.netGain(a); gain > bestGain {
				best, bestGain = a, gain
			}
		}
	}
	if best == nil {
		return nil, false
	}
	r.recordRoleChange(best)
	return best, true
}

// overloadedModels returns the models whose work will not all be completed, as
// measured with both windows. The other models gain nothing from a change.
func (r *planRun) overloadedModels() []Model {
	var overloaded []Model
	for _, m := range r.fleet.Models {
		d, f := r.demands[m.Name], r.forecast(m)
		seconds := r.planner.horizon.Seconds()
		if f.fast < d.fast.total()*seconds && f.slow < d.slow.total()*seconds {
			overloaded = append(overloaded, m)
		}
	}
	return overloaded
}

// candidateEngines returns the serving engines that may change, one for each
// combination of domain, model and role. It skips failure domains in which an
// engine is changing or leaving.
func (r *planRun) candidateEngines() []Engine {
	changing := make(map[string]bool)
	for _, e := range r.fleet.Engines {
		if e.State == Changing || e.State == Leaving {
			changing[e.Domain] = true
		}
	}
	seen := make(map[Engine]bool)
	var list []Engine
	for _, e := range r.fleet.Engines {
		kind := Engine{Domain: e.Domain, Model: e.Model, Role: e.Role}
		if e.State == Serving && !changing[e.Domain] && !seen[kind] {
			seen[kind] = true
			list = append(list, e)
		}
	}
	return list
}

// allowedChanges returns the changes of an engine that the bounds allow and that
// add capacity to one of the overloaded models.
func (r *planRun) allowedChanges(e Engine, overloaded []Model) []Action {
	var actions []Action
	mayLeaveModel := r.fleet.countUp(e.Model, e.Domain) > r.fleet.bound(e.Model, e.Domain).Min
	for _, m := range overloaded {
		for _, role := range rolesOf(m) {
			switch {
			case m.Name != e.Model && mayLeaveModel && r.hasRoom(m, e.Domain):
				actions = append(actions, LoadModel{Engine: e.ID, Domain: e.Domain, From: e.Model, To: m.Name, Role: role})
			case m.Name == e.Model && role != e.Role && !r.reversalBlocked(e.Model, role):
				actions = append(actions, SetRole{Engine: e.ID, Domain: e.Domain, From: e.Role, To: role})
			}
		}
	}
	return actions
}

// hasRoom reports whether the failure domain may have one more server of m.
func (r *planRun) hasRoom(m Model, domain string) bool {
	return r.fleet.countServers(m.Name, domain) < r.fleet.bound(m.Name, domain).Max
}

// rolesOf returns the roles that engines of a model may have.
func rolesOf(m Model) []peridotconfig.Role {
	roles := []peridotconfig.Role{peridotconfig.Prefill, peridotconfig.Decode}
	if m.MixedShare > 0 {
		roles = append(roles, peridotconfig.Mixed)
	}
	return roles
}

// netGain returns the additional work that is completed within the horizon due to
// the action, minus the minimum gain for which the action is worth its cost, both
// in engine-seconds. The additional work is the smaller result of both windows,
// because with the fast window alone the planner would follow each fluctuation.
func (r *planRun) netGain(a Action) float64 {
	models := r.affectedModels(a)
	var before, after completedWork
	for _, m := range models {
		before.addWork(r.forecast(m))
	}
	undo := r.applyTentatively(a)
	for _, m := range models {
		after.addWork(r.fleet.forecast(m, r.demands[m.Name], r.now, r.planner.horizon, r.planner.targetUtilization))
	}
	undo()
	m := models[0]
	minGain := r.planner.hysteresis * (m.ChangeTime + m.DrainTime).Seconds()
	return min(after.fast-before.fast, after.slow-before.slow) - minGain
}

// applyTentatively applies an action to the fleet, and returns a function that
// reverts it.
func (r *planRun) applyTentatively(a Action) (undo func()) {
	forecasts := r.forecasts
	i := r.engineIndex(a)
	saved := r.fleet.Engines[i]
	r.apply(a)
	return func() {
		r.fleet.Engines[i] = saved
		r.forecasts = forecasts
	}
}

// engineIndex returns the index in the fleet of the engine that an action
// changes.
func (r *planRun) engineIndex(a Action) int {
	id := ""
	switch a := a.(type) {
	case SetRole:
		id = a.Engine
	case LoadModel:
		id = a.Engine
	}
	return slices.IndexFunc(r.fleet.Engines, func(e Engine) bool { return e.ID == id })
}

func (w *completedWork) addWork(other completedWork) {
	w.fast += other.fast
	w.slow += other.slow
}

// forecast returns the forecast for a model with the present fleet.
func (r *planRun) forecast(m Model) completedWork {
	if f, ok := r.forecasts[m.Name]; ok {
		return f
	}
	f := r.fleet.forecast(m, r.demands[m.Name], r.now, r.planner.horizon, r.planner.targetUtilization)
	if r.forecasts == nil {
		r.forecasts = make(map[string]completedWork)
	}
	r.forecasts[m.Name] = f
	return f
}

// affectedModels returns the models that an action affects. The first is the one
// that the engine has after the action.
func (r *planRun) affectedModels(a Action) []Model {
	switch a := a.(type) {
	case SetRole:
		return []Model{r.fleet.model(modelAfter(a, r))}
	case LoadModel:
		return []Model{r.fleet.model(a.To), r.fleet.model(a.From)}
	}
	return nil
}

// modelAfter returns the name of the model that an engine has after the action.
func modelAfter(a Action, r *planRun) string {
	switch a := a.(type) {
	case SetRole:
		e, _ := r.fleet.engine(a.Engine)
		return e.Model
	case LoadModel:
		return a.To
	}
	return ""
}

// recordRoleChange records the latest change of role of a model's engines. Each
// reversal that closely follows the change before it doubles the hold time.
func (r *planRun) recordRoleChange(a Action) {
	s, ok := a.(SetRole)
	if !ok {
		return
	}
	model := modelAfter(a, r)
	last, changedBefore := r.planner.lastRoleChanges[model]
	next := roleChange{to: s.To, ratio: r.demands[model].fast.ratio(), since: r.now, holdTime: r.planner.horizon}
	switch {
	case changedBefore && last.to == s.To:
		next.since, next.holdTime = last.since, last.holdTime
	case changedBefore && r.now-last.since < max(last.holdTime, r.planner.horizon)*closeReversalHolds:
		next.holdTime = min(last.holdTime*holdGrowthFactor, r.planner.horizon*maxHoldHorizons)
	}
	r.planner.lastRoleChanges[model] = next
}

// ratio returns the ratio of prefill to decode work, +Inf without decode work.
func (w workRate) ratio() float64 {
	if w.decode == 0 {
		return math.Inf(1)
	}
	return w.prefill / w.decode
}

// reversalBlocked reports whether a change to the role would reverse the last
// change within its hold time, or while the ratio of prefill to decode is still
// in the band around the ratio at the time of that change.
func (r *planRun) reversalBlocked(model string, role peridotconfig.Role) bool {
	last, ok := r.planner.lastRoleChanges[model]
	if !ok || last.to == role {
		return false
	}
	if r.now-last.since < last.holdTime {
		return true
	}
	fast, slow := r.demands[model].fast.ratio(), r.demands[model].slow.ratio()
	upper := last.ratio * (1 + r.planner.ratioBand)
	lower := last.ratio / (1 + r.planner.ratioBand)
	leftBand := (fast >= upper && slow >= upper) || (fast <= lower && slow <= lower)
	return !leftBand
}
