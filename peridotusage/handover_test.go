package peridotusage

import (
	"context"
	"testing"
)

// fakeReceiver collects parts and confirms them as the collector with a fencing
// token.
type fakeReceiver struct {
	token int64
	parts []Part
}

func (r *fakeReceiver) Deliver(_ context.Context, _ string, data []byte) (Receipt, error) {
	parts, err := DecodeParts(data)
	r.parts = append(r.parts, parts...)
	return Receipt{Token: r.token}, err
}

// TestAnnouncedCollectorGetsAllFigures checks that a collector set by SetCollector
// also receives the figures that an earlier collector has confirmed and that no
// longer grow.
func TestAnnouncedCollectorGetsAllFigures(t *testing.T) {
	self := Process{Instance: "agent-1", Incarnation: "1"}
	c := NewCounter(self, 0)
	c.Add("s", Cell{Agent: self, Window: 1, Account: "a"}, Figure{Requests: 1})
	for token := int64(1); token <= 2; token++ {
		to := &fakeReceiver{token: token}
		c.SetCollector("s", token)
		if err := c.HandOver(t.Context(), "s", to); err != nil {
			t.Fatal(err)
		}
		if got, want := len(to.parts), 1; got != want {
			t.Errorf("collector %d: got %d parts, want %d", token, got, want)
		}
		if got := c.Unacknowledged(); got != 0 {
			t.Errorf("after collector %d: Unacknowledged: got %d figures, want 0", token, got)
		}
	}
	c.Add("s", Cell{Agent: self, Window: 1, Account: "a"}, Figure{Requests: 1})
	if got, want := c.Unacknowledged(), 1; got != want {
		t.Errorf("after another request: Unacknowledged: got %d figures, want %d", got, want)
	}
}
