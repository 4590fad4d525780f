package peridotplace

import (
	"math"
	"testing"
	"time"
)

// TestDemotedPromptsDelayOthersByOne checks that of the demoted prompts at an idle engine
// only the one that the engine reads adds to the wait of prompts that can be on time, and
// that all add to the wait of other late ones.
func TestDemotedPromptsDelayOthersByOne(t *testing.T) {
	p, _, _ := newFleet(1, 1)
	prompt := Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)}
	idle, _ := p.Place(0, prompt)
	var flights []*Flight
	for range 10 {
		f := p.BeginPrefill(0, "r0", nil, 9000)
		p.Demote(f)
		p.Demote(f) // Has no effect.
		flights = append(flights, f)
	}
	want := idle.Wait + idle.PrefillTime
	if got, _ := p.Place(0, prompt); got.Wait != want || got.PrefillBackend != idle.PrefillBackend {
		t.Errorf("prompt that can be on time: got %+v, want a wait of %v, for the one that is read, and %+v", got, want, idle)
	}
	late := prompt
	late.Late = true
	lateChoice, _ := p.Place(0, late)
	if lateChoice.PrefillBackend == "r0" && lateChoice.Wait < 10*idle.PrefillTime {
		t.Errorf("late prompt: got a wait of %v, want at least the prefill time of ten prompts", lateChoice.Wait)
	}
	if got := p.Report(0, 0).Loads; len(got) != 1 || got[0].PrefillTime != idle.PrefillTime || got[0].Running != 1 || got[0].LatePrefillTime != 9*idle.PrefillTime {
		t.Errorf("report: got %+v, want one prefill and the late work of nine", got)
	}
	for i, f := range flights {
		if i%2 == 0 {
			p.FinishPrefill(time.Second, f)
		}
		p.Done(time.Second, f, Answered)
	}
	s := p.servers["r0"]
	if s.demotedMillis != 0 || s.demotedWaiting != 0 || s.running != 0 || s.unconfirmedMillis != 0 {
		t.Errorf("all ended: got %v ms demoted, %d demoted waiting, %d running, %v ms unconfirmed; want none", s.demotedMillis, s.demotedWaiting, s.running, s.unconfirmedMillis)
	}
}

// TestDemotedPromptsBeginInTurn guards against waits that are too short while an engine
// reads a prompt of low urgency, which it began when it had nothing else to do: long prompts
// that are late already, beside short ones that are not.
func TestDemotedPromptsBeginInTurn(t *testing.T) {
	const prefillTime = 30 * time.Millisecond
	p, _, _ := newFleet(1, 1)
	urgent := p.BeginPrefill(0, "r0", nil, 9000)
	var demoted []*Flight
	for range 2 {
		f := p.BeginPrefill(0, "r0", nil, 9000)
		p.Demote(f)
		demoted = append(demoted, f)
	}
	check := func(now time.Duration, step string, wantUrgent, wantLate int) {
		t.Helper()
		got := p.Report(now, 0).Loads
		if len(got) != 1 || got[0].PrefillTime != time.Duration(wantUrgent)*prefillTime || got[0].LatePrefillTime != time.Duration(wantLate)*prefillTime {
			t.Errorf("%s: got %+v, want %d prefills of %v before others, and %d late ones", step, got, wantUrgent, prefillTime, wantLate)
		}
	}
	check(0, "an urgent prompt is read", 1, 2)
	p.FinishPrefill(0, urgent)
	check(0, "the first late prompt is read", 1, 1)
	p.FinishPrefill(0, demoted[0])
	p.Done(0, demoted[0], Answered)
	check(0, "the second late prompt is read", 1, 0)
	p.Done(0, demoted[1], Unavailable)
	check(0, "none is read", 0, 0)

	p, _, _ = newFleet(1, 1)
	p.Observe(0, "other", Report{Loads: []Load{{Backend: "r0", PrefillTime: time.Second, Running: 1}}})
	p.Demote(p.BeginPrefill(0, "r0", nil, 9000))
	check(0, "an urgent prompt of another instance is read", 0, 1)
	check(2*time.Second, "nothing is known of other instances any more", 1, 0)
}

// TestPlaceCountsLateWorkOfPeers checks that a late prompt avoids an engine at which
// other instances have late work.
func TestPlaceCountsLateWorkOfPeers(t *testing.T) {
	p, _, _ := newFleet(2, 1)
	p.Observe(0, "other", Report{Loads: []Load{{Backend: "r0", LatePrefillTime: time.Second}}})
	got, _ := p.Place(0, Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3), Late: true})
	if got.PrefillBackend != "r1" {
		t.Errorf("got prefill engine %q, want r1", got.PrefillBackend)
	}
}

// TestWaitIncludesSlotWait checks that at an engine without a free slot the estimated
// wait is the mean time that a slot is held, divided by the number of slots.
func TestWaitIncludesSlotWait(t *testing.T) {
	p, list, config := newFleet(0, 1)
	slots := config.Service(service).Engine.Slots
	for range 1000 {
		f := p.BeginPrefill(time.Second, list[0].ID, nil, 0)
		p.FinishPrefill(time.Second, f)
		p.Done(time.Second+320*time.Millisecond, f, Answered)
	}
	for range slots - 1 {
		p.Begin(2*time.Second, list[0].ID)
	}
	prompt := Prompt{Service: service, Tokens: 0}
	if got, _ := p.Place(2*time.Second, prompt); got.Wait != 0 {
		t.Errorf("free slot: got a wait of %v, want none", got.Wait)
	}
	p.Begin(2*time.Second, list[0].ID)
	want := 320 * time.Millisecond / time.Duration(slots)
	if got, _ := p.Place(2*time.Second, prompt); math.Abs(float64(got.Wait-want)) > float64(want)/10 {
		t.Errorf("no free slot: got a wait of %v, want about %v", got.Wait, want)
	}
}

// TestWaitCalibration checks the factor for several ratios of observed to estimated
// waits.
func TestWaitCalibration(t *testing.T) {
	for _, c := range []struct {
		name                                        string
		idleMillis, estimatedMillis, observedMillis float64
		minFactor, maxFactor                        float64
	}{
		{name: "as estimated", idleMillis: 10, estimatedMillis: 20, observedMillis: 30, minFactor: 1, maxFactor: 1.1},
		{name: "three times the estimate", idleMillis: 10, estimatedMillis: 20, observedMillis: 70, minFactor: 2.7, maxFactor: 3.3},
		{name: "less than estimated", idleMillis: 10, estimatedMillis: 20, observedMillis: 12, minFactor: 1, maxFactor: 1},
		{name: "above the maximum", idleMillis: 10, estimatedMillis: 5, observedMillis: 5000, minFactor: maxWaitFactor, maxFactor: maxWaitFactor},
	} {
		var calibration waitCalibration
		if got := calibration.factor(); got != 1 {
			t.Errorf("%s: got a factor of %v before any observation, want 1", c.name, got)
		}
		for range 500 {
			calibration.observe(0, c.idleMillis)
			calibration.observe(c.estimatedMillis, c.observedMillis)
		}
		if got := calibration.factor(); got < c.minFactor || got > c.maxFactor {
			t.Errorf("%s: got a factor of %v, want %v to %v", c.name, got, c.minFactor, c.maxFactor)
		}
	}
}

// TestPlaceAvoidsInterruptingDecode checks that a prompt avoids an engine with many
// running requests, which generate no tokens during the prefill, even if part of the
// prompt is cached there.
func TestPlaceAvoidsInterruptingDecode(t *testing.T) {
	p, list, _ := newFleet(0, 2)
	for range 20 {
		p.Begin(0, list[0].ID)
	}
	// The cached part would save prefill time at the busy engine.
	p.servers[list[0].ID].cache.add(parts(1), 0)
	got, _ := p.Place(0, Prompt{Service: service, Tokens: 9000, Parts: parts(1, 2, 3)})
	if got.Backend != list[1].ID {
		t.Errorf("got %q, want %q, which has no running requests", got.Backend, list[1].ID)
	}
}
