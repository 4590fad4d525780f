package peridotquarantine

import (
	"testing"
	"time"
)

// TestLastingAnswers guards against answers at one software version that are lost while
// accusations at another one are kept.
func TestLastingAnswers(t *testing.T) {
	ended := func(server int) run { return run{server: server, parts: "x", at: v1, begun: true} }
	answered := func(at Software) run { return run{parts: "x", at: at, answered: true, after: time.Second} }
	for _, test := range []struct {
		name string
		runs []run
		want int
	}{
		{name: "never answered", runs: []run{ended(1), ended(2), ended(3)}},
		{name: "few ends", runs: []run{answered(v2), ended(1), ended(2)}},
		{name: "answered at another version", runs: []run{answered(v2), ended(1), ended(2), ended(3)}, want: 1},
		{name: "answered at the version", runs: []run{ended(1), ended(2), ended(3), answered(v1), answered(v2)}},
	} {
		table := NewTable()
		apply(table, test.runs)
		answers := table.LastingAnswers(PartOf("x"))
		if got := len(answers); got != test.want {
			t.Errorf("%s: got %d answers, want %d", test.name, got, test.want)
		}
		for _, a := range answers {
			if !a.Time().Equal(start.Add(time.Second)) || a.At != v2 {
				t.Errorf("%s: got an answer at %v by %v, want %v by %v", test.name, a.Time(), a.At, start.Add(time.Second), v2)
			}
		}
	}
}
