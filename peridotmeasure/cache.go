package peridotmeasure

import "container/list"

// prefixStore is the part of an engine's memory that holds read prompts. What
// was not used for longest goes first.
type prefixStore struct {
	places map[uint64]*list.Element
	order  *list.List
}

func newPrefixStore() *prefixStore {
	return &prefixStore{places: make(map[uint64]*list.Element), order: list.New()}
}

// count returns how many of the prefixes are held, from the shortest on.
func (s *prefixStore) count(hashes []uint64) int {
	for i, hash := range hashes {
		if _, ok := s.places[hash]; !ok {
			return i
		}
	}
	return len(hashes)
}

// use does as count, and makes these prefixes the last to be dropped.
func (s *prefixStore) use(hashes []uint64) int {
	n := s.count(hashes)
	for _, hash := range hashes[:n] {
		s.order.MoveToFront(s.places[hash])
	}
	return n
}

// put holds the prefixes, and returns those that are new.
func (s *prefixStore) put(hashes []uint64) []uint64 {
	var added []uint64
	for _, hash := range hashes {
		if place, ok := s.places[hash]; ok {
			s.order.MoveToFront(place)
			continue
		}
		s.places[hash] = s.order.PushFront(hash)
		added = append(added, hash)
	}
	return added
}

// shrink drops prefixes until at most n are left, and returns the dropped ones.
func (s *prefixStore) shrink(n int) []uint64 {
	var gone []uint64
	for s.order.Len() > max(0, n) {
		hash := s.order.Remove(s.order.Back()).(uint64)
		delete(s.places, hash)
		gone = append(gone, hash)
	}
	return gone
}
