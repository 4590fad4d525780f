package peridotplace

import (
	"testing"
	"time"

	"peridotstack/peridotsite"
)

// TestCandidatesAgreeAcrossInstances checks that instances which exchange no reports
// compare mostly the same engines of a large service for the same session.
func TestCandidatesAgreeAcrossInstances(t *testing.T) {
	first, list, config := newFleet(200, 400)
	second := New(2, "a")
	// The second instance does not know some engines yet.
	second.SetBackends(0, list[:len(list)-20], config)
	agreeing := 0
	const sessions = 100
	for session := range sessions {
		prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, uint32(1000+session), uint32(5000+session))}
		list := first.candidates(prompt)
		if len(list) != maxCandidates {
			t.Fatalf("got %d candidates, want %d", len(list), maxCandidates)
		}
		firstIDs := make(map[string]bool)
		for _, s := range list {
			firstIDs[s.ID] = true
		}
		shared := 0
		for _, s := range second.candidates(prompt) {
			if firstIDs[s.ID] {
				shared++
			}
		}
		if shared >= (maxCandidates-randomCandidates)*9/10 {
			agreeing++
		}
	}
	if agreeing < sessions*9/10 {
		t.Errorf("instances compare the same engines for %d of %d sessions, want at least %d", agreeing, sessions, sessions*9/10)
	}
}

// TestSessionsSpread checks that no engine gets more than a twentieth of concurrent
// sessions, although the prompts of all sessions begin with the same part.
func TestSessionsSpread(t *testing.T) {
	p, _, _ := newFleet(200, 400)
	got := make(map[string]int)
	const sessions = 2000
	// maxRunning is the maximum number of prompts that are read at a time.
	const maxRunning = 200
	var flights []*Flight
	for session := range sessions {
		now := time.Duration(session) * time.Millisecond
		prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, uint32(1000+session))}
		c, ok := p.Place(now, prompt)
		if !ok {
			t.Fatal("got no engine, want one")
		}
		prefillEngine := c.PrefillBackend
		if prefillEngine == "" {
			prefillEngine = c.Backend
		}
		flights = append(flights, p.BeginPrefill(now, prefillEngine, prompt.Parts, c.UncachedTokens))
		if len(flights) > maxRunning {
			p.Done(now, flights[0], Answered)
			flights = flights[1:]
		}
		got[prefillEngine]++
	}
	for id, n := range got {
		if n > sessions/20 {
			t.Errorf("%s got %d of %d sessions, want at most %d", id, n, sessions, sessions/20)
		}
	}
}

// TestPlacePrefersDecodeInPrefillDomain checks that the KV cache stays in the failure
// domain of the prefill engine, unless decoding in another domain costs much less.
func TestPlacePrefersDecodeInPrefillDomain(t *testing.T) {
	p, list, config := newFleet(1, 2)
	p.domain = "c" // All engines are in other domains.
	list[0].Domain, list[1].Domain, list[2].Domain = "b", "a", "b"
	list[0].Role = peridotsite.Prefill
	p.SetBackends(0, list, config)
	prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)}
	if got, _ := p.Place(0, prompt); got.PrefillBackend != list[0].ID || got.Backend != list[2].ID {
		t.Errorf("equal cost: got %+v, want decode engine %s in the domain of the prefill engine", got, list[2].ID)
	}
	for range 60 {
		p.Begin(0, list[2].ID)
	}
	if got, _ := p.Place(0, prompt); got.Backend != list[1].ID {
		t.Errorf("busy: got %+v, want decode engine %s", got, list[1].ID)
	}
}
