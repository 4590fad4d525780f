package peridotplace

import (
	"math"
	"testing"
	"time"
)

// TestDemotedPromptsDelayNoOther fills a reader with demoted prompts.
func TestDemotedPromptsDelayNoOther(t *testing.T) {
	p, _, _ := fleet(1, 1)
	prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)}
	idle, _ := p.Place(0, prompt)
	var flights []*Flight
	for range 10 {
		f := p.Read(0, "r0", nil, 9000)
		p.Demote(f)
		p.Demote(f) // Once is enough.
		flights = append(flights, f)
	}
	if got, _ := p.Place(0, prompt); got.Wait != idle.Wait || got.Reader != idle.Reader {
		t.Errorf("prompt that can be on time: got %+v, want %+v", got, idle)
	}
	late := prompt
	late.Late = true
	behind, _ := p.Place(0, late)
	if behind.Reader == "r0" && behind.Wait < 10*idle.Read {
		t.Errorf("late prompt at the reader: got a wait of %v, want that of ten prompts at least", behind.Wait)
	}
	if got := p.Report(0, 0).Loads; len(got) != 1 || got[0].Reading != 0 || got[0].Running != 0 || got[0].Late == 0 {
		t.Errorf("report: got %+v, want late work only", got)
	}
	for i, f := range flights {
		if i%2 == 0 {
			p.HasRead(time.Second, f)
		}
		p.Done(time.Second, f, Answered)
	}
	s := p.servers["r0"]
	if s.late != 0 || s.waiting != 0 || s.running != 0 || s.unread != 0 {
		t.Errorf("all ended: got %v ms late, %d waiting, %d running, %v ms unread; want none", s.late, s.waiting, s.running, s.unread)
	}
}

// TestLateWorkOfOthersCounts places a late prompt where the other instances have
// less late work.
func TestLateWorkOfOthersCounts(t *testing.T) {
	p, _, _ := fleet(2, 1)
	p.Observe(0, "other", Report{Loads: []Load{{Backend: "r0", Late: time.Second}}})
	got, _ := p.Place(0, Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3), Late: true})
	if got.Reader != "r1" {
		t.Errorf("got reader %q, want r1", got.Reader)
	}
}

// TestSlotsAreWaitedFor sends an engine as many requests as it has slots, and
// expects the next one to wait for a share of the time that a slot is held.
func TestSlotsAreWaitedFor(t *testing.T) {
	p, list, config := fleet(0, 1)
	slots := config.Service(service).Engine.Slots
	for range 1000 {
		f := p.Read(time.Second, list[0].ID, nil, 0)
		p.HasRead(time.Second, f)
		p.Done(time.Second+320*time.Millisecond, f, Answered)
	}
	for range slots - 1 {
		p.Begin(2*time.Second, list[0].ID)
	}
	prompt := Prompt{Service: service, Tokens: 0}
	if got, _ := p.Place(2*time.Second, prompt); got.Wait != 0 {
		t.Errorf("a slot is free: got a wait of %v, want none", got.Wait)
	}
	p.Begin(2*time.Second, list[0].ID)
	want := 320 * time.Millisecond / time.Duration(slots)
	if got, _ := p.Place(2*time.Second, prompt); math.Abs(float64(got.Wait-want)) > float64(want)/10 {
		t.Errorf("no slot is free: got a wait of %v, want about %v", got.Wait, want)
	}
}

// TestStretch learns from prompts that take longer than the work that is known.
func TestStretch(t *testing.T) {
	for _, c := range []struct {
		name             string
		idle, wait, took float64
		least, most      float64
	}{
		{name: "as counted", idle: 10, wait: 20, took: 30, least: 1, most: 1.1},
		{name: "three times", idle: 10, wait: 20, took: 70, least: 2.7, most: 3.3},
		{name: "less than counted", idle: 10, wait: 20, took: 12, least: 1, most: 1},
		{name: "without bound", idle: 10, wait: 5, took: 5000, least: maxStretch, most: maxStretch},
	} {
		var s stretch
		if got := s.factor(); got != 1 {
			t.Errorf("%s: got a factor of %v before anything is known, want 1", c.name, got)
		}
		for range 500 {
			s.learn(0, c.idle)
			s.learn(c.wait, c.took)
		}
		if got := s.factor(); got < c.least || got > c.most {
			t.Errorf("%s: got a factor of %v, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}

// TestStreamsAreNotDisturbed has an engine that answers many requests and one that
// answers few; reading a prompt holds up all of them.
func TestStreamsAreNotDisturbed(t *testing.T) {
	p, list, _ := fleet(0, 2)
	for range 20 {
		p.Begin(0, list[0].ID)
	}
	// The busy engine keeps some of the prompt, which would save reading time there.
	p.servers[list[0].ID].cache.add(parts(1))
	got, _ := p.Place(0, Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)})
	if got.Backend != list[1].ID {
		t.Errorf("got %q, want %q, where no stream waits", got.Backend, list[1].ID)
	}
}
