package peridotplace

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCandidates is the maximum number of engines compared for one prompt.
	// Comparing them takes about 13 microseconds; comparing more takes longer than a
	// better choice saves.
	maxCandidates = 96
	// randomCandidates is the number of candidates that are drawn at random, for
	// prompts whose other candidates are busy or have been removed.
	randomCandidates = 16
)

// ring holds the engines of a group in the order of the hashes of their IDs.
// Instances that know nearly the same engines have nearly the same rings.
type ring []point

// point is the position of an engine on a ring.
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

// candidates returns the engines to compare for a prompt, all of its software version.
// For a group of at most maxCandidates engines, these are all engines. For a larger
// group, they are consecutive engines on the ring and some engines drawn at random. The
// consecutive ones are the same on every instance for all prompts of a session, so the
// session's parts are cached there. The next call may overwrite the list.
func (p *Placer) candidates(prompt Prompt) []*server {
	key := groupKey{prompt.Service, prompt.SoftwareVersion}
	group := p.groups[key]
	if len(group) <= maxCandidates {
		return group
	}
	r := p.rings[key]
	list := p.list[:0]
	start := r.successor(affinityHash(prompt.Parts))
	for i := range maxCandidates - randomCandidates {
		list = append(list, r[(start+i)%len(r)].server)
	}
	for range randomCandidates {
		list = append(list, group[p.random.IntN(len(group))])
	}
	p.list = list
	return list
}

// successor returns the index of the first point whose hash is at least hash, or
// len(r) if there is none.
func (r ring) successor(hash uint64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].hash >= hash })
}

// affinityHash hashes the part that distinguishes the prompt's session: the second
// one. Many sessions share the first part, and later parts may belong to a single
// request. A prompt of one part is hashed by that part.
func affinityHash(parts []Part) uint64 {
	if len(parts) == 0 {
		return 0
	}
	var key [4]byte
	binary.LittleEndian.PutUint32(key[:], parts[min(1, len(parts)-1)].Hash)
	return xxhash.Sum64(key[:])
}
