package peridotorigin

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
)

func TestPending(t *testing.T) {
	many, few := testAddresses(minCopies), testAddresses(minCopies-1)
	for _, c := range []struct {
		name string
		to   []netip.AddrPort
		do   func(*Pending)
		// want contains the keys in each of three consecutive batches for one front.
		want [3][]Key
	}{
		{name: "nothing", to: many, do: func(*Pending) {}},
		{name: "sent once to many", to: many, do: func(p *Pending) { p.Add(1, "v1"); p.Add(2, "v1") }, want: [3][]Key{{1, 2}}},
		{name: "sent twice to few", to: few, do: func(p *Pending) { p.Add(1, "v1") }, want: [3][]Key{{1}, {1}}},
		{name: "added twice", to: many, do: func(p *Pending) { p.Add(1, "v1"); p.Add(1, "v2") }, want: [3][]Key{{1}}},
		{name: "ended before its batch", to: few, do: func(p *Pending) { p.Add(1, "v1"); p.Add(2, "v1"); p.End(1) }, want: [3][]Key{{2}, {2}}},
		{name: "unknown stream ended", to: many, do: func(p *Pending) { p.End(1); p.Add(2, "v1") }, want: [3][]Key{{2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Pending
			c.do(&p)
			for i, want := range c.want {
				var got []Key
				for _, b := range p.Take(func(Key) []netip.AddrPort { return c.to }) {
					for _, g := range b.Groups {
						if b.To == c.to[0] {
							got = append(got, g.Keys...)
						}
					}
				}
				if !slices.Equal(got, want) {
					t.Errorf("batch %d: got keys %v, want %v", i, got, want)
				}
			}
			if p.Len() != 0 || len(p.order) != 0 {
				t.Errorf("got %d origins and %d keys left, want none", p.Len(), len(p.order))
			}
		})
	}
}

// TestPendingEndBetweenBatches checks that the second sending is left out if the
// stream has ended by then.
func TestPendingEndBetweenBatches(t *testing.T) {
	var p Pending
	to := func(Key) []netip.AddrPort { return testAddresses(1) }
	p.Add(1, "v1")
	if got := len(p.Take(to)); got != 1 {
		t.Fatalf("first sending: got %d batches, want 1", got)
	}
	p.End(1)
	if got := len(p.Take(to)); got != 0 {
		t.Errorf("second sending: got %d batches, want none", got)
	}
}

// TestPendingBounds checks the number of waiting origins and the size of batches.
func TestPendingBounds(t *testing.T) {
	var p Pending
	dropped := 0
	for i := range MaxPending + 10 {
		if p.Add(Key(i), fmt.Sprint(strings.Repeat("v", i%MaxVersionBytes), i%7)) {
			dropped++
		}
	}
	if p.Len() != MaxPending || dropped != 10 {
		t.Errorf("got %d origins and %d dropped, want %d and 10", p.Len(), dropped, MaxPending)
	}
	keys := 0
	for _, b := range p.Take(func(Key) []netip.AddrPort { return testAddresses(Replicas)[:1] }) {
		size := 0
		for _, g := range b.Groups {
			size += groupBytes + len(g.Version) + len(g.Keys)*keyBytes
			keys += len(g.Keys)
		}
		if size > MaxBatchBytes {
			t.Errorf("got a batch of %d bytes, want at most %d", size, MaxBatchBytes)
		}
	}
	if keys != MaxPending {
		t.Errorf("got %d keys in batches, want %d", keys, MaxPending)
	}
}
