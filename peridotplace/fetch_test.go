package peridotplace

import (
	"testing"
	"time"
)

// TestFetchesPrefixInsteadOfReading guards against long shared prefixes that are read again
// at each engine to which the load spreads: a few sessions with long prefixes in common,
// more requests for each than its engine can serve.
func TestFetchesPrefixInsteadOfReading(t *testing.T) {
	const sharedTokens, ownTokens, rounds = 12_000, 1000, 60
	p, _, _ := newFleet(4, 4)
	for _, v := range []speedKey{{service, true}, {service, false}} {
		p.speedOf(v).observe(40)
	}
	now := time.Second
	read := 0
	for round := range rounds {
		prompt := Prompt{Service: service, Tokens: sharedTokens + ownTokens, Parts: []Part{
			{Hash: 1, Tokens: sharedTokens}, {Hash: uint32(100 + round), Tokens: ownTokens},
		}}
		c, _ := p.Place(now, prompt)
		read += c.UncachedTokens
		engine := c.PrefillBackend
		if engine == "" {
			engine = c.Backend
		}
		f := p.BeginPrefill(now, engine, prompt.Parts, c.UncachedTokens)
		now += 5 * time.Millisecond
		if round == 0 {
			now += c.Wait
			p.FinishPrefill(now, f)
			p.Done(now, f, Answered)
		}
	}
	if want := sharedTokens + rounds*ownTokens; read > want*11/10 {
		t.Errorf("got %d tokens to read, want about %d: the prefix once and each own part", read, want)
	}
}

// TestPlaceFetch checks from which engine, if any, a prefix is fetched.
func TestPlaceFetch(t *testing.T) {
	shared := []Part{{Hash: 1, Tokens: 9000}}
	tests := []struct {
		name string
		// holders are the engines that have read the prefix at the given times.
		holders map[string]time.Duration
		// prepare changes the fleet before the prompt is placed, at one second.
		prepare func(p *Placer)
		want    string
	}{
		{name: "nobody has it"},
		{name: "another engine has it", holders: map[string]time.Duration{"r1": 0}, want: "r1"},
		{name: "another engine is still reading it", holders: map[string]time.Duration{"r1": 2 * time.Second}},
		{
			name: "engine that has it does not answer", holders: map[string]time.Duration{"r1": 0},
			prepare: func(p *Placer) { p.Done(time.Second, p.Begin(time.Second, "r1"), Unavailable) },
		},
		{
			name: "engine that has it has another software version", holders: map[string]time.Duration{"r1": 0},
			prepare: func(p *Placer) { p.servers["r1"].SoftwareVersion = "2" },
		},
		{
			name: "slow link", holders: map[string]time.Duration{"r1": 0},
			prepare: func(p *Placer) { p.servers["r0"].engine.LinkBytesPerSecond = 1e9 },
		},
	}
	for _, test := range tests {
		p, _, _ := newFleet(2, 1)
		for id, readyAt := range test.holders {
			p.servers[id].cache.add(shared, readyAt)
		}
		if test.prepare != nil {
			test.prepare(p)
		}
		// r1 is busy and w0 slow, so that r0 does the prefill.
		p.BeginPrefill(time.Second, "r1", nil, 900_000)
		p.servers["w0"].slowness = maxSlowness
		got, _ := p.Place(time.Second, Prompt{Service: service, Tokens: 10_000, Parts: append(shared, Part{Hash: 2, Tokens: 1000})})
		wantUncached := 10_000
		if test.want != "" {
			wantUncached = 1000
		}
		if got.FetchBackend != test.want || got.UncachedTokens != wantUncached || got.PrefillBackend == "r1" {
			t.Errorf("%s: got %+v, want a prefill of %d tokens after a fetch from %q", test.name, got, wantUncached, test.want)
		}
	}
}
