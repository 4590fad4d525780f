package peridotmeasure

import "container/list"

// prefixCache is an engine's LRU cache of prompt prefixes.
type prefixCache struct {
	elements map[uint64]*list.Element
	recency  *list.List
}

func newPrefixCache() *prefixCache {
	return &prefixCache{elements: make(map[uint64]*list.Element), recency: list.New()}
}

// cachedCount returns how many of the prefixes, counted from the shortest one,
// are cached without a gap.
func (c *prefixCache) cachedCount(hashes []uint64) int {
	for i, hash := range hashes {
		if _, ok := c.elements[hash]; !ok {
			return i
		}
	}
	return len(hashes)
}

// use returns the same number as cachedCount and marks these prefixes as
// recently used.
func (c *prefixCache) use(hashes []uint64) int {
	n := c.cachedCount(hashes)
	for _, hash := range hashes[:n] {
		c.recency.MoveToFront(c.elements[hash])
	}
	return n
}

// add caches the prefixes, marks them as recently used, and returns those that
// were not cached before.
func (c *prefixCache) add(hashes []uint64) []uint64 {
	var added []uint64
	for _, hash := range hashes {
		if element, ok := c.elements[hash]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.elements[hash] = c.recency.PushFront(hash)
		added = append(added, hash)
	}
	return added
}

// evictTo evicts the least recently used prefixes until at most n are left, and
// returns the evicted ones.
func (c *prefixCache) evictTo(n int) []uint64 {
	var evicted []uint64
	for c.recency.Len() > max(0, n) {
		hash := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, hash)
		evicted = append(evicted, hash)
	}
	return evicted
}
