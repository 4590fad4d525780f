package peridotmeasure

import (
	"math"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplanner"
)

const (
	// expectedDrain is what the planner is told that an engine needs to finish.
	expectedDrain = 10 * time.Second
	// overdue is how long an arrival that is late is expected to take still.
	overdue = 30 * time.Second
	// spareServers is by how much a domain may exceed what it starts with.
	spareServers = 1
	eagerWindow  = 10 * time.Second
	eagerHigh    = 0.85
	eagerLow     = 0.6
)

// control carries out what a controller decides, while the store is up.
type control struct {
	bench   *bench
	planner *peridotplanner.Planner
	bounds  []peridotplanner.Bound
	recent  []recentWork
	changes int
	// moves counts the changes of each engine since the last shift, and most is
	// the largest of these counts.
	moves map[string]int
	most  int
	// spent is the cost of all servers so far.
	spent float64
}

// recentWork is what arrived within one tick, in engine-seconds.
type recentWork struct {
	at      time.Duration
	prefill float64
	decode  float64
}

func newControl(b *bench) *control {
	c := &control{bench: b, planner: peridotplanner.New(), moves: make(map[string]int)}
	for _, domain := range b.profile.Domains {
		n := 0
		for _, e := range b.engines {
			if e.domain == domain {
				n++
			}
		}
		c.bounds = append(c.bounds, peridotplanner.Bound{Model: b.profile.Model, Domain: domain, Min: 1, Max: n + spareServers})
	}
	return c
}

func (c *control) tick() {
	c.pay()
	arrived := c.bench.arrived
	c.bench.arrived = nil
	switch c.bench.policy.Roles.(type) {
	case plannedRoles:
		for _, a := range arrived {
			c.planner.RecordArrival(c.bench.clock.now, a)
		}
		if !c.bench.scenario.storeDown(c.bench.clock.now) {
			c.carryOut(c.planner.Plan(c.bench.clock.now, c.fleet()))
		}
	case eagerRoles:
		c.note(arrived)
		if !c.bench.scenario.storeDown(c.bench.clock.now) {
			c.carryOut(c.eager())
		}
	}
}

// pay adds the cost of one tick.
func (c *control) pay() {
	hours := controlTick.Hours()
	for _, e := range c.bench.engines {
		if e.state != arriving && e.state != gone {
			c.spent += c.bench.profile.EngineCostPerHour * hours
		}
	}
	c.spent += c.bench.profile.ServiceCostPerHour * float64(c.bench.profile.Services) * hours
}

// fleet returns what the planner may move.
func (c *control) fleet() peridotplanner.Fleet {
	p := c.bench.profile
	f := peridotplanner.Fleet{
		Models: []peridotplanner.Model{{
			Name:                   p.Model,
			PrefillTokensPerSecond: p.Engine.PrefillTokensPerSecond,
			DecodeTokensPerSecond:  p.Engine.decodeTokensPerSecond(),
			ChangeTime:             p.Engine.Away,
			DrainTime:              expectedDrain,
			CostPerHour:            p.EngineCostPerHour,
		}},
		Bounds:             c.bounds,
		CostCeilingPerHour: p.EngineCostPerHour*float64(p.MaxEngines) + p.ServiceCostPerHour*float64(p.Services),
		OtherCostPerHour:   p.ServiceCostPerHour * float64(p.Services),
		DeliveryDelay:      usualDelivery,
	}
	queue := peridotplanner.Queue{Model: p.Model}
	for _, e := range c.bench.engines {
		if e.state == gone {
			continue
		}
		f.Engines = append(f.Engines, c.engine(e))
		for _, j := range e.prompts {
			queue.PrefillTokens += j.record.PromptTokens
			queue.OutputTokens += j.record.MaxTokens
		}
		for _, j := range e.waiting {
			queue.OutputTokens += j.record.MaxTokens
		}
	}
	f.Queues = append(f.Queues, queue)
	return f
}

func (c *control) engine(e *engine) peridotplanner.Engine {
	known := peridotplanner.Engine{ID: e.id, Domain: e.domain, Model: c.bench.profile.Model, Role: e.role, AvailableAt: e.availableAt}
	switch {
	case e.state == down:
		known.State = peridotplanner.Down
	case e.returning:
		known.State = peridotplanner.Leaving
	case e.state == arriving:
		known.State = peridotplanner.Provisioning
		known.AvailableAt = max(e.availableAt, c.bench.clock.now+overdue)
	case e.state == draining, e.state == away:
		known.State = peridotplanner.Changing
		known.Role = e.nextRole
		known.AvailableAt = max(e.availableAt, c.bench.clock.now+time.Second)
	}
	return known
}

func (c *control) carryOut(actions []peridotplanner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case peridotplanner.SetRole:
			c.setRole(c.bench.engine(a.Engine), a.To)
		case peridotplanner.AddServer:
			c.order(a)
		case peridotplanner.RemoveServer:
			c.giveBack(c.bench.engine(a.Engine))
		}
	}
}

// setRole drains an engine, takes it away for a time, and gives it the role.
func (c *control) setRole(e *engine, to peridotconfig.Role) {
	if e.state != serving {
		return
	}
	c.changes++
	c.moves[e.id]++
	c.most = max(c.most, c.moves[e.id])
	e.nextRole = to
	c.drain(e, func() {
		e.state = away
		e.cache = newPrefixStore()
		e.availableAt = c.bench.clock.now + e.kind.Away
		c.bench.publish(listLag)
		c.bench.clock.after(e.kind.Away, func() {
			if e.state != away {
				return
			}
			e.role = to
			e.state = serving
			c.bench.publish(listLag)
		})
	})
}

// drain waits until the entry instances know and all requests have ended.
func (c *control) drain(e *engine, done func()) {
	e.state = draining
	e.availableAt = c.bench.clock.now + expectedDrain + e.kind.Away
	c.bench.publish(listLag)
	c.bench.clock.after(listLag, func() {
		if e.state != draining {
			return
		}
		e.onDrained = done
		e.tick()
	})
}

func (c *control) order(a peridotplanner.AddServer) {
	e := c.bench.addEngine(a.Domain, a.Role, arriving)
	e.availableAt = c.bench.clock.now + usualDelivery
	c.bench.clock.after(c.bench.scenario.delivery(), func() {
		e.state = serving
		e.at = c.bench.clock.now
		c.bench.publish(listLag)
	})
}

func (c *control) giveBack(e *engine) {
	if e.state != serving {
		return
	}
	e.returning = true
	c.drain(e, func() {
		e.state = gone
		c.bench.publish(listLag)
	})
}

// note keeps what arrived within the eager controller's window.
func (c *control) note(arrived []peridotplanner.Arrival) {
	now := c.bench.clock.now
	w := recentWork{at: now}
	for _, a := range arrived {
		w.prefill += float64(a.PrefillTokens) / c.bench.profile.Engine.PrefillTokensPerSecond
		w.decode += float64(a.OutputTokens) / c.bench.profile.Engine.decodeTokensPerSecond()
	}
	c.recent = append(c.recent, w)
	for c.recent[0].at <= now-eagerWindow {
		c.recent = c.recent[1:]
	}
}

// eager makes the roles and the number of servers fit the window at once.
func (c *control) eager() []peridotplanner.Action {
	prefill, decode := 0.0, 0.0
	for _, w := range c.recent {
		prefill += w.prefill / eagerWindow.Seconds()
		decode += w.decode / eagerWindow.Seconds()
	}
	if len(c.recent) < int(eagerWindow/controlTick) || prefill+decode == 0 {
		return nil
	}
	stay, ready, reading := c.count()
	if ready < 2 {
		return nil
	}
	want := int(math.Round(float64(stay) * prefill / (prefill + decode)))
	want = max(1, min(stay-1, want))
	actions := c.flip(want - reading)
	need := prefill + decode
	switch {
	case need > eagerHigh*float64(stay) && stay < c.bench.profile.MaxEngines:
		actions = append(actions, c.eagerOrder(prefill, decode))
	case need < eagerLow*float64(stay-1) && len(actions) == 0 && stay > len(c.bounds):
		actions = append(actions, c.eagerReturn()...)
	}
	return actions
}

// count returns how many engines stay, how many of them serve, and how many
// have or will have the role Prefill.
func (c *control) count() (stay, ready, reading int) {
	for _, e := range c.bench.engines {
		if e.state == gone || e.state == down || e.returning {
			continue
		}
		stay++
		role := e.role
		switch e.state {
		case serving:
			ready++
		case draining, away:
			role = e.nextRole
		}
		if role == peridotconfig.Prefill {
			reading++
		}
	}
	return stay, ready, reading
}

// flip changes engines until there are n more for prefill, or fewer.
func (c *control) flip(n int) []peridotplanner.Action {
	from, to := peridotconfig.Decode, peridotconfig.Prefill
	if n < 0 {
		from, to, n = to, from, -n
	}
	var actions []peridotplanner.Action
	for _, e := range c.bench.engines {
		if len(actions) < n && e.state == serving && e.role == from {
			actions = append(actions, peridotplanner.SetRole{Engine: e.id, Domain: e.domain, From: from, To: to})
		}
	}
	return actions
}

func (c *control) eagerOrder(prefill, decode float64) peridotplanner.Action {
	role := peridotconfig.Decode
	if prefill > decode {
		role = peridotconfig.Prefill
	}
	domains := c.bench.profile.Domains
	return peridotplanner.AddServer{Model: c.bench.profile.Model, Domain: domains[len(c.bench.engines)%len(domains)], Role: role}
}

func (c *control) eagerReturn() []peridotplanner.Action {
	for _, e := range c.bench.engines {
		if e.state == serving {
			return []peridotplanner.Action{peridotplanner.RemoveServer{Engine: e.id, Model: c.bench.profile.Model, Domain: e.domain}}
		}
	}
	return nil
}
