package peridotplace

import "testing"

// countChoices returns how often each engine of a choice that get returns is chosen for a
// prompt of the given length in 300 decisions by the same reports.
func countChoices(p *Placer, tokens int, get func(c Choice) string) map[string]int {
	p.Observe(0, "other", Report{})
	counts := make(map[string]int)
	for range 300 {
		c, _ := p.Place(0, Prompt{Service: service, Tokens: tokens})
		counts[get(c)]++
	}
	return counts
}

// TestPrefillEnginesAreSpread guards against fronts that send all prompts to the same prefill
// engine because they decide by the same old reports.
func TestPrefillEnginesAreSpread(t *testing.T) {
	p, list, config := newFleet(3, 1)
	config.Services[0].Scarce = true
	p.SetBackends(0, list, config)
	for range 63 {
		p.BeginDecode(0, "w0", nil) // So that a pair costs less.
	}
	got := countChoices(p, 9000, func(c Choice) string { return c.PrefillBackend })
	for _, id := range []string{"r0", "r1", "r2"} {
		if got[id] < 50 {
			t.Errorf("got choices %v, want about 100 of each prefill engine", got)
			break
		}
	}
}
