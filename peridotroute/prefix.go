package peridotroute

import "time"

// maxHolders bounds the servers remembered for one prefix.
const maxHolders = 4

// holder is a server believed to hold a prefix; number 0 is an empty place.
type holder struct {
	number uint32
	// at is in seconds since the start of the process.
	at uint32
}

// prefixCache remembers which servers hold which prefixes. It forgets the
// prefix that was added first when it is full.
type prefixCache struct {
	life     time.Duration
	prefixes map[uint64][maxHolders]holder
	// order is a ring of the prefixes in the order they were added.
	order   []uint64
	next    int
	holders map[uint32]*server
}

func newPrefixCache(limit int, life time.Duration) prefixCache {
	return prefixCache{
		life:     life,
		prefixes: make(map[uint64][maxHolders]holder),
		order:    make([]uint64, 0, max(1, limit)),
		holders:  make(map[uint32]*server),
	}
}

// put remembers that a server holds a prefix, in place of the oldest news.
func (c *prefixCache) put(now time.Duration, hash uint64, number uint32) {
	places, ok := c.prefixes[hash]
	if !ok {
		c.makeRoom(hash)
	}
	places[placeFor(places, number)] = holder{number: number, at: uint32(now / time.Second)}
	c.prefixes[hash] = places
}

// placeFor returns the place that the server has already, or else an empty one,
// or else the one with the oldest news.
func placeFor(places [maxHolders]holder, number uint32) int {
	place := 0
	for i, h := range places {
		if h.number == number {
			return i
		}
		// An empty place has the time 0, so it counts as the oldest.
		if h.at < places[place].at {
			place = i
		}
	}
	return place
}

func (c *prefixCache) makeRoom(hash uint64) {
	if len(c.order) < cap(c.order) {
		c.order = append(c.order, hash)
		return
	}
	delete(c.prefixes, c.order[c.next])
	c.order[c.next] = hash
	c.next = (c.next + 1) % len(c.order)
}

// remove forgets that a server holds a prefix.
func (c *prefixCache) remove(hash uint64, number uint32) {
	places, ok := c.prefixes[hash]
	if !ok {
		return
	}
	for i, h := range places {
		if h.number == number {
			places[i] = holder{}
		}
	}
	c.prefixes[hash] = places
}

// forget drops a server; its number is never used again.
func (c *prefixCache) forget(number uint32) {
	delete(c.holders, number)
}

// longest returns the servers of the longest prefix that any server holds.
func (c *prefixCache) longest(now time.Duration, hashes []uint64, found []*server) []*server {
	for i := len(hashes) - 1; i >= 0; i-- {
		places, ok := c.prefixes[hashes[i]]
		if !ok {
			continue
		}
		for _, h := range places {
			if s := c.fresh(now, h); s != nil {
				found = append(found, s)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return found
}

// cached returns how many of the prefixes, counted from the shortest, the
// server holds.
func (c *prefixCache) cached(now time.Duration, hashes []uint64, s *server) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		places, ok := c.prefixes[hashes[i]]
		if !ok {
			continue
		}
		for _, h := range places {
			if h.number == s.number && c.fresh(now, h) != nil {
				return i + 1
			}
		}
	}
	return 0
}

func (c *prefixCache) fresh(now time.Duration, h holder) *server {
	if h.number == 0 || now-time.Duration(h.at)*time.Second > c.life {
		return nil
	}
	return c.holders[h.number]
}
