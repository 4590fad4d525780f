package peridotroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the servers of one target that an entry instance keeps
// connections to, at most size of them. All processes compute the same answer,
// and a server or entry that comes or goes changes few of the others' answers.
func Subset(entry string, list []Server, size int) []Server {
	if len(list) <= size {
		return list
	}
	ranked := make([]ranking, len(list))
	for i, s := range list {
		ranked[i] = ranking{hash: rank(entry, s.Instance), index: i}
	}
	slices.SortFunc(ranked, func(a, b ranking) int { return cmp.Compare(a.hash, b.hash) })
	subset := make([]Server, size)
	for i := range subset {
		subset[i] = list[ranked[i].index]
	}
	return subset
}

type ranking struct {
	hash  uint64
	index int
}

func rank(entry, instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(entry) // Writing to a Digest never fails.
	d.WriteString("\x00")
	d.WriteString(instance)
	return d.Sum64()
}
