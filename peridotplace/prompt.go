package peridotplace

import (
	"slices"
	"time"

	"peridotstack/peridotlocality"
	"peridotstack/peridotsite"
)

const (
	// prefillWorkWeight is the weight of the prefill time as work of the engine; the
	// same time counts once more as latency of the request.
	prefillWorkWeight = 1.0
	// interferenceWeight is the weight of the prefill time for each other request at a
	// decode engine, since an engine generates no tokens during a prefill.
	interferenceWeight = 0.05
	// crossDomainCostMillis is the extra cost in ms of sending a prompt to another
	// failure domain. Traffic between domains is billed.
	crossDomainCostMillis = 3.0
	// transferCostMillis is the extra cost in ms of a KV cache transfer, which is
	// billed.
	transferCostMillis = 2.0
	// transferSetupMillis is the time in ms that a KV cache transfer and its second
	// request take in addition to the time for the bytes.
	transferSetupMillis = 2.0
	// linkWeight is the weight of the time for which sending a prompt a second time
	// occupies this instance's link; the same time counts once more as latency.
	linkWeight = 3.0
	// runningCostMillis is the cost in ms that each running request at an engine adds
	// to generating an answer there.
	runningCostMillis = 0.15
)

// Prompt is a request for a service: for model engines one with a prompt, for the servers of
// a plain service any request.
type Prompt struct {
	Service string
	Parts   []Part
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// SoftwareVersion is the only software version whose servers may be chosen; empty
	// means any.
	SoftwareVersion string
	// Exclude holds the IDs of servers that must not be chosen, and ExcludeVersions the
	// software versions of such servers.
	Exclude, ExcludeVersions []string
	// Single is set if one engine must do both prefill and decode.
	Single bool
	// Late is set for a prompt that cannot be on time; it is served after all others.
	Late bool
	// Interactive is set for a prompt that the engine is to serve before others: see
	// Placer.IsInteractive. Gap is the maximum time between two events of its answer.
	// Services that are not scarce ignore both.
	Interactive bool
	Gap         time.Duration
	// SendTime is the time that this instance's link takes to send the request once.
	// It is sent twice if prefill and decode are on different engines.
	SendTime time.Duration
	// ToObjective and ToDeadline are the times left for the answer; 0 means that there is
	// none. Bytes is the size of the body. Only scarce plain services need them.
	ToObjective, ToDeadline time.Duration
	Bytes                   int
}

// Choice is the engine or pair of engines chosen for a prompt.
type Choice struct {
	// Backend is the ID of the engine that generates the answer.
	Backend string
	// PrefillBackend is the ID of the engine that does the prefill; empty if Backend
	// does it.
	PrefillBackend string
	// Wait is the estimated time until the prompt has been read and, if PrefillBackend
	// is set, the KV cache has been transferred.
	Wait time.Duration
	// PrefillTime is the part of Wait that the prefill itself takes.
	PrefillTime time.Duration
	// UncachedTokens is the estimated number of tokens that must be read.
	UncachedTokens int
	// SlowestPrefillTime is the time that the prefill may take at a sound engine. It is
	// longer than PrefillTime while no engine of the service has been measured.
	SlowestPrefillTime time.Duration
	// FetchBackend is the ID of the engine from whose KV cache the one that does the
	// prefill fetches a prefix of the prompt that it does not have; empty if it fetches
	// none.
	FetchBackend string
	// Reason says why a plain server in another failure domain was chosen; empty for other
	// servers.
	Reason peridotlocality.Reason
}

// Place returns the engine or pair of engines with the least estimated cost for a
// prompt. The cost combines the time to the first token with the work of the engines.
// The engines of a pair have the same software version. Of a plain service, Place returns
// the server with the least work relative to its size. Place considers unusable servers
// only if the usable ones cannot serve the prompt, but never leaving or held ones, and
// returns false if no server can serve it.
func (p *Placer) Place(now time.Duration, prompt Prompt) (Choice, bool) {
	if all := p.groups[groupKey{prompt.Service, prompt.SoftwareVersion}]; len(all) > 0 && all[0].engine == nil {
		return p.placePlain(now, all, prompt)
	}
	group := p.candidates(prompt)
	for pass := range 2 {
		best, ok := p.place(now, prompt, group, pass == 1)
		if ok {
			best.SlowestPrefillTime = best.PrefillTime
			if !p.isMeasured(prompt.Service) {
				best.SlowestPrefillTime *= maxSlowness
			}
			return best, true
		}
	}
	if all := p.groups[groupKey{prompt.Service, prompt.SoftwareVersion}]; len(all) > len(group) {
		return p.place(now, prompt, all, true)
	}
	return Choice{}, false
}

// excludes reports whether a server must not be chosen.
func (p *Prompt) excludes(s *server) bool {
	return slices.Contains(p.Exclude, s.ID) || slices.Contains(p.ExcludeVersions, s.SoftwareVersion)
}

// candidate is an engine and the estimates for one prompt on it.
type candidate struct {
	*server
	// urgentMillis is the time in ms until the engine has finished the prefills that are not
	// demoted, waitMillis that until the prefill can begin, and prefillMillis the time in
	// ms that it takes.
	urgentMillis   float64
	waitMillis     float64
	prefillMillis  float64
	uncachedTokens int
	// fetchFrom is the engine from which a prefix of the prompt is fetched, and
	// fetchMillis the time in ms that this takes; nil if none is fetched.
	fetchFrom   *server
	fetchMillis float64
	// slotWaitMillis is the time in ms until a slot is free for the answer.
	slotWaitMillis float64
	// requests is the number of active requests of all instances at the engine.
	requests int
	// interactive is the number of interactive ones among them; 0 for engines that are not
	// scarce.
	interactive int
	// decodeCost is the cost in ms of generating the answer there, and domainCost
	// that of sending the request to another failure domain.
	decodeCost float64
	domainCost float64
	// spreadCost is a random cost in ms of a prompt there: see spreadShare.
	spreadCost float64
}

// admissionMillis returns the estimated time in ms until the engine admits a prompt whose
// KV cache it fetches: it needs a slot, and the engine first finishes the prefill that it
// has begun.
func (c *candidate) admissionMillis() float64 {
	return max(c.urgentMillis, c.slotWaitMillis)
}

// place returns the choice with the least cost in ms among the engines of group, alone
// and in pairs. It skips unusable engines unless allowUnusable is set.
func (p *Placer) place(now time.Duration, prompt Prompt, group []*server, allowUnusable bool) (Choice, bool) {
	holders := p.prefixHolders(now, prompt, group)
	prefillEngines, decodeEngines := p.prefillEngines[:0], p.decodeEngines[:0]
	for _, s := range group {
		isAllowed := s.usable(now) || allowUnusable && s.accepts(now)
		if !isAllowed || s.engine == nil || prompt.excludes(s) {
			continue
		}
		list := &decodeEngines
		if s.Role == peridotsite.Prefill {
			list = &prefillEngines
		}
		*list = append(*list, candidate{})
		c := &(*list)[len(*list)-1]
		p.estimate(c, now, s, prompt)
		p.considerFetch(c, prompt, holders)
	}
	p.prefillEngines, p.decodeEngines = prefillEngines, decodeEngines
	if prompt.Single {
		prefillEngines = nil
	}
	choices := newDomainChoices()
	sendCost := toMillis(prompt.SendTime) * (1 + linkWeight)
	for i := range decodeEngines {
		d := &decodeEngines[i]
		cost := max(d.waitMillis, d.slotWaitMillis) + d.fetchCost() + d.prefillMillis*(1+prefillWorkWeight+interferenceWeight*float64(d.requests)) + d.decodeCost + d.domainCost + d.pauseCost()
		if best := choices.of(d.domainCost > 0 || d.fetchesAcross()); best.update(cost, d.spreadCost) {
			best.prefill, best.decode = nil, d
		}
	}
	cheapestDecode := cheapestDecodeEngines(decodeEngines)
	for i := range prefillEngines {
		pf := &prefillEngines[i]
		for _, d := range cheapestDecode {
			if d.SoftwareVersion != pf.SoftwareVersion {
				continue
			}
			transferMillis := estimateTransferMillis(prompt.Tokens, pf.server, d.server)
			cost := pf.waitMillis + pf.fetchCost() + pf.prefillMillis*(1+prefillWorkWeight) + transferMillis + transferCostMillis + d.admissionMillis() + d.decodeCost + pf.domainCost + d.domainCost + sendCost
			if best := choices.of(pf.domainCost+d.domainCost > 0 || pf.fetchesAcross()); best.update(cost, pf.spreadCost+d.spreadCost) {
				best.prefill, best.decode = pf, d
			}
		}
	}
	switch best := choices.best(); {
	case best.decode == nil:
		return Choice{}, false
	case best.prefill == nil:
		return p.singleChoice(best.decode), true
	default:
		return p.splitChoice(best.decode, best.prefill, estimateTransferMillis(prompt.Tokens, best.prefill.server, best.decode.server)), true
	}
}

// cheapestDecodeEngines returns the engine with the least cost of decoding of each
// software version in each failure domain. The time of a KV cache transfer depends only
// on the two domains, so no other engine can cost less in a pair.
func cheapestDecodeEngines(engines []candidate) []*candidate {
	var list []*candidate
	for i := range engines {
		d := &engines[i]
		at := slices.IndexFunc(list, func(other *candidate) bool {
			return other.Domain == d.Domain && other.SoftwareVersion == d.SoftwareVersion
		})
		switch {
		case at < 0:
			list = append(list, d)
		case d.admissionMillis()+d.decodeCost+d.spreadCost < list[at].admissionMillis()+list[at].decodeCost+list[at].spreadCost:
			list[at] = d
		}
	}
	return list
}

// estimate sets c to s as a candidate, with the estimates for a prompt.
func (p *Placer) estimate(c *candidate, now time.Duration, s *server, prompt Prompt) {
	peerPrefillMillis, peerLateMillis, running := p.peerLoad(now, s)
	s.updatePace(now)
	uncachedTokens := max(0, prompt.Tokens-s.cache.cachedTokens(prompt.Parts))
	urgentMillis := s.backlogMillis(now) + peerPrefillMillis
	*c = candidate{server: s, urgentMillis: urgentMillis, waitMillis: urgentMillis, prefillMillis: p.estimatePrefillMillis(s, uncachedTokens), uncachedTokens: uncachedTokens}
	if prompt.Late {
		c.waitMillis += s.demotedMillis + peerLateMillis
	}
	running += s.activeRequests()
	c.requests = running
	c.slotWaitMillis = p.slotWaitMillis(s, running)
	c.decodeCost = runningCostMillis*float64(running) + failureCost*s.failureRate
	if s.Domain != p.domain {
		c.domainCost = crossDomainCostMillis
	}
	if s.scarce {
		p.applyTurn(c, prompt)
	}
}

// singleChoice returns the choice of one engine for both prefill and decode.
func (p *Placer) singleChoice(d *candidate) Choice {
	wait := max(d.waitMillis*p.decodeCalibration.factor(), d.slotWaitMillis)
	return Choice{Backend: d.ID, Wait: fromMillis(wait + d.fetchMillis + d.prefillMillis), PrefillTime: fromMillis(d.prefillMillis), UncachedTokens: d.uncachedTokens, FetchBackend: d.fetchBackend()}
}

// splitChoice returns the choice of pf for the prefill and d for the decode, with a
// KV cache transfer between them.
func (p *Placer) splitChoice(d, pf *candidate, transferMillis float64) Choice {
	wait := pf.waitMillis*p.prefillCalibration.factor() + pf.fetchMillis + pf.prefillMillis + transferMillis + d.admissionMillis()
	return Choice{Backend: d.ID, PrefillBackend: pf.ID, Wait: fromMillis(wait), PrefillTime: fromMillis(pf.prefillMillis), UncachedTokens: pf.uncachedTokens, FetchBackend: pf.fetchBackend()}
}

// estimateTransferMillis returns the estimated time in ms to transfer the KV cache of
// tokens.
func estimateTransferMillis(tokens int, from, to *server) float64 {
	if to.engine.LinkBytesPerSecond <= 0 {
		return transferSetupMillis
	}
	ms := float64(tokens) * float64(to.engine.TokenBytes) / to.engine.LinkBytesPerSecond * 1000
	if from.Domain != to.Domain {
		ms *= 2
	}
	return ms + transferSetupMillis
}
