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
func (s *prefixCache) cachedCount(hashes []uint64) int {
	for i, hash := range hashes {
		if _, ok := s.elements[hash]; !ok {
			return i
		}
	}
	return len(hashes)
}

// use returns the same number as cachedCount and marks these prefixes as
// recently used.
func (s *prefixCache) use(hashes []uint64) int {
	n := s.cachedCount(hashes)
	for _, hash := range hashes[:n] {
		s.recency.MoveToFront(s.elements[hash])
	}
	return n
}

// add caches the prefixes, marks them as recently used, and returns those that
// were not cached before.
func (s *prefixCache) add(hashes []uint64) []uint64 {
	var added []uint64
	for _, hash := range hashes {
		if element, ok := s.elements[hash]; ok {
			s.recency.MoveToFront(element)
			continue
		}
		s.elements[hash] = s.recency.PushFront(hash)
		added = append(added, hash)
	}
	return added
}

// evictTo evicts the least recently used prefixes until at most n are left, and
// returns the evicted ones.
func (s *prefixCache) evictTo(n int) []uint64 {
	var evicted []uint64
	for s.recency.Len() > max(0, n) {
		hash := s.recency.Remove(s.recency.Back()).(uint64)
		delete(s.elements, hash)
		evicted = append(evicted, hash)
	}
	return evicted
}
