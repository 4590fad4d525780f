package peridotplace

import (
	"testing"
	"time"
)

// TestLearnsReadingSpeed guards against waits that are underestimated many times over on
// engines that read prompts slower than assumed: each engine gets too few prefills for its
// own average to follow, so that queues look short and requests in them miss their
// deadlines.
func TestLearnsReadingSpeed(t *testing.T) {
	tests := []struct {
		name           string
		tokensPerMilli float64
	}{
		{"as assumed", 300},
		{"eight times slower", 37.5},
		{"four times faster", 1200},
	}
	const tokens, samples = 9000, 16
	for _, test := range tests {
		p, _, _ := newFleet(4, 8)
		prefillTime := fromMillis(tokens / test.tokensPerMilli)
		now := time.Duration(0)
		for i := range samples {
			now += 2 * prefillTime
			engine := p.groups[groupKey{service: service}][i%4].ID
			f := p.BeginPrefill(now, engine, nil, tokens)
			p.FinishPrefill(now+prefillTime, f)
			p.Done(now+prefillTime, f, Answered)
		}
		now += 2 * prefillTime
		got, _ := p.Place(now, Prompt{Service: service, Tokens: 2 * tokens})
		if want := 2 * prefillTime; got.PrefillTime < want*3/4 || got.PrefillTime > want*5/4 {
			t.Errorf("%s: after %d prefills of %d engines: got a prefill time of %v, want %v within a quarter", test.name, samples, 4, got.PrefillTime, want)
		}
	}
}

// TestSpeedIgnoresUnknownQueues checks that a few prefills which waited for work of other
// instances do not change the speed that is learned.
func TestSpeedIgnoresUnknownQueues(t *testing.T) {
	p, _, _ := newFleet(2, 1)
	now := time.Duration(0)
	for i := range 20 {
		now += time.Second
		prefillTime := 30 * time.Millisecond
		if i%3 == 0 {
			prefillTime *= 10
		}
		f := p.BeginPrefill(now, []string{"r0", "r1"}[i%2], nil, 9000)
		p.FinishPrefill(now+prefillTime, f)
		p.Done(now+prefillTime, f, Answered)
	}
	got := p.tokensPerMilli(speedKey{service, true})
	if want := 9000.0 / 30; got < want*0.9 || got > want*1.1 {
		t.Errorf("got %v tokens per ms, want %v", got, want)
	}
}
