package peridotfront

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
)

// crowded returns a front that has work at as many servers and for as many
// accounts as given, and has just placed prompts.
func crowded(t *testing.T, name string, servers, accounts int) (*Front, *peridotsite.Config) {
	t.Helper()
	f := newFront(t, &cloud{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, name)
	config := &peridotsite.Config{Version: 1, Services: []peridotsite.Service{{Name: "llm", Engine: &peridotsite.Engine{CacheTokens: 1_000_000, Slots: 16}}}}
	var list []peridotsite.Backend
	for i := range servers {
		list = append(list, peridotsite.Backend{ID: fmt.Sprintf("i-%010x", i), Service: "llm", Address: fmt.Sprint("10.0.0.1:", i)})
	}
	f.Configured(config)
	f.Registered(list)
	for i := range maxPlacements {
		parts := []peridotplace.Part{{Hash: 4_000_000_000, Tokens: 2500}, {Hash: uint32(3_000_000_000 + i), Tokens: 4000}, {Hash: uint32(2_000_000_000 + i), Tokens: 3000}}
		f.placer.Read(f.now(), list[i%servers].ID, parts, 9500)
	}
	for _, b := range list {
		f.placer.Begin(f.now(), b.ID)
	}
	for i := range accounts {
		f.tally.Add(fmt.Sprintf("account-%04d", i), f.trueTime())
	}
	return f, config
}

// TestDatagramsFit tells another front everything at once, and watches the size of
// each datagram and what arrives.
func TestDatagramsFit(t *testing.T) {
	for _, c := range []struct {
		name              string
		servers, accounts int
		// most bounds the datagram of the load, in bytes. 25 fronts hear each other
		// eight times a second, which may take a fifth of a link of 10 Mbit/s.
		most int
	}{
		{name: "today", servers: 9, accounts: 8, most: 1300},
		{name: "grown", servers: 41, accounts: 78, most: 1300},
		{name: "the size to design for", servers: 200, accounts: 950, most: maxDatagram},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, config := crowded(t, "sender", c.servers, c.accounts)
			other := newFront(t, &cloud{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "receiver")
			other.Configured(config)
			other.Registered(slices.Collect(func(yield func(peridotsite.Backend) bool) {
				for _, b := range f.backends.known {
					if !yield(b) {
						return
					}
				}
			}))
			var loads int
			for i, m := range f.peers.messages(true) {
				data, err := m.encode()
				if err != nil {
					t.Fatalf("datagram %d: %v", i, err)
				}
				if i == 0 && len(data) > c.most {
					t.Errorf("datagram of the load: got %d bytes, want %d at most", len(data), c.most)
				}
				got, err := decodeMessage(data)
				if err != nil {
					t.Fatal(err)
				}
				loads += len(got.report(other.backends.byHash).Loads)
				other.peers.take(got)
			}
			if loads != c.servers {
				t.Errorf("loads: got %d, want %d", loads, c.servers)
			}
			window := f.tally.WindowAt(f.trueTime())
			counted := make(map[string]int64)
			for w := window - 1; w <= window; w++ {
				for account, n := range other.tally.Sum(w) {
					counted[account] += n
				}
			}
			if len(counted) != c.accounts {
				t.Errorf("accounts: got %d, want %d", len(counted), c.accounts)
			}
		})
	}
}

// TestForeignDatagrams takes what other programs may send.
func TestForeignDatagrams(t *testing.T) {
	for _, data := range []string{"", "{}", `{"From":"front-1"}`, "\xa1\x01", "\xff\xff\xff"} {
		m, err := decodeMessage([]byte(data))
		if err == nil && m.From != "" {
			t.Errorf("%q: got a message of %q, want an error", data, m.From)
		}
	}
	f := newFront(t, &cloud{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-0")
	f.peers.take(&message{From: "front-1", Address: "nowhere", Usage: &usage{Window: 1, Counts: map[string]int64{"a": 1}}})
	if got := f.tally.Sum(peridotusage.Window(1)); len(got) != 0 {
		t.Errorf("message without an address: got counts %v, want none", got)
	}
	f.peers.take(&message{From: "front-1", Address: "10.0.0.9:7660", Loads: []load{{Server: 7, Running: 1}}, Placed: []placement{{Server: 7, Parts: []uint32{1, 2, 3}}}})
	if _, ok := f.peers.known[netip.MustParseAddrPort("10.0.0.9:7660")]; !ok {
		t.Error("message of servers that are not known: got no peer, want front-1")
	}
}
