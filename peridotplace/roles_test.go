package peridotplace

import (
	"testing"
	"time"

	"peridotstack/peridotsite"
)

// TestRolesKeepWriters keeps the engines under reading pressure. The orders show
// only after a while, and never for some engines.
func TestRolesKeepWriters(t *testing.T) {
	for _, shown := range []bool{true, false} {
		p, list, config := fleet(3, 6)
		r := &Roles{}
		orders := 0
		for now := time.Duration(0); now < 14*time.Second; now += 250 * time.Millisecond {
			for _, b := range list {
				p.Read(now, b.ID, nil, 50_000)
			}
			c, ok := r.Next(now, p, service)
			if !ok {
				continue
			}
			r.Ordered(now, c)
			orders++
			if c.To != peridotsite.Prefill {
				t.Errorf("shown %v: got an order to %v, want readers only", shown, c.To)
			}
			for i := range list {
				if shown && list[i].ID == c.Backend.ID {
					list[i].Role = c.To
					p.SetBackends(now, list, config)
				}
			}
		}
		if orders != 1 {
			t.Errorf("shown %v: got %d orders, want 1, which leaves 5 writers of 9 engines", shown, orders)
		}
	}
}

// TestRolesRest gives no order without pressure, and none at the first look.
func TestRolesRest(t *testing.T) {
	p, _, _ := fleet(3, 6)
	r := &Roles{}
	for now := time.Duration(0); now < 10*time.Second; now += 250 * time.Millisecond {
		if c, ok := r.Next(now, p, service); ok {
			t.Fatalf("got %+v, want no order", c)
		}
	}
}
