package peridotmeasure

import (
	"slices"

	"peridotstack/peridotroute"
)

// Policy is one way to run the fleet.
type Policy struct {
	Name string
	// Baseline policies are what the system is compared with.
	Baseline bool
	Choice   chooser
	Roles    controller
	// Admission decides at once whether a request may start; without it all do.
	Admission bool
	// Mixed gives all engines the role Mixed.
	Mixed bool
}

// chooser picks backend servers. The set of choosers is closed.
type chooser interface {
	chooser()
}

// roundRobin takes the servers in turn, one turn for each entry instance.
type roundRobin struct{}

// leastOutstanding takes the server to which the entry instance has the fewest
// requests under way.
type leastOutstanding struct{}

// routed is the real router.
type routed struct{}

func (roundRobin) chooser()       {}
func (leastOutstanding) chooser() {}
func (routed) chooser()           {}

// controller moves engines between roles. The set of controllers is closed.
type controller interface {
	controller()
}

// staticRoles leaves all as it is.
type staticRoles struct{}

// eagerRoles makes the roles fit the last seconds at once, and orders and
// returns servers likewise.
type eagerRoles struct{}

// plannedRoles is the real planner.
type plannedRoles struct{}

func (staticRoles) controller()  {}
func (eagerRoles) controller()   {}
func (plannedRoles) controller() {}

// Policies returns the system and its baselines.
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

// fixedChoice picks for the baselines that do without the router.
type fixedChoice struct {
	next        map[string]int
	outstanding map[string]int
}

func newFixedChoice() *fixedChoice {
	return &fixedChoice{next: make(map[string]int), outstanding: make(map[string]int)}
}

// pick returns one of the servers with a role, or an empty name.
func (f *fixedChoice) pick(how chooser, servers []peridotroute.Server, target, role string, exclude []string) string {
	var fit []string
	for _, s := range servers {
		if s.Model+s.Service == target && s.Role == role && !s.Leaving && !s.Down && !slices.Contains(exclude, s.Instance) {
			fit = append(fit, s.Instance)
		}
	}
	if len(fit) == 0 {
		return ""
	}
	if _, ok := how.(roundRobin); ok {
		f.next[target+role]++
		return fit[f.next[target+role]%len(fit)]
	}
	best := fit[0]
	for _, name := range fit {
		if f.outstanding[name] < f.outstanding[best] {
			best = name
		}
	}
	return best
}
