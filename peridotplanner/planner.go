package peridotplanner

import (
	"slices"
	"time"

	"peridotstack/peridotconfig"
)

// Arrival is work that arrived at one failure domain. OutputTokens is the
// expected number of output tokens, or the actual one if it is known.
type Arrival struct {
	Model         string
	Domain        string
	PrefillTokens int
	OutputTokens  int
}

// modelDomain identifies a model in a failure domain.
type modelDomain struct {
	model  string
	domain string
}

// issuedAction is an action that Plan has returned and that the fleet may not
// show yet.
type issuedAction struct {
	action   Action
	issuedAt time.Duration
}

// roleChange is the last change of role among a model's engines.
type roleChange struct {
	to peridotconfig.Role
	// ratio is the ratio of prefill to decode work, in engines, at the time of the
	// change.
	ratio float64
	// since is the time of the first of the successive changes to this role.
	since time.Duration
	// holdTime is the time after since for which the change must not be reversed.
	holdTime time.Duration
}

// Planner plans the changes of the engines and servers of one region. It is not
// safe for concurrent use. Make one with New.
type Planner struct {
	fastWindow, slowWindow            time.Duration
	horizon                           time.Duration
	scaleDownDelay                    time.Duration
	targetUtilization, lowUtilization float64
	ratioBand                         float64
	hysteresis                        float64

	arrivalRates map[modelDomain]*tokenRates
	// arrivalKeys holds the keys of arrivalRates in the order of their first
	// arrival, so that floating-point sums do not depend on the order of a map.
	arrivalKeys     []modelDomain
	issued          []issuedAction
	lastRoleChanges map[string]roleChange
	lowDemandSince  map[string]time.Duration
}

// New returns a Planner without recorded arrivals.
func New(options ...Option) *Planner {
	p := &Planner{
		fastWindow:        defaultFastWindow,
		slowWindow:        defaultSlowWindow,
		horizon:           defaultHorizon,
		scaleDownDelay:    defaultScaleDownDelay,
		targetUtilization: defaultTargetUtilization,
		lowUtilization:    defaultLowUtilization,
		ratioBand:         defaultRatioBand,
		hysteresis:        defaultHysteresis,
		arrivalRates:      make(map[modelDomain]*tokenRates),
		lastRoleChanges:   make(map[string]roleChange),
		lowDemandSince:    make(map[string]time.Duration),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// RecordArrival records work that arrived at now.
func (p *Planner) RecordArrival(now time.Duration, a Arrival) {
	key := modelDomain{model: a.Model, domain: a.Domain}
	r, ok := p.arrivalRates[key]
	if !ok {
		r = newTokenRates(p.fastWindow, p.slowWindow)
		p.arrivalRates[key] = r
		p.arrivalKeys = append(p.arrivalKeys, key)
	}
	r.add(now, a.PrefillTokens, a.OutputTokens)
}

// demand is the work of one model that arrives, in engines, as measured with the
// fast and the slow window.
type demand struct {
	fast workRate
	slow workRate
}

// demand returns the demand for a model. Queued work is spread evenly over the
// horizon. Arrivals at a failure domain are ignored until the slow window has
// passed since the first of them.
func (p *Planner) demand(now time.Duration, f *Fleet, m Model) demand {
	var d demand
	if m.PrefillTokensPerSecond <= 0 || m.DecodeTokensPerSecond <= 0 {
		return d
	}
	for _, key := range p.arrivalKeys {
		r := p.arrivalRates[key]
		if key.model != m.Name || now-r.slowPrefill.startedAt < p.slowWindow {
			continue
		}
		d.fast.prefill += r.fastPrefill.perSecond(now)
		d.fast.decode += r.fastOutput.perSecond(now)
		d.slow.prefill += r.slowPrefill.perSecond(now)
		d.slow.decode += r.slowOutput.perSecond(now)
	}
	var queued workRate
	for _, q := range f.Queues {
		if q.Model == m.Name {
			queued.prefill += float64(q.PrefillTokens) / p.horizon.Seconds()
			queued.decode += float64(q.OutputTokens) / p.horizon.Seconds()
		}
	}
	return demand{fast: d.fast.plus(queued).toEngines(m), slow: d.slow.plus(queued).toEngines(m)}
}

func (w workRate) plus(other workRate) workRate {
	return workRate{prefill: w.prefill + other.prefill, decode: w.decode + other.decode}
}

// toEngines converts tokens per second to fully busy engines of the model.
func (w workRate) toEngines(m Model) workRate {
	return workRate{prefill: w.prefill / m.PrefillTokensPerSecond, decode: w.decode / m.DecodeTokensPerSecond}
}

// Plan returns the actions to carry out now. It assumes that each action that
// it returned earlier is in progress, until the fleet shows the action or 30
// seconds have passed.
func (p *Planner) Plan(now time.Duration, fleet Fleet) []Action {
	p.pruneIssued(now, &fleet)
	r := &planRun{planner: p, now: now, fleet: fleet, demands: make(map[string]demand)}
	r.fleet.Engines = slices.Clone(fleet.Engines)
	for _, i := range p.issued {
		r.apply(i.action)
	}
	for _, m := range fleet.Models {
		r.demands[m.Name] = p.demand(now, &fleet, m)
	}
	r.updateLowDemand()
	var actions []Action
	for _, next := range []func() (Action, bool){r.nextChange, r.nextOrder, r.nextReturn} {
		for a, ok := next(); ok; a, ok = next() {
			r.apply(a)
			p.issued = append(p.issued, issuedAction{action: a, issuedAt: now})
			actions = append(actions, a)
		}
	}
	return actions
}

// pruneIssued drops the issued actions that the fleet shows or that are
// considered lost.
func (p *Planner) pruneIssued(now time.Duration, f *Fleet) {
	p.issued = slices.DeleteFunc(p.issued, func(i issuedAction) bool {
		return now-i.issuedAt > issuedTimeout || isVisible(i.action, f)
	})
}

// isVisible reports whether the fleet shows that an action is in progress or
// done.
func isVisible(a Action, f *Fleet) bool {
	switch a := a.(type) {
	case SetRole:
		e, ok := f.engine(a.Engine)
		return !ok || e.Role == a.To
	case LoadModel:
		e, ok := f.engine(a.Engine)
		return !ok || e.Model == a.To
	case RemoveServer:
		e, ok := f.engine(a.Engine)
		return !ok || e.State == Leaving
	case AddServer:
		return slices.ContainsFunc(f.Engines, func(e Engine) bool {
			return e.State == Provisioning && e.Model == a.Model && e.Domain == a.Domain
		})
	}
	return true
}

// engine returns the engine with the given ID, and whether there is one.
func (f *Fleet) engine(id string) (Engine, bool) {
	i := slices.IndexFunc(f.Engines, func(e Engine) bool { return e.ID == id })
	if i < 0 {
		return Engine{}, false
	}
	return f.Engines[i], true
}
