package peridotmeasure

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// groupsPerAccount is the number of different shared prefixes of an account.
	groupsPerAccount = 4
	// promptSigma and outputSigma are the standard deviations of the logarithms of
	// lengths.
	promptSigma      = 0.6
	outputSigma      = 0.5
	minTokens        = 16
	maxLengthFactor  = 6
	maxTokensStep    = 16
	deadlinePerToken = 34 * time.Millisecond
	callDeadline     = time.Second
)

// generator generates a trace.
type generator struct {
	profile  Profile
	scenario Scenario
	random   *rand.Rand
	trace    []Record
}

// Generate returns a random trace for a profile and a scenario. The same
// arguments give the same trace.
func Generate(p Profile, s Scenario, seed uint64) []Record {
	g := &generator{profile: p, scenario: s, random: rand.New(rand.NewPCG(seed, seed))}
	g.addRequests(0, arrivalDuration, g.loadAt, g.drawAccount)
	for _, e := range s.Events {
		if flood, ok := e.(AccountFlood); ok {
			load := func(time.Duration) float64 { return flood.Load }
			g.addRequests(flood.At, flood.Until, load, func() int { return flood.Account })
		}
	}
	g.addCalls()
	slices.SortStableFunc(g.trace, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	for i := range g.trace {
		g.trace[i].ID = i + 1
	}
	return g.trace
}

func (g *generator) loadAt(at time.Duration) float64 {
	return g.scenario.loadAt(at, g.profile.Load)
}

// addRequests adds model requests that arrive in [from, to) as a Poisson process.
// Their work is the fraction load of the engines' time.
func (g *generator) addRequests(from, to time.Duration, load func(time.Duration) float64, account func() int) {
	for at := from; ; {
		prompt, output := g.lengthScales(at)
		secondsPerRequest := 0.0
		for _, k := range g.profile.Kinds {
			secondsPerRequest += k.Share * g.profile.engineSeconds(k.Prompt*prompt-float64(k.Shared), k.Output*output)
		}
		rate := load(at) * float64(g.profile.Engines) / secondsPerRequest
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		g.trace = append(g.trace, g.newRequest(at, account(), prompt, output))
	}
}

// engineSeconds returns the engine time in seconds that the given numbers of
// tokens need.
func (p Profile) engineSeconds(prompt, output float64) float64 {
	return prompt/p.Engine.PrefillTokensPerSecond + output/p.Engine.decodeTokensPerSecond()
}

// lengthScales returns the factors for the mean lengths of prompts and outputs
// that give the scenario's share of prefill at a time. They leave the total work
// unchanged, shared prefixes not included.
func (g *generator) lengthScales(at time.Duration) (prompt, output float64) {
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

func (g *generator) newRequest(at time.Duration, account int, prompt, output float64) Record {
	k := g.drawKind()
	r := Record{
		At:           at,
		Account:      g.profile.Accounts[account].Name,
		Model:        g.profile.Model,
		Domain:       g.drawDomain(),
		PromptTokens: k.Shared + g.drawLength(k.Prompt*prompt-float64(k.Shared), promptSigma),
		SharedTokens: k.Shared,
		Group:        1 + account*groupsPerAccount + g.random.IntN(groupsPerAccount),
		OutputTokens: g.drawLength(k.Output*output, outputSigma),
	}
	r.MaxTokens = (r.OutputTokens + maxTokensStep - 1) / maxTokensStep * maxTokensStep
	r.Deadline = k.First + time.Duration(r.MaxTokens)*deadlinePerToken
	return r
}

// drawLength draws a number of tokens from a log-normal distribution with the
// given mean, bounded by minTokens and mean*maxLengthFactor.
func (g *generator) drawLength(mean, sigma float64) int {
	n := mean * math.Exp(sigma*g.random.NormFloat64()-sigma*sigma/2)
	return int(max(minTokens, min(n, mean*maxLengthFactor)))
}

// drawKind draws a kind of request by the kinds' shares.
func (g *generator) drawKind() RequestKind {
	draw := g.random.Float64()
	for _, k := range g.profile.Kinds {
		if draw -= k.Share; draw < 0 {
			return k
		}
	}
	return g.profile.Kinds[0]
}

// drawAccount draws the index of a client account by the accounts' shares.
func (g *generator) drawAccount() int {
	draw := g.random.Float64()
	for i, c := range g.profile.Accounts {
		if draw -= c.Share; draw < 0 {
			return i
		}
	}
	return 0
}

func (g *generator) drawDomain() string {
	return g.profile.Domains[g.random.IntN(len(g.profile.Domains))]
}

// addCalls adds calls to the plain service.
func (g *generator) addCalls() {
	for at := time.Duration(0); ; {
		at += time.Duration(g.random.ExpFloat64() / g.profile.CallsPerSecond * float64(time.Second))
		if at >= arrivalDuration {
			return
		}
		g.trace = append(g.trace, Record{
			At:       at,
			Account:  g.profile.Accounts[g.drawAccount()].Name,
			Service:  g.profile.Service,
			Domain:   g.drawDomain(),
			Deadline: callDeadline,
		})
	}
}
