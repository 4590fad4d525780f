package peridotcontrol

import (
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplatform"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// View is the state of a failure domain as seen by the holder of its lease.
type View struct {
	Domain string
	Config *peridotconfig.Config
	// Instances is the platform's list of instances in all failure domains.
	Instances []peridotplatform.Instance
	// Descriptions are the answers of the domain's agents, each given after the agent
	// received the holder's fencing token. Agents that did not answer are missing.
	Descriptions []peridotwire.Description
}

// Action is a decision of NextActions. The set is closed: OrderEngine, OrderBackend
// and DeferOrder.
type Action interface {
	action()
}

// OrderEngine asks the caller to send an order to an engine. The caller sets the
// order's ID, Token and TimeoutMillis.
type OrderEngine struct {
	Instance string
	Order    peridotwire.Order
}

// OrderBackend asks the caller to send an order to the platform. The caller sets the
// order's ID and Token.
type OrderBackend struct {
	Order peridotplatform.BackendOrder
}

// DeferOrder reports that a needed order cannot be sent now, and why.
type DeferOrder struct {
	Code peridotverdict.Code
}

func (OrderEngine) action()  {}
func (OrderBackend) action() {}
func (DeferOrder) action()   {}

// NextActions returns the next actions: at most one for an engine and at most one
// for the platform. limiter limits the rate of model loads.
func NextActions(v View, limiter *LoadLimiter, now time.Time) []Action {
	var actions []Action
	if a := nextEngineAction(v, limiter, now); a != nil {
		actions = append(actions, a)
	}
	if a := nextBackendAction(v, limiter, now); a != nil {
		actions = append(actions, a)
	}
	return actions
}

// nextEngineAction returns the next order to an engine, a DeferOrder if the order must
// wait, or nil if none is needed. Only one engine of the domain changes at a time.
func nextEngineAction(v View, limiter *LoadLimiter, now time.Time) Action {
	for _, d := range v.Descriptions {
		if d.Busy {
			return nil
		}
	}
	var candidate Action
	statuses := v.deploymentStatuses()
	for _, e := range v.engines() {
		if statuses.retain(e) || e.description.Ticket == "" {
			continue
		}
		target, ok := statuses.firstUnderReplicated(e.model)
		if !ok {
			continue
		}
		order, ok := orderTowards(target, e.description)
		if !ok {
			continue
		}
		a := OrderEngine{Instance: e.description.Instance, Order: order}
		// An engine without a loaded model goes first because its change costs no
		// goodput.
		if e.description.Model == "" {
			candidate = a
			break
		}
		if candidate == nil {
			candidate = a
		}
	}
	return limitLoads(candidate, limiter, now)
}

// limitLoads returns a. If a is a model load, limitLoads also records it in limiter,
// or returns a DeferOrder instead of a while limiter does not allow the load.
func limitLoads(a Action, limiter *LoadLimiter, now time.Time) Action {
	order, ok := a.(OrderEngine)
	if !ok || order.Order.Kind != peridotwire.LoadModel {
		return a
	}
	if !limiter.Ready(now) {
		return DeferOrder{Code: peridotverdict.Overloaded}
	}
	limiter.RecordLoad(now)
	return a
}

// orderTowards returns the order that brings an engine closer to its target. It
// returns false if the engine matches the target.
func orderTowards(target peridotconfig.Deployment, d peridotwire.Description) (peridotwire.Order, bool) {
	switch {
	case d.Model != target.Model || d.Version != target.Version:
		return peridotwire.Order{Kind: peridotwire.LoadModel, Model: target.Model, Version: target.Version, Ticket: d.Ticket}, true
	case target.Role != "" && d.Role != string(target.Role):
		return peridotwire.Order{Kind: peridotwire.SetRole, Role: string(target.Role), Ticket: d.Ticket}, true
	default:
		return peridotwire.Order{}, false
	}
}

// runningEngine is an engine that answered and is not leaving.
type runningEngine struct {
	// model is the model that the backend server was ordered for.
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

// deploymentStatus is a deployment with counts of the engines that run it.
type deploymentStatus struct {
	deployment peridotconfig.Deployment
	// matching is the number of engines that run the deployment.
	matching int
	// retained is the number of engines that are assigned to it without a change.
	retained int
}

type deploymentStatuses []*deploymentStatus

// deploymentStatuses returns the domain's deployments of models.
func (v View) deploymentStatuses() deploymentStatuses {
	var ds deploymentStatuses
	for _, d := range v.Config.Deployments {
		if d.Domain == v.Domain && d.Model != "" {
			ds = append(ds, &deploymentStatus{deployment: d})
		}
	}
	for _, e := range v.engines() {
		for _, s := range ds {
			if matches(s.deployment, e.description) {
				s.matching++
			}
		}
	}
	return ds
}

// retain assigns an engine to a deployment that it matches and that has fewer
// retained engines than replicas. It reports whether there is such a deployment; the
// engine then needs no change.
func (ds deploymentStatuses) retain(e runningEngine) bool {
	for _, s := range ds {
		if s.deployment.Model == e.model && matches(s.deployment, e.description) && s.retained < s.deployment.Replicas {
			s.retained++
			return true
		}
	}
	return false
}

// firstUnderReplicated returns the first deployment of a model with fewer matching
// engines than replicas, and whether there is one.
func (ds deploymentStatuses) firstUnderReplicated(model string) (peridotconfig.Deployment, bool) {
	for _, s := range ds {
		if s.deployment.Model == model && s.matching < s.deployment.Replicas {
			return s.deployment, true
		}
	}
	return peridotconfig.Deployment{}, false
}

// matches reports whether an engine runs the model and version of a deployment and
// has its role. An empty role of the deployment matches every role.
func matches(want peridotconfig.Deployment, d peridotwire.Description) bool {
	roleMatches := want.Role == "" || string(want.Role) == d.Role
	return d.Model == want.Model && d.Version == want.Version && roleMatches
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

// findInstance returns the instance with the given ID if it is in the domain and not
// leaving.
func (v View) findInstance(id string) (peridotplatform.Instance, bool) {
	for _, i := range v.Instances {
		if i.ID == id && i.Domain == v.Domain && !i.Leaving {
			return i, true
		}
	}
	return peridotplatform.Instance{}, false
}
