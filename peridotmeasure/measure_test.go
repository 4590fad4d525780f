package peridotmeasure

import (
	"bytes"
	"reflect"
	"slices"
	"testing"

	"peridotstack/peridotseed"
)

// defaultSeeds is small, for a run takes seconds with the race detector.
const defaultSeeds = 2

func find(t *testing.T, name string) Scenario {
	t.Helper()
	found, err := FindScenarios(name)
	if err != nil {
		t.Fatal(err)
	}
	return found[0]
}

// TestOutcomes: through shifts of the ratio the system is at least as good as
// each baseline, moves each engine seldom, and cuts nothing.
func TestOutcomes(t *testing.T) {
	// The ratio shifts three times: to double, to half, and back. With 9 engines
	// the best assignment moves 1, 3 and 2 engines, or one less with some work
	// lost.
	const maxChanges = 6 + 2
	for _, p := range Profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			s := find(t, "ratio")
			results := RunAll(p, s, Generate(p, s, 1), 1)
			own := results[len(results)-1]
			for _, r := range results {
				if r.Baseline && r.Goodput > own.Goodput {
					t.Errorf("got a goodput of %.2f, want at least the %.2f of %s", own.Goodput, r.Goodput, r.Policy)
				}
			}
			if own.RoleChanges > maxChanges {
				t.Errorf("got %d role changes, want at most %d", own.RoleChanges, maxChanges)
			}
			if own.MostMoves > 1 {
				t.Errorf("got %d role changes of one engine within a shift, want at most 1", own.MostMoves)
			}
			if own.Failed != 0 || own.Cut != 0 || own.CallsFailed != 0 {
				t.Errorf("got %d failed, %d cut, %d calls failed, want none without a failure", own.Failed, own.Cut, own.CallsFailed)
			}
		})
	}
}

// TestConservation: each arrival gets exactly one outcome, no answer is short,
// doubled or crossed, no call runs twice, and no refusal as not run is false.
func TestConservation(t *testing.T) {
	p := quadro()
	for _, name := range []string{"ratio+domain", "domain+flood"} {
		s := find(t, name)
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

// TestSameSeedSameFigures: a run does not depend on anything but its arguments.
func TestSameSeedSameFigures(t *testing.T) {
	p := jamaica()
	s := find(t, "ratio+domain")
	trace := Generate(p, s, 7)
	if again := Generate(p, s, 7); !slices.Equal(trace, again) {
		t.Fatal("got another trace from the same seed")
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
		t.Errorf("got another trace than was written")
	}
}
