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

// orderState is the state of the platform's interface for orders of backend
// servers. The interface checks nothing: it executes each order that arrives in
// time, also a repeated one.
type orderState struct {
	events        []BackendOrderEvent
	droppedOrders int
	answersToLose int
	listLag       time.Duration
	startServer   func(peridotplatform.BackendOrder) peridotplatform.Instance
	stopServer    func(instance string)
}

// BackendOrders returns the orders that took effect so far, oldest first.
func (p *Platform) BackendOrders() []BackendOrderEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.orders.events)
}

// DroppedOrders returns the number of orders that the platform dropped because
// the body arrived too late, not at all or malformed.
func (p *Platform) DroppedOrders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orders.droppedOrders
}

// LoseOrderAnswers makes the next n orders take effect without an answer: the
// platform closes the connection instead.
func (p *Platform) LoseOrderAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders.answersToLose = n
}

// SetListLag sets the time from an order until the list of instances shows it.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders.listLag = lag
}

// SetOrderHandlers sets the functions that start and stop a backend server and
// its agent when the list is about to show an order. Without them an order only
// changes the list.
func (p *Platform) SetOrderHandlers(startServer func(peridotplatform.BackendOrder) peridotplatform.Instance, stopServer func(instance string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders.startServer, p.orders.stopServer = startServer, stopServer
}

// serveOrder receives one order. It drops an order whose body doesn't arrive
// within OrderReadTimeout after the header.
func (p *Platform) serveOrder(w http.ResponseWriter, r *http.Request) {
	deadline := time.Now().Add(peridotplatform.OrderReadTimeout)
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	var o peridotplatform.BackendOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		p.mu.Lock()
		p.orders.droppedOrders++
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if p.execute(o) {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, struct{}{}, nil)
}

// execute makes an order take effect and reports whether the answer is lost.
func (p *Platform) execute(o peridotplatform.BackendOrder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders.events = append(p.orders.events, BackendOrderEvent{Order: o, At: time.Now()})
	number := len(p.orders.events)
	time.AfterFunc(p.orders.listLag, func() { p.applyToList(o, number) })
	if p.orders.answersToLose > 0 {
		p.orders.answersToLose--
		return true
	}
	return false
}

// applyToList starts or stops the ordered backend server and changes the list.
func (p *Platform) applyToList(o peridotplatform.BackendOrder, number int) {
	p.mu.Lock()
	startServer, stopServer := p.orders.startServer, p.orders.stopServer
	p.mu.Unlock()
	if o.Kind == peridotplatform.RemoveBackend {
		if stopServer != nil {
			stopServer(o.Instance)
		}
		p.removeInstance(o.Instance)
		return
	}
	added := peridotplatform.Instance{ID: fmt.Sprintf("backend-%d", number), Role: peridotplatform.RoleAgent}
	if startServer != nil {
		added = startServer(o)
	}
	added.Domain, added.Model, added.Service, added.OrderID = o.Domain, o.Model, o.Service, o.ID
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(slices.Clone(p.instances), added)
}

func (p *Platform) removeInstance(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.DeleteFunc(slices.Clone(p.instances), func(i peridotplatform.Instance) bool { return i.ID == instance })
}

// Instances returns the present list of instances.
func (p *Platform) Instances() []peridotplatform.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.instances)
}
