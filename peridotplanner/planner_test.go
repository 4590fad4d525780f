package peridotplanner

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotstack/peridotconfig"

	"peridotstack/peridotseed"
)

const testModel = "hino-llm"

func model(name string) Model {
	return Model{
		Name:                   name,
		PrefillTokensPerSecond: 1000,
		DecodeTokensPerSecond:  100,
		ChangeTime:             8 * time.Second,
		DrainTime:              4 * time.Second,
		CostPerHour:            2,
	}
}

// fleet returns a fleet whose prefill and decode engines are distributed evenly
// over the domains.
func fleet(domains, prefill, decode int) Fleet {
	f := Fleet{Models: []Model{model(testModel)}, DeliveryDelay: 2 * time.Minute}
	for i := range domains {
		f.Bounds = append(f.Bounds, Bound{Model: testModel, Domain: domainName(i), Min: 1, Max: prefill + decode})
	}
	for i := range prefill + decode {
		e := Engine{ID: fmt.Sprint("e", i), Domain: domainName(i % domains), Model: testModel, Role: peridotconfig.Decode}
		if i < prefill {
			e.Role = peridotconfig.Prefill
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}

func domainName(i int) string { return fmt.Sprint("d", i) }

// recordArrivals records work at a constant rate, in fully busy engines, from
// one time to another.
func recordArrivals(p *Planner, from, to time.Duration, prefill, decode float64) {
	for now := from; now < to; now += time.Second {
		p.RecordArrival(now, Arrival{Model: testModel, Domain: "d0", PrefillTokens: int(prefill * 1000), OutputTokens: int(decode * 100)})
	}
}

const defaultChecks = "100"

// TestMain fixes the seed of the property tests, so that each run checks the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	checks := cmp.Or(os.Getenv(peridotseed.Variable), defaultChecks)
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name            string
		prefill, decode float64
		change          func(*Fleet)
		want            []string
	}{
		{name: "balanced", prefill: 2, decode: 2, want: nil},
		{name: "too few prefill engines", prefill: 3.3, decode: 1.4, want: []string{"SetRole Prefill"}},
		{name: "too few decode engines", prefill: 1.4, decode: 3.3, want: []string{"SetRole Decode"}},
		{
			name: "one engine leaving in each domain", prefill: 3.3, decode: 1.4,
			change: func(f *Fleet) {
				for i := range 2 {
					f.Engines = append(f.Engines, Engine{ID: fmt.Sprint("x", i), Domain: domainName(i), Model: testModel, State: Leaving})
				}
			},
			want: nil,
		},
		{
			name: "too few prefill engines, but more arrive within seconds", prefill: 3.3, decode: 1.4,
			change: func(f *Fleet) {
				f.Engines = append(f.Engines,
					Engine{ID: "x", Domain: "d0", Model: testModel, Role: peridotconfig.Prefill, State: Provisioning, AvailableAt: 63 * time.Second},
					Engine{ID: "y", Domain: "d1", Model: testModel, Role: peridotconfig.Prefill, State: Provisioning, AvailableAt: 63 * time.Second})
			},
			want: nil,
		},
		{
			name: "too few engines in total", prefill: 4, decode: 4,
			change: func(f *Fleet) {
				for i := range f.Bounds {
					f.Bounds[i].Max = 4
				}
			},
			want: []string{"AddServer d0", "AddServer d1"},
		},
		{
			name: "too few engines in total, ceiling allows one more", prefill: 4, decode: 4,
			change: func(f *Fleet) {
				f.CostCeilingPerHour = 15
				for i := range f.Bounds {
					f.Bounds[i].Max = 4
				}
			},
			want: []string{"AddServer d0"},
		},
		{
			name: "too few engines in total, ceiling reached with those that are down", prefill: 4, decode: 4,
			change: func(f *Fleet) {
				f.CostCeilingPerHour = 13
				for i := range f.Bounds {
					f.Bounds[i].Max = 4
				}
				for i := range f.Engines {
					if f.Engines[i].Domain == "d1" {
						f.Engines[i].State = Down
					}
				}
			},
			want: nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := New()
			f := fleet(2, 3, 3)
			for i := range f.Bounds {
				f.Bounds[i].Max = 3
			}
			if test.change != nil {
				test.change(&f)
			}
			recordArrivals(p, 0, time.Minute, test.prefill, test.decode)
			got := actionTexts(p.Plan(time.Minute, f))
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func actionTexts(actions []Action) []string {
	var texts []string
	for _, a := range actions {
		switch a := a.(type) {
		case SetRole:
			texts = append(texts, "SetRole "+string(a.To))
		case LoadModel:
			texts = append(texts, "LoadModel "+a.To)
		case AddServer:
			texts = append(texts, "AddServer "+a.Domain)
		case RemoveServer:
			texts = append(texts, "RemoveServer "+a.Domain)
		}
	}
	return texts
}

func TestReturnAfterLowDemand(t *testing.T) {
	p := New(WithScaleDownDelay(5 * time.Minute))
	f := fleet(2, 3, 3)
	removed := 0
	for now := time.Duration(0); now < time.Hour; now += 5 * time.Second {
		p.RecordArrival(now, Arrival{Model: testModel, Domain: "d0", PrefillTokens: 1000, OutputTokens: 100})
		for _, a := range p.Plan(now, f) {
			r, ok := a.(RemoveServer)
			if !ok {
				continue
			}
			if now < 5*time.Minute {
				t.Errorf("got a return at %v, want none before demand has been low for 5m", now)
			}
			removed++
			f.Engines = slices.DeleteFunc(f.Engines, func(e Engine) bool { return e.ID == r.Engine })
		}
	}
	if got, want := len(f.Engines), 2; got != want {
		t.Errorf("got %d engines after an hour of low demand and %d returns, want %d", got, removed, want)
	}
}

func TestLoadModelFromSpareModel(t *testing.T) {
	p := New()
	f := fleet(2, 3, 3)
	f.Models = append(f.Models, model("verdict"))
	for i := range 2 {
		f.Bounds = append(f.Bounds, Bound{Model: "verdict", Domain: domainName(i), Max: 3})
	}
	f.Engines = append(f.Engines, Engine{ID: "v0", Domain: "d0", Model: "verdict", Role: peridotconfig.Prefill}, Engine{ID: "v1", Domain: "d1", Model: "verdict", Role: peridotconfig.Decode})
	recordArrivals(p, 0, time.Minute, 0.8, 0.8)
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		p.RecordArrival(now, Arrival{Model: "verdict", Domain: "d0", PrefillTokens: 800, OutputTokens: 170})
	}
	got := actionTexts(p.Plan(time.Minute, f))
	if !slices.Contains(got, "LoadModel verdict") {
		t.Errorf("got %v, want an engine moved to the overloaded model", got)
	}
}

// simulation is a fleet on which the actions of a Planner are carried out.
type simulation struct {
	fleet   Fleet
	ordered int
}

func (s *simulation) execute(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SetRole:
			s.changeEngine(now, a.Engine, testModel, a.To)
		case LoadModel:
			s.changeEngine(now, a.Engine, a.To, a.Role)
		case AddServer:
			s.ordered++
			s.fleet.Engines = append(s.fleet.Engines, Engine{ID: fmt.Sprint("n", s.ordered), Domain: a.Domain, Model: a.Model, Role: a.Role, State: Provisioning, AvailableAt: now + s.fleet.DeliveryDelay})
		case RemoveServer:
			s.changeEngine(now, a.Engine, a.Model, peridotconfig.Mixed)
			s.setState(a.Engine, Leaving)
		}
	}
}

func (s *simulation) changeEngine(now time.Duration, id, model string, role peridotconfig.Role) {
	for i := range s.fleet.Engines {
		e := &s.fleet.Engines[i]
		if e.ID == id {
			e.Model, e.Role, e.State, e.AvailableAt = model, role, Changing, now+12*time.Second
		}
	}
}

func (s *simulation) setState(id string, state State) {
	for i := range s.fleet.Engines {
		if s.fleet.Engines[i].ID == id {
			s.fleet.Engines[i].State = state
		}
	}
}

// completeChanges completes the changes, deliveries and returns that are due by
// now.
func (s *simulation) completeChanges(now time.Duration) {
	s.fleet.Engines = slices.DeleteFunc(s.fleet.Engines, func(e Engine) bool { return e.State == Leaving && e.AvailableAt <= now })
	for i := range s.fleet.Engines {
		if s.fleet.Engines[i].AvailableAt <= now {
			s.fleet.Engines[i].State = Serving
		}
	}
}

// TestBoundsHold checks that at any time at most one engine per failure domain
// changes or leaves, that the cost stays within the ceiling, and that no model
// falls below its minimum number of servers.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		f := fleet(domains, rapid.IntRange(1, 6).Draw(t, "prefill")+domains, rapid.IntRange(1, 6).Draw(t, "decode"))
		f.CostCeilingPerHour = 2 * float64(len(f.Engines)+rapid.IntRange(0, 3).Draw(t, "spare"))
		sim := &simulation{fleet: f}
		p := New(WithScaleDownDelay(time.Minute))
		lagSteps := rapid.IntRange(0, 5).Draw(t, "lag")
		var snapshots []Fleet
		load, prefillShare := 0.0, 0.0
		for step := range 150 {
			now := time.Duration(step) * 5 * time.Second
			sim.completeChanges(now)
			if step%25 == 0 {
				load = rapid.SampledFrom([]float64{0.1, 1, 3, 6, 12}).Draw(t, "load")
				prefillShare = rapid.Float64Range(0, 1).Draw(t, "prefill share")
			}
			p.RecordArrival(now, Arrival{Model: testModel, Domain: "d0", PrefillTokens: int(5000 * load * prefillShare), OutputTokens: int(500 * load * (1 - prefillShare))})
			snapshot := sim.fleet
			snapshot.Engines = slices.Clone(sim.fleet.Engines)
			snapshots = append(snapshots, snapshot)
			sim.execute(now, p.Plan(now, snapshots[max(0, step-lagSteps)]))
			checkBounds(t, sim)
		}
	})
}

func checkBounds(t *rapid.T, sim *simulation) {
	for i := range sim.fleet.Bounds {
		b := sim.fleet.Bounds[i]
		changing := 0
		for _, e := range sim.fleet.Engines {
			if e.Domain == b.Domain && (e.State == Changing || e.State == Leaving) {
				changing++
			}
		}
		if changing > 1 {
			t.Fatalf("got %d engines changing or leaving in %s, want at most 1", changing, b.Domain)
		}
		if got := sim.fleet.countServers(b.Model, b.Domain); got < b.Min {
			t.Fatalf("got %d servers in %s, want at least %d", got, b.Domain, b.Min)
		}
	}
	if got := sim.fleet.costPerHour(); got > sim.fleet.CostCeilingPerHour {
		t.Fatalf("got a cost of %v, want at most %v", got, sim.fleet.CostCeilingPerHour)
	}
}

// TestNoFlapping checks that a ratio of prefill to decode that oscillates faster
// than the horizon reverses the roles only a few times, however long it does so.
func TestNoFlapping(t *testing.T) {
	const maxReversals = 6
	for _, halfPeriod := range []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second, 25 * time.Second, 30 * time.Second} {
		sim := &simulation{fleet: fleet(4, 5, 5)}
		p := New()
		reversals := 0
		var last peridotconfig.Role
		for now := time.Duration(0); now < 20*time.Minute; now += time.Second {
			sim.completeChanges(now)
			prefill, decode := 7.0, 1.5
			if now/halfPeriod%2 == 1 {
				prefill, decode = 1.5, 7.0
			}
			recordArrivals(p, now, now+time.Second, prefill, decode)
			actions := p.Plan(now, sim.fleet)
			sim.execute(now, actions)
			for _, a := range actions {
				if s, ok := a.(SetRole); ok && s.To != last {
					reversals++
					last = s.To
				}
			}
		}
		if reversals > maxReversals {
			t.Errorf("half period %v: got %d reversals of the roles in 20m, want at most %d", halfPeriod, reversals, maxReversals)
		}
		t.Logf("half period %v: %d reversals", halfPeriod, reversals)
	}
}

// TestFollowsShift checks that the roles follow a lasting change of the ratio of
// prefill to decode.
func TestFollowsShift(t *testing.T) {
	sim := &simulation{fleet: fleet(4, 5, 5)}
	p := New()
	changes := 0
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		sim.completeChanges(now)
		prefill, decode := 4.0, 4.0
		if now > 5*time.Minute {
			prefill, decode = 6.5, 1.5
		}
		recordArrivals(p, now, now+time.Second, prefill, decode)
		actions := p.Plan(now, sim.fleet)
		changes += len(actions)
		for _, a := range actions {
			t.Logf("%v %+v", now, a)
		}
		sim.execute(now, actions)
	}
	got := sim.fleet.capacityAt(sim.fleet.Models[0], 10*time.Minute)
	if got.prefill < 7 || got.decode < 2 {
		t.Errorf("got %v prefill and %v decode engines, want at least 7 and 2", got.prefill, got.decode)
	}
	if changes > 3 {
		t.Errorf("got %d changes, want at most 3", changes)
	}
}
