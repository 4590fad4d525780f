package peridotusage

import (
	"maps"
	"strconv"
	"testing"
)

// TestSeals guards against final counts of a window that change, or that are used
// before all parts are known.
func TestSeals(t *testing.T) {
	type part struct {
		accounts int
		counts   map[string]int64
		want     bool
	}
	ab := map[string]int64{"a": 1, "b": 2}
	tests := []struct {
		name  string
		parts []part
		want  map[string]int64
		known bool
	}{
		{"nothing known", nil, nil, false},
		{"no requests", []part{{0, nil, true}}, nil, true},
		{"whole", []part{{2, ab, true}}, ab, true},
		{"one part missing", []part{{2, map[string]int64{"a": 1}, true}}, nil, false},
		{"two parts, one twice", []part{{2, map[string]int64{"a": 1}, true}, {2, map[string]int64{"a": 1}, true}, {2, map[string]int64{"b": 2}, true}}, ab, true},
		{"other counts", []part{{2, ab, true}, {2, map[string]int64{"a": 3, "b": 2}, false}}, ab, true},
		{"other accounts", []part{{2, ab, true}, {2, map[string]int64{"c": 3}, false}, {3, map[string]int64{"c": 3}, false}}, ab, true},
	}
	for _, test := range tests {
		s := NewSeals(3)
		for i, p := range test.parts {
			if got := s.Merge(7, p.accounts, p.counts); got != p.want {
				t.Errorf("%s: part %d: got %v, want %v", test.name, i, got, p.want)
			}
		}
		if got, known := s.Counts(7); known != test.known || !maps.Equal(got, test.want) {
			t.Errorf("%s: got counts %v (%v), want %v (%v)", test.name, got, known, test.want, test.known)
		}
	}
	s := NewSeals(3)
	for w := range Window(10) {
		s.Merge(w, 1, map[string]int64{"a": 1})
	}
	if got := len(s.All()); got != 3 {
		t.Errorf("got %d windows kept, want 3", got)
	}
}

// TestSealsAreBounded guards against final counts, of any window, that take all memory.
func TestSealsAreBounded(t *testing.T) {
	s := NewSeals(3)
	n := 0
	for n < maxSealBytes && s.Merge(7, 1<<30, map[string]int64{strconv.Itoa(n): 1}) {
		n++
	}
	if most := maxSealBytes / countBytes; n < most/2 || n > most {
		t.Errorf("got %d accounts, want %d to %d", n, most/2, most)
	}
	s = NewSeals(3)
	for w := range Window(100) {
		s.Merge(100-w, 1, map[string]int64{"a": 1})
	}
	if got := len(s.All()); got != 6 {
		t.Errorf("got %d windows, want 6", got)
	}
	s.Set(2, map[string]int64{"a": 1})
	s.DeleteAfter(96)
	if got := len(s.All()); got != 3 {
		t.Errorf("got %d windows up to 96, want 3", got)
	}
}
