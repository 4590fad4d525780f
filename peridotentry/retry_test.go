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

// pollInterval is how often a test looks whether something is so yet.
const pollInterval = 2 * time.Millisecond

const (
	push        = "/services/" + testService + "/push"
	completions = "/v1/completions"
	streamBody  = `{"model":"hino-llm","prompt":"Next hymn?","max_tokens":8,"stream":true}`
	wholeBody   = `{"model":"hino-llm","prompt":"Next hymn?","max_tokens":8}`
)

// TestRetry lets the first agent that is tried fail in a given way, and watches
// what both were asked to run and what the caller got.
func TestRetry(t *testing.T) {
	breakOff := func(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
		send(p, r.RequestID, 0, "begun")
		return peridotwire.Result{Err: peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, "the answer broke off")}, nil
	}
	tests := []struct {
		name    string
		path    string
		body    string
		first   func(*peridotwire.Peer, peridotwire.Run) (any, error)
		runs    int
		status  int
		verdict string
	}{
		{"push refused", push, "42", refuseLeaving, 2, http.StatusOK, ""},
		{"push may have run", push, "42", hangUp, 1, http.StatusBadGateway, "MayHaveRun"},
		{"push broke off", push, "42", breakOff, 1, http.StatusBadGateway, "Ran"},
		{"completion refused", completions, wholeBody, refuseLeaving, 2, http.StatusOK, ""},
		{"completion may have run", completions, wholeBody, hangUp, 2, http.StatusOK, ""},
		{"stream not begun", completions, streamBody, hangUp, 2, http.StatusOK, ""},
		{"stream begun", completions, streamBody, breakOff, 1, http.StatusOK, "Ran"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			a, b := pair(test.first)
			if test.path == push {
				a.model, b.model = "", ""
			} else {
				a.service, b.service = "", ""
			}
			e, key := entryWith(t, a, b)
			w := ask(e, key, test.path, test.body)
			if got := len(a.ran()) + len(b.ran()); got != test.runs {
				t.Errorf("tries: got %d, want %d", got, test.runs)
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

// pair returns two agents of which the one that is asked first behaves as
// given, and the other echoes.
func pair(first func(*peridotwire.Peer, peridotwire.Run) (any, error)) (a, b *scripted) {
	var mu sync.Mutex
	taken := false
	script := func(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
		mu.Lock()
		mine := !taken
		taken = true
		mu.Unlock()
		if mine {
			return first(p, r)
		}
		return echo(p, r)
	}
	a = &scripted{instance: "a", model: testModel, service: testService, onRun: script}
	b = &scripted{instance: "b", model: testModel, service: testService, onRun: script}
	return a, b
}

// TestTotalFailure lets every agent fail every request, and counts how often the
// callers' requests are sent.
func TestTotalFailure(t *testing.T) {
	const requests = 100
	fail := func(*peridotwire.Peer, peridotwire.Run) (any, error) {
		return peridotwire.Result{Err: peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "the engine is gone")}, nil
	}
	var agents []*scripted
	for _, instance := range []string{"a", "b", "c", "d"} {
		agents = append(agents, &scripted{instance: instance, model: testModel, onRun: fail})
	}
	e, key := entryWith(t, agents...)
	spent := 0
	for i := range requests {
		w := ask(e, key, completions, wholeBody)
		if !strings.Contains(w.Body.String(), `"verdict":"NotRun"`) {
			t.Errorf("request %d: got %d %s, want the verdict NotRun", i, w.Code, w.Body)
		}
		if strings.Contains(w.Body.String(), string(peridotverdict.RetryBudgetSpent)) {
			spent++
		}
	}
	sent := 0
	for _, agent := range agents {
		sent += len(agent.ran())
	}
	if want := requests * 11 / 10; sent > want || sent <= requests {
		t.Errorf("sent: got %d tries of %d requests, want some retries and at most %d tries", sent, requests, want)
	}
	if spent == 0 {
		t.Errorf("got no %s, want some", peridotverdict.RetryBudgetSpent)
	}
}
