package peridotplanner

import "peridotstack/peridotconfig"

// nextOrder returns the action that orders one more server, if a model has too few
// servers in total, regardless of their roles. At most one order is open per model
// and failure domain.
func (r *planRun) nextOrder() (Action, bool) {
	for _, m := range r.fleet.Models {
		if !r.needsServer(m) || !r.withinCostCeiling(m) {
			continue
		}
		if domain, ok := r.domainForOrder(m); ok {
			return AddServer{Model: m.Name, Domain: domain, Role: r.busiestRole(m)}, true
		}
	}
	return nil, false
}

// needsServer reports whether the retained and the ordered servers of a model
// are too few for its demand, as measured with both windows.
func (r *planRun) needsServer(m Model) bool {
	d := r.demands[m.Name]
	return min(d.fast.total(), d.slow.total()) > r.planner.targetUtilization*r.retainedCapacity(m)
}

// retainedCapacity returns the capacity, in engines, of the servers of a model
// that are neither leaving nor down. Ordered and changing servers are included.
func (r *planRun) retainedCapacity(m Model) float64 {
	n := 0.0
	for _, e := range r.fleet.Engines {
		if e.Model != m.Name || e.State == Leaving || e.State == Down {
			continue
		}
		if e.Role == peridotconfig.Mixed {
			n += m.MixedShare
		} else {
			n++
		}
	}
	return n
}

// withinCostCeiling reports whether the cost stays within the ceiling with one
// more server of a model.
func (r *planRun) withinCostCeiling(m Model) bool {
	ceiling := r.fleet.CostCeilingPerHour
	return ceiling == 0 || r.fleet.costPerHour()+m.CostPerHour <= ceiling
}

// domainForOrder returns the failure domain to order a server in: the one with
// the fewest servers of the model, so that the failure of a single domain loses
// the fewest. It skips domains with servers that are down.
func (r *planRun) domainForOrder(m Model) (string, bool) {
	best, fewest := "", 0
	for _, b := range r.fleet.Bounds {
		n := r.fleet.countServers(m.Name, b.Domain)
		if b.Model != m.Name || n >= b.Max || r.hasOpenOrder(m, b.Domain) || r.fleet.hasDownEngine(b.Domain) {
			continue
		}
		if best == "" || n < fewest {
			best, fewest = b.Domain, n
		}
	}
	return best, best != ""
}

// hasOpenOrder reports whether a server of the model is on order in the failure
// domain.
func (r *planRun) hasOpenOrder(m Model, domain string) bool {
	for _, e := range r.fleet.Engines {
		if e.Model == m.Name && e.Domain == domain && e.State == Provisioning {
			return true
		}
	}
	return false
}

// busiestRole returns the role, Prefill or Decode, that will have the most work
// per engine when a server ordered now is delivered.
func (r *planRun) busiestRole(m Model) peridotconfig.Role {
	c := r.fleet.capacityAt(m, r.now+r.fleet.DeliveryDelay)
	n := r.demands[m.Name].slow
	if n.prefill*(c.decode+1) > n.decode*(c.prefill+1) {
		return peridotconfig.Prefill
	}
	return peridotconfig.Decode
}

// nextReturn returns the action that returns one server, if the demand for its
// model has been low for the scale-down delay.
func (r *planRun) nextReturn() (Action, bool) {
	for _, m := range r.fleet.Models {
		since, low := r.planner.lowDemandSince[m.Name]
		if !low || r.now-since < r.planner.scaleDownDelay {
			continue
		}
		if e, ok := r.engineToReturn(m); ok {
			r.planner.lowDemandSince[m.Name] = r.now
			return RemoveServer{Engine: e.ID, Model: m.Name, Domain: e.Domain}, true
		}
	}
	return nil, false
}

// updateLowDemand records for each model since when one server fewer would have
// been enough, as measured with both windows.
func (r *planRun) updateLowDemand() {
	for _, m := range r.fleet.Models {
		d := r.demands[m.Name]
		if max(d.fast.total(), d.slow.total()) > r.planner.lowUtilization*(r.retainedCapacity(m)-1) {
			delete(r.planner.lowDemandSince, m.Name)
			continue
		}
		if _, ok := r.planner.lowDemandSince[m.Name]; !ok {
			r.planner.lowDemandSince[m.Name] = r.now
		}
	}
}

// engineToReturn returns the engine to return: one that the model can spare,
// from the failure domain with the most servers of the model.
func (r *planRun) engineToReturn(m Model) (Engine, bool) {
	var best Engine
	most := 0
	for _, e := range r.fleet.Engines {
		n := r.fleet.countUp(m.Name, e.Domain)
		if e.Model != m.Name || e.State != Serving || r.fleet.hasChangingEngine(e.Domain) {
			continue
		}
		if n <= r.fleet.bound(m.Name, e.Domain).Min || !r.canSpare(m, e) {
			continue
		}
		if n > most {
			best, most = e, n
		}
	}
	return best, most > 0
}

// canSpare reports whether the engines of the model other than e cover both
// prefill and decode and complete all work within the target utilization.
func (r *planRun) canSpare(m Model, e Engine) bool {
	c := r.fleet.capacityAt(m, r.now)
	switch e.Role {
	case peridotconfig.Prefill:
		c.prefill--
	case peridotconfig.Decode:
		c.decode--
	default:
		c.mixed -= m.MixedShare
	}
	return c.prefill+c.mixed > 0 && c.decode+c.mixed > 0 && c.completedShare(r.demands[m.Name].slow, r.planner.targetUtilization) >= 1
}
