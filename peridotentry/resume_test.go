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
// resume after pause. The second resume gets the complete answer.
type resumingAgent struct {
	scriptedAgent
	pause   time.Duration
	resumes atomic.Int64
}

func (s *resumingAgent) HandleRequest(ctx context.Context, p *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
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
