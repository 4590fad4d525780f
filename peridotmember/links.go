package peridotmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Links sets the number of connections between the entry instances and the
// agents of one model or plain service. Each pair of entry instance and agent
// has a rank, as in rendezvous hashing. Each agent is linked to the PerAgent
// entry instances with the highest ranks, and each entry instance to the
// PerEntry agents with the highest ranks, so that none is without a link.
type Links struct {
	PerEntry int
	PerAgent int
}

// DefaultLinks links all entry instances to all agents if there are at most 4
// entry instances or at most 4 agents.
var DefaultLinks = Links{PerEntry: 4, PerAgent: 4}

// Agents returns the agents of one model or plain service that the entry
// instance self keeps a connection to, in the order of their names. The ranks
// depend only on the names, so all processes agree on the links, and replacing
// an instance moves only the links of that instance.
func (l Links) Agents(self string, entries, agents []string) []string {
	selfHash := xxhash.Sum64String(self)
	others := make([]uint64, 0, len(entries))
	for _, entry := range entries {
		if entry != self {
			others = append(others, xxhash.Sum64String(entry))
		}
	}
	ranked := make([]rankedAgent, 0, len(agents))
	var linked []string
	for _, agent := range agents {
		agentHash := xxhash.Sum64String(agent)
		ranked = append(ranked, rankedAgent{name: agent, rank: mixHashes(selfHash, agentHash)})
		if ranksInTop(selfHash, others, agentHash, l.PerAgent) {
			linked = append(linked, agent)
		}
	}
	for _, r := range highestRanked(ranked, l.PerEntry) {
		linked = append(linked, r.name)
	}
	slices.Sort(linked)
	return slices.Compact(linked)
}

// IsReader reports whether self is one of the n instances that read the table
// service on behalf of all live instances of a failure domain, which live lists.
func IsReader(self string, live []string, n int) bool {
	selfRank := mixHashes(xxhash.Sum64String(self), 0)
	higher := 0
	for _, other := range live {
		if other != self && mixHashes(xxhash.Sum64String(other), 0) > selfRank {
			higher++
		}
	}
	return higher < n
}

// rankedAgent is an agent with its rank at one entry instance.
type rankedAgent struct {
	name string
	rank uint64
}

// highestRanked sorts list by descending rank and returns its first n agents.
func highestRanked(list []rankedAgent, n int) []rankedAgent {
	slices.SortFunc(list, func(a, b rankedAgent) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	return list[:min(n, len(list))]
}

// ranksInTop reports whether fewer than n of the others rank higher than self at
// target. The ranks are computed from the hashes of the names.
func ranksInTop(self uint64, others []uint64, target uint64, n int) bool {
	selfRank := mixHashes(self, target)
	higher := 0
	for _, other := range others {
		if mixHashes(other, target) > selfRank {
			higher++
		}
		if higher >= n {
			return false
		}
	}
	return true
}

// mixHashes returns a pseudorandom number that depends on both hashes. It uses
// the finalizer of splitmix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
