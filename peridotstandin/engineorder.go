package peridotstandin

import (
	"net/http"
	"slices"
	"time"

	"peridotstack/peridotwire"
)

// OrderPhase says what became of an order at a stand-in engine.
type OrderPhase string

const (
	// OrderBegan means that the engine started the change.
	OrderBegan OrderPhase = "Began"
	// OrderDone means that the change took effect.
	OrderDone OrderPhase = "Done"
	// OrderCrashed means that the engine crashed during the change.
	OrderCrashed OrderPhase = "Crashed"
	// OrderRefused means that the engine refused the fencing token.
	OrderRefused OrderPhase = "Refused"
)

// OrderEvent is one line of a stand-in engine's log of orders.
type OrderEvent struct {
	Phase OrderPhase
	Order peridotwire.Order
	At    time.Time
}

// OrderEvents returns the log of orders so far.
func (e *Engine) OrderEvents() []OrderEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.events)
}

// LoseOrderAnswers makes the next n orders take effect and lose their answers.
func (e *Engine) LoseOrderAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseOrders = n
}

// CrashInOrders makes the engine crash in the middle of the next n orders. It
// comes back without a model.
func (e *Engine) CrashInOrders(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOrders = n
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o peridotwire.Order
	if !readBody(w, r, &o) {
		return
	}
	crash, ok := e.beginOrder(o)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	// An engine goes on with an order also when the sender has gone.
	time.Sleep(e.options.OrderTime)
	if crash {
		e.crashOrder(o)
		panic(http.ErrAbortHandler)
	}
	if e.endOrder(o) {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, struct{}{}, nil)
}

func (e *Engine) beginOrder(o peridotwire.Order) (crash, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksTokens && o.Token < e.token {
		e.log(OrderRefused, o)
		return false, false
	}
	e.token = o.Token
	e.state.Changing = true
	e.log(OrderBegan, o)
	if e.crashOrders > 0 {
		e.crashOrders--
		return true, true
	}
	return false, true
}

func (e *Engine) crashOrder(o peridotwire.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Changing = false
	e.state.Model, e.state.Version = "", ""
	e.token = 0
	e.log(OrderCrashed, o)
}

// endOrder makes the change and reports whether its answer gets lost.
func (e *Engine) endOrder(o peridotwire.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Changing = false
	e.state.LastOrder = o.ID
	e.orders = append(e.orders, o)
	e.log(OrderDone, o)
	switch o.Kind {
	case peridotwire.LoadModel:
		e.state.Model, e.state.Version = o.Model, o.Version
	case peridotwire.LoadAdapter:
		e.state.Adapters = append(e.state.Adapters, o.Adapter)
	case peridotwire.SetRole:
		e.state.Role = o.Role
	}
	if e.loseOrders > 0 {
		e.loseOrders--
		return true
	}
	return false
}

func (e *Engine) log(phase OrderPhase, o peridotwire.Order) {
	e.events = append(e.events, OrderEvent{Phase: phase, Order: o, At: time.Now()})
}
