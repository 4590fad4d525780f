package peridotmeasure

import (
	"math"
	"testing"
	"time"

	"peridotstack/peridotconfig"
)

// lone is an engine of the quadro profile and what its jobs did.
type lone struct {
	engine *engine
	ends   []int
	at     map[int]time.Duration
}

func newLone(role peridotconfig.Role) *lone {
	p := quadro()
	c := &clock{}
	l := &lone{at: make(map[int]time.Duration)}
	l.engine = &engine{kind: p.Engine, clock: c, tally: newTally(p), role: role, cache: newPrefixStore(), onPrefix: func([]uint64, bool) {}}
	return l
}

func (l *lone) job(id, prompt, output, priority int) *job {
	j := &job{
		record:   &Record{ID: id, PromptTokens: prompt, OutputTokens: output, MaxTokens: output},
		priority: priority,
		decodeAt: l.engine,
	}
	j.onFirst = func() {}
	j.onEnd = func() {
		l.ends = append(l.ends, id)
		l.at[id] = l.engine.clock.now
	}
	j.onRead = j.onEnd
	return j
}

func TestEngineTimes(t *testing.T) {
	tests := []struct {
		name    string
		streams int
		output  int
		want    time.Duration
	}{
		{name: "one stream", streams: 1, output: 100, want: 2 * time.Second},
		{name: "at the knee", streams: 32, output: 100, want: 2 * time.Second},
		{name: "above the knee", streams: 48, output: 100, want: 3 * time.Second},
		{name: "above the bound others wait", streams: 49, output: 100, want: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLone(peridotconfig.Decode)
			for i := range test.streams {
				l.engine.takeCache(l.job(i, 64, test.output, 0))
			}
			l.engine.clock.run(time.Minute)
			got := l.at[test.streams-1]
			if math.Abs((got - test.want).Seconds()) > 1e-6 {
				t.Errorf("got the last end at %v, want %v", got, test.want)
			}
		})
	}
}

func TestEngineMemoryBounds(t *testing.T) {
	l := newLone(peridotconfig.Decode)
	for i := range 3 {
		l.engine.takeCache(l.job(i, 400*64-100, 100, 0))
	}
	l.engine.clock.run(time.Minute)
	if got, want := l.at[2].Round(time.Millisecond), 4*time.Second; got != want {
		t.Errorf("got the third end at %v, want %v: two requests of 400 of 1,000 blocks fit", got, want)
	}
}

func TestEngineHonoursPriorities(t *testing.T) {
	l := newLone(peridotconfig.Prefill)
	other := newLone(peridotconfig.Decode)
	for i, priority := range []int{0, 0, 2, 1} {
		j := l.job(i, 8000, 10, priority)
		j.decodeAt = other.engine
		l.engine.takePrompt(j)
	}
	l.engine.clock.run(time.Minute)
	want := []int{0, 2, 3, 1}
	for i := range want {
		if l.ends[i] != want[i] {
			t.Fatalf("got the order %v, want %v", l.ends, want)
		}
	}
}

func TestEngineReadsCachedPrefixOnce(t *testing.T) {
	l := newLone(peridotconfig.Prefill)
	other := newLone(peridotconfig.Decode)
	for i := range 2 {
		r := &Record{ID: i + 1, PromptTokens: 8000, SharedTokens: 8000, Group: 1, OutputTokens: 1, MaxTokens: 1}
		j := l.job(i, 0, 0, 0)
		j.record, j.prefixes, j.decodeAt = r, r.prefixes(), other.engine
		l.engine.takePrompt(j)
	}
	l.engine.clock.run(time.Minute)
	first, second := l.at[0], l.at[1]-l.at[0]
	if second*10 > first {
		t.Errorf("got %v for the second prompt, want less than a tenth of the %v of the first", second, first)
	}
}

func TestShareOut(t *testing.T) {
	p := Profile{Accounts: customers(0.5, 0.25, 0.25)}
	tests := []struct {
		name     string
		asked    []float64
		capacity float64
		want     []float64
	}{
		{name: "enough for all", asked: []float64{5, 2, 2}, capacity: 10, want: []float64{5, 2, 2}},
		{name: "by weight", asked: []float64{50, 50, 50}, capacity: 8, want: []float64{4, 2, 2}},
		{name: "what one leaves goes to the others", asked: []float64{1, 50, 50}, capacity: 9, want: []float64{1, 4, 4}},
		{name: "a flood gets what is left", asked: []float64{4, 100, 1}, capacity: 10, want: []float64{4, 5, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asked, got := make(map[string]float64), make(map[string]float64)
			for i, c := range p.Accounts {
				asked[c.Name] = test.asked[i]
			}
			shareOut(p, asked, test.capacity, got)
			for i, c := range p.Accounts {
				if math.Abs(got[c.Name]-test.want[i]) > 1e-9 {
					t.Errorf("got %v for %s, want %v", got[c.Name], c.Name, test.want[i])
				}
			}
		})
	}
}

func TestBestPart(t *testing.T) {
	tests := []struct {
		name    string
		work    work
		engines int
		want    float64
	}{
		{name: "fits", work: work{prefill: 30, decode: 40}, engines: 9, want: 1},
		{name: "too much in all", work: work{prefill: 90, decode: 90}, engines: 9, want: 40.0 / 90},
		{name: "whole engines", work: work{prefill: 45, decode: 45}, engines: 9, want: 40.0 / 45},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := bestPart(test.work, test.engines, 10); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
