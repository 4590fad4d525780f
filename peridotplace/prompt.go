package peridotplace

import (
	"math"
	"slices"
	"time"

	"peridotstack/peridotsite"
)

const (
	// workWeight is how much the reading time that a choice costs the engines
	// counts beside the time that the request takes.
	workWeight = 1.0
	// disturbWeight is how much the time in which an engine reads a prompt counts
	// for each request for which it generates tokens, since these wait meanwhile.
	disturbWeight = 0.05
	// hopCost is the extra cost in ms of sending a prompt to another failure
	// domain, whose traffic is paid for.
	hopCost = 3.0
	// moveCost is the extra cost in ms of moving KV cache, which is paid for.
	moveCost = 2.0
	// moveSetup is the time in ms that a move takes besides its bytes, with the
	// second request that it needs.
	moveSetup = 2.0
	// linkWeight is how much the time that a second sending keeps this instance's
	// link busy counts beside the time that the request takes.
	linkWeight = 3.0
	// runCost is the cost in ms of one more request beside which tokens are made.
	runCost = 0.15
)

// Prompt is a request for a model engine.
type Prompt struct {
	Service string
	Parts   []Part
	// Tokens is the length of the prompt.
	Tokens int
	// Exclude names servers that must not be chosen.
	Exclude []string
	// Late prompts cannot be on time and wait behind all others.
	Late bool
	// Sending is the time that this instance's link takes to send the request
	// once; a prompt that is read at another engine is sent twice.
	Sending time.Duration
}

// Choice is where a prompt goes.
type Choice struct {
	// Backend generates the answer.
	Backend string
	// Reader reads the prompt before; empty if Backend does it.
	Reader string
	// Wait is the estimated time until the prompt has been read.
	Wait time.Duration
	// Read is the part of Wait in which this prompt is read.
	Read time.Duration
	// Uncached is how many tokens must be read.
	Uncached int
}

// Place returns the engines that are expected to have a prompt read first, and
// to spend the least work on it. It returns false if no engine takes requests.
func (p *Placer) Place(now time.Duration, prompt Prompt) (Choice, bool) {
	group := p.candidates(prompt)
	for pass := range 2 {
		best, ok := p.place(now, prompt, group, pass == 1)
		if ok {
			return best, true
		}
	}
	return Choice{}, false
}

// candidate is an engine with the estimates for one prompt.
type candidate struct {
	*server
	// wait is the time in ms before it could begin to read, read the reading time.
	wait     float64
	read     float64
	uncached int
	// slot is the time in ms until a slot is free for the answer.
	slot float64
	// requests counts those under way at the engine.
	requests int
	// generate is the cost in ms of generating the answer there.
	generate float64
	hop      float64
}

func (p *Placer) place(now time.Duration, prompt Prompt, group []*server, desperate bool) (Choice, bool) {
	var readers, writers []candidate
	for _, s := range group {
		if s.Leaving || s.engine == nil || slices.Contains(prompt.Exclude, s.ID) || !desperate && !s.usable(now) {
			continue
		}
		c := p.estimate(now, s, prompt)
		if s.Role == peridotsite.Prefill {
			readers = append(readers, c)
		} else {
			writers = append(writers, c)
		}
	}
	best, least, found := Choice{}, math.Inf(1), false
	sending := inMilliseconds(prompt.Sending) * (1 + linkWeight)
	for i := range writers {
		w := &writers[i]
		cost := max(w.wait, w.slot) + w.read*(1+workWeight+disturbWeight*float64(w.requests)) + w.generate + w.hop
		if cost < least {
			best, least, found = p.alone(w), cost, true
		}
	}
	nearest := cheapestByDomain(writers)
	for i := range readers {
		r := &readers[i]
		for _, w := range nearest {
			move := moveTime(prompt.Tokens, r.server, w.server)
			cost := r.wait + r.read*(1+workWeight) + move + moveCost + w.slot + w.generate + r.hop + w.hop + sending
			if cost < least {
				best, least, found = p.behind(w, r, move), cost, true
			}
		}
	}
	return best, found
}

// cheapestByDomain returns the writer of each failure domain at which an answer
// costs least. What a move costs depends on the domains alone.
func cheapestByDomain(writers []candidate) []*candidate {
	var list []*candidate
	for i := range writers {
		w := &writers[i]
		at := slices.IndexFunc(list, func(other *candidate) bool { return other.Domain == w.Domain })
		switch {
		case at < 0:
			list = append(list, w)
		case w.slot+w.generate < list[at].slot+list[at].generate:
			list[at] = w
		}
	}
	return list
}

func (p *Placer) estimate(now time.Duration, s *server, prompt Prompt) candidate {
	reading, late, running := p.others(now, s.ID)
	uncached := max(0, prompt.Tokens-s.cache.cached(prompt.Parts))
	c := candidate{server: s, wait: s.backlog(now) + reading, read: s.readTime(uncached), uncached: uncached}
	if prompt.Late {
		c.wait += s.late + late
	}
	running += s.pressing()
	c.requests = running
	c.slot = p.slotWait(s, running)
	c.generate = runCost*float64(running) + failureCost*s.failures
	if s.Domain != p.domain {
		c.hop = hopCost
	}
	return c
}

// alone is the choice of an engine that also reads the prompt.
func (p *Placer) alone(w *candidate) Choice {
	wait := max(w.wait*p.writers.factor(), w.slot)
	return Choice{Backend: w.ID, Wait: milliseconds(wait + w.read), Read: milliseconds(w.read), Uncached: w.uncached}
}

// behind is the choice of an engine to which the KV cache is moved from a reader.
func (p *Placer) behind(w, r *candidate, move float64) Choice {
	wait := r.wait*p.readers.factor() + r.read + move + w.slot
	return Choice{Backend: w.ID, Reader: r.ID, Wait: milliseconds(wait), Read: milliseconds(r.read), Uncached: r.uncached}
}

// moveTime returns the time in ms to move the KV cache of tokens.
func moveTime(tokens int, from, to *server) float64 {
	if to.engine.LinkBytesPerSecond <= 0 {
		return moveSetup
	}
	ms := float64(tokens) * float64(to.engine.TokenBytes) / to.engine.LinkBytesPerSecond * 1000
	if from.Domain != to.Domain {
		ms *= 2
	}
	return ms + moveSetup
}
