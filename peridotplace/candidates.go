package peridotplace

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCandidates is how many engines are compared for one prompt. More cost a
	// decision more than they gain: 100 take some 20 microseconds.
	maxCandidates = 96
	// drawnCandidates are those of them that are drawn at random, to where prompts
	// flow whose own engines are busy or gone.
	drawnCandidates = 16
)

// ring holds the engines of a service in the order of their hashes, which differs
// little between instances that know nearly the same engines.
type ring []point

type point struct {
	hash   uint64
	server *server
}

func newRing(group []*server) ring {
	r := make(ring, 0, len(group))
	for _, s := range group {
		r = append(r, point{xxhash.Sum64String(s.ID), s})
	}
	slices.SortFunc(r, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// candidates returns the engines that are compared for a prompt: all of a small
// service; of a large one those that every instance takes for prompts which begin
// alike, so that they meet their parts, and some drawn at random.
func (p *Placer) candidates(prompt Prompt) []*server {
	group := p.groups[prompt.Service]
	if len(group) <= maxCandidates {
		return group
	}
	r := p.rings[prompt.Service]
	list := make([]*server, 0, maxCandidates)
	start := r.after(affinity(prompt.Parts))
	for i := range maxCandidates - drawnCandidates {
		list = append(list, r[(start+i)%len(r)].server)
	}
	for range drawnCandidates {
		list = append(list, group[p.random.IntN(len(group))])
	}
	return list
}

// after returns the index of the first point at or behind a hash.
func (r ring) after(hash uint64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].hash >= hash })
}

// affinity hashes the part of a prompt that tells a session from another: the
// first one is common to many, later ones may belong to one request.
func affinity(parts []Part) uint64 {
	if len(parts) == 0 {
		return 0
	}
	var key [4]byte
	binary.LittleEndian.PutUint32(key[:], parts[min(1, len(parts)-1)].Hash)
	return xxhash.Sum64(key[:])
}
