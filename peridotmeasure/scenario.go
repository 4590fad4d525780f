package peridotmeasure

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Scenario is a set of events that happen while requests arrive.
type Scenario struct {
	Name   string
	Events []Event
}

// Event is one event of a scenario. The set of events is closed.
type Event interface {
	event()
}

// RatioChange multiplies the profile's ratio of prefill to decode work by Factor
// from At on.
type RatioChange struct {
	At     time.Duration
	Factor float64
}

// DomainOutage makes the failure domain with the index Domain fail at At and
// recover at Until.
type DomainOutage struct {
	At, Until time.Duration
	Domain    int
}

// ReportDelay delays all load reports by Delay.
type ReportDelay struct {
	Delay time.Duration
}

// AccountFlood makes the client account with the index Account send additional
// work from At to Until. Load is this work as a fraction of the time of all
// engines.
type AccountFlood struct {
	At, Until time.Duration
	Account   int
	Load      float64
}

// LoadIncrease sets the load from At on. It also sets the delivery time of
// ordered servers, for the whole scenario.
type LoadIncrease struct {
	At           time.Duration
	Load         float64
	DeliveryTime time.Duration
}

// StoreOutage makes the store unavailable from At to Until. During this time there
// are no plans and no orders.
type StoreOutage struct {
	At, Until time.Duration
}

func (RatioChange) event()  {}
func (DomainOutage) event() {}
func (ReportDelay) event()  {}
func (AccountFlood) event() {}
func (LoadIncrease) event() {}
func (StoreOutage) event()  {}

const (
	// arrivalDuration is the time during which requests arrive.
	arrivalDuration = 12 * time.Minute
	// warmUp is the time at the start whose arrivals are left out of the counts of
	// outcomes.
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
		{Name: "ratio", Events: []Event{
			RatioChange{At: 2 * time.Minute, Factor: 2},
			RatioChange{At: 5 * time.Minute, Factor: 0.5},
			RatioChange{At: 8 * time.Minute, Factor: 1},
		}},
		{Name: "domain", Events: []Event{DomainOutage{At: 4 * time.Minute, Until: 8 * time.Minute, Domain: 1}}},
		{Name: "lag", Events: []Event{ReportDelay{Delay: 2 * time.Second}}},
		{Name: "flood", Events: []Event{AccountFlood{At: 3 * time.Minute, Until: 9 * time.Minute, Account: 2, Load: 0.5}}},
		{Name: "late", Events: []Event{LoadIncrease{At: 2 * time.Minute, Load: 1.1, DeliveryTime: 5 * time.Minute}}},
		{Name: "store", Events: []Event{StoreOutage{At: time.Minute, Until: 11 * time.Minute}}},
	}
}

// Scenarios returns the scenario without events, "steady", the single scenarios,
// and the combinations of two of them.
func Scenarios() []Scenario {
	singles := singleScenarios()
	all := append([]Scenario{{Name: "steady"}}, singles...)
	for i, a := range singles {
		for _, b := range singles[i+1:] {
			all = append(all, Scenario{Name: a.Name + pairSeparator + b.Name, Events: slices.Concat(a.Events, b.Events)})
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
	factor := 1.0
	for _, e := range s.Events {
		if e, ok := e.(RatioChange); ok && at >= e.At {
			factor = e.Factor
		}
	}
	return factor
}

// loadAt returns the load at a time. It is the given load of the profile unless
// an event has set another one.
func (s Scenario) loadAt(at time.Duration, load float64) float64 {
	for _, e := range s.Events {
		if e, ok := e.(LoadIncrease); ok && at >= e.At {
			load = e.Load
		}
	}
	return load
}

// reportLag returns the delay of load reports.
func (s Scenario) reportLag() time.Duration {
	for _, e := range s.Events {
		if e, ok := e.(ReportDelay); ok {
			return e.Delay
		}
	}
	return defaultReportLag
}

// deliveryTime returns the delivery time of ordered servers.
func (s Scenario) deliveryTime() time.Duration {
	for _, e := range s.Events {
		if e, ok := e.(LoadIncrease); ok {
			return e.DeliveryTime
		}
	}
	return defaultDeliveryTime
}

// storeDown reports whether the store is unavailable at a time.
func (s Scenario) storeDown(at time.Duration) bool {
	for _, e := range s.Events {
		if e, ok := e.(StoreOutage); ok && at >= e.At && at < e.Until {
			return true
		}
	}
	return false
}

// accountFloods reports whether the account with the given index sends a flood
// at any time.
func (s Scenario) accountFloods(account int) bool {
	for _, e := range s.Events {
		if e, ok := e.(AccountFlood); ok && e.Account == account {
			return true
		}
	}
	return false
}

// shiftTimes returns the times at which the load or the number of servers
// changes.
func (s Scenario) shiftTimes() []time.Duration {
	var times []time.Duration
	for _, e := range s.Events {
		switch e := e.(type) {
		case RatioChange:
			times = append(times, e.At)
		case DomainOutage:
			times = append(times, e.At, e.Until)
		case AccountFlood:
			times = append(times, e.At, e.Until)
		case LoadIncrease:
			times = append(times, e.At)
		}
	}
	return times
}
