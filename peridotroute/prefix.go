package peridotroute

import "time"

// maxHolders is the maximum number of servers recorded for one prefix.
const maxHolders = 4

// holder is a server believed to hold a prefix; serverID is 0 for an empty slot.
type holder struct {
	serverID uint32
	// hintedAtSeconds is the time of the last hint, in seconds since the start of the
	// process.
	hintedAtSeconds uint32
}

// prefixCache records which servers hold which prefixes. When it is full, it evicts
// the prefix that was added first.
type prefixCache struct {
	ttl      time.Duration
	prefixes map[uint64][maxHolders]holder
	// order is a ring buffer of the prefixes in the order they were added. Once it is
	// full, next is the index of the oldest.
	order   []uint64
	next    int
	servers map[uint32]*server
}

func newPrefixCache(maxPrefixes int, ttl time.Duration) prefixCache {
	return prefixCache{
		ttl:      ttl,
		prefixes: make(map[uint64][maxHolders]holder),
		order:    make([]uint64, 0, max(1, maxPrefixes)),
		servers:  make(map[uint32]*server),
	}
}

// put records that a server holds a prefix. If maxHolders other servers hold it, put
// replaces the one with the oldest hint.
func (c *prefixCache) put(now time.Duration, hash uint64, serverID uint32) {
	holders, ok := c.prefixes[hash]
	if !ok {
		c.addToOrder(hash)
	}
	holders[slotFor(holders, serverID)] = holder{serverID: serverID, hintedAtSeconds: uint32(now / time.Second)}
	c.prefixes[hash] = holders
}

// slotFor returns the index of the slot that already holds the server, or else an
// empty slot, or else the one with the oldest hint.
func slotFor(holders [maxHolders]holder, serverID uint32) int {
	slot := 0
	for i, h := range holders {
		if h.serverID == serverID {
			return i
		}
		// An empty slot has the time 0, so it is the oldest.
		if h.hintedAtSeconds < holders[slot].hintedAtSeconds {
			slot = i
		}
	}
	return slot
}

// addToOrder adds a prefix to order, and evicts the oldest one if order is full.
func (c *prefixCache) addToOrder(hash uint64) {
	if len(c.order) < cap(c.order) {
		c.order = append(c.order, hash)
		return
	}
	delete(c.prefixes, c.order[c.next])
	c.order[c.next] = hash
	c.next = (c.next + 1) % len(c.order)
}

// remove deletes a server from the holders of a prefix.
func (c *prefixCache) remove(hash uint64, serverID uint32) {
	holders, ok := c.prefixes[hash]
	if !ok {
		return
	}
	for i, h := range holders {
		if h.serverID == serverID {
			holders[i] = holder{}
		}
	}
	c.prefixes[hash] = holders
}

// removeServer deletes a server. Its ID must not be used again.
func (c *prefixCache) removeServer(serverID uint32) {
	delete(c.servers, serverID)
}

// longestHolders appends to found the servers that hold the longest prefix that any
// server holds.
func (c *prefixCache) longestHolders(now time.Duration, hashes []uint64, found []*server) []*server {
	for i := len(hashes) - 1; i >= 0; i-- {
		holders, ok := c.prefixes[hashes[i]]
		if !ok {
			continue
		}
		for _, h := range holders {
			if s := c.freshHolder(now, h); s != nil {
				found = append(found, s)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return found
}

// cachedBlocks returns the number of blocks in the longest prefix that the server is
// believed to hold.
func (c *prefixCache) cachedBlocks(now time.Duration, hashes []uint64, s *server) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		holders, ok := c.prefixes[hashes[i]]
		if !ok {
			continue
		}
		for _, h := range holders {
			if h.serverID == s.id && c.freshHolder(now, h) != nil {
				return i + 1
			}
		}
	}
	return 0
}

// freshHolder returns the server of h, or nil if the slot is empty, its hint has
// expired or the server has been removed.
func (c *prefixCache) freshHolder(now time.Duration, h holder) *server {
	if h.serverID == 0 || now-time.Duration(h.hintedAtSeconds)*time.Second > c.ttl {
		return nil
	}
	return c.servers[h.serverID]
}
