package peridotorigin

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

const testConfirm = 20 * time.Millisecond

func TestLookup(t *testing.T) {
	const ms = time.Millisecond
	f := testAddresses(3)
	stranger := netip.MustParseAddrPort("10.9.9.9:1")
	for _, c := range []struct {
		name string
		do   func(*Lookup)
		// at is when the state is read.
		at   time.Duration
		want LookupState
	}{
		{name: "waits", do: func(l *Lookup) { l.Ask(0, f, 0) }, at: LookupTimeout - ms, want: Waiting},
		{name: "nobody answers", do: func(l *Lookup) { l.Ask(0, f, 0) }, at: LookupTimeout, want: TimedOut},
		{name: "timeout counts from the first question", do: func(l *Lookup) { l.Ask(100*ms, f, 0) }, at: 100*ms + LookupTimeout - ms, want: Waiting},
		{name: "no front known yet", do: func(l *Lookup) { l.Ask(0, nil, 0) }, at: FirstFrontTimeout - ms, want: Waiting},
		{name: "no front known in time", do: func(l *Lookup) { l.Ask(0, nil, 0) }, at: FirstFrontTimeout, want: TimedOut},
		{name: "first positive answer", do: func(l *Lookup) { l.Ask(0, f, 0); l.AnswerKnown(f[1], "v1") }, at: ms, want: Found},
		{name: "positive answer before others", do: func(l *Lookup) { l.Ask(0, f, 0); l.AnswerUnknown(f[0]); l.AnswerKnown(f[1], "v1") }, at: ms, want: Found},
		{name: "first of two positive answers", do: func(l *Lookup) { l.Ask(0, f, 0); l.AnswerKnown(f[1], "v1"); l.AnswerKnown(f[2], "v2") }, at: ms, want: Found},
		{name: "one does not know", do: func(l *Lookup) { l.Ask(0, f, 0); l.AnswerUnknown(f[0]) }, at: ms, want: Waiting},
		{name: "no one knows", do: func(l *Lookup) {
			l.Ask(0, f, 0)
			for _, a := range f {
				l.AnswerUnknown(a)
			}
		}, at: ms, want: Unknown},
		{name: "answers twice", do: func(l *Lookup) {
			l.Ask(0, f[:2], 0)
			l.AnswerUnknown(f[0])
			l.AnswerUnknown(f[0])
		}, at: ms, want: Waiting},
		{name: "stranger", do: func(l *Lookup) { l.Ask(0, f, 0); l.AnswerKnown(stranger, "v1"); l.AnswerUnknown(stranger) }, at: ms, want: Waiting},
		{name: "early answer does not count", do: func(l *Lookup) { l.Ask(0, f[:1], testConfirm); l.AnswerUnknown(f[0]) }, at: ms, want: Waiting},
		{name: "confirmed answer counts", do: func(l *Lookup) {
			l.Ask(0, f[:1], testConfirm)
			l.AnswerUnknown(f[0])
			l.Ask(RepeatInterval, f[:1], testConfirm)
			l.AnswerUnknown(f[0])
		}, at: RepeatInterval + ms, want: Unknown},
		{name: "known at the second question", do: func(l *Lookup) {
			l.Ask(0, f[:1], testConfirm)
			l.AnswerUnknown(f[0])
			l.Ask(RepeatInterval, f[:1], testConfirm)
			l.AnswerKnown(f[0], "v1")
		}, at: RepeatInterval + ms, want: Found},
		{name: "front known later", do: func(l *Lookup) {
			l.Ask(0, f[:1], 0)
			l.AnswerUnknown(f[0])
			l.Ask(ms, f[:2], 0)
		}, at: 2 * ms, want: Waiting},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLookup(0)
			c.do(l)
			if got := l.State(c.at); got != c.want {
				t.Errorf("got state %d, want %d", got, c.want)
			}
			if c.want == Found && l.Version() != "v1" {
				t.Errorf("got version %q, want v1", l.Version())
			}
		})
	}
}

// TestLookupRepeats checks that only those that have not answered are asked again, and
// not before RepeatInterval.
func TestLookupRepeats(t *testing.T) {
	f := testAddresses(3)
	l := NewLookup(0)
	for _, c := range []struct {
		at time.Duration
		// answers is the number of fronts that answer after the questions at this time.
		answers, want int
	}{
		{at: 0, answers: 1, want: 3},
		{at: RepeatInterval - 1, want: 0},
		{at: RepeatInterval, answers: 2, want: 2},
		{at: RepeatInterval + 1, want: 0},
		{at: 2 * RepeatInterval, want: 1},
	} {
		if got := l.Ask(c.at, f, 0); len(got) != c.want {
			t.Errorf("at %v: got questions to %v, want %d", c.at, got, c.want)
		}
		for _, a := range f[:c.answers] {
			l.AnswerUnknown(a)
		}
	}
}

// TestLostDatagrams guards against origins that cannot be found because datagrams were
// lost. Of 21 and of 4 fronts the one that recorded and another one have failed, and
// 2 % of the datagrams are lost.
func TestLostDatagrams(t *testing.T) {
	const loss, streams = 0.02, 5000
	for _, c := range []struct {
		fronts, wantFound int
	}{
		{fronts: 4, wantFound: streams * 999 / 1000},
		{fronts: 21, wantFound: streams * 999 / 1000},
	} {
		random := rand.New(rand.NewPCG(7, uint64(c.fronts)))
		arrives := func() bool { return random.Float64() >= loss }
		addresses := testAddresses(c.fronts)
		others := NewFronts(addresses[1:])
		tables := make(map[netip.AddrPort]*Table)
		for _, a := range addresses[2:] {
			tables[a] = NewTable(TTL, MaxOrigins)
		}
		var p Pending
		for i := range streams {
			p.Add(KeyOf(fmt.Sprint(i)), "v1")
		}
		for range 2 {
			for _, b := range p.Take(func(k Key) []netip.AddrPort { return others.Choose(k, Replicas) }) {
				if tables[b.To] == nil || !arrives() {
					continue
				}
				for _, g := range b.Groups {
					for _, k := range g.Keys {
						tables[b.To].Record(0, k, g.Version)
					}
				}
			}
		}
		found := 0
		for i := range streams {
			if lookUp(KeyOf(fmt.Sprint(i)), addresses, tables, arrives) == Found {
				found++
			}
		}
		if found < c.wantFound {
			t.Errorf("%d fronts: got %d origins found, want at least %d of %d", c.fronts, found, c.wantFound, streams)
		}
	}
}

// lookUp looks an origin up from the third front. Those without a table have failed.
func lookUp(key Key, addresses []netip.AddrPort, tables map[netip.AddrPort]*Table, arrives func() bool) LookupState {
	self := addresses[2]
	if _, ok := tables[self].Version(0, key); ok {
		return Found
	}
	others := NewFronts(append([]netip.AddrPort{addresses[0], addresses[1]}, addresses[3:]...))
	l := NewLookup(0)
	now := time.Duration(0)
	for ; l.State(now) == Waiting; now += 10 * time.Millisecond {
		for _, a := range l.Ask(now, others.Choose(key, LookupFronts), testConfirm) {
			if tables[a] == nil || !arrives() || !arrives() {
				continue // The question or its answer is lost.
			}
			if version, ok := tables[a].Version(0, key); ok {
				l.AnswerKnown(a, version)
			} else {
				l.AnswerUnknown(a)
			}
		}
	}
	return l.State(now)
}
