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
	// quiesceTime is how long the agent takes no new requests for the sake of an
	// order whose sender has not come back.
	quiesceTime = 20 * time.Second
	// holdTime is longer than any order takes.
	holdTime = time.Hour
)

// newExecutor returns the executor of orders for an engine, or nil for a plain
// service, which takes none.
func (a *Agent) newExecutor() *peridotorder.Executor {
	engine, ok := a.backend.(*peridotbackend.Engine)
	if !ok {
		return nil
	}
	return peridotorder.NewExecutor(engine, a.store, a.settings.Domain, rand.Text(), peridotorder.WithRequests(quiescer{a}))
}

// order carries out an order.
func (a *Agent) order(ctx context.Context, params json.RawMessage) (any, error) {
	var o peridotwire.Order
	if err := decode(params, &o); err != nil {
		return nil, err
	}
	if a.orders == nil {
		return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "a plain service takes no orders")
	}
	err := a.orders.Order(ctx, o)
	if err != nil {
		a.metrics.CountRefusal(err.Code)
	}
	return peridotwire.OrderResult{Err: err}, nil
}

// describe tells what the backend server runs.
func (a *Agent) describe(ctx context.Context, params json.RawMessage) (any, error) {
	var d peridotwire.Describe
	if err := decode(params, &d); err != nil {
		return nil, err
	}
	var answer peridotwire.Description
	if a.orders != nil {
		var err error
		if answer, err = a.orders.Describe(ctx, d); err != nil {
			return nil, err
		}
	}
	answer.Instance = a.settings.Instance
	answer.Domain = a.settings.Domain
	answer.Service = a.settings.Service
	return answer, nil
}

// quiet reports whether the agent takes no new requests for the sake of an
// order. It is called with the agent's mutex held.
func (a *Agent) quiet() bool {
	return time.Now().Before(a.quietUntil)
}

// isQuiet is quiet for callers without the mutex.
func (a *Agent) isQuiet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quiet()
}

// quiescer lets the requests on the engine end before an order takes effect.
type quiescer struct {
	agent *Agent
}

func (q quiescer) Quiesce() bool {
	q.agent.mu.Lock()
	defer q.agent.mu.Unlock()
	idle := q.agent.active == 0
	wait := quiesceTime
	if idle {
		wait = holdTime
	}
	q.agent.quietUntil = time.Now().Add(wait)
	return idle
}

func (q quiescer) Resume(d time.Duration) {
	q.agent.mu.Lock()
	defer q.agent.mu.Unlock()
	q.agent.quietUntil = time.Now().Add(d)
}
