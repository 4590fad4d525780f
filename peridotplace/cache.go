package peridotplace

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedParts is the maximum number of parts recorded for one engine.
const maxCachedParts = 1 << 14

// cache estimates what the KV cache of an engine holds: the parts of prompts that
// the engine was sent most recently, up to its capacity in tokens.
type cache struct {
	capacityTokens int
	tokens         int
	parts          *simplelru.LRU[uint32, cachedPart]
}

// cachedPart is a part in a cache.
type cachedPart struct {
	tokens int
	// readyAt is when the engine has read the part, or is expected to have.
	readyAt time.Duration
}

func newCache(capacityTokens int) *cache {
	c := &cache{capacityTokens: capacityTokens}
	// NewLRU fails only for a size that is not positive.
	c.parts, _ = simplelru.NewLRU(maxCachedParts, func(_ uint32, part cachedPart) { c.tokens -= part.tokens })
	return c
}

// add records the parts of a prompt that was sent to the engine, which is expected to have
// read them at readyAt. It adds the last part first, so that the LRU evicts later parts
// before earlier ones: a cached part is of no use without the parts before it.
func (c *cache) add(parts []Part, readyAt time.Duration) {
	for i := len(parts) - 1; i >= 0; i-- {
		if part, ok := c.parts.Get(parts[i].Hash); ok {
			if readyAt < part.readyAt {
				c.parts.Add(parts[i].Hash, cachedPart{part.tokens, readyAt})
			}
			continue
		}
		c.parts.Add(parts[i].Hash, cachedPart{parts[i].Tokens, readyAt})
		c.tokens += parts[i].Tokens
	}
	for c.tokens > c.capacityTokens {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}

// readyTokens returns the estimated length in tokens of the longest prefix of a prompt that
// the engine has read, so that another engine can fetch it.
func (c *cache) readyTokens(now time.Duration, parts []Part) int {
	tokens := 0
	for _, part := range parts {
		cached, ok := c.parts.Peek(part.Hash)
		if !ok || now < cached.readyAt {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// cachedTokens returns the estimated length in tokens of the longest prefix of a
// prompt that is in the engine's KV cache.
func (c *cache) cachedTokens(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if !c.parts.Contains(part.Hash) {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}
