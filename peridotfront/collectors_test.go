package peridotfront

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"peridotstack/peridotclock"
	"peridotstack/peridotlease"
	"peridotstack/peridottable"
)

// TestCollectors guards against usage that is reported too low by a front that takes over
// the duties: the other fronts must send their counts to it before.
func TestCollectors(t *testing.T) {
	const fronts = 20
	f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-0")
	names := []string{"front-0"}
	for i := 1; i < fronts; i++ {
		name := fmt.Sprint("front-", i)
		names = append(names, name)
		f.peers.handleMessage(&message{From: name, Address: fmt.Sprintf("10.0.0.%d:7660", i)})
	}
	ranked := peridotlease.FirstRanked(dutyShard, names, fronts)
	last := ranked[fronts-1]
	if last == "front-0" {
		last = ranked[fronts-2]
	}
	var index int
	fmt.Sscanf(last, "front-%d", &index)
	address := fmt.Sprintf("10.0.0.%d:7660", index)
	check := func(step string, wantLast bool) {
		t.Helper()
		got := f.peers.collectors()
		for _, name := range ranked[:collectorsAhead] {
			if _, ok := got[name]; !ok && name != "front-0" {
				t.Errorf("%s: got no counts for %s, which should take over the duties soon", step, name)
			}
		}
		if _, ok := got[last]; ok != wantLast {
			t.Errorf("%s: got %v, want %s in it %v", step, got, last, wantLast)
		}
		if len(got) > collectorsAhead+1 {
			t.Errorf("%s: got %d collectors, want at most %d", step, len(got), collectorsAhead+1)
		}
	}
	check("no holder known", false)
	f.peers.handleMessage(&message{From: last, Address: address, HoldsDuties: true})
	check("the last one holds the duties", true)
	f.peers.handleMessage(&message{From: last, Address: address})
	check("it has just lost them", true)
	f.peers.mu.Lock()
	f.peers.byAddress[netip.MustParseAddrPort(address)].heldDutiesAt = f.now() - holderMemory
	f.peers.mu.Unlock()
	check("it lost them long ago", false)
}

// TestNewHolderAwaitsCounts checks that a holder reports at once if the other fronts have
// sent it their counts before its term, and otherwise leaves them the time to do so.
func TestNewHolderAwaitsCounts(t *testing.T) {
	tests := []struct {
		name   string
		rank   int
		heldAt time.Duration
		want   bool
	}{
		{name: "first in rank", rank: 0, want: true},
		{name: "late in rank", rank: collectorsAhead},
		{name: "held them before an outage", rank: collectorsAhead, heldAt: 10 * time.Second, want: true},
		{name: "held them long ago", rank: collectorsAhead, heldAt: holderMemory},
	}
	for _, test := range tests {
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprint("front-", i))
		}
		ranked := peridotlease.FirstRanked(dutyShard, names, len(names))
		f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, ranked[test.rank])
		for i, name := range names {
			if name != ranked[test.rank] {
				f.peers.handleMessage(&message{From: name, Address: fmt.Sprintf("10.0.0.%d:7660", i+1)})
			}
		}
		d := newDuties(f)
		if test.heldAt > 0 {
			d.heldAt = peridotclock.BootTime().Add(-test.heldAt)
		}
		d.startTerm(2)
		if d.collected != test.want {
			t.Errorf("%s: got counts collected %v, want %v", test.name, d.collected, test.want)
		}
	}
}
