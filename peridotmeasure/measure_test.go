package peridotmeasure

import (
	"bytes"
	"reflect"
	"slices"
	"testing"

	"peridotstack/peridotseed"
)

// defaultSeeds is small because a run with the race detector takes seconds.
const defaultSeeds = 2

func findScenario(t *testing.T, name string) Scenario {
	t.Helper()
	found, err := FindScenarios(name)
	if err != nil {
		t.Fatal(err)
	}
	return found[0]
}

// TestOutcomes checks that the system, while the ratio of prefill to decode
// shifts, has at least the goodput of each baseline, rarely changes the roles of
// engines, and lets no request fail.
func TestOutcomes(t *testing.T) {
	// The ratio shifts three times: to 2, to 0.5 and back to 1. With 9 engines the
	// best assignment changes the roles of 1, 3 and 2 engines, or of one less if
	// some work is lost.
	const maxChanges = 6 + 2
	for _, p := range Profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			s := findScenario(t, "ratio")
			results := RunAll(p, s, Generate(p, s, 1), 1)
			system := results[len(results)-1]
			for _, r := range results {
				if r.Baseline && r.Goodput > system.Goodput {
					t.Errorf("got a goodput of %.2f, want at least the %.2f of %s", system.Goodput, r.Goodput, r.Policy)
				}
			}
			if system.RoleChanges > maxChanges {
				t.Errorf("got %d role changes, want at most %d", system.RoleChanges, maxChanges)
			}
			if system.MostMoves > 1 {
				t.Errorf("got %d role changes of one engine within a shift, want at most 1", system.MostMoves)
			}
			if system.Failed != 0 || system.Cut != 0 || system.CallsFailed != 0 {
				t.Errorf("got %d failed, %d cut, %d calls failed, want none without a failure", system.Failed, system.Cut, system.CallsFailed)
			}
		})
	}
}

// TestConservation checks that each arrival gets exactly one outcome, that no
// answer is too short, doubled or mixed up with another one, that no call runs
// twice, and that no call that ran is refused as not run.
func TestConservation(t *testing.T) {
	p := quadro()
	for _, name := range []string{"ratio+domain", "domain+flood"} {
		s := findScenario(t, name)
		for seed := range peridotseed.Count(t, defaultSeeds) {
			trace := Generate(p, s, seed)
			for _, r := range RunAll(p, s, trace, seed) {
				checkConservation(t, r, trace)
			}
		}
	}
}

func checkConservation(t *testing.T, r Result, trace []Record) {
	t.Helper()
	if r.Arrivals != len(trace) || r.Settled != len(trace) {
		t.Errorf("%s, %s, seed %d: got %d arrivals, %d settled, want %d", r.Scenario, r.Policy, r.Seed, r.Arrivals, r.Settled, len(trace))
	}
	want := 0
	for i := range trace {
		if trace[i].Model != "" && trace[i].At >= warmUp {
			want++
		}
	}
	if got := r.InTime + r.Late + r.Refused + r.Failed + r.GaveUp; got != want {
		t.Errorf("%s, %s, seed %d: got %d outcomes, want %d", r.Scenario, r.Policy, r.Seed, got, want)
	}
	if len(r.Faults) > 0 {
		t.Errorf("%s, %s, seed %d: got the fault %q, want none", r.Scenario, r.Policy, r.Seed, r.Faults[0])
	}
}

// TestSameSeedSameFigures checks that a run depends on nothing but its arguments.
func TestSameSeedSameFigures(t *testing.T) {
	p := jamaica()
	s := findScenario(t, "ratio+domain")
	trace := Generate(p, s, 7)
	if repeated := Generate(p, s, 7); !slices.Equal(trace, repeated) {
		t.Fatal("got two different traces from the same seed")
	}
	first := RunAll(p, s, trace, 7)
	second := RunAll(p, s, trace, 7)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("got %+v, want %+v", second, first)
	}
}

func TestTraceRoundTrip(t *testing.T) {
	want := Generate(quadro(), Scenario{}, 3)[:100]
	var file bytes.Buffer
	if err := WriteTrace(&file, want); err != nil {
		t.Fatal(err)
	}
	got, err := ReadTrace(&file)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got a trace that differs from the written one")
	}
}
