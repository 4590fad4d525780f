package peridotintent

import (
	"context"
	"fmt"
	"testing"

	"peridotstack/peridotconfig"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// newConfig returns a configuration with one failure domain, model, service and
// account.
func newConfig() *peridotconfig.Config {
	c, err := (&peridotconfig.Config{}).Apply(initialChanges()...)
	if err != nil {
		panic(err)
	}
	return c
}

func initialChanges() peridotconfig.Changes {
	return peridotconfig.Changes{
		peridotconfig.PutDomain{Domain: peridotconfig.Domain{Name: "recife-a"}},
		peridotconfig.PutModel{Model: peridotconfig.Model{Name: "hino-llm", CostPerHour: 4, AwaySeconds: 2}},
		peridotconfig.PutService{Service: peridotconfig.Service{Name: "quadro-api", CostPerHour: 0.5}},
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: "matriz", Weight: 1}},
	}
}

func newServe() Serve {
	return Serve{Model: "hino-llm", Version: "v1", Accounts: []string{"matriz"}, Domains: []string{"recife-a"}, Replicas: 2}
}

func TestNewPlanReportsField(t *testing.T) {
	tests := []struct {
		name      string
		modify    func(i *Intent)
		wantCode  peridotverdict.Code
		wantField string
	}{
		{"nothing served", func(i *Intent) { i.Serve = nil }, peridotverdict.BadRequest, "Serve"},
		{"unknown model", func(i *Intent) { i.Serve[0].Model = "x" }, peridotverdict.BadRequest, "Serve[0].Model"},
		{"model and service", func(i *Intent) { i.Serve[0].Service = "quadro-api" }, peridotverdict.BadRequest, "Serve[0].Model"},
		{"no version", func(i *Intent) { i.Serve[0].Version = "" }, peridotverdict.BadRequest, "Serve[0].Version"},
		{"unknown failure domain", func(i *Intent) { i.Serve[0].Domains = []string{"x"} }, peridotverdict.BadRequest, "Serve[0].Domains"},
		{"unknown account", func(i *Intent) { i.Serve[0].Accounts = []string{"x"} }, peridotverdict.BadRequest, "Serve[0].Accounts"},
		{"negative replicas", func(i *Intent) { i.Serve[0].Replicas = -1 }, peridotverdict.BadRequest, "Serve[0].Replicas"},
		{"unknown role", func(i *Intent) { i.Serve[0].Role = "x" }, peridotverdict.BadRequest, "Serve[0].Role"},
		{"above the ceiling", func(i *Intent) { i.CostCeilingPerHour = 7.99 }, peridotverdict.CostCeiling, "CostCeilingPerHour"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			intent := Intent{Serve: []Serve{newServe()}, CostCeilingPerHour: 8}
			test.modify(&intent)
			_, err := NewPlan(newConfig(), intent)
			if err == nil {
				t.Fatalf("got nil, want %s", test.wantCode)
			}
			if got := peridotverdict.As(err); got.Code != test.wantCode || got.Field != test.wantField {
				t.Errorf("got %s at %q, want %s at %q", got.Code, got.Field, test.wantCode, test.wantField)
			}
		})
	}
}

// TestConfirm tests that a plan is committed at most once, and not after models or
// deployments have changed. Each case confirms a plan twice: after another commit,
// or with the answer to the first confirmation lost.
func TestConfirm(t *testing.T) {
	tests := []struct {
		name string
		// afterPlan is called once the plan is stored. It returns the newest
		// configuration.
		afterPlan func(f *peridottable.Faulty, l *peridotconfig.Log, config *peridotconfig.Config) *peridotconfig.Config
		want      peridotverdict.Code
	}{
		{"no other commit", func(_ *peridottable.Faulty, _ *peridotconfig.Log, config *peridotconfig.Config) *peridotconfig.Config {
			return config
		}, ""},
		{"key added", func(_ *peridottable.Faulty, l *peridotconfig.Log, config *peridotconfig.Config) *peridotconfig.Config {
			return mustAppend(l, config, peridotconfig.GiveKey{Key: peridotconfig.Key{ID: "k", Account: "matriz"}})
		}, ""},
		{"deployments changed", func(_ *peridottable.Faulty, l *peridotconfig.Log, config *peridotconfig.Config) *peridotconfig.Config {
			return mustAppend(l, config, peridotconfig.SetDeployments{})
		}, peridotverdict.PlanMoved},
		{"answer lost", func(f *peridottable.Faulty, _ *peridotconfig.Log, config *peridotconfig.Config) *peridotconfig.Config {
			f.LoseAnswers(1)
			return config
		}, peridotverdict.StoreUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &peridottable.Faulty{Store: &peridottable.Memory{}}
			configLog := &peridotconfig.Log{Store: store}
			config := mustAppend(configLog, &peridotconfig.Config{}, initialChanges()...)
			plans := &PlanStore{Store: store}
			plan, err := plans.CreatePlan(t.Context(), config, "o", Intent{Serve: []Serve{newServe()}})
			if err != nil {
				t.Fatal(err)
			}
			config = test.afterPlan(store, configLog, config)
			_, err = plans.Confirm(t.Context(), config, plan.ID)
			if got := peridotverdict.Is(err, test.want); err != nil && !got || err == nil && test.want != "" {
				t.Fatalf("first confirmation: got %v, want code %q", err, test.want)
			}
			// The repeated confirmation must not commit a second time, and must find the
			// commit of the first one even if its answer was lost.
			next, err := plans.Confirm(t.Context(), config, plan.ID)
			if test.want == peridotverdict.PlanMoved {
				if !peridotverdict.Is(err, test.want) {
					t.Errorf("repeat: got %v, want code %q", err, test.want)
				}
				return
			}
			if err != nil || next.Seq != config.Seq+1 || len(next.Deployments) != 1 {
				t.Errorf("repeat: got %+v and %v, want the plan committed once", next, err)
			}
		})
	}
}

func mustAppend(l *peridotconfig.Log, config *peridotconfig.Config, changes ...peridotconfig.Change) *peridotconfig.Config {
	next, err := l.Append(context.Background(), config, NewID(), "o", changes)
	if err != nil {
		panic(err)
	}
	return next
}

func ExampleNewPlan() {
	plan, err := NewPlan(newConfig(), Intent{Serve: []Serve{newServe()}, CostCeilingPerHour: 20})
	if err != nil {
		fmt.Println(err)
		return
	}
	step := plan.Steps[0]
	fmt.Printf("%s: %s from %d to %d, %.0f an hour\n", step.Domain, step.Model, step.From, step.To, plan.CostPerHour)
	// Output: recife-a: hino-llm from 0 to 2, 8 an hour
}
