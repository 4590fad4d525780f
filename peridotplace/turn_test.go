package peridotplace

import (
	"testing"
	"time"

	"peridotstack/peridotsite"
)

// countChoices returns how often each engine of a choice that get returns is chosen for a
// prompt of the given length in 300 decisions by the same reports.
func countChoices(p *Placer, tokens int, get func(c Choice) string) map[string]int {
	p.Observe(0, "other", Report{})
	counts := make(map[string]int)
	for range 300 {
		c, _ := p.Place(0, Prompt{Service: service, Tokens: tokens})
		counts[get(c)]++
	}
	return counts
}

// TestPrefillEnginesAreSpread guards against fronts that send all prompts to the same prefill
// engine because they decide by the same old reports.
func TestPrefillEnginesAreSpread(t *testing.T) {
	p, list, config := newFleet(3, 1)
	config.Services[0].Scarce = true
	p.SetBackends(0, list, config)
	for range 63 {
		p.BeginDecode(0, "w0", nil) // So that a pair costs less.
	}
	got := countChoices(p, 9000, func(c Choice) string { return c.PrefillBackend })
	for _, id := range []string{"r0", "r1", "r2"} {
		if got[id] < 50 {
			t.Errorf("got choices %v, want about 100 of each prefill engine", got)
			break
		}
	}
}

// TestOwnDomainIsKept guards against prompts that leave the failure domain although its
// engines serve them as soon as others, and against ones that stay where they wait for long.
func TestOwnDomainIsKept(t *testing.T) {
	tests := []struct {
		name   string
		tokens int
		queue  int // Tokens of the prompt that each engine of the own domain reads; 0 for none.
		want   string
	}{
		{name: "short prompt", tokens: 220, want: "a"},
		{name: "mean prompt", tokens: 9190, want: "a"},
		{name: "largest prompt", tokens: 57_000, want: "a"},
		{name: "prompts wait in the own domain", tokens: 9190, queue: 9190, want: "b"},
	}
	for _, test := range tests {
		p, list, config := newFleet(0, 32)
		config.Services[0].Scarce = true
		domains := make(map[string]string)
		for i := range list {
			if i >= 8 {
				list[i].Domain = "b"
			}
			domains[list[i].ID] = list[i].Domain
		}
		p.SetBackends(0, list, config)
		if test.queue > 0 {
			for _, b := range list[:8] {
				p.BeginPrefill(0, b.ID, nil, test.queue)
			}
		}
		got := countChoices(p, test.tokens, func(c Choice) string { return domains[c.Backend] })
		if got[test.want] != 300 {
			t.Errorf("%s: got choices %v by domain, want %s only", test.name, got, test.want)
		}
	}
}

// TestPaceEndsWithScarce guards against plain servers that were slow when their service ceased
// to be scarce and that are avoided for good, since nothing measures them any more.
func TestPaceEndsWithScarce(t *testing.T) {
	p, list, config := newFleet(0, 0)
	for _, id := range []string{"p0", "p1"} {
		list = append(list, peridotsite.Backend{ID: id, Service: "plain", Domain: "a", Slots: 6})
	}
	config.Services[1].Scarce = true
	p.SetBackends(0, list, config)
	for i := range 5 {
		now := time.Duration(i) * 100 * time.Millisecond
		fast, slow := p.Begin(now, "p0"), p.Begin(now, "p1")
		p.Done(now+20*time.Millisecond, fast, Answered)
		p.Done(now+90*time.Millisecond, slow, Answered)
	}
	p.Begin(time.Second, "p0")
	p.Begin(time.Second, "p0")
	p.Begin(time.Second, "p1")
	prompt := Prompt{Service: "plain"}
	if got, _ := p.Place(time.Second, prompt); got.Backend != "p0" {
		t.Errorf("scarce: got %q, want the fast server p0", got.Backend)
	}
	config.Services[1].Scarce = false
	p.SetBackends(time.Second, list, config)
	if got, _ := p.Place(time.Second, prompt); got.Backend != "p1" {
		t.Errorf("not scarce: got %q, want p1, which has fewer requests", got.Backend)
	}
}

// TestNeededFetchOnly guards against prefixes that are fetched from another failure domain
// although an engine of the own domain has them and is idle.
func TestNeededFetchOnly(t *testing.T) {
	p, list, config := newFleet(0, 9)
	config.Services[0].Scarce = true
	list[8].Domain = "b"
	p.SetBackends(0, list, config)
	prefix := parts(1, 2, 3)
	p.Done(0, p.BeginPrefill(0, "w8", prefix, 9000), Answered)
	p.Observe(time.Second, "other", Report{Placements: []Placement{{Backend: "w0", Parts: prefix}}})
	prompt := Prompt{Service: service, Parts: append(prefix, parts(4, 5, 6)...), Tokens: 18_000}
	for range 300 {
		if c, _ := p.Place(time.Second, prompt); c.Backend != "w0" || c.FetchBackend != "" {
			t.Fatalf("got %+v, want w0 without a fetch", c)
		}
	}
}

// TestPrefillEngineHasNoSlots guards against waits for slots at prefill engines, which have
// none: with many interactive prompts there, pairs would cost too much.
func TestPrefillEngineHasNoSlots(t *testing.T) {
	p, list, config := newFleet(1, 1)
	config.Services[0].Scarce = true
	p.SetBackends(0, list, config)
	p.meanSlotMillis[service] = 1000
	for range 128 {
		p.BeginPrefill(0, "r0", nil, 1).SetInteractive()
	}
	var c candidate
	p.estimate(&c, 0, p.servers["r0"], Prompt{Service: service, Tokens: 220, Interactive: true, Gap: simulatedGap})
	if c.waitMillis > 14 {
		t.Errorf("got a wait of %v ms, want at most the time of a chunk, 14 ms", c.waitMillis)
	}
}

// TestPeerLoad guards against loads of other instances that count twice, are kept after the
// report expired, or are lost when the list of servers changes.
func TestPeerLoad(t *testing.T) {
	p, list, config := newFleet(0, 2)
	load := func(id string, prefill time.Duration, n int) Load {
		return Load{Backend: id, PrefillTime: prefill, LatePrefillTime: 5 * time.Millisecond, Running: n, Interactive: n}
	}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	check := func(name string, now time.Duration, id string, wantPrefill, wantLate float64, wantRunning int) {
		t.Helper()
		s := p.servers[id]
		prefill, late, running := p.peerLoad(now, s)
		if prefill != wantPrefill || late != wantLate || running != wantRunning || s.peers.interactive != wantRunning {
			t.Errorf("%s: got %v ms, %v ms late, %d running, %d interactive; want %v ms, %v ms, %d and %d", name, prefill, late, running, s.peers.interactive, wantPrefill, wantLate, wantRunning, wantRunning)
		}
	}
	p.Observe(0, "a", Report{Loads: []Load{load("w0", at(900), 1), load("w1", at(10), 1), load("w0", at(800), 2)}})
	check("the last load of a server counts", 0, "w0", 800, 5, 2)
	p.Observe(at(100), "b", Report{Loads: []Load{load("w1", at(30), 4)}})
	check("two reports", at(100), "w1", 30, 10, 5)
	check("time passes", at(120), "w1", 10, 10, 5)
	p.Observe(at(200), "a", Report{Loads: []Load{load("w2", at(40), 3)}})
	check("replaced report", at(200), "w0", 0, 0, 0)
	p.SetBackends(at(200), list[:1], config)
	list = append(list, peridotsite.Backend{ID: "w2", Service: service, Domain: "a"})
	p.SetBackends(at(210), list, config)
	check("listed after the report", at(210), "w2", 30, 5, 3)
	check("listed again", at(210), "w1", 0, 5, 4)
	check("one report expired", at(1150), "w1", 0, 0, 0)
	check("the other one has not", at(1150), "w2", 0, 5, 3)
	check("both expired", at(1250), "w2", 0, 0, 0)
	p.SetBackends(at(2000), list[:1], config)
	if got := len(p.peerSums); got != 1 {
		t.Errorf("got sums of %d servers, want only that of the listed one", got)
	}
}
