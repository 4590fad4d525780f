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

// applyAction applies the effect of an action to a view.
func applyAction(v *View, a Action, step int) {
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
			v.Instances = append(v.Instances, newEngine(id))
			v.Descriptions = append(v.Descriptions, newDescription(id, "", "Mixed", false))
			return
		}
		v.Instances = slices.DeleteFunc(v.Instances, func(i peridotplatform.Instance) bool { return i.ID == a.Order.Instance })
		v.Descriptions = slices.DeleteFunc(v.Descriptions, func(d peridotwire.Description) bool { return d.Instance == a.Order.Instance })
	}
}

// TestNextActionsConverge starts from random engines and applies the actions of
// NextActions. It checks that the actions stop and that each deployment then has
// exactly as many engines as replicas.
func TestNextActionsConverge(t *testing.T) {
	versions := []string{"", "v1", "v2"}
	roles := []string{"Mixed", "Prefill", "Decode"}
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		r := rand.New(rand.NewPCG(uint64(seed), 4))
		v := &View{Domain: "a", Config: newConfig(
			newDeployment("v2", peridotconfig.Prefill, r.IntN(3)),
			newDeployment("v2", peridotconfig.Decode, r.IntN(3)),
		)}
		v.Config.CostCeilingPerHour = 0
		for i := range r.IntN(6) {
			id := fmt.Sprint("e", i)
			v.Instances = append(v.Instances, newEngine(id))
			v.Descriptions = append(v.Descriptions, newDescription(id, versions[r.IntN(3)], roles[r.IntN(3)], false))
		}
		limiter := &LoadLimiter{}
		for step := range 50 {
			actions := NextActions(*v, limiter, time.Now())
			if len(actions) > 2 {
				t.Errorf("seed %d: got %d actions at once, want at most 2", seed, len(actions))
			}
			for _, a := range actions {
				applyAction(v, a, step)
			}
		}
		if got := formatActions(NextActions(*v, limiter, time.Now())); got != "" {
			t.Errorf("seed %d: got %q after 50 steps, want no orders", seed, got)
		}
		for _, s := range v.deploymentStatuses() {
			if s.matching != s.deployment.Replicas {
				t.Errorf("seed %d: got %d engines for %+v, want %d", seed, s.matching, s.deployment, s.deployment.Replicas)
			}
		}
	}
}
