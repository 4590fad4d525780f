package peridotcontrol

import (
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplatform"
	"peridotstack/peridotverdict"
)

// kind is what a backend server is ordered for: a model or a plain service.
type kind struct {
	model   string
	service string
}

func kindOf(i peridotplatform.Instance) kind {
	return kind{model: i.Model, service: i.Service}
}

// nextBackend returns the next order to the platform.
func nextBackend(v View, pace *Pace, now time.Time) Action {
	for _, k := range v.kinds() {
		have, want := len(v.running(k)), v.wanted(k)
		switch {
		case have < want:
			return v.add(k, pace, now)
		case have > want:
			return v.remove(k)
		}
	}
	return nil
}

// kinds returns what any deployment names. Backend servers of a kind that no
// deployment names are not touched: nothing was confirmed about them.
func (v View) kinds() []kind {
	var kinds []kind
	seen := make(map[kind]bool)
	for _, d := range v.Config.Deployments {
		k := kind{model: d.Model, service: d.Service}
		if !seen[k] {
			seen[k] = true
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// wanted returns how many backend servers of a kind the domain should have.
func (v View) wanted(k kind) int {
	want := 0
	for _, d := range v.Config.Deployments {
		if d.Domain == v.Domain && d.Model == k.model && d.Service == k.service {
			want += d.Replicas
		}
	}
	return want
}

// running returns the domain's backend servers of a kind that are not leaving.
func (v View) running(k kind) []peridotplatform.Instance {
	var found []peridotplatform.Instance
	for _, i := range v.Instances {
		if i.Role == peridotplatform.RoleAgent && i.Domain == v.Domain && !i.Leaving && kindOf(i) == k {
			found = append(found, i)
		}
	}
	return found
}

// add orders one more backend server, within the cost ceiling.
func (v View) add(k kind, pace *Pace, now time.Time) Action {
	ceiling := v.Config.CostCeilingPerHour
	if ceiling > 0 && v.cost()+price(v.Config, k) > ceiling {
		return Hold{Code: peridotverdict.CostCeiling}
	}
	if k.model != "" {
		if !pace.Ready(now) {
			return Hold{Code: peridotverdict.Overloaded}
		}
		pace.Loaded(now)
	}
	o := peridotplatform.BackendOrder{Kind: peridotplatform.AddBackend, Domain: v.Domain, Model: k.model, Service: k.service}
	for _, d := range v.deployments(k.model) {
		o.Version = d.Version
	}
	return OrderBackend{Order: o}
}

// remove gives back a backend server, first one that serves nothing wanted.
func (v View) remove(k kind) Action {
	running := v.running(k)
	chosen := running[len(running)-1]
	for _, i := range running {
		if !v.useful(i) {
			chosen = i
			break
		}
	}
	return OrderBackend{Order: peridotplatform.BackendOrder{
		Kind: peridotplatform.RemoveBackend, Domain: v.Domain, Model: k.model, Service: k.service, Instance: chosen.ID,
	}}
}

// useful reports whether an instance runs what a deployment asks for.
func (v View) useful(i peridotplatform.Instance) bool {
	for _, d := range v.Descriptions {
		if d.Instance != i.ID {
			continue
		}
		for _, want := range v.deployments(i.Model) {
			if fits(want, d) {
				return true
			}
		}
		return i.Service != ""
	}
	return false
}

// cost returns what all listed backend servers cost per hour; those about to
// leave still cost.
func (v View) cost() float64 {
	var sum float64
	for _, i := range v.Instances {
		if i.Role == peridotplatform.RoleAgent {
			sum += price(v.Config, kindOf(i))
		}
	}
	return sum
}

func price(c *peridotconfig.Config, k kind) float64 {
	if m, ok := c.Model(k.model); ok {
		return m.CostPerHour
	}
	s, _ := c.Service(k.service)
	return s.CostPerHour
}

// Wanted reports whether an order to the platform that was left open is still
// what the configuration asks for.
func Wanted(v View, o peridotplatform.BackendOrder) bool {
	k := kind{model: o.Model, service: o.Service}
	have, want := len(v.running(k)), v.wanted(k)
	if o.Kind == peridotplatform.RemoveBackend {
		_, listed := v.instance(o.Instance)
		return listed && have > want
	}
	ceiling := v.Config.CostCeilingPerHour
	return have < want && (ceiling <= 0 || v.cost()+price(v.Config, k) <= ceiling)
}
