package peridotretry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotstack/peridotverdict"

	"peridotstack/peridotseed"
)

func newError(code peridotverdict.Code, verdict peridotverdict.Verdict) *peridotverdict.Error {
	return peridotverdict.New(code, verdict, "it failed")
}

func TestNext(t *testing.T) {
	const (
		notRun     = peridotverdict.NotRun
		mayHaveRun = peridotverdict.MayHaveRun
		ran        = peridotverdict.Ran
	)
	tests := []struct {
		name    string
		attempt Attempt
		retry   bool
		code    peridotverdict.Code
		verdict peridotverdict.Verdict
	}{
		{name: "not run", attempt: Attempt{Err: newError(peridotverdict.Leaving, notRun)}, retry: true},
		{name: "may have run", attempt: Attempt{Err: newError(peridotverdict.PeerLost, mayHaveRun)}, code: peridotverdict.PeerLost, verdict: mayHaveRun},
		{name: "ran", attempt: Attempt{Err: newError(peridotverdict.ShortAnswer, ran)}, code: peridotverdict.ShortAnswer, verdict: ran},
		{name: "may have run, idempotent", attempt: Attempt{Err: newError(peridotverdict.PeerLost, mayHaveRun), Idempotent: true}, retry: true},
		{name: "ran, idempotent", attempt: Attempt{Err: newError(peridotverdict.ShortAnswer, ran), Idempotent: true}, retry: true},
		{name: "ran, part passed on", attempt: Attempt{Err: newError(peridotverdict.ShortAnswer, ran), Idempotent: true, PassedChunks: 1}, code: peridotverdict.ShortAnswer, verdict: ran},
		{name: "not run, part passed on", attempt: Attempt{Err: newError(peridotverdict.Leaving, notRun), PassedChunks: 1}, code: peridotverdict.Leaving, verdict: notRun},
		{name: "earlier attempt may have run", attempt: Attempt{Err: newError(peridotverdict.Leaving, notRun), EarlierMayHaveRun: true}, code: peridotverdict.Leaving, verdict: mayHaveRun},
		{name: "same error on every server", attempt: Attempt{Err: newError(peridotverdict.BadKey, notRun), Idempotent: true}, code: peridotverdict.BadKey, verdict: notRun},
		{name: "last attempt", attempt: Attempt{Err: newError(peridotverdict.Leaving, notRun), Number: 3}, code: peridotverdict.Leaving, verdict: notRun},
		{name: "no time left", attempt: Attempt{Err: newError(peridotverdict.Leaving, notRun), TimeLeft: time.Second, ExpectedDuration: time.Second}, code: peridotverdict.Leaving, verdict: notRun},
		{name: "budget spent", attempt: Attempt{Account: "spent", Err: newError(peridotverdict.Leaving, notRun)}, code: peridotverdict.RetryBudgetSpent, verdict: notRun},
	}
	for _, test := range tests {
		p := New(1)
		for range 10 {
			p.RecordRetry(0, "spent", "elsewhere")
		}
		a := test.attempt
		a.Instance = "s1"
		if a.Number == 0 {
			a.Number = 1
		}
		if a.TimeLeft == 0 {
			a.TimeLeft = time.Minute
		}
		got := p.Next(0, a)
		if got.Retry != test.retry {
			t.Errorf("%s: got retry %v, want %v", test.name, got.Retry, test.retry)
			continue
		}
		if got.Retry {
			if want := []string{"s1", "elsewhere"}; !slices.Equal(got.Exclude, want) {
				t.Errorf("%s: got excluded %v, want %v", test.name, got.Exclude, want)
			}
			continue
		}
		if after := got.Err.RetryAfter; (after > 0) != (test.code == peridotverdict.RetryBudgetSpent) {
			t.Errorf("%s: got retry after %v, want one only when the budget is spent", test.name, after)
		}
		if got.Err.Code != test.code || got.Err.Verdict != test.verdict {
			t.Errorf("%s: got %v, want %s with %s", test.name, got.Err, test.code, test.verdict)
		}
	}
}

// retryAll simulates requests with retries, each attempt of which fails with
// probability failureRate, and returns the mean number of attempts per request.
func retryAll(p *Policy, random *rand.Rand, requests int, failureRate float64) float64 {
	attempts := 0
	for i := range requests {
		account := fmt.Sprint("a", i%3)
		a := Attempt{Account: account, Idempotent: true, TimeLeft: time.Minute}
		for {
			attempts++
			a.Number++
			a.Instance = fmt.Sprint("s", random.IntN(8))
			if a.Number > 1 {
				p.RecordRetry(0, account, a.Instance)
			}
			if random.Float64() >= failureRate {
				p.RecordSuccess(0, account, a.Instance)
				break
			}
			a.Err = newError(peridotverdict.PeerLost, peridotverdict.MayHaveRun)
			d := p.Next(0, a)
			if !d.Retry {
				break
			}
			a.EarlierMayHaveRun = true
			a.Tried = append(a.Tried, a.Instance)
		}
	}
	return float64(attempts) / float64(requests)
}

// TestRetriesStayFew checks the bound on how much retries multiply the load.
func TestRetriesStayFew(t *testing.T) {
	const requests = 3000
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		random := rand.New(rand.NewPCG(seed, 0))
		for _, failureRate := range []float64{1, 0.9, 0.5, 0.1, 0.01} {
			got := retryAll(New(seed), random, requests, failureRate)
			// Three accounts start with a reserve of ten retries each.
			reserve := 30.0 / requests
			if want := 1.1 + reserve; got > want {
				t.Errorf("seed %d: %.0f%% failing: got %.3f attempts per request, want at most %.3f", seed, 100*failureRate, got, want)
			}
			if failureRate == 1 && got > 1+reserve {
				t.Errorf("seed %d: all failing: got %.3f attempts per request, want at most %.3f", seed, got, 1+reserve)
			}
			if failureRate == 0.01 && got < 1.005 {
				t.Errorf("seed %d: few failing: got %.3f attempts per request, want at least 1.005", seed, got)
			}
		}
	}
}

// TestServerBudget checks that a server whose retry budget is used up is
// excluded, until successes refill the budget or RetainBudgets drops it.
func TestServerBudget(t *testing.T) {
	p := New(1)
	a := Attempt{Account: "a", Instance: "s1", Number: 1, Err: newError(peridotverdict.Leaving, peridotverdict.NotRun), TimeLeft: time.Minute}
	for range 10 {
		p.RecordRetry(0, "b", "s2")
	}
	if got := p.Next(0, a).Exclude; !slices.Contains(got, "s2") {
		t.Errorf("after ten retries at s2: got excluded %v, want s2 among them", got)
	}
	p.RetainBudgets([]string{"a"}, []string{"s2"})
	if got := p.Next(0, a).Exclude; !slices.Contains(got, "s2") {
		t.Errorf("s2 listed in RetainBudgets: got excluded %v, want s2 among them", got)
	}
	for range 10 {
		p.RecordSuccess(0, "b", "s2")
	}
	if got := p.Next(0, a).Exclude; slices.Contains(got, "s2") {
		t.Errorf("after ten successes at s2: got excluded %v, want s2 not among them", got)
	}
	for range 10 {
		p.RecordRetry(0, "b", "s2")
	}
	p.RetainBudgets(nil, nil)
	if got := p.Next(0, a).Exclude; slices.Contains(got, "s2") {
		t.Errorf("s2 not listed in RetainBudgets: got excluded %v, want s2 not among them", got)
	}
}

func TestHedge(t *testing.T) {
	slow := Attempt{Account: "a", Instance: "s1", Number: 1, Idempotent: true, TimeLeft: time.Minute}
	passed, notIdempotent := slow, slow
	passed.PassedChunks = 1
	notIdempotent.Idempotent = false
	tests := []struct {
		name    string
		policy  *Policy
		attempt Attempt
		waited  time.Duration
		want    bool
	}{
		{"off by default", New(1), slow, time.Hour, false},
		{"slow", New(1, HedgeDelay(time.Second)), slow, time.Second, true},
		{"not slow yet", New(1, HedgeDelay(time.Second)), slow, time.Second / 2, false},
		{"part passed on", New(1, HedgeDelay(time.Second)), passed, time.Second, false},
		{"not idempotent", New(1, HedgeDelay(time.Second)), notIdempotent, time.Second, false},
	}
	for _, test := range tests {
		if got := test.policy.Hedge(0, test.attempt, test.waited).Retry; got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func ExamplePolicy() {
	p := New(1)
	d := p.Next(0, Attempt{
		Account:  "matriz-recife",
		Instance: "engine-1",
		Number:   1,
		Err:      peridotverdict.New(peridotverdict.Leaving, peridotverdict.NotRun, "the backend server is leaving"),
		TimeLeft: time.Second,
	})
	fmt.Println(d.Retry, d.Exclude)
	// Output: true [engine-1]
}

func BenchmarkNext(b *testing.B) {
	p := New(1)
	for i := range 1000 {
		p.RecordSuccess(0, "a", fmt.Sprint("s", i))
	}
	a := Attempt{Account: "a", Instance: "s1", Number: 1, Err: newError(peridotverdict.Leaving, peridotverdict.NotRun), TimeLeft: time.Minute}
	b.ReportAllocs()
	for b.Loop() {
		if !p.Next(0, a).Retry {
			b.Fatal("got no retry, want one")
		}
	}
}
