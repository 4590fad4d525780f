package peridotlease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rank of self among the instances that may hold the lease of a
// shard. The instance of rank 0 should acquire the lease first. The ranks come from
// rendezvous hashing: all instances compute the same order for a shard, and the
// order differs from shard to shard.
func Rank(shard, self string, instances []string) int {
	rank := 0
	selfWeight := rendezvousWeight(shard, self)
	for _, instance := range instances {
		if instance != self && rendezvousWeight(shard, instance) > selfWeight {
			rank++
		}
	}
	return rank
}

// FirstRanked returns the n instances that should acquire the lease of a shard first, in
// this order, or all if there are fewer.
func FirstRanked(shard string, instances []string, n int) []string {
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(rendezvousWeight(shard, b), rendezvousWeight(shard, a))
	})
	return ranked[:min(n, len(ranked))]
}

func rendezvousWeight(shard, instance string) uint64 {
	return xxhash.Sum64String(shard + "\x00" + instance)
}

const (
	// delayPerRank is the delay, per rank up to maxRank, before an instance acquires
	// a free lease. It gives the instance of the next lower rank time to acquire the
	// lease first.
	delayPerRank = 2 * time.Second
	// maxRank is the rank at which the interval between two reads stops growing.
	// Above it the delay grows by only delayPerExtraRank per rank.
	maxRank           = 11
	delayPerExtraRank = 100 * time.Millisecond
)

// takeoverDelay returns how long an instance of a rank waits before it acquires a
// free lease, so that instances of lower rank can acquire it first.
func takeoverDelay(rank int) time.Duration {
	extraRanks := max(rank-maxRank, 0)
	return time.Duration(min(rank, maxRank))*delayPerRank + time.Duration(extraRanks)*delayPerExtraRank
}

// readInterval returns the time between two reads of a lease that another
// process holds. It grows with the rank, so that the instances most likely to
// acquire the lease next read it most often.
func readInterval(rank int, renewInterval time.Duration) time.Duration {
	return time.Duration(min(rank, maxRank)+1) * renewInterval
}
