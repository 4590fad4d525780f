package peridotusage

import (
	"context"
	"testing"
)

// taker is the receiver of a collector with a token.
type taker struct {
	token int64
	parts []Part
}

func (r *taker) Take(_ context.Context, _ string, data []byte) (Receipt, error) {
	parts, err := DecodeParts(data)
	r.parts = append(r.parts, parts...)
	return Receipt{Token: r.token}, err
}

// TestAnnouncedCollectorGetsEverything hands figures that do not grow any more to
// one collector and then to its successor.
func TestAnnouncedCollectorGetsEverything(t *testing.T) {
	self := Process{Instance: "agent-1", Incarnation: "1"}
	c := NewCounter(self, 0)
	c.Add("s", Cell{Agent: self, Window: 1, Account: "a"}, Figure{Requests: 1})
	for token := int64(1); token <= 2; token++ {
		to := &taker{token: token}
		c.Announce("s", token)
		if err := c.HandOver(t.Context(), "s", to); err != nil {
			t.Fatal(err)
		}
		if got, want := len(to.parts), 1; got != want {
			t.Errorf("parts at collector %d: got %d, want %d", token, got, want)
		}
		if got := c.Unhanded(); got != 0 {
			t.Errorf("after collector %d: got %d figures not handed over, want 0", token, got)
		}
	}
	c.Add("s", Cell{Agent: self, Window: 1, Account: "a"}, Figure{Requests: 1})
	if got, want := c.Unhanded(), 1; got != want {
		t.Errorf("after another request: got %d figures not handed over, want %d", got, want)
	}
}
