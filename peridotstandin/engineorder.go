package peridotstandin

import (
	"net/http"
	"slices"
	"time"

	"peridotstack/peridotwire"
)

// OrderPhase is a phase of an order at a stand-in engine.
type OrderPhase string

const (
	// OrderBegan means that the engine began the change.
	OrderBegan OrderPhase = "Began"
	// OrderDone means that the change took effect.
	OrderDone OrderPhase = "Done"
	// OrderCrashed means that the engine crashed during the change.
	OrderCrashed OrderPhase = "Crashed"
	// OrderRefused means that the engine refused the order because of its fencing
	// token.
	OrderRefused OrderPhase = "Refused"
)

// OrderEvent is one entry of a stand-in engine's log of orders.
type OrderEvent struct {
	Phase OrderPhase
	Order peridotwire.Order
	At    time.Time
}

// OrderEvents returns the log of orders so far, oldest first.
func (e *Engine) OrderEvents() []OrderEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orderEvents)
}

// LoseOrderAnswers makes the next n orders take effect without an answer: the
// engine closes the connection instead.
func (e *Engine) LoseOrderAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderAnswersToLose = n
}

// CrashDuringOrders makes the engine crash during each of the next n orders. The
// engine restarts without a model and has forgotten its fencing token.
func (e *Engine) CrashDuringOrders(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordersToCrash = n
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o peridotwire.Order
	if !readBody(w, r, &o) {
		return
	}
	crash, ok := e.startOrder(o)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	// An engine continues an order even if the sender has closed the connection.
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

// startOrder begins an order. It reports whether the engine will crash during
// it, and with ok whether the engine accepts the fencing token.
func (e *Engine) startOrder(o peridotwire.Order) (crash, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckFencingTokens && o.Token < e.fencingToken {
		e.logOrder(OrderRefused, o)
		return false, false
	}
	e.fencingToken = o.Token
	e.state.Changing = true
	e.logOrder(OrderBegan, o)
	if e.ordersToCrash > 0 {
		e.ordersToCrash--
		return true, true
	}
	return false, true
}

func (e *Engine) crashOrder(o peridotwire.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Changing = false
	e.state.Model, e.state.Version = "", ""
	e.fencingToken = 0
	e.logOrder(OrderCrashed, o)
}

// endOrder applies the change and reports whether the answer is lost.
func (e *Engine) endOrder(o peridotwire.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Changing = false
	e.state.LastOrder = o.ID
	e.orders = append(e.orders, o)
	e.logOrder(OrderDone, o)
	switch o.Kind {
	case peridotwire.LoadModel:
		e.state.Model, e.state.Version = o.Model, o.Version
	case peridotwire.LoadAdapter:
		e.state.Adapters = append(e.state.Adapters, o.Adapter)
	case peridotwire.SetRole:
		e.state.Role = o.Role
	}
	if e.orderAnswersToLose > 0 {
		e.orderAnswersToLose--
		return true
	}
	return false
}

func (e *Engine) logOrder(phase OrderPhase, o peridotwire.Order) {
	e.orderEvents = append(e.orderEvents, OrderEvent{Phase: phase, Order: o, At: time.Now()})
}
