package peridotentry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"peridotstack/peridotawait"
	"peridotstack/peridotconfig"
	"peridotstack/peridotkey"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// addAccount adds a client account and returns its key.
func addAccount(t *testing.T, e *Entry, name string) string {
	t.Helper()
	key, id, hash := peridotkey.New()
	commit(t, e, peridotconfig.Changes{
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: name, Models: []string{testModel}, Services: []string{testService}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: name, Hash: hash}},
	})
	return key
}

// TestFloodingAccountIsRefused sends requests from one account until one is
// refused. A request of a second account must still be admitted, and complete
// while the first request is running.
func TestFloodingAccountIsRefused(t *testing.T) {
	release := make(chan struct{})
	agent := &scriptedAgent{instance: "a", model: testModel, onRun: func(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
		if r.Account == testAccount {
			<-release
		}
		return echo(p, r)
	}}
	e, floodingKey := entryWith(t, agent)
	otherKey := addAccount(t, e, "capela")
	// 400,000 prompt tokens take the only engine 40 seconds.
	longRequest := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":1}`, testModel, strings.Repeat("psalm", 320_000))
	var wg sync.WaitGroup
	wg.Go(func() {
		if got := ask(e, floodingKey, completionsPath, longRequest); got.Code != http.StatusOK {
			t.Errorf("first request of the flooding account: got status %d (%s), want 200", got.Code, got.Body)
		}
	})
	peridotawait.Until(t, "run at the agent", func() bool { return len(agent.receivedRuns()) > 0 })
	refused := ask(e, floodingKey, completionsPath, longRequest)
	if refused.Code != http.StatusServiceUnavailable || !strings.Contains(refused.Body.String(), string(peridotverdict.Overloaded)) {
		t.Errorf("second request of the flooding account: got status %d (%s), want 503 and %s", refused.Code, refused.Body, peridotverdict.Overloaded)
	}
	if after, err := strconv.Atoi(refused.Header().Get("Retry-After")); err != nil || after < 1 {
		t.Errorf("Retry-After: got %q, want a number of seconds", refused.Header().Get("Retry-After"))
	}
	if got := askWithin(e, otherKey, completionsPath, completionRequestBody, "10000"); got.Code != http.StatusOK {
		t.Errorf("the other account: got status %d (%s), want 200", got.Code, got.Body)
	}
	close(release)
	wg.Wait()
	if got, want := len(agent.receivedRuns()), 2; got != want {
		t.Errorf("requests at the agent: got %d, want %d", got, want)
	}
}

// TestUnmeetableDeadlineIsRefused checks that a request is refused at once if it
// cannot be completed before its deadline, and admitted with more time.
func TestUnmeetableDeadlineIsRefused(t *testing.T) {
	agent := &scriptedAgent{instance: "a", model: testModel, onRun: echo}
	e, key := entryWith(t, agent)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":1}`, testModel, strings.Repeat("psalm", 32_000))
	run := peridotwire.Run{Account: testAccount, Model: testModel, Body: body, MaxTokens: 1, TimeoutMillis: 1000}
	_, err := e.traffic.admit(newCall("entry-1", run))
	if err == nil || err.Code != peridotverdict.DeadlineTooShort || err.Verdict != peridotverdict.NotRun {
		t.Errorf("got %v, want %s with NotRun", err, peridotverdict.DeadlineTooShort)
	}
	if got := ask(e, key, completionsPath, body); got.Code != http.StatusOK {
		t.Errorf("with more time: got status %d (%s), want 200", got.Code, got.Body)
	}
}

// TestPrefixAffinity sends prompts with a common prefix. All must go to the
// engine that has cached the prefix.
func TestPrefixAffinity(t *testing.T) {
	a := &scriptedAgent{instance: "a", model: testModel, onRun: echo}
	b := &scriptedAgent{instance: "b", model: testModel, onRun: echo}
	e, key := entryWith(t, a, b)
	for i := range 8 {
		body := fmt.Sprintf(`{"model":%q,"prompt":"%s%d","max_tokens":1}`, testModel, strings.Repeat("order of service ", 2000), i)
		if got := ask(e, key, completionsPath, body); got.Code != http.StatusOK {
			t.Fatalf("request %d: got status %d (%s), want 200", i, got.Code, got.Body)
		}
	}
	if got := len(a.receivedRuns()) * len(b.receivedRuns()); got != 0 {
		t.Errorf("requests: got %d at a and %d at b, want all at one", len(a.receivedRuns()), len(b.receivedRuns()))
	}
}
