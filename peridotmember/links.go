package peridotmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Links says how many connections there are between the entry instances and the
// agents of one model or plain service. Each agent is linked to the PerAgent entry
// instances that rank it highest, and each entry instance to the PerEntry agents
// that it ranks highest, so that neither side is ever left alone.
type Links struct {
	PerEntry int
	PerAgent int
}

// DefaultLinks links everything to everything at small sizes.
var DefaultLinks = Links{PerEntry: 4, PerAgent: 4}

// Agents returns the agents that the entry instance self keeps a connection to,
// out of the agents of one model or plain service. The ranks depend on names
// alone, so all processes agree and a replaced instance moves only its own links.
func (l Links) Agents(self string, entries, agents []string) []string {
	me := xxhash.Sum64String(self)
	others := make([]uint64, 0, len(entries))
	for _, entry := range entries {
		if entry != self {
			others = append(others, xxhash.Sum64String(entry))
		}
	}
	ranked := make([]ranking, 0, len(agents))
	var linked []string
	for _, agent := range agents {
		sum := xxhash.Sum64String(agent)
		ranked = append(ranked, ranking{name: agent, rank: mix(me, sum)})
		if among(me, others, sum, l.PerAgent) {
			linked = append(linked, agent)
		}
	}
	for _, r := range top(ranked, l.PerEntry) {
		linked = append(linked, r.name)
	}
	slices.Sort(linked)
	return slices.Compact(linked)
}

// Reader reports whether self is among the n instances that read the table
// service for all those given, the live ones of a failure domain.
func Reader(self string, live []string, n int) bool {
	me := mix(xxhash.Sum64String(self), 0)
	ahead := 0
	for _, other := range live {
		if other != self && mix(xxhash.Sum64String(other), 0) > me {
			ahead++
		}
	}
	return ahead < n
}

// ranking is an agent's rank at one entry instance.
type ranking struct {
	name string
	rank uint64
}

// top returns the n highest.
func top(list []ranking, n int) []ranking {
	slices.SortFunc(list, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	return list[:min(n, len(list))]
}

// among reports whether fewer than n of the others rank higher than me at target.
func among(me uint64, others []uint64, target uint64, n int) bool {
	mine := mix(me, target)
	ahead := 0
	for _, other := range others {
		if mix(other, target) > mine {
			ahead++
		}
		if ahead >= n {
			return false
		}
	}
	return true
}

// mix returns a number that depends on both hashes alike at random, by the
// finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
