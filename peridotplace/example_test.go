package peridotplace_test

import (
	"fmt"
	"time"

	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
)

// The parts of a prompt are read once: other engines fetch them from the one that has them.
func ExamplePlacer_Place() {
	config := (&peridotsite.Config{Services: []peridotsite.Service{{
		Name:   "hymns",
		Engine: &peridotsite.Engine{Slots: 64, CacheTokens: 100_000, TokenBytes: 160_000, LinkBytesPerSecond: 7e11},
	}}}).BuildIndex()
	p := peridotplace.New(1, "recife-a")
	p.SetBackends(0, []peridotsite.Backend{
		{ID: "prefill-1", Service: "hymns", Role: peridotsite.Prefill, Domain: "recife-a"},
		{ID: "prefill-2", Service: "hymns", Role: peridotsite.Prefill, Domain: "recife-a"},
		{ID: "decode-1", Service: "hymns", Role: peridotsite.Decode, Domain: "recife-a"},
	}, config)
	parts := []peridotplace.Part{{Hash: 1, Tokens: 6000}, {Hash: 2, Tokens: 3000}}
	prompt := peridotplace.Prompt{Service: "hymns", Tokens: 9000, Parts: parts}
	first, _ := p.Place(0, prompt)
	flight := p.BeginPrefill(0, first.PrefillBackend, parts, first.UncachedTokens)
	p.Done(30*time.Millisecond, flight, peridotplace.Answered)
	second, _ := p.Place(time.Second, prompt)
	fmt.Println(first.UncachedTokens, second.UncachedTokens, first.PrefillBackend == second.FetchBackend)
	// Output: 9000 0 true
}
