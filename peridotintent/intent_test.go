package peridotintent

import (
	"context"
	"fmt"
	"testing"

	"peridotstack/peridotconfig"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// base is a small configuration.
func base() *peridotconfig.Config {
	c, err := (&peridotconfig.Config{}).Apply(firstChanges()...)
	if err != nil {
		panic(err)
	}
	return c
}

func firstChanges() peridotconfig.Changes {
	return peridotconfig.Changes{
		peridotconfig.PutDomain{Domain: peridotconfig.Domain{Name: "recife-a"}},
		peridotconfig.PutModel{Model: peridotconfig.Model{Name: "hino-llm", CostPerHour: 4, AwaySeconds: 2}},
		peridotconfig.PutService{Service: peridotconfig.Service{Name: "quadro-api", CostPerHour: 0.5}},
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: "matriz", Weight: 1}},
	}
}

func serve() Serve {
	return Serve{Model: "hino-llm", Version: "v1", Accounts: []string{"matriz"}, Domains: []string{"recife-a"}, Replicas: 2}
}

func TestMakeNamesTheField(t *testing.T) {
	tests := []struct {
		name   string
		change func(i *Intent)
		code   peridotverdict.Code
		field  string
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
			intent := Intent{Serve: []Serve{serve()}, CostCeilingPerHour: 8}
			test.change(&intent)
			_, err := Make(base(), intent)
			if err == nil {
				t.Fatalf("got nil, want %s", test.code)
			}
			if got := peridotverdict.As(err); got.Code != test.code || got.Field != test.field {
				t.Errorf("got %s at %q, want %s at %q", got.Code, got.Field, test.code, test.field)
			}
		})
	}
}

// TestConfirm confirms plans while the world moves and answers get lost.
func TestConfirm(t *testing.T) {
	tests := []struct {
		name string
		// between happens after the plan was stated.
		between func(f *peridottable.Faulty, l *peridotconfig.Log, now *peridotconfig.Config) *peridotconfig.Config
		want    peridotverdict.Code
	}{
		{"nothing happens", func(_ *peridottable.Faulty, _ *peridotconfig.Log, now *peridotconfig.Config) *peridotconfig.Config {
			return now
		}, ""},
		{"a key is given", func(_ *peridottable.Faulty, l *peridotconfig.Log, now *peridotconfig.Config) *peridotconfig.Config {
			return appendTo(l, now, peridotconfig.GiveKey{Key: peridotconfig.Key{ID: "k", Account: "matriz"}})
		}, ""},
		{"another plan counts", func(_ *peridottable.Faulty, l *peridotconfig.Log, now *peridotconfig.Config) *peridotconfig.Config {
			return appendTo(l, now, peridotconfig.SetDeployments{})
		}, peridotverdict.PlanMoved},
		{"the answer is lost", func(f *peridottable.Faulty, _ *peridotconfig.Log, now *peridotconfig.Config) *peridotconfig.Config {
			f.LoseAnswers(1)
			return now
		}, peridotverdict.StoreUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &peridottable.Faulty{Store: &peridottable.Memory{}}
			timeline := &peridotconfig.Log{Store: store}
			now := appendTo(timeline, &peridotconfig.Config{}, firstChanges()...)
			book := &Book{Store: store}
			plan, err := book.State(t.Context(), now, "o", Intent{Serve: []Serve{serve()}})
			if err != nil {
				t.Fatal(err)
			}
			now = test.between(store, timeline, now)
			_, err = book.Confirm(t.Context(), now, plan.ID)
			if got := peridotverdict.Is(err, test.want); err != nil && !got || err == nil && test.want != "" {
				t.Fatalf("first confirmation: got %v, want code %q", err, test.want)
			}
			// A repeat must not count a second time, and must find a first one whose
			// answer was lost.
			next, err := book.Confirm(t.Context(), now, plan.ID)
			if test.want == peridotverdict.PlanMoved {
				if !peridotverdict.Is(err, test.want) {
					t.Errorf("repeat: got %v, want code %q", err, test.want)
				}
				return
			}
			if err != nil || next.Seq != now.Seq+1 || len(next.Deployments) != 1 {
				t.Errorf("repeat: got %+v and %v, want the plan in force once", next, err)
			}
		})
	}
}

func appendTo(l *peridotconfig.Log, now *peridotconfig.Config, changes ...peridotconfig.Change) *peridotconfig.Config {
	next, err := l.Append(context.Background(), now, NewID(), "o", changes)
	if err != nil {
		panic(err)
	}
	return next
}

func ExampleMake() {
	plan, err := Make(base(), Intent{Serve: []Serve{serve()}, CostCeilingPerHour: 20})
	if err != nil {
		fmt.Println(err)
		return
	}
	step := plan.Steps[0]
	fmt.Printf("%s: %s from %d to %d, %.0f an hour\n", step.Domain, step.Model, step.From, step.To, plan.CostPerHour)
	// Output: recife-a: hino-llm from 0 to 2, 8 an hour
}
