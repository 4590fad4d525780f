package peridotcontrol

import (
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplatform"
	"peridotstack/peridotverdict"
)

// workload is what a backend server is ordered for: a model or a plain service.
// Exactly one field is set.
type workload struct {
	model   string
	service string
}

func workloadOf(i peridotplatform.Instance) workload {
	return workload{model: i.Model, service: i.Service}
}

// nextBackendAction returns the next order to the platform, a DeferOrder if the order
// must wait, or nil if none is needed.
func nextBackendAction(v View, limiter *LoadLimiter, now time.Time) Action {
	for _, w := range v.workloads() {
		have, want := len(v.backends(w)), v.desiredReplicas(w)
		switch {
		case have < want:
			return v.addBackend(w, limiter, now)
		case have > want:
			return v.removeBackend(w)
		}
	}
	return nil
}

// workloads returns the workloads of all deployments in all failure domains. A
// workload without any deployment is left out, so that its backend servers are
// neither added nor removed: the configuration does not confirm a number for it.
func (v View) workloads() []workload {
	var found []workload
	seen := make(map[workload]bool)
	for _, d := range v.Config.Deployments {
		w := workload{model: d.Model, service: d.Service}
		if !seen[w] {
			seen[w] = true
			found = append(found, w)
		}
	}
	return found
}

// desiredReplicas returns how many backend servers of w the domain should have.
func (v View) desiredReplicas(w workload) int {
	want := 0
	for _, d := range v.Config.Deployments {
		if d.Domain == v.Domain && d.Model == w.model && d.Service == w.service {
			want += d.Replicas
		}
	}
	return want
}

// backends returns the domain's backend servers of w that are not leaving.
func (v View) backends(w workload) []peridotplatform.Instance {
	var found []peridotplatform.Instance
	for _, i := range v.Instances {
		if i.Role == peridotplatform.RoleAgent && i.Domain == v.Domain && !i.Leaving && workloadOf(i) == w {
			found = append(found, i)
		}
	}
	return found
}

// addBackend returns the order for one more backend server of w, or a DeferOrder if
// the order would exceed the cost ceiling or, for a model, the rate of loads.
func (v View) addBackend(w workload, limiter *LoadLimiter, now time.Time) Action {
	ceiling := v.Config.CostCeilingPerHour
	if ceiling > 0 && v.costPerHour()+workloadCostPerHour(v.Config, w) > ceiling {
		return DeferOrder{Code: peridotverdict.CostCeiling}
	}
	if w.model != "" {
		if !limiter.Ready(now) {
			return DeferOrder{Code: peridotverdict.Overloaded}
		}
		limiter.RecordLoad(now)
	}
	o := peridotplatform.BackendOrder{Kind: peridotplatform.AddBackend, Domain: v.Domain, Model: w.model, Service: w.service}
	for _, d := range v.deployments(w.model) {
		o.Version = d.Version
	}
	return OrderBackend{Order: o}
}

// removeBackend returns the order to remove a backend server of w. It prefers one
// that does not run a deployment of the domain.
func (v View) removeBackend(w workload) Action {
	running := v.backends(w)
	chosen := running[len(running)-1]
	for _, i := range running {
		if !v.isDeployed(i) {
			chosen = i
			break
		}
	}
	return OrderBackend{Order: peridotplatform.BackendOrder{
		Kind: peridotplatform.RemoveBackend, Domain: v.Domain, Model: w.model, Service: w.service, Instance: chosen.ID,
	}}
}

// isDeployed reports whether an instance answered and runs what a deployment of the
// domain asks for. It is true for any plain service that answered.
func (v View) isDeployed(i peridotplatform.Instance) bool {
	for _, d := range v.Descriptions {
		if d.Instance != i.ID {
			continue
		}
		for _, want := range v.deployments(i.Model) {
			if matches(want, d) {
				return true
			}
		}
		return i.Service != ""
	}
	return false
}

// costPerHour returns the total hourly cost of all listed backend servers, including
// those that are leaving.
func (v View) costPerHour() float64 {
	var sum float64
	for _, i := range v.Instances {
		if i.Role == peridotplatform.RoleAgent {
			sum += workloadCostPerHour(v.Config, workloadOf(i))
		}
	}
	return sum
}

func workloadCostPerHour(c *peridotconfig.Config, w workload) float64 {
	if m, ok := c.Model(w.model); ok {
		return m.CostPerHour
	}
	s, _ := c.Service(w.service)
	return s.CostPerHour
}

// OrderStillWanted reports whether the configuration still asks for an open order
// to the platform and, for an addition, whether the cost ceiling allows it.
func OrderStillWanted(v View, o peridotplatform.BackendOrder) bool {
	w := workload{model: o.Model, service: o.Service}
	have, want := len(v.backends(w)), v.desiredReplicas(w)
	if o.Kind == peridotplatform.RemoveBackend {
		_, listed := v.findInstance(o.Instance)
		return listed && have > want
	}
	ceiling := v.Config.CostCeilingPerHour
	return have < want && (ceiling <= 0 || v.costPerHour()+workloadCostPerHour(v.Config, w) <= ceiling)
}
