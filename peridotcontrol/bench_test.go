package peridotcontrol

import (
	"fmt"
	"testing"
	"time"

	"peridotstack/peridotconfig"
)

// BenchmarkNext measures one decision for a failure domain with n engines that all
// match the configuration. The platform's list has as many engines as thirteen
// domains of this size.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		v := View{Domain: "a", Config: newConfig(newDeployment("v1", peridotconfig.Mixed, n))}
		v.Config.CostCeilingPerHour = 0
		for i := range 13 * n {
			e := newEngine(fmt.Sprint("e", i))
			if i >= n {
				e.Domain = "b"
			}
			v.Instances = append(v.Instances, e)
			if i < n {
				v.Descriptions = append(v.Descriptions, newDescription(e.ID, "v1", "Mixed", false))
			}
		}
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			for b.Loop() {
				NextActions(v, &LoadLimiter{}, time.Now())
			}
		})
	}
}
