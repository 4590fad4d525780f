package peridotmeasure

import (
	"math"
	"testing"
	"time"

	"peridotstack/peridotconfig"
)

// engineHarness is a single engine of the quadro profile. It records the order in
// which its jobs end and the time at which each ends, by the IDs of their records.
type engineHarness struct {
	engine   *engine
	endOrder []int
	endTimes map[int]time.Duration
}

func newEngineHarness(role peridotconfig.Role) *engineHarness {
	p := quadro()
	c := &clock{}
	h := &engineHarness{endTimes: make(map[int]time.Duration)}
	h.engine = &engine{kind: p.Engine, clock: c, tally: newTally(p), role: role, cache: newPrefixCache(), onCacheEvent: func([]uint64, bool) {}}
	return h
}

func (h *engineHarness) newJob(id, prompt, output, priority int) *job {
	j := &job{
		record:       &Record{ID: id, PromptTokens: prompt, OutputTokens: output, MaxTokens: output},
		priority:     priority,
		decodeEngine: h.engine,
	}
	j.onFirstToken = func() {}
	j.onDone = func() {
		h.endOrder = append(h.endOrder, id)
		h.endTimes[id] = h.engine.clock.now
	}
	j.onPrefillDone = j.onDone
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
		{name: "streams above the limit wait", streams: 49, output: 100, want: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newEngineHarness(peridotconfig.Decode)
			for i := range test.streams {
				h.engine.enqueueDecode(h.newJob(i, 64, test.output, 0))
			}
			h.engine.clock.run(time.Minute)
			got := h.endTimes[test.streams-1]
			if math.Abs((got - test.want).Seconds()) > 1e-6 {
				t.Errorf("got the last end at %v, want %v", got, test.want)
			}
		})
	}
}

func TestEngineMemoryBounds(t *testing.T) {
	h := newEngineHarness(peridotconfig.Decode)
	for i := range 3 {
		h.engine.enqueueDecode(h.newJob(i, 400*64-100, 100, 0))
	}
	h.engine.clock.run(time.Minute)
	if got, want := h.endTimes[2].Round(time.Millisecond), 4*time.Second; got != want {
		t.Errorf("got the third end at %v, want %v: two requests of 400 of 1,000 blocks fit", got, want)
	}
}

func TestEngineHonoursPriorities(t *testing.T) {
	h := newEngineHarness(peridotconfig.Prefill)
	other := newEngineHarness(peridotconfig.Decode)
	for i, priority := range []int{0, 0, 2, 1} {
		j := h.newJob(i, 8000, 10, priority)
		j.decodeEngine = other.engine
		h.engine.enqueuePrefill(j)
	}
	h.engine.clock.run(time.Minute)
	want := []int{0, 2, 3, 1}
	for i := range want {
		if h.endOrder[i] != want[i] {
			t.Fatalf("got the order %v, want %v", h.endOrder, want)
		}
	}
}

func TestEngineReadsCachedPrefixOnce(t *testing.T) {
	h := newEngineHarness(peridotconfig.Prefill)
	other := newEngineHarness(peridotconfig.Decode)
	for i := range 2 {
		r := &Record{ID: i + 1, PromptTokens: 8000, SharedTokens: 8000, Group: 1, OutputTokens: 1, MaxTokens: 1}
		j := h.newJob(i, 0, 0, 0)
		j.record, j.prefixes, j.decodeEngine = r, r.prefixes(), other.engine
		h.engine.enqueuePrefill(j)
	}
	h.engine.clock.run(time.Minute)
	first, second := h.endTimes[0], h.endTimes[1]-h.endTimes[0]
	if second*10 > first {
		t.Errorf("got %v for the second prompt, want less than a tenth of the %v of the first", second, first)
	}
}

func TestShareOut(t *testing.T) {
	p := Profile{Accounts: customers(0.5, 0.25, 0.25)}
	tests := []struct {
		name     string
		demand   []float64
		capacity float64
		want     []float64
	}{
		{name: "enough for all", demand: []float64{5, 2, 2}, capacity: 10, want: []float64{5, 2, 2}},
		{name: "by weight", demand: []float64{50, 50, 50}, capacity: 8, want: []float64{4, 2, 2}},
		{name: "others share what one account leaves", demand: []float64{1, 50, 50}, capacity: 9, want: []float64{1, 4, 4}},
		{name: "a flooding account gets the remainder", demand: []float64{4, 100, 1}, capacity: 10, want: []float64{4, 5, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			demand, got := make(map[string]float64), make(map[string]float64)
			for i, c := range p.Accounts {
				demand[c.Name] = test.demand[i]
			}
			addFairShares(p, demand, test.capacity, got)
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
		{name: "more work than engine time", work: work{prefill: 90, decode: 90}, engines: 9, want: 40.0 / 90},
		{name: "whole engines only", work: work{prefill: 45, decode: 45}, engines: 9, want: 40.0 / 45},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := bestFraction(test.work, test.engines, 10); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
