package peridotplace

import (
	"fmt"
	"testing"
	"time"

	"peridotstack/peridotsite"
)

// TestHold guards against a request at a server that wants none, also where no other
// server is left.
func TestHold(t *testing.T) {
	const born, until = 7, 10 * time.Second // All holds begin at 0.
	tests := []struct {
		name string
		// prepare does what happens to w0, r0 and the plain server p0 after the hold.
		prepare func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config)
		at      time.Duration
		// accepted is set if they must get requests again.
		accepted bool
		// heldFor is the expected result of HeldFor.
		heldFor time.Duration
	}{
		{name: "at once", at: 0, heldFor: until},
		{name: "shortly before its end", at: until - 1, heldFor: 1},
		{name: "at its end", at: until, accepted: true},
		{name: "other answers", at: time.Second, heldFor: until - time.Second, prepare: func(p *Placer, list []peridotsite.Backend, _ *peridotsite.Config) {
			for _, b := range list {
				for _, outcome := range []Outcome{Answered, Refused, Failed, Unavailable, Canceled} {
					f := p.BeginPrefill(0, b.ID, nil, 0)
					p.FinishPrefill(0, f)
					p.Progress(0, f)
					p.Done(0, f, outcome)
				}
			}
		}},
		{name: "a shorter one", at: time.Second, heldFor: until - time.Second, prepare: func(p *Placer, list []peridotsite.Backend, _ *peridotsite.Config) {
			for _, b := range list {
				p.Hold(time.Second/2, b.ID, born, time.Second)
			}
		}},
		{name: "a longer one", at: until, heldFor: until, prepare: func(p *Placer, list []peridotsite.Backend, _ *peridotsite.Config) {
			for _, b := range list {
				p.Hold(0, b.ID, born, 2*until)
			}
		}},
		{name: "negative", at: time.Second, heldFor: until - time.Second, prepare: func(p *Placer, list []peridotsite.Backend, _ *peridotsite.Config) {
			for _, b := range list {
				p.Hold(0, b.ID, born, -time.Hour)
			}
		}},
		{name: "listed again", at: time.Second, heldFor: until - time.Second, prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
			p.SetBackends(0, list, config)
		}},
		{name: "missing from one list", at: time.Second, heldFor: until - time.Second, prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
			p.SetBackends(0, nil, config)
			p.SetBackends(0, list, config)
		}},
		{name: "another address", at: time.Second, heldFor: until - time.Second, prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
			for i := range list {
				list[i].Address = fmt.Sprint("10.9.9.", i)
			}
			p.SetBackends(0, list, config)
		}},
		{name: "next incarnation", at: time.Second, accepted: true, prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
			for i := range list {
				list[i].Born = born + 1
			}
			p.SetBackends(0, list, config)
		}},
		{name: "next incarnation, then an older list", at: time.Second, heldFor: until - time.Second, prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
			next := append([]peridotsite.Backend(nil), list...)
			for i := range next {
				next[i].Born = born + 1
			}
			p.SetBackends(0, next, config)
			p.SetBackends(0, list, config)
		}},
		{name: "hold of an earlier incarnation", at: until, accepted: true, prepare: func(p *Placer, list []peridotsite.Backend, _ *peridotsite.Config) {
			for _, b := range list {
				p.Hold(0, b.ID, born-1, 2*until)
			}
		}},
	}
	for _, test := range tests {
		p, list, config := newFleet(1, 1)
		list = append(list, peridotsite.Backend{ID: "p0", Service: "plain", Domain: "a", Slots: 6})
		for i := range list {
			list[i].Born = born
		}
		p.SetBackends(0, list, config)
		for _, b := range list {
			p.Hold(0, b.ID, born, until)
		}
		if test.prepare != nil {
			test.prepare(p, list, config)
		}
		_, plain := p.Place(test.at, Prompt{Service: "plain"})
		_, short := p.Place(test.at, Prompt{Service: service, Tokens: 200})
		if plain != test.accepted || short != test.accepted || p.Accepts(test.at, "p0") != test.accepted || p.Accepts(test.at, "w0") != test.accepted {
			t.Errorf("%s: got placed %v and %v, accepted %v and %v; want %v", test.name, plain, short, p.Accepts(test.at, "p0"), p.Accepts(test.at, "w0"), test.accepted)
		}
		if got := p.HeldFor(test.at, service, ""); got != test.heldFor {
			t.Errorf("%s: got %v until an engine accepts requests, want %v", test.name, got, test.heldFor)
		}
		if got := p.HeldFor(test.at, "plain", ""); got != test.heldFor {
			t.Errorf("%s: got %v until a plain server accepts requests, want %v", test.name, got, test.heldFor)
		}
	}
}

// TestHeldPrefillEngine guards against prefills at an engine that wants none, and
// against refusals while a decode engine takes the prompt by itself.
func TestHeldPrefillEngine(t *testing.T) {
	p, _, _ := newFleet(1, 1)
	p.Hold(0, "r0", 0, time.Minute)
	got, ok := p.Place(time.Second, Prompt{Service: service, Tokens: 9000})
	if !ok || got.PrefillBackend != "" || got.Backend != "w0" {
		t.Errorf("got %+v (%v), want w0 alone", got, ok)
	}
	if got := p.HeldFor(time.Second, service, ""); got != 0 {
		t.Errorf("got %v until an engine accepts requests, want 0", got)
	}
}

// TestHeldForIsSoonest checks that the soonest end counts, and no leaving server.
func TestHeldForIsSoonest(t *testing.T) {
	p, list, config := newFleet(0, 3)
	list[0].Leaving = true
	p.SetBackends(0, list, config)
	p.Hold(0, "w0", 0, time.Second)
	p.Hold(0, "w1", 0, 3*time.Second)
	p.Hold(0, "w2", 0, 2*time.Second)
	if got := p.HeldFor(0, service, ""); got != 2*time.Second {
		t.Errorf("got %v, want 2s", got)
	}
	if got := p.HeldFor(0, "unknown", ""); got != 0 {
		t.Errorf("unknown service: got %v, want 0", got)
	}
}

// TestHeldCandidatesOfLargeService guards against a refusal while only the engines that
// are compared first are held.
func TestHeldCandidatesOfLargeService(t *testing.T) {
	p, list, _ := newFleet(0, 2*maxCandidates)
	for _, b := range list[1:] {
		p.Hold(0, b.ID, 0, time.Minute)
	}
	for range 20 {
		if got, ok := p.Place(0, Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2)}); !ok || got.Backend != list[0].ID {
			t.Fatalf("got %+v (%v), want %s", got, ok, list[0].ID)
		}
	}
}

// TestHoldsAreBounded guards against memory that grows with each hold.
func TestHoldsAreBounded(t *testing.T) {
	p, _, _ := newFleet(0, 0)
	for i := range 1000 {
		p.Hold(time.Duration(i)*time.Second, fmt.Sprint("w", i), 0, 10*time.Second)
	}
	if got := len(p.holds); got > 10 {
		t.Errorf("got %d holds, want at most 10", got)
	}
}
