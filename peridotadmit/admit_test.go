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
		before []Request
		req    Request
		want   peridotverdict.Code
		after  time.Duration
	}{
		{name: "no queue", req: Request{Account: "a", PromptTokens: 100, ExpectedOutput: 100}},
		{name: "unknown account", req: Request{Account: "b"}, want: peridotverdict.NotAllowed},
		{
			name: "queue full", before: []Request{{Account: "a", PromptTokens: 2400, ExpectedOutput: 100}},
			req: Request{Account: "a", PromptTokens: 1}, want: peridotverdict.Overloaded, after: 1501 * time.Millisecond,
		},
		{
			name: "queue of another account full", before: []Request{{Account: "a", PromptTokens: 2400, ExpectedOutput: 100}},
			req: Request{Account: "low", PromptTokens: 1},
		},
		{
			name: "deadline shorter than the queue", before: []Request{{Account: "a", PromptTokens: 400, ExpectedOutput: 100}},
			req:  Request{Account: "a", PromptTokens: 1, Timeout: 400 * time.Millisecond, TimeToFirstToken: 100 * time.Millisecond, TimeToLastToken: 200 * time.Millisecond},
			want: peridotverdict.Overloaded, after: 201 * time.Millisecond,
		},
		{
			name: "at the limit", before: []Request{{Account: "limited", PromptTokens: 300, ExpectedOutput: 100}},
			req: Request{Account: "limited", PromptTokens: 1}, want: peridotverdict.AccountLimit, after: 2001 * time.Millisecond,
		},
		{
			name: "deadline missed because of the wait", req: Request{Account: "a", Timeout: time.Second, TimeToFirstToken: 800 * time.Millisecond, TimeToLastToken: 1300 * time.Millisecond},
			want: peridotverdict.DeadlineTooShort, after: 301 * time.Millisecond,
		},
		{
			name: "deadline shorter than the decode time", req: Request{Account: "a", Timeout: time.Second, TimeToFirstToken: 100 * time.Millisecond, TimeToLastToken: 2 * time.Second},
			want: peridotverdict.DeadlineTooShort,
		},
		{name: "deadline met because of the priority", req: Request{Account: "a", Timeout: time.Second, TimeToFirstToken: 5 * time.Second, TimeToLastToken: 5500 * time.Millisecond, UnloadedTimeToFirstToken: 100 * time.Millisecond}},
		{
			name: "deadline missed behind its own queue", before: []Request{{Account: "a", PromptTokens: 500, ExpectedOutput: 100}},
			req: Request{Account: "a", Timeout: time.Second, TimeToFirstToken: 5 * time.Second, TimeToLastToken: 5500 * time.Millisecond, UnloadedTimeToFirstToken: 100 * time.Millisecond}, want: peridotverdict.DeadlineTooShort, after: 201 * time.Millisecond,
		},
		{name: "deadline missed even without other requests", req: Request{Account: "a", Timeout: time.Second, TimeToFirstToken: 5 * time.Second, TimeToLastToken: 5500 * time.Millisecond, UnloadedTimeToFirstToken: 600 * time.Millisecond}, want: peridotverdict.DeadlineTooShort},
	}
	for _, test := range tests {
		d := New()
		d.SetAccounts(0, accounts)
		d.SetCapacity(0, 1000)
		for i, req := range test.before {
			if got := d.Admit(0, fmt.Sprint(i), req); !got.Admitted {
				t.Fatalf("%s: earlier request %d: got %v, want it admitted", test.name, i, got.Err)
			}
		}
		got := d.Admit(0, "x", test.req)
		if got.Admitted != (test.want == "") {
			t.Errorf("%s: got admitted %v (%v), want code %q", test.name, got.Admitted, got.Err, test.want)
		}
		if got.Err == nil {
			continue
		}
		if got.Err.Code != test.want || got.Err.Verdict != peridotverdict.NotRun || got.Err.RetryAfter != test.after {
			t.Errorf("%s: got %v, retry after %v, want %s with NotRun, retry after %v", test.name, got.Err, got.Err.RetryAfter, test.want, test.after)
		}
	}
}

// TestPriority checks that an account without a queue gets a higher priority
// than a flood, and an account of higher Priority the highest.
func TestPriority(t *testing.T) {
	d := New()
	d.SetAccounts(0, []Account{{Name: "flood"}, {Name: "small"}, {Name: "high", Priority: 1}})
	d.SetCapacity(0, 1000)
	first := d.Admit(0, "1", Request{Account: "flood", PromptTokens: 400, ExpectedOutput: 100}).Priority
	second := d.Admit(0, "2", Request{Account: "flood", PromptTokens: 400, ExpectedOutput: 100}).Priority
	small := d.Admit(0, "3", Request{Account: "small", PromptTokens: 100, ExpectedOutput: 100}).Priority
	high := d.Admit(0, "4", Request{Account: "high", PromptTokens: 100, ExpectedOutput: 100}).Priority
	if second >= first || small != first || high <= small {
		t.Errorf("priorities: got flood %d then %d, small %d, high %d, want the second of the flood below the first, small equal to the first, and high above all", first, second, small, high)
	}
}

// TestLearnsOutput checks that an account is charged for the actual output of an
// ended request, and that the next request is charged for as much output.
func TestLearnsOutput(t *testing.T) {
	d := New()
	d.SetAccounts(0, []Account{{Name: "a"}})
	d.SetCapacity(0, 1000)
	a := d.accounts["a"]
	d.Admit(0, "1", Request{Account: "a", PromptTokens: 10, ExpectedOutput: 100})
	d.Progress(0, "1", 250)
	if got, want := a.virtualFinish, 300.0+10; got != want {
		t.Errorf("output above the charge: got %v tokens charged, want %v", got, want)
	}
	d.Done(0, "1", 12, 260)
	if got, want := a.virtualFinish, 272.0; got != want {
		t.Errorf("after Done: got %v tokens charged, want %v", got, want)
	}
	d.Admit(0, "2", Request{Account: "a", ExpectedOutput: 4096})
	if got, want := a.virtualFinish, 272.0+260; got != want {
		t.Errorf("next request: got %v tokens charged, want %v", got, want)
	}
	d.Cancel(0, "2")
	if got, want := a.virtualFinish, 272.0; got != want {
		t.Errorf("after Cancel of the next request: got %v tokens charged, want %v", got, want)
	}
	for _, test := range []struct{ maxOutput, want int }{{0, 260}, {100, 100}, {4096, 260}} {
		if got := d.ExpectedOutput("a", test.maxOutput); got != test.want {
			t.Errorf("ExpectedOutput with at most %d output tokens: got %d, want %d", test.maxOutput, got, test.want)
		}
	}
}

// accountDemand describes the requests of one account in a random schedule, and
// records the cost of those sent and admitted.
type accountDemand struct {
	Account
	// costPerSecond is the mean cost of the account's requests per second.
	costPerSecond float64
	requestCost   int
	nextArrival   time.Duration
	requestedCost float64
	admittedCost  float64
}

// fairShares returns the weighted max-min fair shares of a capacity.
func fairShares(capacity float64, demands []*accountDemand) []float64 {
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
		perWeight, satisfied := capacity/weight, false
		for i, d := range demands {
			if open[i] && d.costPerSecond <= perWeight*float64(d.Weight) {
				shares[i], satisfied = d.costPerSecond, true
				capacity -= d.costPerSecond
				delete(open, i)
				break
			}
		}
		if satisfied {
			continue
		}
		for i := range open {
			shares[i] = perWeight * float64(demands[i].Weight)
		}
		return shares
	}
	return shares
}

// TestFairShares overloads the capacity, mostly from one account, and compares
// the admitted cost of each account with its weighted max-min fair share.
func TestFairShares(t *testing.T) {
	const capacity, length = 10_000.0, 60 * time.Second
	smallest := 1.0
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		random := rand.New(rand.NewPCG(seed, 0))
		var demands []*accountDemand
		var accounts []Account
		for i := range 2 + random.IntN(7) {
			a := Account{Name: fmt.Sprint("a", i), Weight: 1 + random.IntN(4)}
			accounts = append(accounts, a)
			demands = append(demands, &accountDemand{Account: a, costPerSecond: 100 + 2000*random.Float64(), requestCost: 20 + random.IntN(400)})
		}
		demands[0].costPerSecond = 10 * capacity
		d := New()
		d.SetAccounts(0, accounts)
		d.SetCapacity(0, capacity)
		runDemands(d, random, demands, length)
		for _, c := range demands {
			c.costPerSecond = c.requestedCost / length.Seconds()
		}
		total := 0.0
		for _, c := range demands {
			total += c.admittedCost
		}
		if limit := capacity * (length + 2*time.Second).Seconds(); total > limit {
			t.Errorf("seed %d: admitted %.0f tokens in all, want at most %.0f", seed, total, limit)
		}
		for i, share := range fairShares(capacity, demands) {
			ratio := demands[i].admittedCost / length.Seconds() / share
			smallest = min(smallest, ratio)
			if ratio < 0.9 {
				t.Errorf("seed %d: account %d: got %.2f of its fair share of %.0f tokens/s, want 0.9", seed, i, ratio, share)
			}
		}
	}
	t.Logf("smallest part of a fair share: %.3f", smallest)
}

// runDemands sends the requests of all accounts in the order of time, and ends
// each admitted request at once.
func runDemands(d *Admitter, random *rand.Rand, demands []*accountDemand, length time.Duration) {
	for n := 0; ; n++ {
		next := demands[0]
		for _, c := range demands {
			if c.nextArrival < next.nextArrival {
				next = c
			}
		}
		now := next.nextArrival
		if now >= length {
			return
		}
		next.requestedCost += float64(next.requestCost)
		gap := 2 * random.Float64() * float64(next.requestCost) / next.costPerSecond
		next.nextArrival += durationOf(gap)
		id := strconv.Itoa(n)
		if d.Admit(now, id, Request{Account: next.Name, PromptTokens: next.requestCost / 2, ExpectedOutput: next.requestCost - next.requestCost/2}).Admitted {
			next.admittedCost += float64(next.requestCost)
			d.Done(now, id, next.requestCost/2, next.requestCost-next.requestCost/2)
		}
	}
}

// TestRetryAfterIsTrue checks that a refused request is admitted if it is
// retried after its RetryAfter. Many requests of one account arrive at once
// while another account keeps sending.
func TestRetryAfterIsTrue(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		random := rand.New(rand.NewPCG(seed, 0))
		d := New(MaxRetryBacklog(5 * time.Minute))
		limit := float64(random.IntN(4) * 1000)
		d.SetAccounts(0, []Account{{Name: "crowd", Weight: 1, TokensPerSecond: limit}, {Name: "other", Weight: 1 + random.IntN(3)}})
		d.SetCapacity(0, 10_000)
		type retry struct {
			at  time.Duration
			req Request
		}
		var retries []retry
		otherNext := time.Duration(0)
		runOther := func(until time.Duration) {
			for ; otherNext <= until; otherNext += 10 * time.Millisecond {
				id := fmt.Sprint("other", otherNext)
				d.Admit(otherNext, id, Request{Account: "other", PromptTokens: 600, ExpectedOutput: 10})
				d.Done(otherNext, id, 600, 10)
			}
		}
		runOther(2 * time.Second)
		start := otherNext
		for i := range 40 {
			req := Request{Account: "crowd", PromptTokens: 100 + random.IntN(2000), ExpectedOutput: 10}
			got := d.Admit(start, fmt.Sprint(i), req)
			if got.Admitted {
				d.Done(start, fmt.Sprint(i), req.PromptTokens, req.ExpectedOutput)
				continue
			}
			if got.Err.RetryAfter <= 0 {
				t.Fatalf("seed %d: request %d: got %v without RetryAfter, want one", seed, i, got.Err)
			}
			retries = append(retries, retry{start + got.Err.RetryAfter, req})
		}
		if len(retries) == 0 {
			t.Errorf("seed %d: got no refusal, want at least one", seed)
		}
		for i, r := range retries {
			runOther(r.at)
			got := d.Admit(max(r.at, otherNext-10*time.Millisecond), fmt.Sprint("retry", i), r.req)
			if !got.Admitted {
				t.Errorf("seed %d: request retried after %v: got %v, want it admitted", seed, r.at-start, got.Err)
				break
			}
			d.Done(r.at, fmt.Sprint("retry", i), r.req.PromptTokens, r.req.ExpectedOutput)
		}
	}
}

// TestUnknownCapacity checks that requests admitted before the capacity is known
// leave no queue.
func TestUnknownCapacity(t *testing.T) {
	d := New()
	d.SetAccounts(0, []Account{{Name: "a"}})
	for i := range 100 {
		d.Admit(0, fmt.Sprint(i), Request{Account: "a", PromptTokens: 1000})
	}
	d.SetCapacity(0, 1000)
	if got := d.Admit(0, "x", Request{Account: "a", PromptTokens: 1000}); !got.Admitted {
		t.Errorf("once the capacity is known: got %v, want it admitted", got.Err)
	}
}

func ExampleAdmitter() {
	d := New(MaxQueueDelay(time.Second))
	d.SetAccounts(0, []Account{{Name: "matriz-recife", Weight: 1}, {Name: "capela", Weight: 1}})
	d.SetCapacity(0, 1000)
	d.Admit(0, "r1", Request{Account: "matriz-recife", PromptTokens: 1900, ExpectedOutput: 100})
	refused := d.Admit(0, "r2", Request{Account: "matriz-recife", PromptTokens: 100, ExpectedOutput: 100})
	other := d.Admit(0, "r3", Request{Account: "capela", PromptTokens: 100, ExpectedOutput: 100})
	fmt.Println(refused.Err.Code, refused.Err.RetryAfter, other.Admitted)
	// Output: overloaded 1.001s true
}
