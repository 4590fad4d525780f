package peridotorigin_test

import (
	"fmt"
	"net/netip"

	"peridotstack/peridotorigin"
)

// A front records a stream and sends copies of its origin. Another front, to which the
// caller comes back, asks for it.
func Example() {
	fronts := peridotorigin.NewFronts([]netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.2:7660"), netip.MustParseAddrPort("10.0.0.3:7660"),
	})
	key := peridotorigin.KeyOf("c355b9a9ce9db0d7")

	var pending peridotorigin.Pending
	pending.Add(key, "v1")
	kept := make(map[netip.AddrPort]*peridotorigin.Table)
	batches := pending.Take(func(k peridotorigin.Key) []netip.AddrPort {
		return fronts.Choose(k, peridotorigin.Replicas)
	})
	for _, b := range batches {
		kept[b.To] = peridotorigin.NewTable(peridotorigin.TTL, peridotorigin.MaxOrigins)
		for _, g := range b.Groups {
			for _, k := range g.Keys {
				kept[b.To].Record(0, k, g.Version)
			}
		}
	}

	lookup := peridotorigin.NewLookup(0)
	for _, front := range lookup.Ask(0, fronts.Choose(key, peridotorigin.LookupFronts), 0) {
		if version, ok := kept[front].Version(0, key); ok {
			lookup.AnswerKnown(front, version)
		}
	}
	fmt.Println(lookup.State(0) == peridotorigin.Found, lookup.Version())
	// Output: true v1
}
