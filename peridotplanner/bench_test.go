package peridotplanner

import (
	"fmt"
	"testing"
	"time"

	"peridotstack/peridotconfig"
)

// BenchmarkPlan measures one call of Plan for regions of several sizes, in which
// one model in four has too few prefill engines.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, engines int }{{1, 9}, {4, 200}, {17, 500}, {17, 2000}} {
		b.Run(fmt.Sprintf("%d models, %d engines", size.models, size.engines), func(b *testing.B) {
			p, f := region(size.models, size.engines, 3)
			for b.Loop() {
				p.issued = p.issued[:0]
				p.Plan(time.Minute, f)
			}
		})
	}
}

// region returns a fleet, and a planner that has recorded a minute of arrivals
// for it.
func region(models, engines, domains int) (*Planner, Fleet) {
	p := New()
	f := Fleet{DeliveryDelay: 3 * time.Minute}
	perModel := float64(engines) / float64(models)
	for i := range models {
		m := model(fmt.Sprint("model-", i))
		f.Models = append(f.Models, m)
		for d := range domains {
			f.Bounds = append(f.Bounds, Bound{Model: m.Name, Domain: domainName(d), Min: 1, Max: engines})
		}
		prefill := 0.35
		if i%4 == 0 {
			prefill = 0.5
		}
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			p.RecordArrival(now, Arrival{Model: m.Name, Domain: domainName(0), PrefillTokens: int(1000 * prefill * perModel), OutputTokens: int(100 * (0.75 - prefill) * perModel)})
		}
	}
	for i := range engines {
		e := Engine{ID: fmt.Sprint("e", i), Domain: domainName(i % domains), Model: f.Models[i%models].Name, Role: peridotconfig.Decode}
		if i/models%2 == 0 {
			e.Role = peridotconfig.Prefill
		}
		f.Engines = append(f.Engines, e)
	}
	return p, f
}
