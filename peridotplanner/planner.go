package peridotplanner

import (
	"slices"
	"time"

	"peridotstack/peridotconfig"
)

// Arrival is work that arrived at one failure domain. Output tokens are counted
// as they are expected, or as they turned out.
type Arrival struct {
	Model         string
	Domain        string
	PrefillTokens int
	OutputTokens  int
}

// place is one model in one failure domain.
type place struct {
	model  string
	domain string
}

// issued is an action that the fleet may not show yet.
type issued struct {
	action Action
	at     time.Duration
}

// turn is the last change of role of a model's engines.
type turn struct {
	to peridotconfig.Role
	// ratio is prefill to decode, in engines, at that time.
	ratio float64
	// at is when the roles began to turn this way.
	at time.Duration
	// hold is how long they must not turn back.
	hold time.Duration
}

// Planner decides for one region. It is not safe for concurrent use. Make one
// with New.
type Planner struct {
	fast, slow  time.Duration
	horizon     time.Duration
	calm        time.Duration
	target, low float64
	band        float64
	hysteresis  float64

	arrivals map[place]*rates
	// places holds the keys of arrivals in the order they came, so that sums do
	// not depend on the order of a map.
	places    []place
	issued    []issued
	turns     map[string]turn
	calmSince map[string]time.Duration
}

// New returns a Planner that has seen nothing yet.
func New(options ...Option) *Planner {
	p := &Planner{
		fast:       defaultFast,
		slow:       defaultSlow,
		horizon:    defaultHorizon,
		calm:       defaultCalm,
		target:     defaultTarget,
		low:        defaultLow,
		band:       defaultBand,
		hysteresis: defaultHysteresis,
		arrivals:   make(map[place]*rates),
		turns:      make(map[string]turn),
		calmSince:  make(map[string]time.Duration),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Arrived tells the planner of work that arrived at now.
func (p *Planner) Arrived(now time.Duration, a Arrival) {
	at := place{model: a.Model, domain: a.Domain}
	r, ok := p.arrivals[at]
	if !ok {
		r = newRates(p.fast, p.slow)
		p.arrivals[at] = r
		p.places = append(p.places, at)
	}
	r.add(now, a.PrefillTokens, a.OutputTokens)
}

// demand is what one model needs, through both windows.
type demand struct {
	fast need
	slow need
}

// demand returns a model's need. Work that waits counts as if it had to be done
// within the horizon; arrivals count once the slow window has passed.
func (p *Planner) demand(now time.Duration, f *Fleet, m Model) demand {
	var d demand
	if m.PrefillTokensPerSecond <= 0 || m.DecodeTokensPerSecond <= 0 {
		return d
	}
	for _, at := range p.places {
		r := p.arrivals[at]
		if at.model != m.Name || now-r.slowPrefill.begun < p.slow {
			continue
		}
		d.fast.prefill += r.fastPrefill.perSecond(now)
		d.fast.decode += r.fastOutput.perSecond(now)
		d.slow.prefill += r.slowPrefill.perSecond(now)
		d.slow.decode += r.slowOutput.perSecond(now)
	}
	var waiting need
	for _, q := range f.Queues {
		if q.Model == m.Name {
			waiting.prefill += float64(q.PrefillTokens) / p.horizon.Seconds()
			waiting.decode += float64(q.OutputTokens) / p.horizon.Seconds()
		}
	}
	return demand{fast: d.fast.plus(waiting).in(m), slow: d.slow.plus(waiting).in(m)}
}

func (n need) plus(other need) need {
	return need{prefill: n.prefill + other.prefill, decode: n.decode + other.decode}
}

// in turns tokens a second into engines.
func (n need) in(m Model) need {
	return need{prefill: n.prefill / m.PrefillTokensPerSecond, decode: n.decode / m.DecodeTokensPerSecond}
}

// Plan returns what to do now. An action that it returned is taken to be under
// way until the fleet shows it or a time has passed in which it should have.
func (p *Planner) Plan(now time.Duration, fleet Fleet) []Action {
	p.forget(now, &fleet)
	w := &work{planner: p, now: now, fleet: fleet, demands: make(map[string]demand)}
	w.fleet.Engines = slices.Clone(fleet.Engines)
	for _, i := range p.issued {
		w.apply(i.action)
	}
	for _, m := range fleet.Models {
		w.demands[m.Name] = p.demand(now, &fleet, m)
	}
	w.noteCalm()
	var actions []Action
	for _, next := range []func() (Action, bool){w.change, w.order, w.giveBack} {
		for a, ok := next(); ok; a, ok = next() {
			w.apply(a)
			p.issued = append(p.issued, issued{action: a, at: now})
			actions = append(actions, a)
		}
	}
	return actions
}

// forget drops the issued actions that the fleet shows or that got lost.
func (p *Planner) forget(now time.Duration, f *Fleet) {
	p.issued = slices.DeleteFunc(p.issued, func(i issued) bool {
		return now-i.at > issuedGrace || shown(i.action, f)
	})
}

// shown reports whether the fleet shows that an action is under way or done.
func shown(a Action, f *Fleet) bool {
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
			return e.State == Arriving && e.Model == a.Model && e.Domain == a.Domain
		})
	}
	return true
}

func (f *Fleet) engine(id string) (Engine, bool) {
	i := slices.IndexFunc(f.Engines, func(e Engine) bool { return e.ID == id })
	if i < 0 {
		return Engine{}, false
	}
	return f.Engines[i], true
}
