package peridotplace

import (
	"testing"
	"time"
)

// TestServerReturnsAfterFailures guards against a sound server that gets no requests
// for good after a burst of failures: its failure rate falls only with answers.
func TestServerReturnsAfterFailures(t *testing.T) {
	p, _, _ := newFleet(0, 2)
	now := time.Second
	for _, f := range beginMany(p, now, "w0", 10) {
		p.Done(now, f, Unavailable)
	}
	beginMany(p, now, "w1", 60) // Makes w1 the more expensive choice.
	prompt := Prompt{Service: service, Tokens: 200}
	place := func(at time.Duration) string {
		p.Progress(at, &Flight{server: p.servers["w1"]})
		choice, _ := p.Place(at, prompt)
		return choice.Backend
	}
	if got := place(now + minTrialInterval/2); got != "w1" {
		t.Errorf("right after the failures: got %s, want w1", got)
	}
	now += minTrialInterval
	if p.HasAlternative(now, Alternative{Service: service, Generates: true, Exclude: []string{"w1"}}) {
		t.Error("got the failing server as a certain replacement, want it only for trials")
	}
	for trial := 0; p.servers["w0"].failureRate >= maxFailureRate; trial++ {
		if got := place(now); got != "w0" {
			t.Fatalf("trial %d: got %s, want w0", trial, got)
		}
		f := p.Begin(now, "w0")
		if got := place(now); got != "w1" {
			t.Errorf("second request during trial %d: got %s, want w1", trial, got)
		}
		now += 10 * time.Millisecond
		p.Done(now, f, Answered)
	}
	beginMany(p, now, "w0", 2)
	if got := place(now); got != "w0" {
		t.Errorf("after the trials: got %s, want w0", got)
	}
}

// TestFailingServerGetsFewTrials guards against spending the retry budget on trials at
// a server that stays away.
func TestFailingServerGetsFewTrials(t *testing.T) {
	p, _, _ := newFleet(0, 2)
	for _, f := range beginMany(p, 0, "w0", 10) {
		p.Done(0, f, Unavailable)
	}
	beginMany(p, 0, "w1", 60)
	trials := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		p.Progress(now, &Flight{server: p.servers["w1"]})
		if choice, _ := p.Place(now, Prompt{Service: service, Tokens: 200}); choice.Backend == "w0" {
			trials++
			p.Done(now, p.Begin(now, "w0"), Unavailable)
		}
	}
	if trials < 2 || trials > 6 {
		t.Errorf("got %d trials in a minute, want 2 to 6", trials)
	}
}

// TestRefusedTrialsAreFew guards against spending the retry budget on trials at a
// failing server that turns each of them away.
func TestRefusedTrialsAreFew(t *testing.T) {
	p, _, _ := newFleet(0, 2)
	for _, f := range beginMany(p, 0, "w0", 10) {
		p.Done(0, f, Unavailable)
	}
	beginMany(p, 0, "w1", 60)
	trials := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		p.Progress(now, &Flight{server: p.servers["w1"]})
		if choice, _ := p.Place(now, Prompt{Service: service, Tokens: 200}); choice.Backend == "w0" {
			trials++
			p.Done(now, p.Begin(now, "w0"), Refused)
		}
	}
	if trials < 2 || trials > 6 {
		t.Errorf("got %d trials in a minute, want 2 to 6", trials)
	}
}

// beginMany begins n requests at a server.
func beginMany(p *Placer, now time.Duration, backend string, n int) []*Flight {
	var flights []*Flight
	for range n {
		flights = append(flights, p.Begin(now, backend))
	}
	return flights
}
