package peridotplace

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxParts bounds the parts remembered for one engine.
const maxParts = 1 << 14

// cache is what an engine is believed to keep of prompts: the parts it was given
// most recently, up to its memory.
type cache struct {
	capacity int
	tokens   int
	parts    *simplelru.LRU[uint32, int]
}

func newCache(capacity int) *cache {
	c := &cache{capacity: capacity}
	// The size is above zero, so that there is no error.
	c.parts, _ = simplelru.NewLRU(maxParts, func(_ uint32, tokens int) { c.tokens -= tokens })
	return c
}

// add notes that the engine has been given parts. Earlier parts count as newer,
// for a part is of no use without those before it.
func (c *cache) add(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		if _, ok := c.parts.Get(parts[i].Hash); ok {
			continue
		}
		c.parts.Add(parts[i].Hash, parts[i].Tokens)
		c.tokens += parts[i].Tokens
	}
	for c.tokens > c.capacity {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}

// cached returns how many tokens of a prompt the engine is believed to keep.
func (c *cache) cached(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		if !c.parts.Contains(part.Hash) {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}
