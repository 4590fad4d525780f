package peridotroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the servers of one target to which an entry instance keeps
// connections, at most size of them. It uses rendezvous hashing: all processes compute
// the same subsets, and adding or removing one server or entry changes few of them.
func Subset(entry string, list []Server, size int) []Server {
	if len(list) <= size {
		return list
	}
	ranked := make([]ranking, len(list))
	for i, s := range list {
		ranked[i] = ranking{hash: rankHash(entry, s.Instance), index: i}
	}
	slices.SortFunc(ranked, func(a, b ranking) int { return cmp.Compare(a.hash, b.hash) })
	subset := make([]Server, size)
	for i := range subset {
		subset[i] = list[ranked[i].index]
	}
	return subset
}

// ranking is the hash of a server and its index in the list.
type ranking struct {
	hash  uint64
	index int
}

func rankHash(entry, instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(entry) // Writing to a Digest never fails.
	d.WriteString("\x00")
	d.WriteString(instance)
	return d.Sum64()
}
