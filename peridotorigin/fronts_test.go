package peridotorigin

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
)

// testAddresses returns n addresses of fronts.
func testAddresses(n int) []netip.AddrPort {
	var list []netip.AddrPort
	for i := range n {
		list = append(list, netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7660", i/250, i%250)))
	}
	return list
}

func TestChoose(t *testing.T) {
	for _, c := range []struct{ fronts, n, want int }{
		{fronts: 0, n: 5, want: 0},
		{fronts: 3, n: 5, want: 3},
		{fronts: 5, n: 5, want: 5},
		{fronts: 21, n: 5, want: 5},
		{fronts: 21, n: 0, want: 0},
		{fronts: 1200, n: 10, want: 10},
	} {
		addresses := testAddresses(c.fronts)
		shuffled := slices.Clone(addresses)
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for request := range 20 {
			key := KeyOf(fmt.Sprint(request))
			got := NewFronts(addresses).Choose(key, c.n)
			if len(got) != c.want {
				t.Errorf("%d of %d fronts: got %d, want %d", c.n, c.fronts, len(got), c.want)
			}
			if other := NewFronts(shuffled).Choose(key, c.n); !slices.Equal(got, other) {
				t.Errorf("%d of %d fronts in another order: got %v, want %v", c.n, c.fronts, other, got)
			}
			if len(got) > 0 && c.n == LookupFronts && !slices.Equal(NewFronts(addresses).Choose(key, Replicas), got[:Replicas]) {
				t.Errorf("key %x: the first %d chosen for a look-up do not keep the copies", key, Replicas)
			}
		}
	}
}

// TestChooseEvenly checks that fronts get about equal shares of the copies.
func TestChooseEvenly(t *testing.T) {
	const fronts, streams = 21, 21_000
	set := NewFronts(testAddresses(fronts))
	copies := make(map[netip.AddrPort]int)
	for i := range streams {
		for _, a := range set.Choose(KeyOf(fmt.Sprint(i)), Replicas) {
			copies[a]++
		}
	}
	for _, a := range testAddresses(fronts) {
		if want := streams * Replicas / fronts; copies[a] < want*9/10 || copies[a] > want*11/10 {
			t.Errorf("%v: got %d copies, want %d and at most a tenth more or less", a, copies[a], want)
		}
	}
}

// TestLookupFindsCopiesAfterChange guards against copies that a look-up misses because
// fronts came and went: at least one front that still keeps a copy must be asked.
func TestLookupFindsCopiesAfterChange(t *testing.T) {
	for _, c := range []struct{ fronts, gone, added int }{
		{fronts: 4, gone: 2, added: 2},
		{fronts: 21, gone: 2, added: 2},
		{fronts: 21, gone: 2, added: 5},
		{fronts: 21, gone: 2, added: 10},
		{fronts: 68, gone: 2, added: 8},
		{fronts: 1200, gone: 92, added: 92},
	} {
		addresses := testAddresses(c.fronts + c.added)
		before := NewFronts(addresses[1:c.fronts]) // Address 0 recorded the origin.
		after := NewFronts(addresses[c.gone+1:])
		misses, streams := 0, 2000
		for i := range streams {
			key := KeyOf(fmt.Sprint(i))
			kept := before.Choose(key, Replicas)
			found := 0
			for _, a := range after.Choose(key, LookupFronts) {
				if slices.Contains(kept, a) {
					found++
				}
			}
			if found == 0 {
				misses++
			}
		}
		if misses > 0 {
			t.Errorf("%d fronts, %d gone, %d added: %d of %d streams are not found, want 0", c.fronts, c.gone, c.added, misses, streams)
		}
	}
}
