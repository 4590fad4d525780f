package peridotentry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"peridotstack/peridotwire"
)

// resumingAgent is an agent whose connection breaks at each request, and at the first
// resume after pause. The second resume gets the complete answer. After a request it
// answers no ping for the time outage.
type resumingAgent struct {
	scriptedAgent
	pause       time.Duration
	resumes     atomic.Int64
	outage      time.Duration
	unreachable atomic.Bool
}

func (s *resumingAgent) HandleRequest(ctx context.Context, p *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	if method == peridotwire.MethodRun && s.outage > 0 {
		s.unreachable.Store(true)
		time.AfterFunc(s.outage, func() { s.unreachable.Store(false) })
	}
	if method == peridotwire.MethodPing && s.unreachable.Load() {
		return closeConn(p, peridotwire.Run{})
	}
	if method != peridotwire.MethodResume {
		return s.scriptedAgent.HandleRequest(ctx, p, method, params)
	}
	var r peridotwire.Resume
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, err
	}
	if s.resumes.Add(1) == 1 {
		time.Sleep(s.pause)
		return closeConn(p, peridotwire.Run{})
	}
	sendChunks(p, r.RequestID, 0, "body")
	return completeResult("body"), nil
}

// TestEachLossIsResumed guards against giving up a request that goes on, because the
// time to resume it is counted from the first loss of its connection.
func TestEachLossIsResumed(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
	}{
		{"second loss at once", 0},
		{"second loss after a long resume", maxResumeTime + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := &resumingAgent{scriptedAgent: scriptedAgent{instance: "a", service: testService, onRun: closeConn}, pause: test.pause}
			e, key := entryToEndpoints(t, agentEndpoint{instance: "a", address: serveAgent(t, s), service: testService})
			start := time.Now()
			w := ask(e, key, pushPath, "body")
			if w.Code != http.StatusOK || w.Body.String() != "body" {
				t.Errorf("got status %d, body %q after %v and %d resumes, want the answer", w.Code, w.Body, time.Since(start), s.resumes.Load())
			}
		})
	}
}

// TestUnreachableAgentIsGivenUp guards against resuming without end at an agent that
// closes each connection at once.
func TestUnreachableAgentIsGivenUp(t *testing.T) {
	s := &closingAgent{scriptedAgent{instance: "a", service: testService, onRun: closeConn}}
	e, key := entryToEndpoints(t, agentEndpoint{instance: "a", address: serveAgent(t, s), service: testService})
	start := time.Now()
	w := ask(e, key, pushPath, "body")
	if elapsed, limit := time.Since(start), 3*maxResumeTime; w.Code != http.StatusBadGateway || elapsed > limit {
		t.Errorf("got status %d, body %q after %v, want status 502 within %v", w.Code, w.Body, elapsed, limit)
	}
}

// closingAgent is an agent that closes the connection at each request and resume.
type closingAgent struct {
	scriptedAgent
}

func (s *closingAgent) HandleRequest(ctx context.Context, p *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	if method == peridotwire.MethodResume {
		return closeConn(p, peridotwire.Run{})
	}
	return s.scriptedAgent.HandleRequest(ctx, p, method, params)
}

// TestReplacedRunIsCanceled guards against two runs of one request at a time: the agent
// of the first run is out of reach until the request has run elsewhere, and must be told
// then that no caller waits for it.
func TestReplacedRunIsCanceled(t *testing.T) {
	canceled := make(chan string, 1)
	first, second := pairOfAgents(closeConn)
	first.service, second.service = "", ""
	handlers := []*outageAgent{{scriptedAgent: first, canceled: canceled}, {scriptedAgent: second, canceled: canceled}}
	var endpoints []agentEndpoint
	for _, h := range handlers {
		endpoints = append(endpoints, agentEndpoint{instance: h.instance, address: serveAgent(t, h), model: testModel})
	}
	e, key := entryToEndpoints(t, endpoints...)
	if w := ask(e, key, completionsPath, completionRequestBody); w.Code != http.StatusOK {
		t.Fatalf("got status %d, body %q, want the answer of the second agent", w.Code, w.Body)
	}
	var want string
	for _, h := range handlers {
		if h.pings.Load() > 0 && h.outage.Load() {
			want = h.receivedRuns()[0].RequestID
			h.outage.Store(false)
		}
	}
	select {
	case got := <-canceled:
		if got != want {
			t.Errorf("canceled: got %q, want %q", got, want)
		}
	case <-time.After(3 * pingInterval):
		t.Errorf("got no cancel of %q within %v after the agent is in reach again, want one", want, 3*pingInterval)
	}
}

// outageAgent is an agent that answers no ping after its connection was closed by a
// request, until outage is false again.
type outageAgent struct {
	*scriptedAgent
	canceled chan string
	pings    atomic.Int64
	outage   atomic.Bool
}

func (s *outageAgent) HandleRequest(ctx context.Context, p *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	if method == peridotwire.MethodPing {
		s.pings.Add(1)
		if s.outage.Load() {
			return closeConn(p, peridotwire.Run{})
		}
	}
	if method != peridotwire.MethodRun {
		return s.scriptedAgent.HandleRequest(ctx, p, method, params)
	}
	answer, err := s.scriptedAgent.HandleRequest(ctx, p, method, params)
	if answer == nil { // The connection was closed.
		s.outage.Store(true)
	}
	return answer, err
}

func (s *outageAgent) HandleNotification(_ *peridotwire.Peer, method string, params json.RawMessage) {
	var c peridotwire.Cancel
	if method == peridotwire.MethodCancel && json.Unmarshal(params, &c) == nil {
		s.canceled <- c.RequestID
	}
}

// TestOnlyRunIsNotGivenUp guards against giving up the only run of a request that may be
// repeated, although no other agent can take it: its agent is out of reach for longer
// than maxRepeatableResumeTime and has the answer afterwards.
func TestOnlyRunIsNotGivenUp(t *testing.T) {
	s := &resumingAgent{scriptedAgent: scriptedAgent{instance: "a", model: testModel, onRun: closeConn}, outage: 2 * maxRepeatableResumeTime}
	e, key := entryToEndpoints(t, agentEndpoint{instance: "a", address: serveAgent(t, s), model: testModel})
	start := time.Now()
	w := ask(e, key, completionsPath, completionRequestBody)
	if w.Code != http.StatusOK || w.Body.String() != "body" {
		t.Errorf("got status %d, body %q after %v, want the answer", w.Code, w.Body, time.Since(start))
	}
}
