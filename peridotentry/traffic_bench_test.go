package peridotentry

import (
	"context"
	"fmt"
	"testing"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplatform"
)

// newBenchTraffic returns a traffic value with 17 models, 950 accounts and 20 backend
// servers per model. No server is connected, which does not make a refresh
// cheaper.
func newBenchTraffic() *traffic {
	config := &peridotconfig.Config{Seq: 1}
	p := newPool("entry-1", "recife-a", func(context.Context) ([]peridotplatform.Instance, error) { return nil, nil })
	for i := range 17 {
		model := fmt.Sprint("model-", i)
		config.Models = append(config.Models, peridotconfig.Model{Name: model, PrefillTokensPerSecond: 20_000, DecodeTokensPerSecond: 1000})
		for j := range 20 {
			id := fmt.Sprintf("engine-%d-%d", i, j)
			p.links[id] = &link{instance: peridotplatform.Instance{ID: id, Model: model}}
		}
	}
	for i := range 950 {
		config.Accounts = append(config.Accounts, peridotconfig.Account{Name: fmt.Sprint("account-", i), Weight: 1, TokensPerSecond: 1000})
	}
	t := newTraffic(1, p, func() *peridotconfig.Config { return config })
	return t
}

// BenchmarkRefresh measures a refresh after a change of the list of instances.
// In operation there is one such refresh per second.
func BenchmarkRefresh(b *testing.B) {
	t := newBenchTraffic()
	b.ReportAllocs()
	for b.Loop() {
		t.pool.generation++
		t.refresh(t.now())
	}
}
