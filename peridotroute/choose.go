package peridotroute

import (
	"math"
	"slices"
	"time"
)

// drawsPerChoice bounds the draws that hit an excluded server or one drawn
// before, for each server wanted.
const drawsPerChoice = 4

// Choose returns the server that is expected to end the request first, among
// two drawn at random and those that hold its longest cached prefix. Its error
// has the code NoBackend and the verdict NotRun.
func (r *Router) Choose(now time.Duration, request Request) (Choice, error) {
	key := target{model: request.Model, service: request.Service}
	g := r.groups[key]
	if g == nil {
		return Choice{}, noBackend(key)
	}
	r.candidates(now, g, &request)
	best := Choice{Finish: math.MaxInt64}
	for _, s := range r.whole {
		if c := r.alone(now, &request, s); c.Finish < best.Finish {
			best = c
		}
	}
	if r.options.kvBytesPerSecond > 0 && request.Role == "" {
		best = r.split(now, &request, best)
	}
	if best.Instance == "" {
		return Choice{}, noBackend(key)
	}
	return best, nil
}

// candidates fills whole, prefill and decode with the servers to compare.
func (r *Router) candidates(now time.Duration, g *group, request *Request) {
	r.whole, r.prefill, r.decode = r.whole[:0], r.prefill[:0], r.decode[:0]
	r.whole = r.draw(g.mixed.servers, request, r.whole)
	switch request.Role {
	case Prefill:
		r.whole = r.draw(g.prefill.servers, request, r.whole)
	case Decode:
		r.whole = r.draw(g.decode.servers, request, r.whole)
	case "":
		r.prefill = r.draw(g.prefill.servers, request, r.prefill)
		r.decode = r.draw(g.decode.servers, request, r.decode)
	}
	r.addHolders(now, request)
}

// draw adds servers drawn at random, each once.
func (r *Router) draw(from []*server, request *Request, to []*server) []*server {
	if len(from) <= r.options.choices {
		return r.all(from, request, to)
	}
	have := len(to)
	for range drawsPerChoice * r.options.choices {
		if len(to)-have == r.options.choices {
			return to
		}
		s := from[r.random.IntN(len(from))]
		if !excluded(request, s) && !slices.Contains(to[have:], s) {
			to = append(to, s)
		}
	}
	if len(to) > have {
		return to
	}
	return r.all(from, request, to)
}

// all adds every server that is not excluded.
func (r *Router) all(from []*server, request *Request, to []*server) []*server {
	for _, s := range from {
		if !excluded(request, s) {
			to = append(to, s)
		}
	}
	return to
}

// addHolders adds the servers that hold the longest cached prefix.
func (r *Router) addHolders(now time.Duration, request *Request) {
	var found [maxHolders]*server
	for _, s := range r.cache.longest(now, request.PrefixHash, found[:0]) {
		if s.Leaving || s.Down || excluded(request, s) || s.Model != request.Model || s.Service != request.Service {
			continue
		}
		switch {
		case s.Role == Decode:
		case s.Role == Prefill && request.Role == "":
			r.prefill = addOnce(r.prefill, s)
		case s.Role != Prefill || request.Role == Prefill:
			r.whole = addOnce(r.whole, s)
		}
	}
}

func addOnce(list []*server, s *server) []*server {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

// alone estimates a request that stays on one server.
func (r *Router) alone(now time.Duration, request *Request, s *server) Choice {
	l := s.estimate(now)
	cached := r.cachedTokens(now, request, s)
	uncached := float64(request.PromptTokens - cached)
	wait := s.waitFor(l, uncached)
	return Choice{
		Instance:     s.Instance,
		CachedTokens: cached,
		Wait:         wait,
		Alone:        s.aloneFor(uncached),
		Finish:       wait + s.decodeTime(l, expected(*request)),
	}
}

// split compares best with pairs of servers between which the KV cache is moved.
func (r *Router) split(now time.Duration, request *Request, best Choice) Choice {
	for _, p := range r.prefill {
		best = r.splitFrom(now, request, p, best)
	}
	for _, p := range r.whole {
		best = r.splitFrom(now, request, p, best)
	}
	return best
}

func (r *Router) splitFrom(now time.Duration, request *Request, p *server, best Choice) Choice {
	cached := r.cachedTokens(now, request, p)
	uncached := float64(request.PromptTokens - cached)
	move := r.moveTime(request.PromptTokens)
	read := p.waitFor(p.estimate(now), uncached) + move
	for _, list := range [][]*server{r.decode, r.whole} {
		for _, d := range list {
			if d == p {
				continue
			}
			l := d.estimate(now)
			wait := read + d.RoundTrip + d.slotWait(l)
			finish := wait + d.decodeTime(l, expected(*request))
			if finish < best.Finish {
				best = Choice{
					Instance:        d.Instance,
					PrefillInstance: p.Instance,
					CachedTokens:    cached,
					Wait:            wait,
					Alone:           p.aloneFor(uncached) + move + d.RoundTrip,
					Finish:          finish,
				}
			}
		}
	}
	return best
}

// moveTime estimates the export and import of the KV cache of tokens.
func (r *Router) moveTime(tokens int) time.Duration {
	bytes := float64(tokens) * r.options.kvBytesPerToken
	return r.options.kvFixed + seconds(bytes/r.options.kvBytesPerSecond)
}

// cachedTokens estimates how much of the prompt the server has cached.
func (r *Router) cachedTokens(now time.Duration, request *Request, s *server) int {
	if len(request.PrefixHash) == 0 {
		return 0
	}
	return request.PromptTokens * r.cache.cached(now, request.PrefixHash, s) / len(request.PrefixHash)
}
