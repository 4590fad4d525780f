package peridotconfig

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"peridotstack/peridotseed"
)

const (
	// lastFault is when the last failure may begin; each ends within maxFault.
	lastFault = faultsUntil - maxFault
	maxFault  = 10 * time.Second
)

// inject brings about one failure and ends it after a while.
func (w *world) inject() {
	length := time.Second + time.Duration(w.random.Int64N(int64(maxFault-time.Second)))
	i, j := w.random.IntN(processes), w.random.IntN(processes)
	switch w.random.IntN(6) {
	case 0:
		w.down = true
		w.later(length, func() { w.down = false })
	case 1:
		w.storeCut[i] = true
		w.later(length, func() { w.storeCut[i] = false })
	case 2:
		w.setCut(i, j, true)
		w.later(length, func() { w.setCut(i, j, false) })
	case 3:
		w.cutDomain(i, true)
		w.later(length, func() { w.cutDomain(i, false) })
	case 4:
		w.procs[i].paused = w.now.Add(length)
	case 5:
		w.boot(i, w.procs[i].life+1)
	}
}

func (w *world) setCut(i, j int, cut bool) {
	w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = cut, cut
}

// cutDomain cuts the failure domain of a process off from the others.
func (w *world) cutDomain(id int, cut bool) {
	domain := w.procs[id].domain
	for i := range processes {
		for j := range processes {
			if (w.procs[i].domain == domain) != (w.procs[j].domain == domain) {
				w.setCut(i, j, cut)
			}
		}
	}
}

// later runs a step of the schedule itself.
func (w *world) later(d time.Duration, run func()) {
	w.heals = append(w.heals, heal{at: w.now.Add(d), run: run})
}

// schedule injects failures, alone or in pairs, until all have ended.
func (w *world) schedule(together int) {
	w.runUntil(5 * time.Second)
	w.faults = true
	for at := 5 * time.Second; at < faultsUntil; at += 500 * time.Millisecond {
		w.runUntil(at)
		w.heal()
		if at < lastFault && w.random.IntN(4) == 0 {
			for range together {
				w.inject()
			}
		}
	}
	w.runUntil(faultsUntil)
	w.heal()
	w.faults = false
	w.atHeal = int64(len(w.commits))
	w.runUntil(faultsUntil + inForceWithin)
}

func (w *world) heal() {
	var left []heal
	for _, h := range w.heals {
		if h.at.After(w.now) {
			left = append(left, h)
		} else {
			h.run()
		}
	}
	w.heals = left
}

func TestRandomFailures(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		for together := 1; together <= 2; together++ {
			w := newWorld(t, seed)
			w.schedule(together)
			for _, p := range w.procs {
				if got, want := p.Config().Seq, w.atHeal; got < want {
					t.Errorf("seed %d: process %d after all failures have ended: got version %d, want at least %d", seed, p.id, got, want)
				}
				if !p.Fresh(w.now) {
					t.Errorf("seed %d: process %d after all failures have ended: got a stale configuration, want a fresh one", seed, p.id)
				}
			}
			if w.starts == 0 || len(w.accepted) == 0 {
				t.Errorf("seed %d: got %d starts and %d accepted withdrawals, want some of both", seed, w.starts, len(w.accepted))
			}
			if t.Failed() {
				return
			}
		}
	}
}

func TestServesThroughStoreOutage(t *testing.T) {
	w := newWorld(t, 0)
	w.runUntil(5 * time.Second)
	w.down = true
	for at := 5 * time.Second; at < 65*time.Second; at += 50 * time.Millisecond {
		w.runUntil(at)
		for _, p := range w.procs {
			if !p.Fresh(w.now) {
				t.Fatalf("process %d, %v into the outage: got a stale configuration, want a fresh one", p.id, at-5*time.Second)
			}
		}
	}
}

func TestRefusesWhenCutOff(t *testing.T) {
	tests := []struct {
		name string
		// reachable agents by failure domain, of 4; the store is out of reach.
		domains int
		want    bool
	}{
		{"alone with its own failure domain", 1, false},
		{"half of the failure domains", 2, false},
		{"a majority of the failure domains", 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 0)
			w.runUntil(5 * time.Second)
			w.down = true
			for id := tt.domains * (1 + agentsPerDomain); id < processes; id++ {
				for peer := range tt.domains * (1 + agentsPerDomain) {
					w.setCut(id, peer, true)
				}
			}
			w.runUntil(20 * time.Second)
			if got := w.procs[0].Fresh(w.now); got != tt.want {
				t.Errorf("Fresh: got %t, want %t", got, tt.want)
			}
		})
	}
}

func TestRestartDuringStoreOutage(t *testing.T) {
	w := newWorld(t, 0)
	w.runUntil(5 * time.Second)
	w.down = true
	w.boot(0, 1)
	w.boot(1, 1) // A witness: it has forgotten what it acknowledged.
	w.runUntil(9 * time.Second)
	for id := range 2 {
		if got, want := w.procs[id].Config().Seq, int64(len(w.commits)); got != want {
			t.Errorf("process %d: got version %d, want %d", id, got, want)
		}
		if !w.procs[id].Fresh(w.now) {
			t.Errorf("process %d: got a stale configuration, want a fresh one", id)
		}
	}
}

func TestForgetfulWitnessDoesNotCount(t *testing.T) {
	c := &Config{Seq: 4, Panels: []Panel{{Number: 1}}}
	for i := range 3 {
		c.Panels[0].Witnesses = append(c.Panels[0].Witnesses, Witness{Domain: fmt.Sprint(i), Instance: fmt.Sprint(i), Incarnation: "1"})
	}
	now := time.Unix(1000, 0)
	var r Reports
	r.Add(Report{Witness: c.Panels[0].Witnesses[0], Seq: 4, Sent: now})
	restarted := c.Panels[0].Witnesses[1]
	restarted.Incarnation = "2"
	r.Add(Report{Witness: restarted, Seq: 4, Sent: now})
	if r.Accepted(c, 4) {
		t.Error("Accepted: got true by one witness of three, want false")
	}
	if got := r.Newest(c); !got.IsZero() {
		t.Errorf("Newest: got %v by one witness of three, want no time", got)
	}
	r.Add(Report{Witness: c.Panels[0].Witnesses[2], Seq: 4, Sent: now.Add(-time.Second)})
	if !r.Accepted(c, 4) {
		t.Error("Accepted: got false by two witnesses of three, want true")
	}
	if got, want := r.Newest(c), now.Add(-time.Second); !got.Equal(want) {
		t.Errorf("Newest: got %v, want %v", got, want)
	}
}

// isolate cuts a set of processes off from all others and from the table service.
func (w *world) isolate(ids ...int) {
	for i := range processes {
		for j := range processes {
			w.setCut(i, j, slices.Contains(ids, i) != slices.Contains(ids, j))
		}
		w.storeCut[i] = slices.Contains(ids, i)
	}
}

// withdraw commits a withdrawal at an entry instance and waits until it is accepted.
func (w *world) withdraw(p *process, keyID string) {
	commit := Commit{Seq: p.Config().Seq + 1, Changes: Changes{WithdrawKey{ID: keyID}}}
	c, err := Replay(p.Config(), []Commit{commit})
	if err != nil {
		w.t.Fatal(err)
	}
	w.commits = append(w.commits, commit)
	p.Adopt(c)
	w.awaitAccepted(p, keyID, commit.Seq)
	for w.accepted[keyID].IsZero() && w.now.Before(w.start.Add(time.Minute)) {
		w.runUntil(w.now.Sub(w.start) + time.Second)
	}
	if w.accepted[keyID].IsZero() {
		w.t.Fatalf("withdrawal of %s: got no acceptance, want one", keyID)
	}
}

// TestOldConfigurationIsNotProven leaves an entry instance that missed a
// withdrawal with processes that cannot know of it.
func TestOldConfigurationIsNotProven(t *testing.T) {
	const entry, key = 9, "k0"
	tests := []struct {
		name    string
		friends []int
		restart bool
	}{
		{"other processes of a majority of failure domains", []int{2, 5, 8, 11}, false},
		{"witnesses that forgot what they acknowledged", []int{1, 4, 7}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 0)
			w.runUntil(5 * time.Second)
			side := append([]int{entry}, tt.friends...)
			if tt.restart {
				side = []int{entry}
			}
			w.isolate(side...)
			w.withdraw(w.procs[0], key)
			if tt.restart {
				w.isolate(append(side, tt.friends...)...)
				for _, id := range tt.friends {
					w.boot(id, 1)
				}
			}
			w.runUntil(w.now.Sub(w.start) + 10*time.Second)
			if w.procs[entry].Fresh(w.now) {
				t.Errorf("Fresh at version %d of %d: got true, want false", w.procs[entry].Config().Seq, len(w.commits))
			}
		})
	}
}

func TestSuccession(t *testing.T) {
	now := time.Unix(1000, 0)
	old := []Witness{{Domain: "a", Instance: "a1"}, {Domain: "b", Instance: "b1"}, {Domain: "c", Instance: "c1"}}
	next := []Witness{{Domain: "a", Instance: "a2"}, old[1], old[2]}
	both := &Config{Seq: 5, Panels: []Panel{{Number: 1, Witnesses: old}, {Number: 2, Witnesses: next}}}
	tests := []struct {
		name       string
		config     *Config
		reports    []Report
		candidates []Witness
		want       string
	}{
		{
			"a majority of the old panel knows the new one", both,
			[]Report{{old[0], 4, now}, {old[1], 5, now}, {old[2], 5, now}},
			nil, "peridotconfig.RelievePanels{Through:1}",
		},
		{
			"a minority of the old panel knows the new one", both,
			[]Report{{old[0], 4, now}, {old[1], 5, now}, {old[2], 4, now}},
			next, "<nil>",
		},
		{
			"a witness is silent", &Config{Seq: 5, Panels: both.Panels[:1]},
			[]Report{{old[0], 5, now.Add(-time.Minute)}, {old[1], 5, now}, {old[2], 5, now}},
			next, fmt.Sprintf("%#v", AppointPanel{Panel{Number: 2, Witnesses: next}}),
		},
		{
			"all report", &Config{Seq: 5, Panels: both.Panels[:1]},
			[]Report{{old[0], 5, now}, {old[1], 5, now}, {old[2], 5, now}},
			next, "<nil>",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Reports
			for _, report := range tt.reports {
				r.Add(report)
			}
			if got := fmt.Sprintf("%#v", r.Succession(tt.config, tt.candidates, now)); got != tt.want {
				t.Errorf("Succession: got %s, want %s", got, tt.want)
			}
		})
	}
}
