package peridotadmit

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"peridotstack/peridotverdict"

	"peridotstack/peridotseed"
)

func TestAdmit(t *testing.T) {
	accounts := []Account{
		{Name: "a", Weight: 1},
		{Name: "low", Weight: 1, Priority: -1},
		{Name: "limited", Weight: 1, TokensPerSecond: 100},
	}
	tests := []struct {
		name   string
		before []Ask
		ask    Ask
		want   peridotverdict.Code
		after  time.Duration
	}{
		{name: "idle", ask: Ask{Account: "a", PromptTokens: 100, ExpectedOutput: 100}},
		{name: "unknown", ask: Ask{Account: "b"}, want: peridotverdict.NotAllowed},
		{
			name: "queue full", before: []Ask{{Account: "a", PromptTokens: 2400, ExpectedOutput: 100}},
			ask: Ask{Account: "a", PromptTokens: 1}, want: peridotverdict.Overloaded, after: 1501 * time.Millisecond,
		},
		{
			name: "another's queue full", before: []Ask{{Account: "a", PromptTokens: 2400, ExpectedOutput: 100}},
			ask: Ask{Account: "low", PromptTokens: 1},
		},
		{
			name: "deadline inside the queue", before: []Ask{{Account: "a", PromptTokens: 400, ExpectedOutput: 100}},
			ask:  Ask{Account: "a", PromptTokens: 1, Deadline: 400 * time.Millisecond, Wait: 100 * time.Millisecond, Finish: 200 * time.Millisecond},
			want: peridotverdict.Overloaded, after: 201 * time.Millisecond,
		},
		{
			name: "limit", before: []Ask{{Account: "limited", PromptTokens: 300, ExpectedOutput: 100}},
			ask: Ask{Account: "limited", PromptTokens: 1}, want: peridotverdict.AccountLimit, after: 2001 * time.Millisecond,
		},
		{
			name: "late by the wait", ask: Ask{Account: "a", Deadline: time.Second, Wait: 800 * time.Millisecond, Finish: 1300 * time.Millisecond},
			want: peridotverdict.DeadlineTooShort, after: 301 * time.Millisecond,
		},
		{
			name: "never in time", ask: Ask{Account: "a", Deadline: time.Second, Wait: 100 * time.Millisecond, Finish: 2 * time.Second},
			want: peridotverdict.DeadlineTooShort,
		},
		{name: "in time by its priority", ask: Ask{Account: "a", Deadline: time.Second, Wait: 5 * time.Second, Finish: 5500 * time.Millisecond, Alone: 100 * time.Millisecond}},
		{
			name: "late behind its own queue", before: []Ask{{Account: "a", PromptTokens: 500, ExpectedOutput: 100}},
			ask: Ask{Account: "a", Deadline: time.Second, Wait: 5 * time.Second, Finish: 5500 * time.Millisecond, Alone: 100 * time.Millisecond}, want: peridotverdict.DeadlineTooShort, after: 201 * time.Millisecond,
		},
		{name: "never in time alone", ask: Ask{Account: "a", Deadline: time.Second, Wait: 5 * time.Second, Finish: 5500 * time.Millisecond, Alone: 600 * time.Millisecond}, want: peridotverdict.DeadlineTooShort},
	}
	for _, test := range tests {
		d := New()
		d.SetAccounts(0, accounts)
		d.SetCapacity(0, 1000)
		for i, ask := range test.before {
			if got := d.Admit(0, fmt.Sprint(i), ask); !got.Admit {
				t.Fatalf("%s: request %d before: got %v, want it admitted", test.name, i, got.Err)
			}
		}
		got := d.Admit(0, "x", test.ask)
		if got.Admit != (test.want == "") {
			t.Errorf("%s: got admitted %v (%v), want code %q", test.name, got.Admit, got.Err, test.want)
		}
		if got.Err == nil {
			continue
		}
		if got.Err.Code != test.want || got.Err.Verdict != peridotverdict.NotRun || got.Err.RetryAfter != test.after {
			t.Errorf("%s: got %v, back after %v, want %s with NotRun, back after %v", test.name, got.Err, got.Err.RetryAfter, test.want, test.after)
		}
	}
}

// TestPriority puts an account without a queue before a flood.
func TestPriority(t *testing.T) {
	d := New()
	d.SetAccounts(0, []Account{{Name: "flood"}, {Name: "small"}, {Name: "high", Priority: 1}})
	d.SetCapacity(0, 1000)
	first := d.Admit(0, "1", Ask{Account: "flood", PromptTokens: 400, ExpectedOutput: 100}).Priority
	second := d.Admit(0, "2", Ask{Account: "flood", PromptTokens: 400, ExpectedOutput: 100}).Priority
	small := d.Admit(0, "3", Ask{Account: "small", PromptTokens: 100, ExpectedOutput: 100}).Priority
	high := d.Admit(0, "4", Ask{Account: "high", PromptTokens: 100, ExpectedOutput: 100}).Priority
	if second >= first || small != first || high <= small {
		t.Errorf("priorities: got flood %d then %d, small %d, high %d, want the second of the flood behind and high before all", first, second, small, high)
	}
}

// TestLearnsOutput checks that the true output is what an account pays in the
// end, and what its next request is charged.
func TestLearnsOutput(t *testing.T) {
	d := New()
	d.SetAccounts(0, []Account{{Name: "a"}})
	d.SetCapacity(0, 1000)
	a := d.accounts["a"]
	d.Admit(0, "1", Ask{Account: "a", PromptTokens: 10, ExpectedOutput: 100})
	d.Progress(0, "1", 250)
	if got, want := a.finish, 300.0+10; got != want {
		t.Errorf("while it runs on: got %v tokens, want %v", got, want)
	}
	d.Done(0, "1", 12, 260)
	if got, want := a.finish, 272.0; got != want {
		t.Errorf("at the end: got %v tokens, want %v", got, want)
	}
	d.Admit(0, "2", Ask{Account: "a", ExpectedOutput: 4096})
	if got, want := a.finish, 272.0+260; got != want {
		t.Errorf("the next: got %v tokens, want %v", got, want)
	}
	d.Cancel(0, "2")
	if got, want := a.finish, 272.0; got != want {
		t.Errorf("after the next did not run: got %v tokens, want %v", got, want)
	}
	for _, test := range []struct{ told, want int }{{0, 260}, {100, 100}, {4096, 260}} {
		if got := d.Expected("a", test.told); got != test.want {
			t.Errorf("expected with %d told: got %d, want %d", test.told, got, test.want)
		}
	}
}

// demand is what one account asks for in a random schedule.
type demand struct {
	Account
	// perSecond is the cost it asks for, cost that of one request.
	perSecond float64
	cost      int
	next      time.Duration
	asked     float64
	admitted  float64
}

// fair returns the weighted max-min fair shares of a capacity.
func fair(capacity float64, demands []*demand) []float64 {
	shares := make([]float64, len(demands))
	open := make(map[int]bool)
	for i := range demands {
		open[i] = true
	}
	for len(open) > 0 {
		weight := 0.0
		for i := range open {
			weight += float64(demands[i].Weight)
		}
		level, satisfied := capacity/weight, false
		for i, d := range demands {
			if open[i] && d.perSecond <= level*float64(d.Weight) {
				shares[i], satisfied = d.perSecond, true
				capacity -= d.perSecond
				delete(open, i)
				break
			}
		}
		if satisfied {
			continue
		}
		for i := range open {
			shares[i] = level * float64(demands[i].Weight)
		}
		return shares
	}
	return shares
}

// TestFairShares floods from some accounts and compares what each gets with
// its weighted max-min fair share.
func TestFairShares(t *testing.T) {
	const capacity, length = 10_000.0, 60 * time.Second
	worst := 1.0
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		random := rand.New(rand.NewPCG(seed, 0))
		var demands []*demand
		var accounts []Account
		for i := range 2 + random.IntN(7) {
			a := Account{Name: fmt.Sprint("a", i), Weight: 1 + random.IntN(4)}
			accounts = append(accounts, a)
			demands = append(demands, &demand{Account: a, perSecond: 100 + 2000*random.Float64(), cost: 20 + random.IntN(400)})
		}
		demands[0].perSecond = 10 * capacity
		d := New()
		d.SetAccounts(0, accounts)
		d.SetCapacity(0, capacity)
		flood(d, random, demands, length)
		for _, c := range demands {
			c.perSecond = c.asked / length.Seconds()
		}
		total := 0.0
		for _, c := range demands {
			total += c.admitted
		}
		if limit := capacity * (length + 2*time.Second).Seconds(); total > limit {
			t.Errorf("seed %d: admitted %.0f tokens in all, want at most %.0f", seed, total, limit)
		}
		for i, share := range fair(capacity, demands) {
			part := demands[i].admitted / length.Seconds() / share
			worst = min(worst, part)
			if part < 0.9 {
				t.Errorf("seed %d: account %d: got %.2f of its fair share of %.0f tokens/s, want 0.9", seed, i, part, share)
			}
		}
	}
	t.Logf("worst part of a fair share: %.3f", worst)
}

// flood lets every account ask as its demand says, in the order of time, and
// ends each admitted request at once.
func flood(d *Admitter, random *rand.Rand, demands []*demand, length time.Duration) {
	for n := 0; ; n++ {
		next := demands[0]
		for _, c := range demands {
			if c.next < next.next {
				next = c
			}
		}
		now := next.next
		if now >= length {
			return
		}
		next.asked += float64(next.cost)
		gap := 2 * random.Float64() * float64(next.cost) / next.perSecond
		next.next += seconds(gap)
		id := strconv.Itoa(n)
		if d.Admit(now, id, Ask{Account: next.Name, PromptTokens: next.cost / 2, ExpectedOutput: next.cost - next.cost/2}).Admit {
			next.admitted += float64(next.cost)
			d.Done(now, id, next.cost/2, next.cost-next.cost/2)
		}
	}
}

// TestRetryAfterIsTrue lets a crowd of requests arrive at once; each that is
// refused comes back at the time it was told, while another account goes on.
func TestRetryAfterIsTrue(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		random := rand.New(rand.NewPCG(seed, 0))
		d := New(MaxPromise(5 * time.Minute))
		limit := float64(random.IntN(4) * 1000)
		d.SetAccounts(0, []Account{{Name: "crowd", Weight: 1, TokensPerSecond: limit}, {Name: "other", Weight: 1 + random.IntN(3)}})
		d.SetCapacity(0, 10_000)
		type back struct {
			at  time.Duration
			ask Ask
		}
		var backs []back
		busy := time.Duration(0)
		keepBusy := func(until time.Duration) {
			for ; busy <= until; busy += 10 * time.Millisecond {
				id := fmt.Sprint("other", busy)
				d.Admit(busy, id, Ask{Account: "other", PromptTokens: 600, ExpectedOutput: 10})
				d.Done(busy, id, 600, 10)
			}
		}
		keepBusy(2 * time.Second)
		start := busy
		for i := range 40 {
			ask := Ask{Account: "crowd", PromptTokens: 100 + random.IntN(2000), ExpectedOutput: 10}
			got := d.Admit(start, fmt.Sprint(i), ask)
			if got.Admit {
				d.Done(start, fmt.Sprint(i), ask.PromptTokens, ask.ExpectedOutput)
				continue
			}
			if got.Err.RetryAfter <= 0 {
				t.Fatalf("seed %d: request %d: got %v without a time to come back", seed, i, got.Err)
			}
			backs = append(backs, back{start + got.Err.RetryAfter, ask})
		}
		if len(backs) == 0 {
			t.Errorf("seed %d: got no refusal, want some", seed)
		}
		for i, b := range backs {
			keepBusy(b.at)
			got := d.Admit(max(b.at, busy-10*time.Millisecond), fmt.Sprint("back", i), b.ask)
			if !got.Admit {
				t.Errorf("seed %d: request back at %v: got %v, want it admitted", seed, b.at-start, got.Err)
				break
			}
			d.Done(b.at, fmt.Sprint("back", i), b.ask.PromptTokens, b.ask.ExpectedOutput)
		}
	}
}

// TestUnknownCapacity checks that nothing piles up before the capacity is known.
func TestUnknownCapacity(t *testing.T) {
	d := New()
	d.SetAccounts(0, []Account{{Name: "a"}})
	for i := range 100 {
		d.Admit(0, fmt.Sprint(i), Ask{Account: "a", PromptTokens: 1000})
	}
	d.SetCapacity(0, 1000)
	if got := d.Admit(0, "x", Ask{Account: "a", PromptTokens: 1000}); !got.Admit {
		t.Errorf("once the capacity is known: got %v, want it admitted", got.Err)
	}
}

func ExampleAdmitter() {
	d := New(MaxQueue(time.Second))
	d.SetAccounts(0, []Account{{Name: "matriz-recife", Weight: 1}, {Name: "capela", Weight: 1}})
	d.SetCapacity(0, 1000)
	d.Admit(0, "r1", Ask{Account: "matriz-recife", PromptTokens: 1900, ExpectedOutput: 100})
	refused := d.Admit(0, "r2", Ask{Account: "matriz-recife", PromptTokens: 100, ExpectedOutput: 100})
	other := d.Admit(0, "r3", Ask{Account: "capela", PromptTokens: 100, ExpectedOutput: 100})
	fmt.Println(refused.Err.Code, refused.Err.RetryAfter, other.Admit)
	// Output: overloaded 1.001s true
}
