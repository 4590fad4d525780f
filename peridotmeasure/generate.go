package peridotmeasure

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// groupsPerAccount is how many different shared beginnings an account has.
	groupsPerAccount = 4
	promptSpread     = 0.6
	outputSpread     = 0.5
	minTokens        = 16
	maxStretch       = 6
	maxTokensStep    = 16
	tokenAllowance   = 34 * time.Millisecond
	callDeadline     = time.Second
)

// generator makes a trace.
type generator struct {
	profile  Profile
	scenario Scenario
	random   *rand.Rand
	trace    []Record
}

// Generate returns the trace of a profile and a scenario that follows from seed.
func Generate(p Profile, s Scenario, seed uint64) []Record {
	g := &generator{profile: p, scenario: s, random: rand.New(rand.NewPCG(seed, seed))}
	g.requests(0, length, g.loadAt, g.customer)
	for _, t := range s.Turns {
		if flood, ok := t.(AccountFloods); ok {
			load := func(time.Duration) float64 { return flood.Load }
			g.requests(flood.At, flood.Until, load, func() int { return flood.Account })
		}
	}
	g.calls()
	slices.SortStableFunc(g.trace, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	for i := range g.trace {
		g.trace[i].ID = i + 1
	}
	return g.trace
}

func (g *generator) loadAt(at time.Duration) float64 {
	return g.scenario.loadAt(at, g.profile.Load)
}

// requests adds model requests whose work is a part of the engines' time.
func (g *generator) requests(from, to time.Duration, load func(time.Duration) float64, account func() int) {
	for at := from; ; {
		prompt, output := g.scales(at)
		perRequest := 0.0
		for _, k := range g.profile.Kinds {
			perRequest += k.Share * g.profile.engineSeconds(k.Prompt*prompt-float64(k.Shared), k.Output*output)
		}
		rate := load(at) * float64(g.profile.Engines) / perRequest
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		g.trace = append(g.trace, g.request(at, account(), prompt, output))
	}
}

// engineSeconds returns the time of engines that tokens need.
func (p Profile) engineSeconds(prompt, output float64) float64 {
	return prompt/p.Engine.PrefillTokensPerSecond + output/p.Engine.decodeTokensPerSecond()
}

// scales returns what prompts and outputs are multiplied with so that the share
// of prefill is as it should be at a time, at the same work in all.
func (g *generator) scales(at time.Duration) (prompt, output float64) {
	prefill, decode, shared := 0.0, 0.0, 0.0
	for _, k := range g.profile.Kinds {
		prefill += k.Share * g.profile.engineSeconds(k.Prompt, 0)
		decode += k.Share * g.profile.engineSeconds(0, k.Output)
		shared += k.Share * g.profile.engineSeconds(float64(k.Shared), 0)
	}
	prefill -= shared
	ratio := g.profile.PrefillShare / (1 - g.profile.PrefillShare) * g.scenario.ratioAt(at)
	share := ratio / (1 + ratio)
	total := prefill + decode
	return (share*total + shared) / (prefill + shared), (1 - share) * total / decode
}

func (g *generator) request(at time.Duration, account int, prompt, output float64) Record {
	k := g.kind()
	r := Record{
		At:           at,
		Account:      g.profile.Accounts[account].Name,
		Model:        g.profile.Model,
		Domain:       g.domain(),
		PromptTokens: k.Shared + g.tokens(k.Prompt*prompt-float64(k.Shared), promptSpread),
		SharedTokens: k.Shared,
		Group:        1 + account*groupsPerAccount + g.random.IntN(groupsPerAccount),
		OutputTokens: g.tokens(k.Output*output, outputSpread),
	}
	r.MaxTokens = (r.OutputTokens + maxTokensStep - 1) / maxTokensStep * maxTokensStep
	r.Deadline = k.First + time.Duration(r.MaxTokens)*tokenAllowance
	return r
}

// tokens draws a length with the given mean.
func (g *generator) tokens(mean, spread float64) int {
	n := mean * math.Exp(spread*g.random.NormFloat64()-spread*spread/2)
	return int(max(minTokens, min(n, mean*maxStretch)))
}

func (g *generator) kind() Kind {
	draw := g.random.Float64()
	for _, k := range g.profile.Kinds {
		if draw -= k.Share; draw < 0 {
			return k
		}
	}
	return g.profile.Kinds[0]
}

func (g *generator) customer() int {
	draw := g.random.Float64()
	for i, c := range g.profile.Accounts {
		if draw -= c.Share; draw < 0 {
			return i
		}
	}
	return 0
}

func (g *generator) domain() string {
	return g.profile.Domains[g.random.IntN(len(g.profile.Domains))]
}

// calls adds calls to the plain service.
func (g *generator) calls() {
	for at := time.Duration(0); ; {
		at += time.Duration(g.random.ExpFloat64() / g.profile.CallsPerSecond * float64(time.Second))
		if at >= length {
			return
		}
		g.trace = append(g.trace, Record{
			At:       at,
			Account:  g.profile.Accounts[g.customer()].Name,
			Service:  g.profile.Service,
			Domain:   g.domain(),
			Deadline: callDeadline,
		})
	}
}
