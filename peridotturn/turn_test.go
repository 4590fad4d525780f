package peridotturn

import (
	"math"
	"testing"
	"time"
)

// TestIsInteractive guards against long prompts and requests of unknown size that are sent
// ahead of others.
func TestIsInteractive(t *testing.T) {
	question := Request{PromptTokens: 220, MaxTokens: 72, Objective: 120 * time.Millisecond, Gap: 150 * time.Millisecond}
	tests := []struct {
		name   string
		change func(r *Request)
		speed  float64
		want   bool
	}{
		{name: "question", speed: 409, want: true},
		{name: "slow engine", speed: 10},
		{name: "speed unknown"},
		{name: "speed not a number", speed: math.NaN()},
		{name: "long prompt", speed: 409, change: func(r *Request) { r.PromptTokens = 9190 }},
		{name: "prompt unknown", speed: 409, change: func(r *Request) { r.PromptTokens = 0 }},
		{name: "negative prompt", speed: 409, change: func(r *Request) { r.PromptTokens = -1 }},
		{name: "short answer", speed: 409, change: func(r *Request) { r.MaxTokens = 2 }},
		{name: "no objective", speed: 409, change: func(r *Request) { r.Objective = 0 }},
		{name: "pauses allowed", speed: 409, change: func(r *Request) { r.Gap = 0 }},
	}
	for _, test := range tests {
		r := question
		if test.change != nil {
			test.change(&r)
		}
		if got := r.IsInteractive(test.speed); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestPace guards against changes of 600 ms that are noticed too late or not forgotten, and
// against slow servers that are never tried again.
func TestPace(t *testing.T) {
	var p Pace
	check := func(name string, now time.Duration, least, most float64) {
		t.Helper()
		if got := p.At(now); got < least || got > most {
			t.Errorf("%s: got a pace of %v, want %v to %v", name, got, least, most)
		}
	}
	check("zero value", time.Second, 1, 1)
	for i := range 20 {
		p.Observe(time.Duration(i)*100*time.Millisecond, 1)
	}
	p.Observe(2000*time.Millisecond, 8)
	check("one unusual request", 2*time.Second, 1, 1)
	for i := range 3 {
		p.Observe(time.Duration(2100+100*i)*time.Millisecond, 2.5)
	}
	check("slow", 2300*time.Millisecond, 2.5, 2.5)
	check("slow in the past", 3*time.Second, 1.1, 1.8)
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		p.Observe(3*time.Second, ratio)
	}
	check("invalid", 3*time.Second, 1.1, 1.8)
	check("long ago", time.Minute, 1, 1.05)
}

// TestPauseCostIsBounded guards against long prompts that starve because all engines have
// interactive answers.
func TestPauseCostIsBounded(t *testing.T) {
	for interactive, want := range []float64{0, 10, 20, 20} {
		if got := (Engine{Interactive: interactive}).PauseCost(20); got != want {
			t.Errorf("%d interactive answers: got a cost of %v, want %v", interactive, got, want)
		}
	}
}

// TestInteractiveCost guards against interactive requests at engines that are busy, slow or
// have no free slot, and against a gap that is absent and counts as one that each chunk exceeds.
func TestInteractiveCost(t *testing.T) {
	const gap = 150 * time.Millisecond
	idle := Engine{ChunkMillis: 10, SlotMillis: 30, Slots: 8}
	busy, slow, full := idle, idle, idle
	busy.PrefillMillis, slow.ChunkMillis, full.Running = 40, 25, 8
	for _, other := range []Engine{busy, slow, full} {
		if got, least := other.InteractiveCost(gap), idle.InteractiveCost(gap); got <= least {
			t.Errorf("%+v: got a cost of %v, want more than %v of an idle engine", other, got, least)
		}
	}
	long := idle.InteractiveCost(time.Hour)
	for _, none := range []time.Duration{0, -1} {
		if got := idle.InteractiveCost(none); got != long {
			t.Errorf("gap %v: got a cost of %v, want %v as without a limit", none, got, long)
		}
	}
}
