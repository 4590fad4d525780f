package peridotagent

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"peridotstack/peridotbackend"
	"peridotstack/peridotorder"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	// quiesceTimeout is how long the admission of requests stays stopped if
	// requests were still running and the sender of the order does not send it
	// again.
	quiesceTimeout = 20 * time.Second
	// maxOrderTime is how long the admission of requests stays stopped while an
	// order is applied, unless Resume is called. No order takes that long.
	maxOrderTime = time.Hour
)

// newExecutor returns the executor of orders to an engine, or nil if the backend
// server is a plain service, which accepts no orders.
func (a *Agent) newExecutor() *peridotorder.Executor {
	engine, ok := a.backend.(*peridotbackend.Engine)
	if !ok {
		return nil
	}
	return peridotorder.NewExecutor(engine, a.store, a.settings.Domain, rand.Text(), peridotorder.WithRequests(quiescer{a}))
}

// handleOrder applies an order to the engine.
func (a *Agent) handleOrder(ctx context.Context, params json.RawMessage) (any, error) {
	var o peridotwire.Order
	if err := decodeParams(params, &o); err != nil {
		return nil, err
	}
	if a.orderExecutor == nil {
		return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "a plain service takes no orders")
	}
	err := a.orderExecutor.Order(ctx, o)
	if err != nil {
		a.metrics.CountRefusal(err.Code)
	}
	return peridotwire.OrderResult{Err: err}, nil
}

// handleDescribe returns a description of what the backend server runs.
func (a *Agent) handleDescribe(ctx context.Context, params json.RawMessage) (any, error) {
	var d peridotwire.Describe
	if err := decodeParams(params, &d); err != nil {
		return nil, err
	}
	var answer peridotwire.Description
	if a.orderExecutor != nil {
		var err error
		if answer, err = a.orderExecutor.Describe(ctx, d); err != nil {
			return nil, err
		}
	}
	answer.Instance = a.settings.Instance
	answer.Domain = a.settings.Domain
	answer.Service = a.settings.Service
	return answer, nil
}

// isQuiescedLocked reports whether the admission of requests is stopped because of
// an order. The caller must hold a.mu.
func (a *Agent) isQuiescedLocked() bool {
	return time.Now().Before(a.quiescedUntil)
}

// isQuiesced is isQuiescedLocked for callers that do not hold a.mu.
func (a *Agent) isQuiesced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isQuiescedLocked()
}

// quiescer stops the admission of requests until those on the engine have ended, so
// that an order interrupts none. It implements peridotorder.Requests.
type quiescer struct {
	agent *Agent
}

// Quiesce implements peridotorder.Requests.
func (q quiescer) Quiesce() bool {
	q.agent.mu.Lock()
	defer q.agent.mu.Unlock()
	idle := q.agent.activeJobs == 0
	timeout := quiesceTimeout
	if idle {
		timeout = maxOrderTime
	}
	q.agent.quiescedUntil = time.Now().Add(timeout)
	return idle
}

// Resume implements peridotorder.Requests.
func (q quiescer) Resume(d time.Duration) {
	q.agent.mu.Lock()
	defer q.agent.mu.Unlock()
	q.agent.quiescedUntil = time.Now().Add(d)
}
