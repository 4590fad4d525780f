package peridotplanner

import (
	"slices"
	"time"

	"peridotstack/peridotconfig"
)

// State is what an engine is doing.
type State int

const (
	// Serving engines take requests.
	Serving State = iota
	// Changing engines finish their requests or take on a role or model.
	Changing
	// Arriving engines are ordered and not yet here.
	Arriving
	// Leaving engines finish their requests and go.
	Leaving
	// Down engines are lost for now and cost nevertheless: they may come back.
	Down
)

// Fleet is what a Planner may move, all in one region.
type Fleet struct {
	Models  []Model
	Engines []Engine
	Queues  []Queue
	Bounds  []Bound
	// CostCeilingPerHour bounds the cost of all servers; 0 means no ceiling.
	CostCeilingPerHour float64
	// OtherCostPerHour is what the plain services cost.
	OtherCostPerHour float64
	// DeliveryDelay is the time from the order of a server to its first request.
	DeliveryDelay time.Duration
}

// Model says what one engine does with a model.
type Model struct {
	Name string
	// PrefillTokensPerSecond is the rate of a Prefill engine.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the rate of a Decode engine over all its streams.
	DecodeTokensPerSecond float64
	// MixedShare is the part of both rates that a Mixed engine divides between
	// prefill and decode; 0 keeps engines from becoming Mixed.
	MixedShare float64
	// Away is how long a change of role or model takes an engine away.
	Away time.Duration
	// Drain is how long an engine takes to finish its requests.
	Drain       time.Duration
	CostPerHour float64
}

// Engine is one model engine.
type Engine struct {
	ID     string
	Domain string
	// Model and Role are those the engine will have once a change is done.
	Model string
	Role  peridotconfig.Role
	State State
	// AvailableAt is when a Changing or Arriving engine takes requests.
	AvailableAt time.Duration
}

// Queue is the work that waits for engines.
type Queue struct {
	Model         string
	PrefillTokens int
	OutputTokens  int
}

// Bound is what the confirmed deployments allow one model in one failure domain.
type Bound struct {
	Model  string
	Domain string
	// Min is the smallest number of servers, at least what the insurer demands.
	Min int
	// Max is the largest number of servers.
	Max int
}

// model returns the model with the given name; an unknown one has no rates.
func (f *Fleet) model(name string) Model {
	for _, m := range f.Models {
		if m.Name == name {
			return m
		}
	}
	return Model{Name: name}
}

// bound returns what is allowed; without a Bound that is nothing.
func (f *Fleet) bound(model, domain string) Bound {
	for _, b := range f.Bounds {
		if b.Model == model && b.Domain == domain {
			return b
		}
	}
	return Bound{Model: model, Domain: domain}
}

// count returns how many servers of a model are in a failure domain to stay, or
// may come back there.
func (f *Fleet) count(model, domain string) int {
	n := 0
	for _, e := range f.Engines {
		if e.Model == model && e.Domain == domain && e.State != Leaving {
			n++
		}
	}
	return n
}

// live returns how many of these are not lost.
func (f *Fleet) live(model, domain string) int {
	n := f.count(model, domain)
	for _, e := range f.Engines {
		if e.Model == model && e.Domain == domain && e.State == Down {
			n--
		}
	}
	return n
}

// lost reports whether an engine of the failure domain is lost.
func (f *Fleet) lost(domain string) bool {
	return slices.ContainsFunc(f.Engines, func(e Engine) bool { return e.Domain == domain && e.State == Down })
}

// cost returns what all servers cost an hour, also those that do not serve.
func (f *Fleet) cost() float64 {
	cost := f.OtherCostPerHour
	for _, e := range f.Engines {
		cost += f.model(e.Model).CostPerHour
	}
	return cost
}

// changing reports whether an engine of the failure domain is away or leaving.
func (f *Fleet) changing(domain string) bool {
	for _, e := range f.Engines {
		if e.Domain == domain && (e.State == Changing || e.State == Leaving) {
			return true
		}
	}
	return false
}
