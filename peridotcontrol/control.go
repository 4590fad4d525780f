package peridotcontrol

import (
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplatform"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// View is what the holder of a failure domain sees.
type View struct {
	Domain string
	Config *peridotconfig.Config
	// Instances is the platform's list, of all failure domains.
	Instances []peridotplatform.Instance
	// Descriptions are the answers of the domain's agents, each given after the
	// agent had seen the holder's token. Who did not answer is missing.
	Descriptions []peridotwire.Description
}

// Action is one thing to do. The set is closed: OrderEngine, OrderBackend and
// Hold.
type Action interface {
	action()
}

// OrderEngine is an order to an engine. ID, Token and TimeoutMillis are left to
// the sender.
type OrderEngine struct {
	Instance string
	Order    peridotwire.Order
}

// OrderBackend is an order to the platform. ID and Token are left to the sender.
type OrderBackend struct {
	Order peridotplatform.BackendOrder
}

// Hold says why something that is wanted is not done now.
type Hold struct {
	Code peridotverdict.Code
}

func (OrderEngine) action()  {}
func (OrderBackend) action() {}
func (Hold) action()         {}

// Next returns what to do next: at most one order to an engine and at most one
// to the platform. Loads wait for the pace.
func Next(v View, pace *Pace, now time.Time) []Action {
	var actions []Action
	if a := nextEngine(v, pace, now); a != nil {
		actions = append(actions, a)
	}
	if a := nextBackend(v, pace, now); a != nil {
		actions = append(actions, a)
	}
	return actions
}

// nextEngine returns the next order to an engine. While one engine of the domain
// changes, no other does.
func nextEngine(v View, pace *Pace, now time.Time) Action {
	for _, d := range v.Descriptions {
		if d.Busy {
			return nil
		}
	}
	var candidate Action
	for _, d := range v.Descriptions {
		i, ok := v.instance(d.Instance)
		if !ok || i.Model == "" || d.Ticket == "" {
			continue
		}
		target, ok := v.target(i, d)
		if !ok {
			continue
		}
		order, ok := change(target, d)
		if !ok {
			continue
		}
		a := OrderEngine{Instance: d.Instance, Order: order}
		// An engine that runs nothing goes first: it costs no goodput.
		if d.Model == "" {
			candidate = a
			break
		}
		if candidate == nil {
			candidate = a
		}
	}
	return paced(candidate, pace, now)
}

// paced holds back a load that would come too early.
func paced(a Action, pace *Pace, now time.Time) Action {
	order, ok := a.(OrderEngine)
	if !ok || order.Order.Kind != peridotwire.LoadModel {
		return a
	}
	if !pace.Ready(now) {
		return Hold{Code: peridotverdict.Overloaded}
	}
	pace.Loaded(now)
	return a
}

// change returns the order that brings an engine closer to its target.
func change(target peridotconfig.Deployment, d peridotwire.Description) (peridotwire.Order, bool) {
	switch {
	case d.Model != target.Model || d.Version != target.Version:
		return peridotwire.Order{Kind: peridotwire.LoadModel, Model: target.Model, Version: target.Version, Ticket: d.Ticket}, true
	case target.Role != "" && d.Role != string(target.Role):
		return peridotwire.Order{Kind: peridotwire.SetRole, Role: string(target.Role), Ticket: d.Ticket}, true
	default:
		return peridotwire.Order{}, false
	}
}

// target returns the deployment that an engine should serve. An engine that fits
// a deployment stays with it; the others fill up what is short, and an engine
// that is not needed stays as it is until it is removed.
func (v View) target(i peridotplatform.Instance, d peridotwire.Description) (peridotconfig.Deployment, bool) {
	for _, want := range v.deployments(i.Model) {
		if fits(want, d) && v.placeOf(want, d.Instance) < want.Replicas {
			return want, true
		}
	}
	for _, want := range v.deployments(i.Model) {
		if v.fitting(want) < want.Replicas {
			return want, true
		}
	}
	return peridotconfig.Deployment{}, false
}

func fits(want peridotconfig.Deployment, d peridotwire.Description) bool {
	role := want.Role == "" || string(want.Role) == d.Role
	return d.Model == want.Model && d.Version == want.Version && role
}

// placeOf counts the engines listed before an instance that fit a deployment.
func (v View) placeOf(want peridotconfig.Deployment, instance string) int {
	place := 0
	for _, d := range v.Descriptions {
		if d.Instance == instance {
			return place
		}
		if fits(want, d) {
			place++
		}
	}
	return place
}

func (v View) fitting(want peridotconfig.Deployment) int {
	count := 0
	for _, d := range v.Descriptions {
		if fits(want, d) {
			count++
		}
	}
	return count
}

// deployments returns the domain's deployments of a model.
func (v View) deployments(model string) []peridotconfig.Deployment {
	var found []peridotconfig.Deployment
	for _, d := range v.Config.Deployments {
		if d.Domain == v.Domain && d.Model == model {
			found = append(found, d)
		}
	}
	return found
}

func (v View) instance(id string) (peridotplatform.Instance, bool) {
	for _, i := range v.Instances {
		if i.ID == id && i.Domain == v.Domain && !i.Leaving {
			return i, true
		}
	}
	return peridotplatform.Instance{}, false
}
