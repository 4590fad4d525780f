package peridotmeasure

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Scenario is what goes wrong while requests arrive.
type Scenario struct {
	Name  string
	Turns []Turn
}

// Turn is one thing that happens. The set of turns is closed.
type Turn interface {
	turn()
}

// RatioMoves multiplies the ratio of prefill to decode work from At on.
type RatioMoves struct {
	At   time.Duration
	Part float64
}

// DomainFails takes away a failure domain, by number, and gives it back.
type DomainFails struct {
	At, Until time.Duration
	Domain    int
}

// ReportsLag makes load reports old.
type ReportsLag struct {
	Lag time.Duration
}

// AccountFloods makes an account, by number, send additional work, in parts of
// the time of all engines.
type AccountFloods struct {
	At, Until time.Duration
	Account   int
	Load      float64
}

// LoadRises sets the load from At on; ordered servers take Delivery.
type LoadRises struct {
	At       time.Duration
	Load     float64
	Delivery time.Duration
}

// StoreFails makes plans and orders impossible for a time.
type StoreFails struct {
	At, Until time.Duration
}

func (RatioMoves) turn()    {}
func (DomainFails) turn()   {}
func (ReportsLag) turn()    {}
func (AccountFloods) turn() {}
func (LoadRises) turn()     {}
func (StoreFails) turn()    {}

const (
	// length is how long requests arrive.
	length = 12 * time.Minute
	// warmUp is the part of it that is not counted.
	warmUp = 30 * time.Second
	// usualDelivery is what the planner is told about ordered servers.
	usualDelivery = 3 * time.Minute
	usualLag      = 300 * time.Millisecond
	pairJoint     = "+"
)

func singles() []Scenario {
	return []Scenario{
		{Name: "ratio", Turns: []Turn{
			RatioMoves{At: 2 * time.Minute, Part: 2},
			RatioMoves{At: 5 * time.Minute, Part: 0.5},
			RatioMoves{At: 8 * time.Minute, Part: 1},
		}},
		{Name: "domain", Turns: []Turn{DomainFails{At: 4 * time.Minute, Until: 8 * time.Minute, Domain: 1}}},
		{Name: "lag", Turns: []Turn{ReportsLag{Lag: 2 * time.Second}}},
		{Name: "flood", Turns: []Turn{AccountFloods{At: 3 * time.Minute, Until: 9 * time.Minute, Account: 2, Load: 0.5}}},
		{Name: "late", Turns: []Turn{LoadRises{At: 2 * time.Minute, Load: 1.1, Delivery: 5 * time.Minute}}},
		{Name: "store", Turns: []Turn{StoreFails{At: time.Minute, Until: 11 * time.Minute}}},
	}
}

// Scenarios returns the one in which nothing happens, each scenario alone and
// each pair of them.
func Scenarios() []Scenario {
	alone := singles()
	all := append([]Scenario{{Name: "steady"}}, alone...)
	for i, a := range alone {
		for _, b := range alone[i+1:] {
			all = append(all, Scenario{Name: a.Name + pairJoint + b.Name, Turns: slices.Concat(a.Turns, b.Turns)})
		}
	}
	return all
}

// FindScenarios returns the scenario of that name, "all", "single" or "pairs".
func FindScenarios(name string) ([]Scenario, error) {
	var found []Scenario
	for _, s := range Scenarios() {
		pair := strings.Contains(s.Name, pairJoint)
		if name == s.Name || name == "all" || name == "pairs" && pair || name == "single" && !pair {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return nil, errors.Errorf("no scenario %q", name)
	}
	return found, nil
}

// ratioAt returns what the ratio of prefill to decode is multiplied with.
func (s Scenario) ratioAt(at time.Duration) float64 {
	part := 1.0
	for _, t := range s.Turns {
		if t, ok := t.(RatioMoves); ok && at >= t.At {
			part = t.Part
		}
	}
	return part
}

// loadAt returns the load, given that of the profile.
func (s Scenario) loadAt(at time.Duration, load float64) float64 {
	for _, t := range s.Turns {
		if t, ok := t.(LoadRises); ok && at >= t.At {
			load = t.Load
		}
	}
	return load
}

// lag returns how old load reports are.
func (s Scenario) lag() time.Duration {
	for _, t := range s.Turns {
		if t, ok := t.(ReportsLag); ok {
			return t.Lag
		}
	}
	return usualLag
}

// delivery returns how long ordered servers take.
func (s Scenario) delivery() time.Duration {
	for _, t := range s.Turns {
		if t, ok := t.(LoadRises); ok {
			return t.Delivery
		}
	}
	return usualDelivery
}

// storeDown reports whether nothing can be ordered.
func (s Scenario) storeDown(at time.Duration) bool {
	for _, t := range s.Turns {
		if t, ok := t.(StoreFails); ok && at >= t.At && at < t.Until {
			return true
		}
	}
	return false
}

// floods reports whether the account with the number floods at any time.
func (s Scenario) floods(account int) bool {
	for _, t := range s.Turns {
		if t, ok := t.(AccountFloods); ok && t.Account == account {
			return true
		}
	}
	return false
}

// shifts returns the times at which something changes.
func (s Scenario) shifts() []time.Duration {
	var times []time.Duration
	for _, t := range s.Turns {
		switch t := t.(type) {
		case RatioMoves:
			times = append(times, t.At)
		case DomainFails:
			times = append(times, t.At, t.Until)
		case AccountFloods:
			times = append(times, t.At, t.Until)
		case LoadRises:
			times = append(times, t.At)
		}
	}
	return times
}
