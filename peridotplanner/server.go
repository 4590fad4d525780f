package peridotplanner

import "peridotstack/peridotconfig"

// order returns an order of one more server, if a model lacks some in total
// whatever the roles. At most one order is open per model and failure domain.
func (w *work) order() (Action, bool) {
	for _, m := range w.fleet.Models {
		if !w.lacks(m) || !w.affords(m) {
			continue
		}
		if domain, ok := w.domainForOrder(m); ok {
			return AddServer{Model: m.Name, Domain: domain, Role: w.scarce(m)}, true
		}
	}
	return nil, false
}

// lacks reports whether, through both windows, the servers that stay and those
// that arrive are too few.
func (w *work) lacks(m Model) bool {
	d := w.demands[m.Name]
	return min(d.fast.total(), d.slow.total()) > w.planner.target*w.staying(m)
}

// staying counts the servers of a model, arriving and changing ones too.
func (w *work) staying(m Model) float64 {
	n := 0.0
	for _, e := range w.fleet.Engines {
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

// affords reports whether one more server stays within the ceiling.
func (w *work) affords(m Model) bool {
	ceiling := w.fleet.CostCeilingPerHour
	return ceiling == 0 || w.fleet.cost()+m.CostPerHour <= ceiling
}

// domainForOrder picks the failure domain with the fewest servers of the model,
// so that the loss of one domain costs least, and none that has lost servers.
func (w *work) domainForOrder(m Model) (string, bool) {
	best, fewest := "", 0
	for _, b := range w.fleet.Bounds {
		n := w.fleet.count(m.Name, b.Domain)
		if b.Model != m.Name || n >= b.Max || w.ordered(m, b.Domain) || w.fleet.lost(b.Domain) {
			continue
		}
		if best == "" || n < fewest {
			best, fewest = b.Domain, n
		}
	}
	return best, best != ""
}

func (w *work) ordered(m Model, domain string) bool {
	for _, e := range w.fleet.Engines {
		if e.Model == m.Name && e.Domain == domain && e.State == Arriving {
			return true
		}
	}
	return false
}

// scarce returns the role whose engines will be the busiest.
func (w *work) scarce(m Model) peridotconfig.Role {
	c := w.fleet.capacityAt(m, w.now+w.fleet.DeliveryDelay)
	n := w.demands[m.Name].slow
	if n.prefill*(c.decode+1) > n.decode*(c.prefill+1) {
		return peridotconfig.Prefill
	}
	return peridotconfig.Decode
}

// giveBack returns the return of one server, if demand has been low for long.
func (w *work) giveBack() (Action, bool) {
	for _, m := range w.fleet.Models {
		since, calm := w.planner.calmSince[m.Name]
		if !calm || w.now-since < w.planner.calm {
			continue
		}
		if e, ok := w.leastMissed(m); ok {
			w.planner.calmSince[m.Name] = w.now
			return RemoveServer{Engine: e.ID, Model: m.Name, Domain: e.Domain}, true
		}
	}
	return nil, false
}

// noteCalm keeps since when one server fewer would have been enough for each
// model, through both windows.
func (w *work) noteCalm() {
	for _, m := range w.fleet.Models {
		d := w.demands[m.Name]
		if max(d.fast.total(), d.slow.total()) > w.planner.low*(w.staying(m)-1) {
			delete(w.planner.calmSince, m.Name)
			continue
		}
		if _, ok := w.planner.calmSince[m.Name]; !ok {
			w.planner.calmSince[m.Name] = w.now
		}
	}
}

// leastMissed picks the engine to return: one that leaves enough of each role,
// from the failure domain that has the most servers of the model.
func (w *work) leastMissed(m Model) (Engine, bool) {
	var best Engine
	most := 0
	for _, e := range w.fleet.Engines {
		n := w.fleet.live(m.Name, e.Domain)
		if e.Model != m.Name || e.State != Serving || w.fleet.changing(e.Domain) {
			continue
		}
		if n <= w.fleet.bound(m.Name, e.Domain).Min || !w.spares(m, e) {
			continue
		}
		if n > most {
			best, most = e, n
		}
	}
	return best, most > 0
}

// spares reports whether the engines that stay get all work done with room left.
func (w *work) spares(m Model, e Engine) bool {
	c := w.fleet.capacityAt(m, w.now)
	switch e.Role {
	case peridotconfig.Prefill:
		c.prefill--
	case peridotconfig.Decode:
		c.decode--
	default:
		c.mixed -= m.MixedShare
	}
	return c.prefill+c.mixed > 0 && c.decode+c.mixed > 0 && c.served(w.demands[m.Name].slow, w.planner.target) >= 1
}
