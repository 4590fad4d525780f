package peridotplace

import (
	"fmt"
	"testing"
	"time"

	"peridotstack/peridotsite"
)

const service = "llm"

// fleet returns a placer in domain a with readers and writers, all in domain a.
func fleet(readers, writers int) (*Placer, []peridotsite.Backend, *peridotsite.Config) {
	config := (&peridotsite.Config{Version: 1, Services: []peridotsite.Service{
		{Name: service, Engine: &peridotsite.Engine{Slots: 64, CacheTokens: 100_000, TokenBytes: 163_840, LinkBytesPerSecond: 7e11}},
		{Name: "plain"},
	}}).Index()
	var list []peridotsite.Backend
	for i := range readers {
		list = append(list, peridotsite.Backend{ID: fmt.Sprint("r", i), Service: service, Domain: "a", Address: fmt.Sprint("10.0.0.", i), Role: peridotsite.Prefill})
	}
	for i := range writers {
		list = append(list, peridotsite.Backend{ID: fmt.Sprint("w", i), Service: service, Domain: "a", Address: fmt.Sprint("10.0.1.", i), Role: peridotsite.Decode})
	}
	p := New(1, "a")
	p.SetBackends(0, list, config)
	return p, list, config
}

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
		// prepare changes the fleet before the prompt is placed at one second.
		prepare func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config)
		prompt  Prompt
		reader  string
		backend string
		none    bool
	}{
		{
			name:   "a long prompt is read apart",
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, reader: "r0", backend: "w0",
		},
		{
			name:   "a short prompt is read where the answer is made",
			prompt: Prompt{Tokens: 200, Parts: parts(1)}, backend: "w0",
		},
		{
			name: "the writer that keeps the prompt reads it",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.servers["w0"].cache.add(parts(1, 2, 3))
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, backend: "w0",
		},
		{
			name:    "no second sending over a narrow link",
			prompt:  Prompt{Tokens: 9000, Parts: parts(1, 2, 3), Sending: 30 * time.Millisecond},
			backend: "w0",
		},
		{
			name: "a busy reader is avoided",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Read(time.Second, "r0", nil, 60_000)
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, backend: "w0",
		},
		{
			name: "a reader is avoided that others keep busy",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Observe(time.Second, "other", Report{Loads: []Load{{Backend: "r0", Reading: 200 * time.Millisecond, Running: 4}}})
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, backend: "w0",
		},
		{
			name: "old news of others does not count",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Observe(-time.Second, "other", Report{Loads: []Load{{Backend: "r0", Reading: time.Minute, Running: 4}}})
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, reader: "r0", backend: "w0",
		},
		{
			name: "a leaving reader gets nothing",
			prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
				list[0].Leaving = true
				p.SetBackends(0, list, config)
			},
			prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, backend: "w0",
		},
		{
			name: "a leaving writer gets nothing, even if it is the only one",
			prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
				list[1].Leaving = true
				p.SetBackends(0, list, config)
			},
			prompt: Prompt{Tokens: 9000}, none: true,
		},
		{
			name:   "an excluded writer gets nothing",
			prompt: Prompt{Tokens: 9000, Exclude: []string{"w0"}}, none: true,
		},
		{
			name: "a reader that could not be reached gets nothing for a while",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Done(time.Second, p.Begin(time.Second, "r0"), Lost)
			},
			prompt: Prompt{Tokens: 9000}, backend: "w0",
		},
		{
			name: "a reader that answers nothing gets nothing more",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Begin(0, "r0")
			},
			prompt: Prompt{Tokens: 9000}, backend: "w0",
		},
		{
			name: "a faulty writer is used if there is no other",
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Done(time.Second, p.Begin(time.Second, "w0"), Lost)
			},
			prompt: Prompt{Tokens: 9000}, reader: "r0", backend: "w0",
		},
	}
	for _, test := range tests {
		p, list, config := fleet(1, 1)
		if test.prepare != nil {
			test.prepare(p, list, config)
		}
		test.prompt.Service = service
		got, ok := p.Place(time.Second, test.prompt)
		if ok == test.none || got.Reader != test.reader || got.Backend != test.backend {
			t.Errorf("%s: got %+v (%v), want reader %q and backend %q", test.name, got, ok, test.reader, test.backend)
		}
	}
}

// TestSessionsStay sends the prompts of many sessions in turn and counts how
// many tokens are read again.
func TestSessionsStay(t *testing.T) {
	const sessions, rounds = 20, 10
	p, _, _ := fleet(3, 3)
	now := time.Duration(0)
	again := 0
	for round := range rounds {
		for s := range sessions {
			now += 40 * time.Millisecond
			prompt := Prompt{Service: service, Tokens: 7000, Parts: append(parts(1), Part{Hash: uint32(100 + s), Tokens: 4000})}
			c, ok := p.Place(now, prompt)
			if !ok {
				t.Fatal("got no engine, want one")
			}
			if round > 0 {
				again += c.Uncached
			}
			reader := c.Reader
			if reader == "" {
				reader = c.Backend
			}
			f := p.Read(now, reader, prompt.Parts, c.Uncached)
			p.HasRead(now+20*time.Millisecond, f)
			p.Done(now+20*time.Millisecond, f, Answered)
		}
	}
	if limit := sessions * rounds * 7000 / 20; again > limit {
		t.Errorf("got %d tokens read again, want %d at most", again, limit)
	}
}

// TestIncarnations lets a server start anew under the same name.
func TestIncarnations(t *testing.T) {
	p, list, config := fleet(0, 1)
	p.Read(0, "w0", parts(1), 90_000)
	list[0].Born = 2
	p.SetBackends(0, list, config)
	got, _ := p.Place(0, Prompt{Service: service, Tokens: 3000, Parts: parts(1)})
	if got.Uncached != 3000 || got.Wait > 25*time.Millisecond {
		t.Errorf("got %+v, want an idle server that keeps nothing", got)
	}
}

// TestSlowReader learns that an engine takes four times as long.
func TestSlowReader(t *testing.T) {
	p, _, _ := fleet(2, 1)
	now := time.Duration(0)
	for range 40 {
		for _, reader := range []struct {
			id   string
			took time.Duration
		}{{"r0", 120 * time.Millisecond}, {"r1", 30 * time.Millisecond}} {
			now += 200 * time.Millisecond
			f := p.Read(now, reader.id, nil, 9000)
			p.HasRead(now+reader.took, f)
			p.Done(now+reader.took, f, Answered)
		}
	}
	if got, _ := p.Place(now+time.Second, Prompt{Service: service, Tokens: 9000}); got.Reader != "r1" {
		t.Errorf("got reader %q, want the fast one, r1", got.Reader)
	}
}

// TestPlacementsReachOthers tells another instance what engines were given.
func TestPlacementsReachOthers(t *testing.T) {
	p, list, config := fleet(2, 1)
	other := New(2, "a")
	other.SetBackends(0, list, config)
	p.Done(0, p.Read(0, "r1", parts(1, 2), 6000), Answered)
	other.Observe(0, "first", p.Report(0, 10))
	if got, _ := other.Place(0, Prompt{Service: service, Tokens: 6000, Parts: parts(1, 2)}); got.Reader != "r1" || got.Uncached != 0 {
		t.Errorf("got %+v, want reader r1 with nothing to read", got)
	}
	if got := p.Report(0, 10); len(got.Placed) != 0 {
		t.Errorf("second report: got %d placements, want none", len(got.Placed))
	}
}

func TestCacheIsBounded(t *testing.T) {
	c := newCache(10_000)
	c.add([]Part{{Hash: 1, Tokens: 6000}})
	c.add([]Part{{Hash: 2, Tokens: 3000}})
	c.add([]Part{{Hash: 1, Tokens: 6000}}) // Used again, so that 2 is the oldest.
	c.add([]Part{{Hash: 3, Tokens: 3000}})
	if got := c.cached([]Part{{Hash: 1, Tokens: 6000}}); got != 6000 {
		t.Errorf("part used last: got %d tokens, want 6000", got)
	}
	if got := c.cached([]Part{{Hash: 2, Tokens: 3000}}); got != 0 {
		t.Errorf("oldest part: got %d tokens, want 0", got)
	}
	if c.tokens != 9000 {
		t.Errorf("got %d tokens in all, want 9000", c.tokens)
	}
}

func TestPlain(t *testing.T) {
	p, _, config := fleet(0, 0)
	list := []peridotsite.Backend{
		{ID: "near", Service: "plain", Domain: "a", Slots: 6},
		{ID: "far", Service: "plain", Domain: "b", Slots: 6},
	}
	p.SetBackends(0, list, config)
	if got, _ := p.Plain(0, "plain", nil); got != "near" {
		t.Errorf("idle: got %q, want near", got)
	}
	if got, _ := p.Plain(0, "plain", []string{"near"}); got != "far" {
		t.Errorf("near excluded: got %q, want far", got)
	}
	if _, ok := p.Plain(0, "plain", []string{"near", "far"}); ok {
		t.Error("all excluded: got a server, want none")
	}
	p.Begin(0, "near")
	if got, _ := p.Plain(0, "plain", nil); got != "far" {
		t.Errorf("near busy: got %q, want far", got)
	}
	for range 10 {
		p.Done(0, p.Begin(0, "far"), Failed)
	}
	if got, _ := p.Plain(0, "plain", nil); got != "near" {
		t.Errorf("far fails: got %q, want near", got)
	}
}

// TestFlightsAreCountedOnce ends a flight twice.
func TestFlightsAreCountedOnce(t *testing.T) {
	p, _, _ := fleet(1, 0)
	f := p.Read(0, "r0", nil, 3000)
	p.Done(0, f, Left)
	p.Done(0, f, Lost)
	if got := p.servers["r0"]; got.running != 0 || got.unread != 0 || got.backoff != 0 {
		t.Errorf("got %d running, %v ms unread, backoff %v; want none", got.running, got.unread, got.backoff)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{9, 40, 300} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			p, _, _ := fleet(engines/3, engines-engines/3)
			for peer := range 20 {
				var r Report
				for i := range engines / 3 {
					r.Loads = append(r.Loads, Load{Backend: fmt.Sprint("r", i), Reading: time.Millisecond, Running: 1})
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
