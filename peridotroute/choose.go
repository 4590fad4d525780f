package peridotroute

import (
	"math"
	"math/rand/v2"
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
	p := pick{best: Choice{Finish: math.MaxInt64}, random: r.random}
	for _, s := range r.whole {
		p.offer(r.alone(now, &request, s))
	}
	if r.options.kvBytesPerSecond > 0 && request.Role == "" {
		r.split(now, &request, &p)
	}
	if p.best.Instance == "" {
		return Choice{}, noBackend(key)
	}
	return p.best, nil
}

// pick keeps the choice that ends first. Choices that end at the same time are
// drawn from at random: a fixed order would leave idle servers without work.
type pick struct {
	best   Choice
	ties   int
	random *rand.Rand
}

func (p *pick) offer(c Choice) {
	switch {
	case c.Finish < p.best.Finish:
		p.best, p.ties = c, 1
	case c.Finish == p.best.Finish:
		p.ties++
		if p.random.IntN(p.ties) == 0 {
			p.best = c
		}
	}
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

// split offers pairs of servers between which the KV cache is moved.
func (r *Router) split(now time.Duration, request *Request, offers *pick) {
	for _, p := range r.prefill {
		r.splitFrom(now, request, p, offers)
	}
	for _, p := range r.whole {
		r.splitFrom(now, request, p, offers)
	}
}

func (r *Router) splitFrom(now time.Duration, request *Request, p *server, offers *pick) {
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
			offers.offer(Choice{
				Instance:        d.Instance,
				PrefillInstance: p.Instance,
				CachedTokens:    cached,
				Wait:            wait,
				Alone:           p.aloneFor(uncached) + move + d.RoundTrip,
				Finish:          wait + d.decodeTime(l, expected(*request)),
			})
		}
	}
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
