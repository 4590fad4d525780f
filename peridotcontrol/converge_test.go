package peridotcontrol

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplatform"
	"peridotstack/peridotwire"

	"peridotstack/peridotseed"
)

// apply makes an action take effect in a view.
func apply(v *View, a Action, step int) {
	switch a := a.(type) {
	case OrderEngine:
		for i := range v.Descriptions {
			d := &v.Descriptions[i]
			if d.Instance != a.Instance {
				continue
			}
			if a.Order.Kind == peridotwire.LoadModel {
				d.Model, d.Version = a.Order.Model, a.Order.Version
			} else {
				d.Role = a.Order.Role
			}
		}
	case OrderBackend:
		if a.Order.Kind == peridotplatform.AddBackend {
			id := fmt.Sprint("new-", step)
			v.Instances = append(v.Instances, engine(id))
			v.Descriptions = append(v.Descriptions, runs(id, "", "Mixed", false))
			return
		}
		v.Instances = slices.DeleteFunc(v.Instances, func(i peridotplatform.Instance) bool { return i.ID == a.Order.Instance })
		v.Descriptions = slices.DeleteFunc(v.Descriptions, func(d peridotwire.Description) bool { return d.Instance == a.Order.Instance })
	}
}

// TestConverges starts from random engines and checks that the orders end with
// each deployment served, and that no more backend servers run than asked for.
func TestConverges(t *testing.T) {
	versions := []string{"", "v1", "v2"}
	roles := []string{"Mixed", "Prefill", "Decode"}
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		r := rand.New(rand.NewPCG(uint64(seed), 4))
		v := &View{Domain: "a", Config: config(
			want("v2", peridotconfig.Prefill, r.IntN(3)),
			want("v2", peridotconfig.Decode, r.IntN(3)),
		)}
		v.Config.CostCeilingPerHour = 0
		for i := range r.IntN(6) {
			id := fmt.Sprint("e", i)
			v.Instances = append(v.Instances, engine(id))
			v.Descriptions = append(v.Descriptions, runs(id, versions[r.IntN(3)], roles[r.IntN(3)], false))
		}
		pace := &Pace{}
		for step := range 50 {
			actions := Next(*v, pace, time.Now())
			if len(actions) > 2 {
				t.Errorf("seed %d: got %d actions at once, want at most 2", seed, len(actions))
			}
			for _, a := range actions {
				apply(v, a, step)
			}
		}
		if got := text(Next(*v, pace, time.Now())); got != "" {
			t.Errorf("seed %d: got %q after 50 steps, want no orders", seed, got)
		}
		for _, s := range v.slots() {
			if s.fitting != s.want.Replicas {
				t.Errorf("seed %d: got %d engines for %+v, want %d", seed, s.fitting, s.want, s.want.Replicas)
			}
		}
	}
}
