package peridotmeasure

import (
	"math"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplanner"
)

const (
	// expectedDrainTime is the drain time of an engine that the planner assumes.
	expectedDrainTime = 10 * time.Second
	// overdueProvisioningTime is the smallest remaining delivery time that the
	// planner assumes for an ordered engine, also when its delivery is overdue.
	overdueProvisioningTime = 30 * time.Second
	// maxExtraEngines is the number of engines that a failure domain may have in
	// addition to those that it starts with.
	maxExtraEngines = 1
	// The eager controller averages the arrivals over eagerWindow. It adds an
	// engine above eagerHighUtilization, and removes one if the remaining engines
	// would stay below eagerLowUtilization.
	eagerWindow          = 10 * time.Second
	eagerHighUtilization = 0.85
	eagerLowUtilization  = 0.6
)

// fleetManager asks the policy's controller for actions at each tick and applies
// them to the engines. It does so only while the store is available.
type fleetManager struct {
	sim            *simulation
	planner        *peridotplanner.Planner
	bounds         []peridotplanner.Bound
	recentArrivals []arrivalWork
	roleChanges    int
	// changesByEngine counts the role changes of each engine since the last shift
	// of the scenario. maxChanges is the largest count that any engine reached.
	changesByEngine map[string]int
	maxChanges      int
	// cost is the cost of all servers so far.
	cost float64
}

// arrivalWork is the work that arrived between two ticks, in engine-seconds.
type arrivalWork struct {
	at      time.Duration
	prefill float64
	decode  float64
}

func newFleetManager(sim *simulation) *fleetManager {
	m := &fleetManager{sim: sim, planner: peridotplanner.New(), changesByEngine: make(map[string]int)}
	for _, domain := range sim.profile.Domains {
		n := 0
		for _, e := range sim.engines {
			if e.domain == domain {
				n++
			}
		}
		m.bounds = append(m.bounds, peridotplanner.Bound{Model: sim.profile.Model, Domain: domain, Min: 1, Max: n + maxExtraEngines})
	}
	return m
}

func (m *fleetManager) tick() {
	m.addCost()
	arrivals := m.sim.arrivals
	m.sim.arrivals = nil
	switch m.sim.policy.Roles.(type) {
	case plannedRoles:
		for _, a := range arrivals {
			m.planner.RecordArrival(m.sim.clock.now, a)
		}
		if !m.sim.scenario.storeDown(m.sim.clock.now) {
			m.execute(m.planner.Plan(m.sim.clock.now, m.plannerFleet()))
		}
	case eagerRoles:
		m.recordArrivals(arrivals)
		if !m.sim.scenario.storeDown(m.sim.clock.now) {
			m.execute(m.eagerActions())
		}
	}
}

// addCost adds the cost of all servers for one control interval.
func (m *fleetManager) addCost() {
	hours := controlInterval.Hours()
	for _, e := range m.sim.engines {
		if e.state != stateProvisioning && e.state != stateRemoved {
			m.cost += m.sim.profile.EngineCostPerHour * hours
		}
	}
	m.cost += m.sim.profile.ServiceCostPerHour * float64(m.sim.profile.Services) * hours
}

// plannerFleet returns the fleet and its queues as input for the planner.
func (m *fleetManager) plannerFleet() peridotplanner.Fleet {
	p := m.sim.profile
	f := peridotplanner.Fleet{
		Models: []peridotplanner.Model{{
			Name:                   p.Model,
			PrefillTokensPerSecond: p.Engine.PrefillTokensPerSecond,
			DecodeTokensPerSecond:  p.Engine.decodeTokensPerSecond(),
			ChangeTime:             p.Engine.Away,
			DrainTime:              expectedDrainTime,
			CostPerHour:            p.EngineCostPerHour,
		}},
		Bounds:             m.bounds,
		CostCeilingPerHour: p.EngineCostPerHour*float64(p.MaxEngines) + p.ServiceCostPerHour*float64(p.Services),
		OtherCostPerHour:   p.ServiceCostPerHour * float64(p.Services),
		DeliveryDelay:      defaultDeliveryTime,
	}
	queue := peridotplanner.Queue{Model: p.Model}
	for _, e := range m.sim.engines {
		if e.state == stateRemoved {
			continue
		}
		f.Engines = append(f.Engines, m.plannerEngine(e))
		for _, j := range e.prefillQueue {
			queue.PrefillTokens += j.record.PromptTokens
			queue.OutputTokens += j.record.MaxTokens
		}
		for _, j := range e.decodeQueue {
			queue.OutputTokens += j.record.MaxTokens
		}
	}
	f.Queues = append(f.Queues, queue)
	return f
}

func (m *fleetManager) plannerEngine(e *engine) peridotplanner.Engine {
	pe := peridotplanner.Engine{ID: e.id, Domain: e.domain, Model: m.sim.profile.Model, Role: e.role, AvailableAt: e.availableAt}
	switch {
	case e.state == stateDown:
		pe.State = peridotplanner.Down
	case e.leaving:
		pe.State = peridotplanner.Leaving
	case e.state == stateProvisioning:
		pe.State = peridotplanner.Provisioning
		pe.AvailableAt = max(e.availableAt, m.sim.clock.now+overdueProvisioningTime)
	case e.state == stateDraining, e.state == stateChanging:
		pe.State = peridotplanner.Changing
		pe.Role = e.nextRole
		pe.AvailableAt = max(e.availableAt, m.sim.clock.now+time.Second)
	}
	return pe
}

func (m *fleetManager) execute(actions []peridotplanner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case peridotplanner.SetRole:
			m.setRole(m.sim.engineByID(a.Engine), a.To)
		case peridotplanner.AddServer:
			m.addEngine(a)
		case peridotplanner.RemoveServer:
			m.removeEngine(m.sim.engineByID(a.Engine))
		}
	}
}

// setRole drains a serving engine, makes it unavailable for the time of a role
// change, and gives it the role. It ignores an engine in any other state.
func (m *fleetManager) setRole(e *engine, to peridotconfig.Role) {
	if e.state != stateServing {
		return
	}
	m.roleChanges++
	m.changesByEngine[e.id]++
	m.maxChanges = max(m.maxChanges, m.changesByEngine[e.id])
	e.nextRole = to
	m.drain(e, func() {
		e.state = stateChanging
		e.cache = newPrefixCache()
		e.availableAt = m.sim.clock.now + e.kind.Away
		m.sim.publishServers(serverListLag)
		m.sim.clock.after(e.kind.Away, func() {
			if e.state != stateChanging {
				return
			}
			e.role = to
			e.state = stateServing
			m.sim.publishServers(serverListLag)
		})
	})
}

// drain calls onDrained once the entry instances have learned that the engine is
// draining and all of its requests have ended.
func (m *fleetManager) drain(e *engine, onDrained func()) {
	e.state = stateDraining
	e.availableAt = m.sim.clock.now + expectedDrainTime + e.kind.Away
	m.sim.publishServers(serverListLag)
	m.sim.clock.after(serverListLag, func() {
		if e.state != stateDraining {
			return
		}
		e.onDrained = onDrained
		e.tick()
	})
}

// addEngine orders an engine, which serves once it has been delivered.
func (m *fleetManager) addEngine(a peridotplanner.AddServer) {
	e := m.sim.addEngine(a.Domain, a.Role, stateProvisioning)
	e.availableAt = m.sim.clock.now + defaultDeliveryTime
	m.sim.clock.after(m.sim.scenario.deliveryTime(), func() {
		e.state = stateServing
		e.advancedTo = m.sim.clock.now
		m.sim.publishServers(serverListLag)
	})
}

// removeEngine drains a serving engine and returns its server to the platform.
func (m *fleetManager) removeEngine(e *engine) {
	if e.state != stateServing {
		return
	}
	e.leaving = true
	m.drain(e, func() {
		e.state = stateRemoved
		m.sim.publishServers(serverListLag)
	})
}

// recordArrivals adds the latest arrivals to the eager controller's window and
// drops those that are older than the window.
func (m *fleetManager) recordArrivals(arrivals []peridotplanner.Arrival) {
	now := m.sim.clock.now
	w := arrivalWork{at: now}
	for _, a := range arrivals {
		w.prefill += float64(a.PrefillTokens) / m.sim.profile.Engine.PrefillTokensPerSecond
		w.decode += float64(a.OutputTokens) / m.sim.profile.Engine.decodeTokensPerSecond()
	}
	m.recentArrivals = append(m.recentArrivals, w)
	for m.recentArrivals[0].at <= now-eagerWindow {
		m.recentArrivals = m.recentArrivals[1:]
	}
}

// eagerActions returns the actions that adapt the roles and the number of
// engines to the arrivals of the window at once, without hysteresis.
func (m *fleetManager) eagerActions() []peridotplanner.Action {
	prefill, decode := 0.0, 0.0
	for _, w := range m.recentArrivals {
		prefill += w.prefill / eagerWindow.Seconds()
		decode += w.decode / eagerWindow.Seconds()
	}
	if len(m.recentArrivals) < int(eagerWindow/controlInterval) || prefill+decode == 0 {
		return nil
	}
	total, ready, prefillEngines := m.countEngines()
	if ready < 2 {
		return nil
	}
	wantPrefill := int(math.Round(float64(total) * prefill / (prefill + decode)))
	wantPrefill = max(1, min(total-1, wantPrefill))
	actions := m.changeRoles(wantPrefill - prefillEngines)
	busyEngines := prefill + decode
	switch {
	case busyEngines > eagerHighUtilization*float64(total) && total < m.sim.profile.MaxEngines:
		actions = append(actions, m.eagerAdd(prefill, decode))
	case busyEngines < eagerLowUtilization*float64(total-1) && len(actions) == 0 && total > len(m.bounds):
		actions = append(actions, m.eagerRemove()...)
	}
	return actions
}

// countEngines counts the engines that are neither removed, down nor leaving.
// Of these, ready counts those that serve, and prefillEngines those that have
// the role Prefill now or after a change in progress.
func (m *fleetManager) countEngines() (total, ready, prefillEngines int) {
	for _, e := range m.sim.engines {
		if e.state == stateRemoved || e.state == stateDown || e.leaving {
			continue
		}
		total++
		role := e.role
		switch e.state {
		case stateServing:
			ready++
		case stateDraining, stateChanging:
			role = e.nextRole
		}
		if role == peridotconfig.Prefill {
			prefillEngines++
		}
	}
	return total, ready, prefillEngines
}

// changeRoles returns the actions that add n Prefill engines at the expense of
// Decode engines, or remove -n if n is negative. It uses serving engines only.
func (m *fleetManager) changeRoles(n int) []peridotplanner.Action {
	from, to := peridotconfig.Decode, peridotconfig.Prefill
	if n < 0 {
		from, to, n = to, from, -n
	}
	var actions []peridotplanner.Action
	for _, e := range m.sim.engines {
		if len(actions) < n && e.state == stateServing && e.role == from {
			actions = append(actions, peridotplanner.SetRole{Engine: e.id, Domain: e.domain, From: from, To: to})
		}
	}
	return actions
}

func (m *fleetManager) eagerAdd(prefill, decode float64) peridotplanner.Action {
	role := peridotconfig.Decode
	if prefill > decode {
		role = peridotconfig.Prefill
	}
	domains := m.sim.profile.Domains
	return peridotplanner.AddServer{Model: m.sim.profile.Model, Domain: domains[len(m.sim.engines)%len(domains)], Role: role}
}

func (m *fleetManager) eagerRemove() []peridotplanner.Action {
	for _, e := range m.sim.engines {
		if e.state == stateServing {
			return []peridotplanner.Action{peridotplanner.RemoveServer{Engine: e.id, Model: m.sim.profile.Model, Domain: e.domain}}
		}
	}
	return nil
}
