package peridotplace

import (
	"fmt"
	"testing"
	"time"

	"peridotstack/peridotsite"
)

const service = "llm"

// newFleet returns a placer and its prefill engines, r0 and up, and decode engines, w0
// and up, all in domain a.
func newFleet(prefillEngines, decodeEngines int) (*Placer, []peridotsite.Backend, *peridotsite.Config) {
	config := (&peridotsite.Config{Version: 1, Services: []peridotsite.Service{
		{Name: service, Engine: &peridotsite.Engine{Slots: 64, CacheTokens: 100_000, TokenBytes: 163_840, LinkBytesPerSecond: 7e11}},
		{Name: "plain"},
	}}).BuildIndex()
	var list []peridotsite.Backend
	for i := range prefillEngines {
		list = append(list, peridotsite.Backend{ID: fmt.Sprint("r", i), Service: service, Domain: "a", Address: fmt.Sprint("10.0.0.", i), Role: peridotsite.Prefill})
	}
	for i := range decodeEngines {
		list = append(list, peridotsite.Backend{ID: fmt.Sprint("w", i), Service: service, Domain: "a", Address: fmt.Sprint("10.0.1.", i), Role: peridotsite.Decode})
	}
	p := New(1, "a")
	p.SetBackends(0, list, config)
	return p, list, config
}

// parts returns a part of 3000 tokens for each hash.
func parts(hashes ...uint32) []Part {
	var list []Part
	for _, hash := range hashes {
		list = append(list, Part{Hash: hash, Tokens: 3000})
	}
	return list
}

func TestPlace(t *testing.T) {
	tests := []struct {
		name string
		// prepare changes the fleet before the prompt is placed, at one second.
		prepare     func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config)
		prompt      Prompt
		wantPrefill string
		wantBackend string
		wantNone    bool
	}{
		{
			name:   "long prompt is split",
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, wantPrefill: "r0", wantBackend: "w0",
		},
		{
			name:   "short prompt is not split",
			prompt: Prompt{Tokens: 200, Parts: parts(1)}, wantBackend: "w0",
		},
		{
			name: "cached prompt on decode engine is not split",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.servers["w0"].cache.add(parts(1, 2, 3), 0)
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, wantBackend: "w0",
		},
		{
			name:        "slow link avoids sending the prompt twice",
			prompt:      Prompt{Tokens: 9000, Parts: parts(1, 2, 3), SendTime: 30 * time.Millisecond},
			wantBackend: "w0",
		},
		{
			name: "busy prefill engine",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.BeginPrefill(time.Second, "r0", nil, 60_000)
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, wantBackend: "w0",
		},
		{
			name: "prefill engine busy with requests of peers",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Observe(time.Second, "other", Report{Loads: []Load{{Backend: "r0", PrefillTime: 200 * time.Millisecond, Running: 4}}})
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, wantBackend: "w0",
		},
		{
			name: "expired report of a peer is ignored",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Observe(-time.Second, "other", Report{Loads: []Load{{Backend: "r0", PrefillTime: time.Minute, Running: 4}}})
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, wantPrefill: "r0", wantBackend: "w0",
		},
		{
			name: "leaving prefill engine",
			prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
				list[0].Leaving = true
				p.SetBackends(0, list, config)
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, wantBackend: "w0",
		},
		{
			name: "leaving decode engine is not used, even if it is the only one",
			prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
				list[1].Leaving = true
				p.SetBackends(0, list, config)
			},
			prompt: Prompt{Tokens: 9000}, wantNone: true,
		},
		{
			name:   "excluded decode engine",
			prompt: Prompt{Tokens: 9000, Exclude: []string{"w0"}}, wantNone: true,
		},
		{
			name: "unreachable prefill engine is in backoff",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Done(time.Second, p.Begin(time.Second, "r0"), Unavailable)
			},
			prompt: Prompt{Tokens: 9000}, wantBackend: "w0",
		},
		{
			name: "unresponsive prefill engine",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Begin(0, "r0")
			},
			prompt: Prompt{Tokens: 9000}, wantBackend: "w0",
		},
		{
			name: "decode engine in backoff is used if there is no other",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Done(time.Second, p.Begin(time.Second, "w0"), Unavailable)
			},
			prompt: Prompt{Tokens: 9000}, wantPrefill: "r0", wantBackend: "w0",
		},
	}
	for _, test := range tests {
		p, list, config := newFleet(1, 1)
		if test.prepare != nil {
			test.prepare(p, list, config)
		}
		test.prompt.Service = service
		got, ok := p.Place(time.Second, test.prompt)
		if ok == test.wantNone || got.PrefillBackend != test.wantPrefill || got.Backend != test.wantBackend {
			t.Errorf("%s: got %+v (%v), want prefill engine %q and backend %q", test.name, got, ok, test.wantPrefill, test.wantBackend)
		}
	}
}

// TestSessionAffinity checks that the prompts of a session go to the engines that have
// their parts cached, so that few tokens are read again.
func TestSessionAffinity(t *testing.T) {
	const sessions, rounds = 20, 10
	p, _, _ := newFleet(3, 3)
	now := time.Duration(0)
	rereadTokens := 0
	for round := range rounds {
		for s := range sessions {
			now += 40 * time.Millisecond
			prompt := Prompt{Service: service, Tokens: 7000, Parts: append(parts(1), Part{Hash: uint32(100 + s), Tokens: 4000})}
			c, ok := p.Place(now, prompt)
			if !ok {
				t.Fatal("got no engine, want one")
			}
			if round > 0 {
				rereadTokens += c.UncachedTokens
			}
			prefillEngine := c.PrefillBackend
			if prefillEngine == "" {
				prefillEngine = c.Backend
			}
			f := p.BeginPrefill(now, prefillEngine, prompt.Parts, c.UncachedTokens)
			p.FinishPrefill(now+20*time.Millisecond, f)
			p.Done(now+20*time.Millisecond, f, Answered)
		}
	}
	if limit := sessions * rounds * 7000 / 20; rereadTokens > limit {
		t.Errorf("got %d tokens read again, want at most %d", rereadTokens, limit)
	}
}

// TestNewIncarnationStartsIdle checks that a server which restarts under the same ID
// has neither a backlog nor cached parts.
func TestNewIncarnationStartsIdle(t *testing.T) {
	p, list, config := newFleet(0, 1)
	p.BeginPrefill(0, "w0", parts(1), 90_000)
	list[0].Born = 2
	p.SetBackends(0, list, config)
	got, _ := p.Place(0, Prompt{Service: service, Tokens: 3000, Parts: parts(1)})
	if got.UncachedTokens != 3000 || got.Wait > 25*time.Millisecond {
		t.Errorf("got %+v, want an idle server without cached parts", got)
	}
}

// TestSlowEngineIsAvoided checks that Place learns that an engine takes four times as
// long as another, and chooses the faster one.
func TestSlowEngineIsAvoided(t *testing.T) {
	p, _, _ := newFleet(2, 1)
	now := time.Duration(0)
	for range 40 {
		for _, engine := range []struct {
			id          string
			prefillTime time.Duration
		}{{"r0", 120 * time.Millisecond}, {"r1", 30 * time.Millisecond}} {
			now += 200 * time.Millisecond
			f := p.BeginPrefill(now, engine.id, nil, 9000)
			p.FinishPrefill(now+engine.prefillTime, f)
			p.Done(now+engine.prefillTime, f, Answered)
		}
	}
	if got, _ := p.Place(now+time.Second, Prompt{Service: service, Tokens: 9000}); got.PrefillBackend != "r1" {
		t.Errorf("got prefill engine %q, want r1, the fast one", got.PrefillBackend)
	}
}

// TestPlacementsReachPeers checks that another instance learns from a report which parts
// were sent to an engine.
func TestPlacementsReachPeers(t *testing.T) {
	p, list, config := newFleet(2, 1)
	other := New(2, "a")
	other.SetBackends(0, list, config)
	p.Done(0, p.BeginPrefill(0, "r1", parts(1, 2), 6000), Answered)
	other.Observe(0, "first", p.Report(0, 10))
	if got, _ := other.Place(0, Prompt{Service: service, Tokens: 6000, Parts: parts(1, 2)}); got.PrefillBackend != "r1" || got.UncachedTokens != 0 {
		t.Errorf("got %+v, want prefill engine r1 and no uncached tokens", got)
	}
	if got := p.Report(0, 10); len(got.Placements) != 0 {
		t.Errorf("second report: got %d placements, want none", len(got.Placements))
	}
}

func TestCacheIsBounded(t *testing.T) {
	c := newCache(10_000)
	c.add([]Part{{Hash: 1, Tokens: 6000}}, 0)
	c.add([]Part{{Hash: 2, Tokens: 3000}}, 0)
	c.add([]Part{{Hash: 1, Tokens: 6000}}, 0) // Makes part 2 the least recently used.
	c.add([]Part{{Hash: 3, Tokens: 3000}}, 0)
	if got := c.cachedTokens([]Part{{Hash: 1, Tokens: 6000}}); got != 6000 {
		t.Errorf("most recently used part: got %d tokens, want 6000", got)
	}
	if got := c.cachedTokens([]Part{{Hash: 2, Tokens: 3000}}); got != 0 {
		t.Errorf("least recently used part: got %d tokens, want 0", got)
	}
	if c.tokens != 9000 {
		t.Errorf("total: got %d tokens, want 9000", c.tokens)
	}
}

func TestPlacePlain(t *testing.T) {
	p, _, config := newFleet(0, 0)
	list := []peridotsite.Backend{
		{ID: "near", Service: "plain", Domain: "a", Slots: 6},
		{ID: "far", Service: "plain", Domain: "b", Slots: 6},
	}
	p.SetBackends(0, list, config)
	plain := Prompt{Service: "plain"}
	if got, _ := p.Place(0, plain); got.Backend != "near" {
		t.Errorf("idle: got %q, want near", got.Backend)
	}
	if got, _ := p.Place(0, Prompt{Service: "plain", Exclude: []string{"near"}}); got.Backend != "far" {
		t.Errorf("near excluded: got %q, want far", got.Backend)
	}
	if _, ok := p.Place(0, Prompt{Service: "plain", Exclude: []string{"near", "far"}}); ok {
		t.Error("all excluded: got a server, want none")
	}
	p.Begin(0, "near")
	if got, _ := p.Place(0, plain); got.Backend != "far" {
		t.Errorf("near busy: got %q, want far", got.Backend)
	}
	for range 10 {
		p.Done(0, p.Begin(0, "far"), Failed)
	}
	if got, _ := p.Place(0, plain); got.Backend != "near" {
		t.Errorf("far failing: got %q, want near", got.Backend)
	}
}

// TestDoneIsIdempotent checks that only the first Done of a flight has an effect.
func TestDoneIsIdempotent(t *testing.T) {
	p, _, _ := newFleet(1, 0)
	f := p.BeginPrefill(0, "r0", nil, 3000)
	p.Done(0, f, Canceled)
	p.Done(0, f, Unavailable)
	if got := p.servers["r0"]; got.running != 0 || got.unconfirmedMillis != 0 || got.backoff != 0 {
		t.Errorf("got %d running, %v ms unconfirmed, backoff %v; want none", got.running, got.unconfirmedMillis, got.backoff)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{9, 40, 300} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			p, _, _ := newFleet(engines/3, engines-engines/3)
			for peer := range 20 {
				var r Report
				for i := range engines / 3 {
					r.Loads = append(r.Loads, Load{Backend: fmt.Sprint("r", i), PrefillTime: time.Millisecond, Running: 1})
				}
				p.Observe(0, fmt.Sprint(peer), r)
			}
			prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)}
			for b.Loop() {
				p.Place(0, prompt)
			}
		})
	}
}

// TestPairAvoidsDecodeEngineThatReads guards against split prompts whose decode engine is
// reading a long prompt: it admits no other before it has finished.
func TestPairAvoidsDecodeEngineThatReads(t *testing.T) {
	p, _, _ := newFleet(1, 2)
	p.BeginPrefill(0, "w0", nil, 30_000)
	prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)}
	for range 30 { // Running requests cost less than the wait.
		p.Done(0, p.BeginDecode(0, "w1", nil), Answered)
		p.BeginDecode(0, "w1", nil)
	}
	if got, _ := p.Place(0, prompt); got.PrefillBackend != "r0" || got.Backend != "w1" {
		t.Errorf("got %+v, want the pair r0, w1", got)
	}
}
