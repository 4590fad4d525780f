package peridotstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"peridotstack/peridotplatform"
)

// BackendOrderEvent is one order that took effect at the stand-in platform.
type BackendOrderEvent struct {
	Order peridotplatform.BackendOrder
	At    time.Time
}

// ordering is the platform's interface for ordering backend servers. It checks
// nothing: it carries out whatever arrives in time, also twice.
type ordering struct {
	events      []BackendOrderEvent
	dropped     int
	loseAnswers int
	lag         time.Duration
	start       func(peridotplatform.BackendOrder) peridotplatform.Instance
	stop        func(instance string)
}

// BackendOrders returns the orders that took effect so far.
func (p *Platform) BackendOrders() []BackendOrderEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.ordering.events)
}

// DroppedOrders returns how many orders were dropped because their body came
// too late or not at all.
func (p *Platform) DroppedOrders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ordering.dropped
}

// LoseOrderAnswers makes the next n orders take effect and lose their answers.
func (p *Platform) LoseOrderAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordering.loseAnswers = n
}

// SetListLag sets how long after an order the list shows it.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordering.lag = lag
}

// OnOrders sets what starts and stops a backend server with the process beside
// it. Without it an order only changes the list.
func (p *Platform) OnOrders(start func(peridotplatform.BackendOrder) peridotplatform.Instance, stop func(instance string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordering.start, p.ordering.stop = start, stop
}

// takeOrder takes one order. The body must arrive within OrderReadTimeout from
// the head, or the order is dropped.
func (p *Platform) takeOrder(w http.ResponseWriter, r *http.Request) {
	deadline := time.Now().Add(peridotplatform.OrderReadTimeout)
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	var o peridotplatform.BackendOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		p.mu.Lock()
		p.ordering.dropped++
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if p.carryOut(o) {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, struct{}{}, nil)
}

// carryOut makes an order take effect and reports whether its answer gets lost.
func (p *Platform) carryOut(o peridotplatform.BackendOrder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordering.events = append(p.ordering.events, BackendOrderEvent{Order: o, At: time.Now()})
	number := len(p.ordering.events)
	time.AfterFunc(p.ordering.lag, func() { p.show(o, number) })
	if p.ordering.loseAnswers > 0 {
		p.ordering.loseAnswers--
		return true
	}
	return false
}

// show makes the list show an order.
func (p *Platform) show(o peridotplatform.BackendOrder, number int) {
	p.mu.Lock()
	start, stop := p.ordering.start, p.ordering.stop
	p.mu.Unlock()
	if o.Kind == peridotplatform.RemoveBackend {
		if stop != nil {
			stop(o.Instance)
		}
		p.remove(o.Instance)
		return
	}
	added := peridotplatform.Instance{ID: fmt.Sprintf("backend-%d", number), Role: peridotplatform.RoleAgent}
	if start != nil {
		added = start(o)
	}
	added.Domain, added.Model, added.Service, added.OrderID = o.Domain, o.Model, o.Service, o.ID
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(slices.Clone(p.instances), added)
}

func (p *Platform) remove(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.DeleteFunc(slices.Clone(p.instances), func(i peridotplatform.Instance) bool { return i.ID == instance })
}

// Instances returns the list as it shows now.
func (p *Platform) Instances() []peridotplatform.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.instances)
}
