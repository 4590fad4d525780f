package peridotstream

import (
	"testing"

	"peridotstack/peridotverdict"
)

// part is a message that carries chunks of an answer.
type part struct {
	first  int
	chunks []string
}

func TestChecker(t *testing.T) {
	var complete Timeline
	for _, chunk := range []string{"a", "b", "c"} {
		if err := complete.Append(chunk); err != nil {
			t.Fatal(err)
		}
	}
	complete.Close(End{})
	tests := []struct {
		name       string
		checkpoint int
		parts      []part
		want       peridotverdict.Code
	}{
		{"in order", 0, []part{{0, []string{"a"}}, {1, []string{"b", "c"}}}, ""},
		{"overlapping", 0, []part{{0, []string{"a", "b"}}, {1, []string{"b", "c"}}}, ""},
		{"late duplicate", 0, []part{{0, []string{"a", "b", "c"}}, {0, []string{"a"}}}, ""},
		{"resumed", 2, []part{{2, []string{"c"}}}, ""},
		{"gap", 0, []part{{0, []string{"a"}}, {2, []string{"c"}}}, peridotverdict.ShortAnswer},
		{"short", 0, []part{{0, []string{"a", "b"}}}, peridotverdict.ShortAnswer},
		{"different bytes", 0, []part{{0, []string{"a", "x", "c"}}}, peridotverdict.ShortAnswer},
		{"too long", 0, []part{{0, []string{"a", "b", "c", "d"}}}, peridotverdict.ShortAnswer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewChecker(test.checkpoint)
			var err error
			for _, p := range test.parts {
				if _, err = c.Accept(p.first, p.chunks); err != nil {
					break
				}
			}
			if err == nil {
				err = c.Finish(*complete.End())
			}
			if got := err != nil; got != (test.want != "") || got && !peridotverdict.Is(err, test.want) {
				t.Errorf("got %v, want code %q", err, test.want)
			}
		})
	}
}

func TestTimelineLimitAndClose(t *testing.T) {
	tl := Timeline{MaxBytes: 2}
	if err := tl.Append("ab"); err != nil {
		t.Fatal(err)
	}
	if err := tl.Append("c"); !peridotverdict.Is(err, peridotverdict.TooLarge) {
		t.Errorf("Append beyond MaxBytes: got %v, want %s", err, peridotverdict.TooLarge)
	}
	tl.Close(End{Status: 200})
	tl.Close(End{Status: 500})
	if got, want := tl.End().Status, 200; got != want {
		t.Errorf("status after two calls of Close: got %d, want %d", got, want)
	}
	if err := tl.Append("d"); !peridotverdict.Is(err, peridotverdict.Canceled) {
		t.Errorf("Append after Close: got %v, want %s", err, peridotverdict.Canceled)
	}
}
