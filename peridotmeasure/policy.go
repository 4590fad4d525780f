package peridotmeasure

import (
	"slices"

	"peridotstack/peridotroute"
)

// Policy is a combination of routing, role control and admission.
type Policy struct {
	Name string
	// Baseline is set for a policy that the system is compared with.
	Baseline bool
	Choice   chooser
	Roles    controller
	// Admission turns on admission control. Without it every request starts.
	Admission bool
	// Mixed gives all engines the role Mixed.
	Mixed bool
}

// chooser picks backend servers. The set of choosers is closed.
type chooser interface {
	chooser()
}

// roundRobin picks the servers in turn. Each entry instance counts its own
// choices.
type roundRobin struct{}

// leastOutstanding picks the server with the fewest requests in flight from the
// entry instance.
type leastOutstanding struct{}

// routed uses the real router.
type routed struct{}

func (roundRobin) chooser()       {}
func (leastOutstanding) chooser() {}
func (routed) chooser()           {}

// controller changes the roles and the number of engines. The set of controllers
// is closed.
type controller interface {
	controller()
}

// staticRoles changes nothing.
type staticRoles struct{}

// eagerRoles adapts the roles and the number of engines to the arrivals of the
// last seconds at once, without hysteresis.
type eagerRoles struct{}

// plannedRoles uses the real planner.
type plannedRoles struct{}

func (staticRoles) controller()  {}
func (eagerRoles) controller()   {}
func (plannedRoles) controller() {}

// Policies returns the baselines and, as the last one, the system.
func Policies() []Policy {
	return []Policy{
		{Name: "round robin", Baseline: true, Choice: roundRobin{}, Roles: staticRoles{}},
		{Name: "least outstanding", Baseline: true, Choice: leastOutstanding{}, Roles: staticRoles{}},
		{Name: "router, static roles", Baseline: true, Choice: routed{}, Roles: staticRoles{}, Admission: true},
		{Name: "router, mixed roles", Baseline: true, Choice: routed{}, Roles: staticRoles{}, Admission: true, Mixed: true},
		{Name: "router, no hysteresis", Baseline: true, Choice: routed{}, Roles: eagerRoles{}, Admission: true},
		{Name: "peridotstack", Choice: routed{}, Roles: plannedRoles{}, Admission: true},
	}
}

// baselineRouter picks servers for the baselines that don't use the real router.
type baselineRouter struct {
	// roundRobinChoices counts the round-robin choices by target and role.
	roundRobinChoices map[string]int
	// outstanding counts the requests in flight by server.
	outstanding map[string]int
}

func newBaselineRouter() *baselineRouter {
	return &baselineRouter{roundRobinChoices: make(map[string]int), outstanding: make(map[string]int)}
}

// pick returns one of the servers for the target, which is a model or a plain
// service, in the given role. It returns "" if there is none. It considers
// neither excluded servers nor those that are leaving or down.
func (b *baselineRouter) pick(c chooser, servers []peridotroute.Server, target, role string, exclude []string) string {
	var candidates []string
	for _, s := range servers {
		if s.Model+s.Service == target && s.Role == role && !s.Leaving && !s.Down && !slices.Contains(exclude, s.Instance) {
			candidates = append(candidates, s.Instance)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	if _, ok := c.(roundRobin); ok {
		b.roundRobinChoices[target+role]++
		return candidates[b.roundRobinChoices[target+role]%len(candidates)]
	}
	best := candidates[0]
	for _, name := range candidates {
		if b.outstanding[name] < b.outstanding[best] {
			best = name
		}
	}
	return best
}
