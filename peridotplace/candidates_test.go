package peridotplace

import (
	"testing"
	"time"

	"peridotstack/peridotsite"
)

// TestLargeServices places prompts of sessions among many engines, from instances
// that do not hear of each other.
func TestLargeServices(t *testing.T) {
	first, list, config := fleet(200, 400)
	second := New(2, "a")
	// The second instance does not know of some engines yet.
	second.SetBackends(0, list[:len(list)-20], config)
	same := 0
	const sessions = 100
	for session := range sessions {
		prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, uint32(1000+session), uint32(5000+session))}
		list := first.candidates(prompt)
		if len(list) != maxCandidates {
			t.Fatalf("got %d candidates, want %d", len(list), maxCandidates)
		}
		both := make(map[string]bool)
		for _, s := range list {
			both[s.ID] = true
		}
		shared := 0
		for _, s := range second.candidates(prompt) {
			if both[s.ID] {
				shared++
			}
		}
		if shared >= (maxCandidates-drawnCandidates)*9/10 {
			same++
		}
	}
	if same < sessions*9/10 {
		t.Errorf("instances compare the same engines for %d of %d sessions, want %d at least", same, sessions, sessions*9/10)
	}
}

// TestSessionsSpread places many sessions, each of which takes a while, and expects
// no engine to get most, though all begin with the same part.
func TestSessionsSpread(t *testing.T) {
	p, _, _ := fleet(200, 400)
	got := make(map[string]int)
	const sessions = 2000
	// underWay is how many prompts are being read at a time.
	const underWay = 200
	var flights []*Flight
	for session := range sessions {
		now := time.Duration(session) * time.Millisecond
		prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, uint32(1000+session))}
		c, ok := p.Place(now, prompt)
		if !ok {
			t.Fatal("got no engine")
		}
		reader := c.Reader
		if reader == "" {
			reader = c.Backend
		}
		flights = append(flights, p.Read(now, reader, prompt.Parts, c.Uncached))
		if len(flights) > underWay {
			p.Done(now, flights[0], Answered)
			flights = flights[1:]
		}
		got[reader]++
	}
	for id, n := range got {
		if n > sessions/20 {
			t.Errorf("%s got %d of %d sessions, want %d at most", id, n, sessions, sessions/20)
		}
	}
}

// TestNearestWriter expects the writer in the reader's domain where that is as
// good as another, and the other one when it is much cheaper.
func TestNearestWriter(t *testing.T) {
	p, list, config := fleet(1, 2)
	p.domain = "c" // Each of the engines is as far away.
	list[0].Domain, list[1].Domain, list[2].Domain = "b", "a", "b"
	list[0].Role = peridotsite.Prefill
	p.SetBackends(0, list, config)
	prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)}
	if got, _ := p.Place(0, prompt); got.Reader != list[0].ID || got.Backend != list[2].ID {
		t.Errorf("got %+v, want the writer %s beside the reader", got, list[2].ID)
	}
	for range 60 {
		p.Begin(0, list[2].ID)
	}
	if got, _ := p.Place(0, prompt); got.Backend != list[1].ID {
		t.Errorf("busy: got %+v, want the writer %s", got, list[1].ID)
	}
}
