package peridotorigin

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Replicas is the number of fronts that keep a copy of an origin, beside the one
	// that recorded it. Two fronts may fail at a time, and a datagram may be lost.
	Replicas = 5
	// LookupFronts is the number of fronts that a look-up asks. It exceeds Replicas
	// because fronts may have come or gone since the origin was recorded.
	LookupFronts = 2 * Replicas
)

// Fronts is a set of fronts, by the addresses at which they receive datagrams. Fronts
// that know the same addresses choose the same ones for a stream.
type Fronts struct {
	members []member
}

type member struct {
	address netip.AddrPort
	hash    uint64
}

// NewFronts returns the set of fronts with the given addresses.
func NewFronts(addresses []netip.AddrPort) Fronts {
	s := Fronts{members: make([]member, 0, len(addresses))}
	for _, a := range addresses {
		var data [18]byte
		ip := a.Addr().As16()
		copy(data[:], ip[:])
		binary.BigEndian.PutUint16(data[16:], a.Port())
		s.members = append(s.members, member{address: a, hash: xxhash.Sum64(data[:])})
	}
	return s
}

// Len returns the number of fronts.
func (s Fronts) Len() int {
	return len(s.members)
}

// Choose returns the n fronts with the highest rendezvous hashes for a stream, in that
// order, or all fronts if there are fewer.
func (s Fronts) Choose(key Key, n int) []netip.AddrPort {
	type scored struct {
		score uint64
		at    int
	}
	best := make([]scored, 0, n+1)
	for i, m := range s.members {
		score := mix(m.hash ^ uint64(key))
		if len(best) == n && (n == 0 || score <= best[n-1].score) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, score, func(b scored, score uint64) int { return cmp.Compare(score, b.score) })
		best = slices.Insert(best, at, scored{score: score, at: i})
		best = best[:min(len(best), n)]
	}
	chosen := make([]netip.AddrPort, 0, len(best))
	for _, b := range best {
		chosen = append(chosen, s.members[b.at].address)
	}
	return chosen
}

// mix is the finalizer of SplitMix64: each bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
