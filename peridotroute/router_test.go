package peridotroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"peridotstack/peridotverdict"

	"peridotstack/peridotseed"
)

func engine(instance, role string) Server {
	return Server{Instance: instance, Model: "m", Role: role, PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 1000}
}

func TestChoose(t *testing.T) {
	leaving, down := engine("a", Mixed), engine("a", Mixed)
	leaving.Leaving = true
	down.Down = true
	tests := []struct {
		name    string
		servers []Server
		request Request
		want    Choice
		code    peridotverdict.Code
	}{
		{name: "no servers", request: Request{Model: "m"}, code: peridotverdict.NoBackend},
		{name: "other model", servers: []Server{engine("a", Mixed)}, request: Request{Model: "n"}, code: peridotverdict.NoBackend},
		{name: "leaving", servers: []Server{leaving}, request: Request{Model: "m"}, code: peridotverdict.NoBackend},
		{name: "down", servers: []Server{down}, request: Request{Model: "m"}, code: peridotverdict.NoBackend},
		{name: "excluded", servers: []Server{engine("a", Mixed)}, request: Request{Model: "m", Exclude: []string{"a"}}, code: peridotverdict.NoBackend},
		{name: "prefill only", servers: []Server{engine("a", Prefill)}, request: Request{Model: "m"}, code: peridotverdict.NoBackend},
		{
			name: "one server", servers: []Server{engine("a", Mixed)}, request: Request{Model: "m", PromptTokens: 1000, ExpectedOutput: 100},
			want: Choice{Instance: "a", Wait: 100 * time.Millisecond, IdleWait: 100 * time.Millisecond, Finish: 200 * time.Millisecond},
		},
		{
			name: "one of two excluded", servers: []Server{engine("a", Mixed), engine("b", Mixed)}, request: Request{Model: "m", ExpectedOutput: 100, Exclude: []string{"a"}},
			want: Choice{Instance: "b", Finish: 100 * time.Millisecond},
		},
		{
			name: "prefill role", servers: []Server{engine("a", Prefill)}, request: Request{Model: "m", Role: Prefill, ExpectedOutput: 100},
			want: Choice{Instance: "a", Finish: 100 * time.Millisecond},
		},
		{
			name: "split", servers: []Server{engine("a", Prefill), engine("b", Decode)}, request: Request{Model: "m", PromptTokens: 1000, ExpectedOutput: 100},
			want: Choice{Instance: "b", PrefillInstance: "a", Wait: 211 * time.Millisecond, IdleWait: 211 * time.Millisecond, Finish: 311 * time.Millisecond},
		},
	}
	for _, test := range tests {
		r := New(1, TransferKV(1000, 1e7, 11*time.Millisecond))
		r.SetServers(0, test.servers)
		got, err := r.Choose(0, test.request)
		if got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
		if test.code == "" && err == nil {
			continue
		}
		if !peridotverdict.Is(err, test.code) || peridotverdict.Of(err) != peridotverdict.NotRun {
			t.Errorf("%s: got error %v, want %s with NotRun", test.name, err, test.code)
		}
	}
}

// TestLongQueueOutweighsCachedPrefix checks that requests go to another server once
// the queue of the prefix holder takes longer than the prefix saves.
func TestLongQueueOutweighsCachedPrefix(t *testing.T) {
	r := New(1)
	r.SetServers(0, []Server{engine("a", Mixed), engine("b", Mixed)})
	r.HintPrefix(0, "a", []uint64{1, 2, 3}, false)
	request := Request{Model: "m", PromptTokens: 4000, ExpectedOutput: 1, PrefixHash: []uint64{1, 2, 3, 4}}
	counts := make([]int, 2)
	for i := range 4 {
		request.ID = fmt.Sprint(i)
		c, err := r.Choose(0, request)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 && (c.Instance != "a" || c.CachedTokens != 3000) {
			t.Errorf("idle: got %+v, want a with 3000 cached tokens", c)
		}
		if c.Instance == "a" {
			counts[0]++
		} else {
			counts[1]++
		}
		// Begin must not record the prefix, so that only the hint counts.
		sent := request
		sent.PrefixHash = nil
		c.CachedTokens = 0
		r.Begin(0, sent, c)
	}
	if want := 2; counts[0] != want {
		t.Errorf("requests at the prefix holder: got %d, want %d", counts[0], want)
	}
	r.HintPrefix(0, "a", []uint64{1, 2, 3}, true)
	c, err := r.Choose(0, request)
	if err != nil || c.CachedTokens != 0 {
		t.Errorf("after the prefix was evicted: got %+v, %v, want no cached tokens", c, err)
	}
}

// TestBusyPrefixHolderOnlyPrefills checks that a request is split if the holder of its
// prefix decodes slowly.
func TestBusyPrefixHolderOnlyPrefills(t *testing.T) {
	busy := engine("a", Mixed)
	busy.DecodeTokensPerSecond = 100
	r := New(1, TransferKV(1000, 1e9, time.Millisecond))
	r.SetServers(0, []Server{busy, engine("b", Mixed)})
	r.HintPrefix(0, "a", []uint64{1}, false)
	got, err := r.Choose(0, Request{Model: "m", PromptTokens: 10_000, ExpectedOutput: 100, PrefixHash: []uint64{1}})
	if err != nil {
		t.Fatal(err)
	}
	if got.Instance != "b" || got.PrefillInstance != "a" {
		t.Errorf("got %+v, want prefill on a and decode on b", got)
	}
}

// TestLoadReturnsToZero checks in random schedules that no estimate is negative, and
// that no load remains when all requests have ended.
func TestLoadReturnsToZero(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		random := rand.New(rand.NewPCG(seed, 0))
		r := New(seed)
		list := []Server{engine("a", Mixed), engine("b", Mixed), engine("c", Mixed)}
		r.SetServers(0, list)
		var running []string
		now := time.Duration(0)
		for i := range 300 {
			now += time.Duration(random.IntN(int(50 * time.Millisecond)))
			switch random.IntN(5) {
			case 0, 1:
				request := Request{ID: fmt.Sprint(i), Model: "m", PromptTokens: random.IntN(3000), ExpectedOutput: random.IntN(300)}
				c, err := r.Choose(now, request)
				if err != nil || c.Wait < 0 || c.Finish < c.Wait {
					t.Fatalf("seed %d: got %+v, %v, want non-negative times", seed, c, err)
				}
				r.Begin(now, request, c)
				running = append(running, request.ID)
			case 2:
				r.Observe(now, Report{Instance: list[random.IntN(3)].Instance, At: now - time.Duration(random.IntN(int(time.Second))), Running: random.IntN(9), PrefillTokens: random.IntN(9000)})
			case 3:
				if len(running) > 0 {
					r.Progress(now, running[random.IntN(len(running))], random.IntN(1000))
				}
			case 4:
				if len(running) > 0 {
					r.Done(now, running[0], 0)
					running = running[1:]
				}
			}
		}
		for _, id := range running {
			r.Done(now, id, 0)
		}
		for _, s := range list {
			r.Observe(now, Report{Instance: s.Instance, At: now})
		}
		for _, s := range list {
			if got := r.servers[s.Instance].estimateLoad(now + time.Minute); got != (load{}) {
				t.Errorf("seed %d: load of %s: got %+v, want none", seed, s.Instance, got)
			}
		}
		if got := len(r.flights); got != 0 {
			t.Errorf("seed %d: running requests: got %d, want 0", seed, got)
		}
	}
}

// TestSubset checks that removing a server changes only the subsets that contain it,
// and that every server is in some subset.
func TestSubset(t *testing.T) {
	var list []Server
	for i := range 700 {
		list = append(list, Server{Instance: fmt.Sprint("w", i)})
	}
	entryCounts := make([]int, len(list))
	index := make(map[string]int)
	for i, s := range list {
		index[s.Instance] = i
	}
	changed := 0
	for e := range 1200 {
		entry := fmt.Sprint("e", e)
		before := Subset(entry, list, 20)
		after := Subset(entry, list[1:], 20)
		for _, s := range before {
			entryCounts[index[s.Instance]]++
		}
		if before[19] != after[19] {
			changed++
		}
	}
	least, most := entryCounts[0], entryCounts[0]
	for _, n := range entryCounts {
		least, most = min(least, n), max(most, n)
	}
	t.Logf("entries per server: least %d, most %d, mean %d", least, most, 1200*20/700)
	if least == 0 {
		t.Error("got a server in no subset, want every server in one")
	}
	if changed != entryCounts[0] {
		t.Errorf("subsets changed by removing a server: got %d, want the %d that contained it", changed, entryCounts[0])
	}
}

// TestReportWithoutTokens checks that a report without token counts does not discard
// the tokens that this process has sent.
func TestReportWithoutTokens(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		want   time.Duration
	}{
		{"counts only", Report{Instance: "a", At: 5 * time.Second, Running: 1}, 5 * time.Second},
		{"with tokens", Report{Instance: "a", At: 5 * time.Second, Running: 1, PrefillTokens: 20_000}, 2 * time.Second},
	}
	for _, test := range tests {
		r := New(1, ReportLag(0))
		r.SetServers(0, []Server{engine("a", Mixed)})
		r.Begin(0, Request{ID: "1", Model: "m", PromptTokens: 100_000}, Choice{Instance: "a"})
		r.Observe(5*time.Second, test.report)
		c, err := r.Choose(5*time.Second, Request{Model: "m"})
		if err != nil || c.Wait != test.want {
			t.Errorf("%s: got wait %v, %v, want %v", test.name, c.Wait, err, test.want)
		}
		r.Done(5*time.Second, "1", 0)
		r.Observe(5*time.Second, Report{Instance: "a", At: 5 * time.Second})
		if got := r.servers["a"].estimateLoad(5 * time.Second); got != (load{}) {
			t.Errorf("%s: load after the end: got %+v, want none", test.name, got)
		}
	}
}

func TestRunning(t *testing.T) {
	r := New(1)
	r.SetServers(0, []Server{engine("a", Mixed), engine("b", Mixed)})
	r.Observe(0, Report{Instance: "a", Running: 3, Waiting: 1})
	r.Begin(2*time.Second, Request{ID: "1", Model: "m"}, Choice{Instance: "a"})
	r.Begin(2*time.Second, Request{ID: "2", Model: "m"}, Choice{Instance: "b"})
	own, total := r.Running("m", "")
	if own != 2 || total != 6 {
		t.Errorf("got %d of %d, want 2 of 6", own, total)
	}
}

func ExampleRouter() {
	r := New(1)
	r.SetServers(0, []Server{
		{Instance: "engine-1", Model: "hino-llm", PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 1000},
		{Instance: "engine-2", Model: "hino-llm", PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 1000},
	})
	r.Observe(0, Report{Instance: "engine-1", Running: 4, PrefillTokens: 50_000, DecodeTokens: 400})
	request := Request{ID: "r1", Model: "hino-llm", PromptTokens: 1000, ExpectedOutput: 100}
	choice, err := r.Choose(0, request)
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Begin(0, request, choice)
	fmt.Println(choice.Instance, choice.Wait)
	// Output: engine-2 100ms
}

// TestIdleServersShareWork checks that all servers get requests when each request ends
// before the next one begins, so that their estimates are equal.
func TestIdleServersShareWork(t *testing.T) {
	const requests = 64
	tests := []struct {
		name    string
		servers int
		role    string
		options []Option
	}{
		{name: "two", servers: 2, role: Mixed},
		{name: "nine", servers: 9, role: Mixed},
		{name: "split, two decode servers", servers: 2, role: Decode, options: []Option{TransferKV(1000, 1e7, time.Millisecond)}},
	}
	for _, test := range tests {
		for seed := range peridotseed.Count(t, 20) {
			r := New(seed, test.options...)
			var list []Server
			for i := range test.servers {
				list = append(list, engine(fmt.Sprint("engine-", i), test.role))
			}
			if test.role == Decode {
				list = append(list, engine("prefill", Prefill))
			}
			r.SetServers(0, list)
			got := make(map[string]int)
			for i := range requests {
				now := time.Duration(i) * time.Second
				request := Request{ID: fmt.Sprint(i), Model: "m", PromptTokens: 1, ExpectedOutput: 1}
				c, err := r.Choose(now, request)
				if err != nil {
					t.Fatal(err)
				}
				got[c.Instance]++
				r.Begin(now, request, c)
				r.Done(now+time.Millisecond, request.ID, 1)
				r.Observe(now+time.Millisecond, Report{Instance: c.Instance, At: now + time.Millisecond})
			}
			if len(got) != test.servers {
				t.Errorf("%s, seed %d: got work for %v, want %d servers with work", test.name, seed, got, test.servers)
			}
		}
	}
}

// TestNewServerGetsRequestsOfBusyHolder checks that a server added without cached
// prefixes gets requests while the only holder of their prefix is busy.
func TestNewServerGetsRequestsOfBusyHolder(t *testing.T) {
	r := New(1)
	holder := engine("holder", Mixed)
	r.SetServers(0, []Server{holder})
	prefix := []uint64{1, 2, 3}
	got := make(map[string]int)
	for i := range 200 {
		now := time.Duration(i) * 10 * time.Millisecond
		if i == 100 {
			r.SetServers(now, []Server{holder, engine("new", Mixed)})
		}
		request := Request{ID: fmt.Sprint(i), Model: "m", PromptTokens: 300, ExpectedOutput: 50, PrefixHash: prefix}
		c, err := r.Choose(now, request)
		if err != nil {
			t.Fatal(err)
		}
		r.Begin(now, request, c)
		got[c.Instance]++
	}
	if got["new"] < 20 {
		t.Errorf("got %v, want at least a fifth of the later requests at the new server", got)
	}
}
