package peridotplace

import (
	"slices"
	"time"
)

// minFetchTokens is the length in tokens from which on fetching a prefix is considered.
const minFetchTokens = 512

// prefixHolder is an engine that has read a prefix of a prompt.
type prefixHolder struct {
	*server
	tokens int
}

// prefixHolders returns the engines of group from which others can fetch the longest prefix
// of a prompt: one of each software version in each failure domain.
func (p *Placer) prefixHolders(now time.Duration, prompt Prompt, group []*server) []prefixHolder {
	var list []prefixHolder
	for _, s := range group {
		if s.engine == nil || now < s.backoffUntil || s.unresponsive(now) {
			continue
		}
		tokens := s.cache.readyTokens(now, prompt.Parts)
		if tokens < minFetchTokens {
			continue
		}
		at := slices.IndexFunc(list, func(h prefixHolder) bool {
			return h.Domain == s.Domain && h.SoftwareVersion == s.SoftwareVersion
		})
		switch {
		case at < 0:
			list = append(list, prefixHolder{s, tokens})
		case tokens > list[at].tokens || tokens == list[at].tokens && s.running < list[at].running:
			list[at] = prefixHolder{s, tokens}
		}
	}
	return list
}

// considerFetch makes a candidate fetch a prefix from the holder that saves it the most
// time, if that is faster than reading the prefix.
func (p *Placer) considerFetch(c *candidate, prompt Prompt, holders []prefixHolder) {
	cached := prompt.Tokens - c.uncachedTokens
	least := c.prefillMillis
	for _, h := range holders {
		if h.server == c.server || h.SoftwareVersion != c.SoftwareVersion || h.tokens-cached < minFetchTokens {
			continue
		}
		uncached := max(0, prompt.Tokens-h.tokens)
		prefillMillis := p.estimatePrefillMillis(c.server, uncached)
		fetchMillis := estimateTransferMillis(h.tokens-cached, h.server, c.server)
		if total := prefillMillis + fetchMillis + transferCostMillis; total < least {
			least = total
			c.fetchFrom, c.fetchMillis = h.server, fetchMillis
			c.prefillMillis, c.uncachedTokens = prefillMillis, uncached
		}
	}
}

// fetchCost returns the cost in ms of the candidate's fetch.
func (c *candidate) fetchCost() float64 {
	if c.fetchFrom == nil {
		return 0
	}
	return c.fetchMillis + transferCostMillis
}

// fetchesAcross reports whether the candidate fetches a prefix from another failure domain.
func (c *candidate) fetchesAcross() bool {
	return c.fetchFrom != nil && c.fetchFrom.Domain != c.Domain
}

// fetchBackend returns the ID of the engine from which a prefix is fetched, or empty.
func (c *candidate) fetchBackend() string {
	if c.fetchFrom == nil {
		return ""
	}
	return c.fetchFrom.ID
}
