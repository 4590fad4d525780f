package peridotmeasure

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Scenario is a set of events that happen while requests arrive.
type Scenario struct {
	Name  string
	Turns []Turn
}

// Turn is one event of a scenario. The set of events is closed.
type Turn interface {
	turn()
}

// RatioMoves multiplies the profile's ratio of prefill to decode work by Part
// from At on.
type RatioMoves struct {
	At   time.Duration
	Part float64
}

// DomainFails makes the failure domain with the index Domain fail at At and
// recover at Until.
type DomainFails struct {
	At, Until time.Duration
	Domain    int
}

// ReportsLag delays load reports by Lag.
type ReportsLag struct {
	Lag time.Duration
}

// AccountFloods makes the client account with the index Account send additional
// work from At to Until. Load is this work as a fraction of the time of all
// engines.
type AccountFloods struct {
	At, Until time.Duration
	Account   int
	Load      float64
}

// LoadRises sets the load from At on. The delivery of ordered servers takes
// Delivery during the whole scenario.
type LoadRises struct {
	At       time.Duration
	Load     float64
	Delivery time.Duration
}

// StoreFails makes the store unavailable from At to Until. Without it there are
// no plans and no orders.
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
	// arrivalDuration is the time during which requests arrive.
	arrivalDuration = 12 * time.Minute
	// warmUp is the time at the start whose requests are not counted.
	warmUp = 30 * time.Second
	// defaultDeliveryTime is the delivery time of ordered servers unless the
	// scenario sets one. The planner always assumes this time.
	defaultDeliveryTime = 3 * time.Minute
	defaultReportLag    = 300 * time.Millisecond
	// pairSeparator separates the two names in the name of a pair of scenarios.
	pairSeparator = "+"
)

// singleScenarios returns the scenarios of which Scenarios makes pairs.
func singleScenarios() []Scenario {
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

// Scenarios returns the scenario without events, "steady", the single scenarios,
// and the combinations of two of them.
func Scenarios() []Scenario {
	alone := singleScenarios()
	all := append([]Scenario{{Name: "steady"}}, alone...)
	for i, a := range alone {
		for _, b := range alone[i+1:] {
			all = append(all, Scenario{Name: a.Name + pairSeparator + b.Name, Turns: slices.Concat(a.Turns, b.Turns)})
		}
	}
	return all
}

// FindScenarios returns the scenario with the given name. The name "all" selects
// all scenarios, "pairs" the combinations of two, and "single" the others. It
// returns an error if there is no such scenario.
func FindScenarios(name string) ([]Scenario, error) {
	var found []Scenario
	for _, s := range Scenarios() {
		pair := strings.Contains(s.Name, pairSeparator)
		if name == s.Name || name == "all" || name == "pairs" && pair || name == "single" && !pair {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return nil, errors.Errorf("no scenario %q", name)
	}
	return found, nil
}

// ratioAt returns the factor for the ratio of prefill to decode work at a time.
func (s Scenario) ratioAt(at time.Duration) float64 {
	part := 1.0
	for _, t := range s.Turns {
		if t, ok := t.(RatioMoves); ok && at >= t.At {
			part = t.Part
		}
	}
	return part
}

// loadAt returns the load at a time. It is the given load of the profile unless
// an event has set another one.
func (s Scenario) loadAt(at time.Duration, load float64) float64 {
	for _, t := range s.Turns {
		if t, ok := t.(LoadRises); ok && at >= t.At {
			load = t.Load
		}
	}
	return load
}

// reportLag returns the delay of load reports.
func (s Scenario) reportLag() time.Duration {
	for _, t := range s.Turns {
		if t, ok := t.(ReportsLag); ok {
			return t.Lag
		}
	}
	return defaultReportLag
}

// deliveryTime returns the delivery time of ordered servers.
func (s Scenario) deliveryTime() time.Duration {
	for _, t := range s.Turns {
		if t, ok := t.(LoadRises); ok {
			return t.Delivery
		}
	}
	return defaultDeliveryTime
}

// storeDown reports whether the store is unavailable at a time.
func (s Scenario) storeDown(at time.Duration) bool {
	for _, t := range s.Turns {
		if t, ok := t.(StoreFails); ok && at >= t.At && at < t.Until {
			return true
		}
	}
	return false
}

// accountFloods reports whether the account with the given index sends a flood
// at any time.
func (s Scenario) accountFloods(account int) bool {
	for _, t := range s.Turns {
		if t, ok := t.(AccountFloods); ok && t.Account == account {
			return true
		}
	}
	return false
}

// shiftTimes returns the times at which the load or the number of servers
// changes.
func (s Scenario) shiftTimes() []time.Duration {
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
