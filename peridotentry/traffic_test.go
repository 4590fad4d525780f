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

// withSecondAccount adds a client account and returns its key.
func withSecondAccount(t *testing.T, e *Entry, name string) string {
	t.Helper()
	key, id, hash := peridotkey.New()
	commit(t, e, peridotconfig.Changes{
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: name, Models: []string{testModel}, Services: []string{testService}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: name, Hash: hash}},
	})
	return key
}

// TestFloodIsRefused floods from one account until it is refused, while a second
// account stays welcome and goes first at the engine.
func TestFloodIsRefused(t *testing.T) {
	hold := make(chan struct{})
	agent := &scripted{instance: "a", model: testModel, onRun: func(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
		if r.Account == testAccount {
			<-hold
		}
		return echo(p, r)
	}}
	e, flood := entryWith(t, agent)
	small := withSecondAccount(t, e, "capela")
	// 400,000 prompt tokens are 40 seconds of the only engine.
	long := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":1}`, testModel, strings.Repeat("psalm", 320_000))
	var wg sync.WaitGroup
	wg.Go(func() {
		if got := ask(e, flood, completions, long); got.Code != http.StatusOK {
			t.Errorf("first of the flood: got status %d (%s), want 200", got.Code, got.Body)
		}
	})
	peridotawait.Until(t, "run at the agent", func() bool { return len(agent.ran()) > 0 })
	refused := ask(e, flood, completions, long)
	if refused.Code != http.StatusServiceUnavailable || !strings.Contains(refused.Body.String(), string(peridotverdict.Overloaded)) {
		t.Errorf("second of the flood: got status %d (%s), want 503 and %s", refused.Code, refused.Body, peridotverdict.Overloaded)
	}
	if after, err := strconv.Atoi(refused.Header().Get("Retry-After")); err != nil || after < 1 {
		t.Errorf("Retry-After: got %q, want a number of seconds", refused.Header().Get("Retry-After"))
	}
	if got := askWithin(e, small, completions, wholeBody, "10000"); got.Code != http.StatusOK {
		t.Errorf("the other account: got status %d (%s), want 200", got.Code, got.Body)
	}
	close(hold)
	wg.Wait()
	if got, want := len(agent.ran()), 2; got != want {
		t.Errorf("requests at the agent: got %d, want %d", got, want)
	}
}

// TestShortDeadline refuses at once what cannot end in time.
func TestShortDeadline(t *testing.T) {
	agent := &scripted{instance: "a", model: testModel, onRun: echo}
	e, key := entryWith(t, agent)
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":1}`, testModel, strings.Repeat("psalm", 32_000))
	run := peridotwire.Run{Account: testAccount, Model: testModel, Body: body, MaxTokens: 1, TimeoutMillis: 1000}
	_, err := e.traffic.admit(newCall("entry-1", run))
	if err == nil || err.Code != peridotverdict.DeadlineTooShort || err.Verdict != peridotverdict.NotRun {
		t.Errorf("got %v, want %s with NotRun", err, peridotverdict.DeadlineTooShort)
	}
	if got := ask(e, key, completions, body); got.Code != http.StatusOK {
		t.Errorf("with more time: got status %d (%s), want 200", got.Code, got.Body)
	}
}

// TestPrefixAffinity sends prompts that begin alike to the engine that has read
// the beginning.
func TestPrefixAffinity(t *testing.T) {
	a := &scripted{instance: "a", model: testModel, onRun: echo}
	b := &scripted{instance: "b", model: testModel, onRun: echo}
	e, key := entryWith(t, a, b)
	for i := range 8 {
		body := fmt.Sprintf(`{"model":%q,"prompt":"%s%d","max_tokens":1}`, testModel, strings.Repeat("order of service ", 2000), i)
		if got := ask(e, key, completions, body); got.Code != http.StatusOK {
			t.Fatalf("request %d: got status %d (%s), want 200", i, got.Code, got.Body)
		}
	}
	if got := len(a.ran()) * len(b.ran()); got != 0 {
		t.Errorf("requests: got %d at a and %d at b, want all at one", len(a.ran()), len(b.ran()))
	}
}
