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
	slots := v.slots()
	for _, e := range v.engines() {
		if slots.keep(e) || e.description.Ticket == "" {
			continue
		}
		target, ok := slots.short(e.model)
		if !ok {
			continue
		}
		order, ok := change(target, e.description)
		if !ok {
			continue
		}
		a := OrderEngine{Instance: e.description.Instance, Order: order}
		// An engine that runs nothing goes first: it costs no goodput.
		if e.description.Model == "" {
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

// runningEngine is an engine that is not leaving.
type runningEngine struct {
	// model is what the backend server was ordered for.
	model       string
	description peridotwire.Description
}

// engines returns the engines that answered and are not leaving.
func (v View) engines() []runningEngine {
	models := make(map[string]string)
	for _, i := range v.Instances {
		if i.Domain == v.Domain && i.Model != "" && !i.Leaving {
			models[i.ID] = i.Model
		}
	}
	var found []runningEngine
	for _, d := range v.Descriptions {
		if model, ok := models[d.Instance]; ok {
			found = append(found, runningEngine{model: model, description: d})
		}
	}
	return found
}

// slot is a deployment with the number of engines that fit it, and of those it
// keeps.
type slot struct {
	want    peridotconfig.Deployment
	fitting int
	kept    int
}

type slots []*slot

// slots returns the domain's deployments of models.
func (v View) slots() slots {
	var all slots
	for _, d := range v.Config.Deployments {
		if d.Domain == v.Domain && d.Model != "" {
			all = append(all, &slot{want: d})
		}
	}
	for _, e := range v.engines() {
		for _, s := range all {
			if fits(s.want, e.description) {
				s.fitting++
			}
		}
	}
	return all
}

// keep reports whether an engine fits a deployment that still has room: it stays
// as it is.
func (all slots) keep(e runningEngine) bool {
	for _, s := range all {
		if s.want.Model == e.model && fits(s.want, e.description) && s.kept < s.want.Replicas {
			s.kept++
			return true
		}
	}
	return false
}

// short returns a deployment of a model that fewer engines fit than it asks for.
func (all slots) short(model string) (peridotconfig.Deployment, bool) {
	for _, s := range all {
		if s.want.Model == model && s.fitting < s.want.Replicas {
			return s.want, true
		}
	}
	return peridotconfig.Deployment{}, false
}

func fits(want peridotconfig.Deployment, d peridotwire.Description) bool {
	role := want.Role == "" || string(want.Role) == d.Role
	return d.Model == want.Model && d.Version == want.Version && role
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
