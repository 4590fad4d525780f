package peridotlease

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the place of self among the instances for a shard: 0 is the one
// that should take it. Each instance computes the same order for a shard, and
// another order for another shard (rendezvous hashing).
func Rank(shard, self string, instances []string) int {
	rank := 0
	own := weight(shard, self)
	for _, instance := range instances {
		if instance != self && weight(shard, instance) > own {
			rank++
		}
	}
	return rank
}

func weight(shard, instance string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + instance)
}

const (
	// delayPerRank is how long each instance leaves a free lease to the next
	// better ranked one.
	delayPerRank = 2 * time.Second
	// maxRank bounds the time between two reads. Behind it the delay grows by
	// delayPerLateRank only.
	maxRank          = 11
	delayPerLateRank = 100 * time.Millisecond
)

// takeDelay returns how long to leave a free lease to better ranked instances.
func takeDelay(rank int) time.Duration {
	late := max(rank-maxRank, 0)
	return time.Duration(min(rank, maxRank))*delayPerRank + time.Duration(late)*delayPerLateRank
}

// readInterval returns the time between two reads of a lease held by another:
// who is next in line looks often, the rest seldom.
func readInterval(rank int, renew time.Duration) time.Duration {
	return time.Duration(min(rank, maxRank)+1) * renew
}
