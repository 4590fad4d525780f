package peridotroute

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// maxDrawsPerServer is the maximum number of draws for each server wanted. A draw may
// hit an excluded server or one that was drawn before.
const maxDrawsPerServer = 4

// Choose returns the server, or the pair of servers, that is expected to finish the
// request first. It compares servers drawn at random, two by default, and those that
// hold the longest cached prefix of the prompt. If no server can be chosen, the error
// has the code NoBackend and the verdict NotRun.
func (r *Router) Choose(now time.Duration, request Request) (Choice, error) {
	key := target{model: request.Model, service: request.Service}
	g := r.groups[key]
	if g == nil {
		return Choice{}, noBackendError(key)
	}
	r.collectCandidates(now, g, &request)
	best := bestChoice{choice: Choice{Finish: math.MaxInt64}, random: r.random}
	for _, s := range r.singleCandidates {
		best.consider(r.singleChoice(now, &request, s))
	}
	if r.options.kvBytesPerSecond > 0 && request.Role == "" {
		r.considerSplits(now, &request, &best)
	}
	if best.choice.Instance == "" {
		return Choice{}, noBackendError(key)
	}
	return best.choice, nil
}

// bestChoice keeps the choice with the earliest finish. If several finish at the same
// time, it keeps a random one: a fixed order would leave idle servers without work.
type bestChoice struct {
	choice Choice
	ties   int
	random *rand.Rand
}

// consider keeps c if it finishes earlier than the kept choice. Choices that finish at
// the same time are kept with equal probability.
func (b *bestChoice) consider(c Choice) {
	switch {
	case c.Finish < b.choice.Finish:
		b.choice, b.ties = c, 1
	case c.Finish == b.choice.Finish:
		b.ties++
		if b.random.IntN(b.ties) == 0 {
			b.choice = c
		}
	}
}

// collectCandidates fills the candidate lists of r with the servers to compare.
func (r *Router) collectCandidates(now time.Duration, g *group, request *Request) {
	r.singleCandidates, r.prefillCandidates, r.decodeCandidates = r.singleCandidates[:0], r.prefillCandidates[:0], r.decodeCandidates[:0]
	r.singleCandidates = r.appendRandom(g.mixed.servers, request, r.singleCandidates)
	switch request.Role {
	case Prefill:
		r.singleCandidates = r.appendRandom(g.prefill.servers, request, r.singleCandidates)
	case Decode:
		r.singleCandidates = r.appendRandom(g.decode.servers, request, r.singleCandidates)
	case "":
		r.prefillCandidates = r.appendRandom(g.prefill.servers, request, r.prefillCandidates)
		r.decodeCandidates = r.appendRandom(g.decode.servers, request, r.decodeCandidates)
	}
	r.addPrefixHolders(now, request)
}

// appendRandom appends distinct random servers to a list, at most the number set by
// Choices. If from has no more servers than that, or if every draw hit an excluded
// server, it appends all that are not excluded.
func (r *Router) appendRandom(from []*server, request *Request, to []*server) []*server {
	if len(from) <= r.options.choices {
		return r.appendEligible(from, request, to)
	}
	before := len(to)
	for range maxDrawsPerServer * r.options.choices {
		if len(to)-before == r.options.choices {
			return to
		}
		s := from[r.random.IntN(len(from))]
		if !isExcluded(request, s) && !slices.Contains(to[before:], s) {
			to = append(to, s)
		}
	}
	if len(to) > before {
		return to
	}
	return r.appendEligible(from, request, to)
}

// appendEligible appends every server that is not excluded.
func (r *Router) appendEligible(from []*server, request *Request, to []*server) []*server {
	for _, s := range from {
		if !isExcluded(request, s) {
			to = append(to, s)
		}
	}
	return to
}

// addPrefixHolders adds the servers that hold the longest cached prefix.
func (r *Router) addPrefixHolders(now time.Duration, request *Request) {
	var found [maxHolders]*server
	for _, s := range r.cache.longestHolders(now, request.PrefixHash, found[:0]) {
		if s.Leaving || s.Down || isExcluded(request, s) || s.Model != request.Model || s.Service != request.Service {
			continue
		}
		switch {
		case s.Role == Decode:
		case s.Role == Prefill && request.Role == "":
			r.prefillCandidates = appendUnique(r.prefillCandidates, s)
		case s.Role != Prefill || request.Role == Prefill:
			r.singleCandidates = appendUnique(r.singleCandidates, s)
		}
	}
}

func appendUnique(list []*server, s *server) []*server {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

// singleChoice returns the estimates for a request that runs on one server.
func (r *Router) singleChoice(now time.Duration, request *Request, s *server) Choice {
	l := s.estimateLoad(now)
	cachedTokens := r.cachedTokens(now, request, s)
	uncachedTokens := float64(request.PromptTokens - cachedTokens)
	wait := s.prefillWait(l, uncachedTokens)
	return Choice{
		Instance:     s.Instance,
		CachedTokens: cachedTokens,
		Wait:         wait,
		IdleWait:     s.idlePrefillWait(uncachedTokens),
		Finish:       wait + s.decodeTime(l, expectedOutputTokens(*request)),
	}
}

// considerSplits considers all pairs of candidates with prefill on one and decode on
// the other.
func (r *Router) considerSplits(now time.Duration, request *Request, best *bestChoice) {
	for _, p := range r.prefillCandidates {
		r.considerSplitsFrom(now, request, p, best)
	}
	for _, p := range r.singleCandidates {
		r.considerSplitsFrom(now, request, p, best)
	}
}

// considerSplitsFrom considers all pairs of candidates with prefill on p.
func (r *Router) considerSplitsFrom(now time.Duration, request *Request, p *server, best *bestChoice) {
	cachedTokens := r.cachedTokens(now, request, p)
	uncachedTokens := float64(request.PromptTokens - cachedTokens)
	transfer := r.transferTime(request.PromptTokens)
	kvReady := p.prefillWait(p.estimateLoad(now), uncachedTokens) + transfer
	for _, list := range [][]*server{r.decodeCandidates, r.singleCandidates} {
		for _, d := range list {
			if d == p {
				continue
			}
			l := d.estimateLoad(now)
			wait := kvReady + d.RoundTrip + d.slotWait(l)
			best.consider(Choice{
				Instance:        d.Instance,
				PrefillInstance: p.Instance,
				CachedTokens:    cachedTokens,
				Wait:            wait,
				IdleWait:        p.idlePrefillWait(uncachedTokens) + transfer + d.RoundTrip,
				Finish:          wait + d.decodeTime(l, expectedOutputTokens(*request)),
			})
		}
	}
}

// transferTime estimates the time to export and import the KV cache of tokens.
func (r *Router) transferTime(tokens int) time.Duration {
	bytes := float64(tokens) * r.options.kvBytesPerToken
	return r.options.kvFixedTime + seconds(bytes/r.options.kvBytesPerSecond)
}

// cachedTokens estimates how many tokens of the prompt the server has cached.
func (r *Router) cachedTokens(now time.Duration, request *Request, s *server) int {
	if len(request.PrefixHash) == 0 {
		return 0
	}
	return request.PromptTokens * r.cache.cachedBlocks(now, request.PrefixHash, s) / len(request.PrefixHash)
}
