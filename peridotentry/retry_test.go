package peridotentry

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// testPollInterval is the time between two checks of a condition.
const testPollInterval = 2 * time.Millisecond

const (
	pushPath              = "/services/" + testService + "/push"
	completionsPath       = "/v1/completions"
	streamRequestBody     = `{"model":"hino-llm","prompt":"Next hymn?","max_tokens":8,"stream":true}`
	completionRequestBody = `{"model":"hino-llm","prompt":"Next hymn?","max_tokens":8}`
)

// TestRetry makes the first agent that is tried fail in a given way and checks
// the number of tries and the caller's response.
func TestRetry(t *testing.T) {
	sendIncomplete := func(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
		sendChunks(p, r.RequestID, 0, "begun")
		return peridotwire.Result{Err: peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, "the answer broke off")}, nil
	}
	tests := []struct {
		name    string
		path    string
		body    string
		first   func(*peridotwire.Peer, peridotwire.Run) (any, error)
		tries   int
		status  int
		verdict string
	}{
		{"push refused", pushPath, "42", refuseLeaving, 2, http.StatusOK, ""},
		{"push may have run", pushPath, "42", closeConn, 1, http.StatusBadGateway, "MayHaveRun"},
		{"push answer incomplete", pushPath, "42", sendIncomplete, 1, http.StatusBadGateway, "Ran"},
		{"completion refused", completionsPath, completionRequestBody, refuseLeaving, 2, http.StatusOK, ""},
		{"completion may have run", completionsPath, completionRequestBody, closeConn, 2, http.StatusOK, ""},
		{"stream not started", completionsPath, streamRequestBody, closeConn, 2, http.StatusOK, ""},
		{"stream started", completionsPath, streamRequestBody, sendIncomplete, 1, http.StatusOK, "Ran"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			a, b := pairOfAgents(test.first)
			if test.path == pushPath {
				a.model, b.model = "", ""
			} else {
				a.service, b.service = "", ""
			}
			e, key := entryWith(t, a, b)
			w := ask(e, key, test.path, test.body)
			if got := len(a.receivedRuns()) + len(b.receivedRuns()); got != test.tries {
				t.Errorf("tries: got %d, want %d", got, test.tries)
			}
			if w.Code != test.status {
				t.Errorf("status: got %d (%s), want %d", w.Code, w.Body, test.status)
			}
			body := w.Body.String()
			if test.verdict == "" && !strings.Contains(body, test.body) {
				t.Errorf("answer: got %q, want %q within", body, test.body)
			}
			if test.verdict != "" && !strings.Contains(body, `"verdict":"`+test.verdict+`"`) {
				t.Errorf("answer: got %q, want the verdict %s", body, test.verdict)
			}
		})
	}
}

// pairOfAgents returns two agents. The one that is called first behaves as
// given, the other one echoes requests.
func pairOfAgents(first func(*peridotwire.Peer, peridotwire.Run) (any, error)) (a, b *scriptedAgent) {
	var mu sync.Mutex
	called := false
	script := func(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
		mu.Lock()
		isFirst := !called
		called = true
		mu.Unlock()
		if isFirst {
			return first(p, r)
		}
		return echo(p, r)
	}
	a = &scriptedAgent{instance: "a", model: testModel, service: testService, onRun: script}
	b = &scriptedAgent{instance: "b", model: testModel, service: testService, onRun: script}
	return a, b
}

// TestRetryBudgetLimitsTries makes every request fail at every agent. The retry
// budget must limit the tries to 1.1 per request.
func TestRetryBudgetLimitsTries(t *testing.T) {
	const requests = 100
	fail := func(*peridotwire.Peer, peridotwire.Run) (any, error) {
		return peridotwire.Result{Err: peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "the engine is gone")}, nil
	}
	var agents []*scriptedAgent
	for _, instance := range []string{"a", "b", "c", "d"} {
		agents = append(agents, &scriptedAgent{instance: instance, model: testModel, onRun: fail})
	}
	e, key := entryWith(t, agents...)
	spent := 0
	for i := range requests {
		w := ask(e, key, completionsPath, completionRequestBody)
		if !strings.Contains(w.Body.String(), `"verdict":"NotRun"`) {
			t.Errorf("request %d: got %d %s, want the verdict NotRun", i, w.Code, w.Body)
		}
		if strings.Contains(w.Body.String(), string(peridotverdict.RetryBudgetSpent)) {
			spent++
		}
	}
	sent := 0
	for _, agent := range agents {
		sent += len(agent.receivedRuns())
	}
	if want := requests * 11 / 10; sent > want || sent <= requests {
		t.Errorf("sent: got %d tries of %d requests, want some retries and at most %d tries", sent, requests, want)
	}
	if spent == 0 {
		t.Errorf("got no %s, want some", peridotverdict.RetryBudgetSpent)
	}
}
