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
		Away:                   8 * time.Second,
		Drain:                  4 * time.Second,
		CostPerHour:            2,
	}
}

// fleet puts prefill and decode engines of the model round the domains.
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

// arrive reports steady work, in engines kept busy, for a time.
func arrive(p *Planner, from, to time.Duration, prefill, decode float64) {
	for now := from; now < to; now += time.Second {
		p.Arrived(now, Arrival{Model: testModel, Domain: "d0", PrefillTokens: int(prefill * 1000), OutputTokens: int(decode * 100)})
	}
}

const defaultSeeds = "100"

// TestMain fixes the seeds of the property tests, so that each run sees the same.
func TestMain(m *testing.M) {
	flag.Parse()
	checks := cmp.Or(os.Getenv(peridotseed.Variable), defaultSeeds)
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
		{name: "prefill short", prefill: 3.3, decode: 1.4, want: []string{"SetRole Prefill"}},
		{name: "decode short", prefill: 1.4, decode: 3.3, want: []string{"SetRole Decode"}},
		{
			name: "one engine away in each domain", prefill: 3.3, decode: 1.4,
			change: func(f *Fleet) {
				for i := range 2 {
					f.Engines = append(f.Engines, Engine{ID: fmt.Sprint("x", i), Domain: domainName(i), Model: testModel, State: Leaving})
				}
			},
			want: nil,
		},
		{
			name: "the engine that is short arrives within seconds", prefill: 3.3, decode: 1.4,
			change: func(f *Fleet) {
				f.Engines = append(f.Engines,
					Engine{ID: "x", Domain: "d0", Model: testModel, Role: peridotconfig.Prefill, State: Arriving, AvailableAt: 63 * time.Second},
					Engine{ID: "y", Domain: "d1", Model: testModel, Role: peridotconfig.Prefill, State: Arriving, AvailableAt: 63 * time.Second})
			},
			want: nil,
		},
		{
			name: "too few in all", prefill: 4, decode: 4,
			change: func(f *Fleet) {
				for i := range f.Bounds {
					f.Bounds[i].Max = 4
				}
			},
			want: []string{"AddServer d0", "AddServer d1"},
		},
		{
			name: "too few in all, under the ceiling", prefill: 4, decode: 4,
			change: func(f *Fleet) {
				f.CostCeilingPerHour = 15
				for i := range f.Bounds {
					f.Bounds[i].Max = 4
				}
			},
			want: []string{"AddServer d0"},
		},
		{
			name: "too few in all, under the ceiling once the lost ones are back", prefill: 4, decode: 4,
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
			arrive(p, 0, time.Minute, test.prefill, test.decode)
			got := describe(p.Plan(time.Minute, f))
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func describe(actions []Action) []string {
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

func TestReturnAfterCalm(t *testing.T) {
	p := New(WithCalm(5 * time.Minute))
	f := fleet(2, 3, 3)
	removed := 0
	for now := time.Duration(0); now < time.Hour; now += 5 * time.Second {
		p.Arrived(now, Arrival{Model: testModel, Domain: "d0", PrefillTokens: 1000, OutputTokens: 100})
		for _, a := range p.Plan(now, f) {
			r, ok := a.(RemoveServer)
			if !ok {
				continue
			}
			if now < 5*time.Minute {
				t.Errorf("got a return at %v, want none before the calm of 5m", now)
			}
			removed++
			f.Engines = slices.DeleteFunc(f.Engines, func(e Engine) bool { return e.ID == r.Engine })
		}
	}
	if got, want := len(f.Engines), 2; got != want {
		t.Errorf("got %d engines after an hour of calm and %d returns, want %d", got, removed, want)
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
	arrive(p, 0, time.Minute, 0.8, 0.8)
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		p.Arrived(now, Arrival{Model: "verdict", Domain: "d0", PrefillTokens: 800, OutputTokens: 170})
	}
	got := describe(p.Plan(time.Minute, f))
	if !slices.Contains(got, "LoadModel verdict") {
		t.Errorf("got %v, want an engine moved to the model that is short", got)
	}
}

// world carries out what a planner says and notes what it must not do.
type world struct {
	fleet   Fleet
	ordered int
}

func (w *world) carryOut(now time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SetRole:
			w.move(now, a.Engine, testModel, a.To)
		case LoadModel:
			w.move(now, a.Engine, a.To, a.Role)
		case AddServer:
			w.ordered++
			w.fleet.Engines = append(w.fleet.Engines, Engine{ID: fmt.Sprint("n", w.ordered), Domain: a.Domain, Model: a.Model, Role: a.Role, State: Arriving, AvailableAt: now + w.fleet.DeliveryDelay})
		case RemoveServer:
			w.move(now, a.Engine, a.Model, peridotconfig.Mixed)
			w.set(a.Engine, Leaving)
		}
	}
}

func (w *world) move(now time.Duration, id, model string, role peridotconfig.Role) {
	for i := range w.fleet.Engines {
		e := &w.fleet.Engines[i]
		if e.ID == id {
			e.Model, e.Role, e.State, e.AvailableAt = model, role, Changing, now+12*time.Second
		}
	}
}

func (w *world) set(id string, s State) {
	for i := range w.fleet.Engines {
		if w.fleet.Engines[i].ID == id {
			w.fleet.Engines[i].State = s
		}
	}
}

// tick ends changes that are over.
func (w *world) tick(now time.Duration) {
	w.fleet.Engines = slices.DeleteFunc(w.fleet.Engines, func(e Engine) bool { return e.State == Leaving && e.AvailableAt <= now })
	for i := range w.fleet.Engines {
		if w.fleet.Engines[i].AvailableAt <= now {
			w.fleet.Engines[i].State = Serving
		}
	}
}

// TestBoundsHold: at any time at most one engine per failure domain changes or
// leaves, the cost is within the ceiling, and no model falls below its minimum.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		f := fleet(domains, rapid.IntRange(1, 6).Draw(t, "prefill")+domains, rapid.IntRange(1, 6).Draw(t, "decode"))
		f.CostCeilingPerHour = 2 * float64(len(f.Engines)+rapid.IntRange(0, 3).Draw(t, "spare"))
		w := &world{fleet: f}
		p := New(WithCalm(time.Minute))
		lag := rapid.IntRange(0, 5).Draw(t, "lag")
		var seen []Fleet
		size, share := 0.0, 0.0
		for step := range 150 {
			now := time.Duration(step) * 5 * time.Second
			w.tick(now)
			if step%25 == 0 {
				size = rapid.SampledFrom([]float64{0.1, 1, 3, 6, 12}).Draw(t, "size")
				share = rapid.Float64Range(0, 1).Draw(t, "share")
			}
			p.Arrived(now, Arrival{Model: testModel, Domain: "d0", PrefillTokens: int(5000 * size * share), OutputTokens: int(500 * size * (1 - share))})
			shot := w.fleet
			shot.Engines = slices.Clone(w.fleet.Engines)
			seen = append(seen, shot)
			w.carryOut(now, p.Plan(now, seen[max(0, step-lag)]))
			checkBounds(t, w)
		}
	})
}

func checkBounds(t *rapid.T, w *world) {
	for i := range w.fleet.Bounds {
		b := w.fleet.Bounds[i]
		away := 0
		for _, e := range w.fleet.Engines {
			if e.Domain == b.Domain && (e.State == Changing || e.State == Leaving) {
				away++
			}
		}
		if away > 1 {
			t.Fatalf("got %d engines away in %s, want at most 1", away, b.Domain)
		}
		if got := w.fleet.count(b.Model, b.Domain); got < b.Min {
			t.Fatalf("got %d servers in %s, want at least %d", got, b.Domain, b.Min)
		}
	}
	if got := w.fleet.cost(); got > w.fleet.CostCeilingPerHour {
		t.Fatalf("got a cost of %v, want at most %v", got, w.fleet.CostCeilingPerHour)
	}
}

// TestNoFlapping: a ratio that swings faster than the horizon turns the roles
// only a few times, however long it goes on.
func TestNoFlapping(t *testing.T) {
	const maxTurns = 6
	for _, half := range []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second, 25 * time.Second, 30 * time.Second} {
		w := &world{fleet: fleet(4, 5, 5)}
		p := New()
		turns := 0
		var last peridotconfig.Role
		for now := time.Duration(0); now < 20*time.Minute; now += time.Second {
			w.tick(now)
			prefill, decode := 7.0, 1.5
			if now/half%2 == 1 {
				prefill, decode = 1.5, 7.0
			}
			arrive(p, now, now+time.Second, prefill, decode)
			actions := p.Plan(now, w.fleet)
			w.carryOut(now, actions)
			for _, a := range actions {
				if s, ok := a.(SetRole); ok && s.To != last {
					turns++
					last = s.To
				}
			}
		}
		if turns > maxTurns {
			t.Errorf("half period %v: got %d turns of the roles in 20m, want at most %d", half, turns, maxTurns)
		}
		t.Logf("half period %v: %d turns", half, turns)
	}
}

// TestFollowsShift: a ratio that moves and stays is followed.
func TestFollowsShift(t *testing.T) {
	w := &world{fleet: fleet(4, 5, 5)}
	p := New()
	changes := 0
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		w.tick(now)
		prefill, decode := 4.0, 4.0
		if now > 5*time.Minute {
			prefill, decode = 6.5, 1.5
		}
		arrive(p, now, now+time.Second, prefill, decode)
		actions := p.Plan(now, w.fleet)
		changes += len(actions)
		for _, a := range actions {
			t.Logf("%v %+v", now, a)
		}
		w.carryOut(now, actions)
	}
	got := w.fleet.capacityAt(w.fleet.Models[0], 10*time.Minute)
	if got.prefill < 7 || got.decode < 2 {
		t.Errorf("got %v prefill and %v decode engines, want at least 7 and 2", got.prefill, got.decode)
	}
	if changes > 3 {
		t.Errorf("got %d changes, want at most 3", changes)
	}
}
