package peridotfront

import (
	"fmt"
	"testing"
	"time"

	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
)

// TestLeavingIsNotUndone guards against new requests at an incarnation that said that
// it leaves, after an older list of registrations was read again.
func TestLeavingIsNotUndone(t *testing.T) {
	list := func(born int64, leaving bool) []peridotsite.Backend {
		return []peridotsite.Backend{{ID: "b", Born: born, Service: "s", Leaving: leaving}}
	}
	tests := []struct {
		name string
		// steps are lists of registrations, in order. A nil list stands for an answer
		// in which the incarnation born at answeredBorn says that it leaves.
		steps        [][]peridotsite.Backend
		answeredBorn int64
		want         bool
	}{
		{name: "ready", steps: [][]peridotsite.Backend{list(5, false)}, want: false},
		{name: "draining, then an older list", steps: [][]peridotsite.Backend{list(5, true), list(5, false)}, want: true},
		{name: "answer, then the same list", steps: [][]peridotsite.Backend{list(5, false), nil, list(5, false)}, answeredBorn: 5, want: true},
		{name: "answer, no list yet", steps: [][]peridotsite.Backend{list(5, false), nil}, answeredBorn: 5, want: true},
		{name: "answer, missing, then listed", steps: [][]peridotsite.Backend{list(5, false), nil, {}, list(5, false)}, answeredBorn: 5, want: true},
		{name: "next incarnation", steps: [][]peridotsite.Backend{list(5, false), nil, list(6, false)}, answeredBorn: 5, want: false},
		{name: "next incarnation with an earlier clock", steps: [][]peridotsite.Backend{list(5, false), nil, list(4, false)}, answeredBorn: 5, want: false},
		{name: "next incarnation, then an older list", steps: [][]peridotsite.Backend{list(5, false), nil, list(6, false), list(5, false)}, answeredBorn: 5, want: true},
		{name: "replaced by one that leaves", steps: [][]peridotsite.Backend{list(5, false), list(6, false), nil, list(5, false)}, answeredBorn: 6, want: true},
		{name: "answer of a replaced incarnation", steps: [][]peridotsite.Backend{list(5, false), list(6, false), nil}, answeredBorn: 5, want: false},
		{name: "start time unknown", steps: [][]peridotsite.Backend{list(5, false), nil, list(0, false)}, answeredBorn: 5, want: true},
		{name: "answer before the start time is lost", steps: [][]peridotsite.Backend{list(5, false), list(0, false), nil}, answeredBorn: 5, want: true},
	}
	for _, test := range tests {
		f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-0")
		f.SetConfig((&peridotsite.Config{Version: 1, Services: []peridotsite.Service{{Name: "s"}}}).BuildIndex())
		x := &exchange{front: f}
		for _, step := range test.steps {
			if step == nil {
				x.recordLeaving(peridotsite.Backend{ID: "b", Born: test.answeredBorn}, AnswerHead{Leaving: true})
				continue
			}
			f.SetBackends(step)
		}
		if got := f.backends.byID["b"].Leaving; got != test.want {
			t.Errorf("%s: got leaving %v, want %v", test.name, got, test.want)
		}
		if _, placed := f.placer.Place(f.now(), peridotplace.Prompt{Service: "s"}); placed == test.want {
			t.Errorf("%s: got it placed %v, want %v", test.name, placed, !test.want)
		}
	}
}

// TestLeavingReachesCopiedState guards against a new front that gets the older state
// of a server that has told another front that it leaves.
func TestLeavingReachesCopiedState(t *testing.T) {
	c := &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
	f := newFront(t, c, "front-0")
	f.SetBackends([]peridotsite.Backend{{ID: "b", Born: 5, Service: "s"}})
	(&exchange{front: f}).recordLeaving(peridotsite.Backend{ID: "b", Born: 5}, AnswerHead{Leaving: true})
	f.applySnapshot(&stateSnapshot{Config: (&peridotsite.Config{Version: 1}).BuildIndex(), Backends: []peridotsite.Backend{{ID: "b", Born: 5, Service: "s"}}})
	if !f.backends.byID["b"].Leaving {
		t.Error("got the server ready after a snapshot, want it leaving")
	}
}

// TestDeparturesAreBounded guards against memory that grows with each restart.
func TestDeparturesAreBounded(t *testing.T) {
	d := make(departures)
	for i := range 1000 {
		now := time.Duration(i) * time.Minute
		d.apply(now, []peridotsite.Backend{{ID: "same", Born: int64(i + 1), Leaving: i%2 == 0}, {ID: fmt.Sprint("b", i), Born: 1}})
	}
	if got, limit := len(d), 2*int(departureTTL/time.Minute); got > limit {
		t.Errorf("got %d servers remembered, want at most %d", got, limit)
	}
	if got := len(d["same"].born); got != maxIncarnations {
		t.Errorf("got %d incarnations remembered, want %d", got, maxIncarnations)
	}
	if !d.leaves("same", 999) || d.leaves("same", 1000) {
		t.Errorf("got %v and %v for the last two incarnations, want true and false", d.leaves("same", 999), d.leaves("same", 1000))
	}
}
