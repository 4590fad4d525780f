package peridotplanner

import (
	"slices"
	"time"

	"peridotstack/peridotconfig"
)

// State is the state of an engine.
type State int

const (
	// Serving engines take requests.
	Serving State = iota
	// Changing engines finish their requests or change their role or model.
	Changing
	// Provisioning engines have been ordered but not yet delivered.
	Provisioning
	// Leaving engines finish their requests before their server is returned.
	Leaving
	// Down engines have failed. They may recover, so the ceiling covers their cost.
	Down
)

// Fleet describes the engines of one region that a Planner decides about, their
// queued work, and the limits within which it may change them.
type Fleet struct {
	Models  []Model
	Engines []Engine
	Queues  []Queue
	Bounds  []Bound
	// CostCeilingPerHour limits the cost of all servers, those of plain services
	// included; 0 means no limit.
	CostCeilingPerHour float64
	// OtherCostPerHour is the cost of the plain services.
	OtherCostPerHour float64
	// DeliveryDelay is the time from ordering a server to its first request.
	DeliveryDelay time.Duration
}

// Model describes the performance and the cost of one engine that runs a model.
type Model struct {
	Name string
	// PrefillTokensPerSecond is the throughput of a Prefill engine.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the throughput of a Decode engine over all its
	// streams.
	DecodeTokensPerSecond float64
	// MixedShare is the part of the throughput of a Prefill or Decode engine that
	// a Mixed engine has to divide between prefill and decode. If it is 0, no
	// engine becomes Mixed.
	MixedShare float64
	// ChangeTime is the time for which an engine is unavailable during a change of
	// role or model, after it has finished its requests.
	ChangeTime time.Duration
	// DrainTime is the time that an engine takes to finish its requests.
	DrainTime   time.Duration
	CostPerHour float64
}

// Engine is one model engine.
type Engine struct {
	ID     string
	Domain string
	// Model and Role are those that the engine has once any change in progress is
	// complete.
	Model string
	Role  peridotconfig.Role
	State State
	// AvailableAt is the time from which a Changing or Provisioning engine takes
	// requests.
	AvailableAt time.Duration
}

// Queue is the queued work of one model.
type Queue struct {
	Model         string
	PrefillTokens int
	OutputTokens  int
}

// Bound limits the number of servers of one model in one failure domain to what
// the confirmed deployments allow.
type Bound struct {
	Model  string
	Domain string
	// Min is the smallest number of servers. It is no smaller than the number that
	// the insurer requires.
	Min int
	// Max is the largest number of servers.
	Max int
}

// model returns the model with the given name. An unknown model has a throughput
// of 0.
func (f *Fleet) model(name string) Model {
	for _, m := range f.Models {
		if m.Name == name {
			return m
		}
	}
	return Model{Name: name}
}

// bound returns the Bound of a model in a failure domain. Without one, no
// servers are allowed.
func (f *Fleet) bound(model, domain string) Bound {
	for _, b := range f.Bounds {
		if b.Model == model && b.Domain == domain {
			return b
		}
	}
	return Bound{Model: model, Domain: domain}
}

// countServers returns the number of servers of a model in a failure domain that
// are not leaving, those that are down included.
func (f *Fleet) countServers(model, domain string) int {
	n := 0
	for _, e := range f.Engines {
		if e.Model == model && e.Domain == domain && e.State != Leaving {
			n++
		}
	}
	return n
}

// countUp returns the number of servers of a model in a failure domain that are
// neither leaving nor down.
func (f *Fleet) countUp(model, domain string) int {
	n := f.countServers(model, domain)
	for _, e := range f.Engines {
		if e.Model == model && e.Domain == domain && e.State == Down {
			n--
		}
	}
	return n
}

// hasDownEngine reports whether an engine of the failure domain is down.
func (f *Fleet) hasDownEngine(domain string) bool {
	return slices.ContainsFunc(f.Engines, func(e Engine) bool { return e.Domain == domain && e.State == Down })
}

// costPerHour returns the cost of all servers, including those that take no
// requests.
func (f *Fleet) costPerHour() float64 {
	cost := f.OtherCostPerHour
	for _, e := range f.Engines {
		cost += f.model(e.Model).CostPerHour
	}
	return cost
}

// hasChangingEngine reports whether an engine of the failure domain is changing
// or leaving.
func (f *Fleet) hasChangingEngine(domain string) bool {
	for _, e := range f.Engines {
		if e.Domain == domain && (e.State == Changing || e.State == Leaving) {
			return true
		}
	}
	return false
}
