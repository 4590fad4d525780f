package peridotconfig

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"peridotstack/peridotseed"
)

const (
	// lastFaultStart is when the last failure may start, so that all end before
	// faultsEnd.
	lastFaultStart   = faultsEnd - maxFaultDuration
	maxFaultDuration = 10 * time.Second
)

// injectFault starts a random failure of random duration, of at most
// maxFaultDuration.
func (sm *simulation) injectFault() {
	duration := time.Second + time.Duration(sm.random.Int64N(int64(maxFaultDuration-time.Second)))
	i, j := sm.random.IntN(processCount), sm.random.IntN(processCount)
	switch sm.random.IntN(6) {
	case 0:
		sm.storeDown = true
		sm.recoverAfter(duration, func() { sm.storeDown = false })
	case 1:
		sm.storeCutOff[i] = true
		sm.recoverAfter(duration, func() { sm.storeCutOff[i] = false })
	case 2:
		sm.setLinkCut(i, j, true)
		sm.recoverAfter(duration, func() { sm.setLinkCut(i, j, false) })
	case 3:
		sm.setDomainCut(i, true)
		sm.recoverAfter(duration, func() { sm.setDomainCut(i, false) })
	case 4:
		sm.processes[i].pausedUntil = sm.now.Add(duration)
	case 5:
		sm.startProcess(i, sm.processes[i].incarnation+1)
	}
}

func (sm *simulation) setLinkCut(i, j int, cut bool) {
	sm.linkCut[[2]int{i, j}], sm.linkCut[[2]int{j, i}] = cut, cut
}

// setDomainCut cuts or restores all links between the failure domain of a process
// and the others.
func (sm *simulation) setDomainCut(id int, cut bool) {
	domain := sm.processes[id].domain
	for i := range processCount {
		for j := range processCount {
			if (sm.processes[i].domain == domain) != (sm.processes[j].domain == domain) {
				sm.setLinkCut(i, j, cut)
			}
		}
	}
}

// recoverAfter schedules the end of a failure.
func (sm *simulation) recoverAfter(d time.Duration, run func()) {
	sm.pendingRecoveries = append(sm.pendingRecoveries, recovery{at: sm.now.Add(d), run: run})
}

// runWithFaults injects failures, the given number at once, and runs the simulation
// until all have ended and the processes have had catchUpTime to recover.
func (sm *simulation) runWithFaults(faultsAtOnce int) {
	sm.runUntil(5 * time.Second)
	sm.faultsActive = true
	for at := 5 * time.Second; at < faultsEnd; at += 500 * time.Millisecond {
		sm.runUntil(at)
		sm.runRecoveries()
		if at < lastFaultStart && sm.random.IntN(4) == 0 {
			for range faultsAtOnce {
				sm.injectFault()
			}
		}
	}
	sm.runUntil(faultsEnd)
	sm.runRecoveries()
	sm.faultsActive = false
	sm.seqAtRecovery = int64(len(sm.commits))
	sm.runUntil(faultsEnd + catchUpTime)
}

func (sm *simulation) runRecoveries() {
	var remaining []recovery
	for _, r := range sm.pendingRecoveries {
		if r.at.After(sm.now) {
			remaining = append(remaining, r)
		} else {
			r.run()
		}
	}
	sm.pendingRecoveries = remaining
}

func TestRandomFailures(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		for faultsAtOnce := 1; faultsAtOnce <= 2; faultsAtOnce++ {
			sm := newSimulation(t, seed)
			sm.runWithFaults(faultsAtOnce)
			for _, p := range sm.processes {
				if got, want := p.Config().Seq, sm.seqAtRecovery; got < want {
					t.Errorf("seed %d: process %d after all failures have ended: got version %d, want at least %d", seed, p.id, got, want)
				}
				if !p.Fresh(sm.now) {
					t.Errorf("seed %d: process %d after all failures have ended: got a stale configuration, want a fresh one", seed, p.id)
				}
			}
			if sm.startedRequests == 0 || len(sm.acceptedAt) == 0 {
				t.Errorf("seed %d: got %d started requests and %d accepted withdrawals, want some of both", seed, sm.startedRequests, len(sm.acceptedAt))
			}
			if t.Failed() {
				return
			}
		}
	}
}

func TestFreshDuringStoreOutage(t *testing.T) {
	sm := newSimulation(t, 0)
	sm.runUntil(5 * time.Second)
	sm.storeDown = true
	for at := 5 * time.Second; at < 65*time.Second; at += 50 * time.Millisecond {
		sm.runUntil(at)
		for _, p := range sm.processes {
			if !p.Fresh(sm.now) {
				t.Fatalf("process %d, %v into the outage: got a stale configuration, want a fresh one", p.id, at-5*time.Second)
			}
		}
	}
}

func TestFreshNeedsMajorityDuringStoreOutage(t *testing.T) {
	tests := []struct {
		name string
		// domains is the number of failure domains, out of 4, whose processes are
		// reachable. The table service is not.
		domains int
		want    bool
	}{
		{"only its own failure domain", 1, false},
		{"half of the failure domains", 2, false},
		{"a majority of the failure domains", 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sm := newSimulation(t, 0)
			sm.runUntil(5 * time.Second)
			sm.storeDown = true
			for id := tt.domains * (1 + agentsPerDomain); id < processCount; id++ {
				for peer := range tt.domains * (1 + agentsPerDomain) {
					sm.setLinkCut(id, peer, true)
				}
			}
			sm.runUntil(20 * time.Second)
			if got := sm.processes[0].Fresh(sm.now); got != tt.want {
				t.Errorf("Fresh: got %t, want %t", got, tt.want)
			}
		})
	}
}

func TestRestartDuringStoreOutage(t *testing.T) {
	sm := newSimulation(t, 0)
	sm.runUntil(5 * time.Second)
	sm.storeDown = true
	sm.startProcess(0, 1)
	sm.startProcess(1, 1) // A witness, which loses what it acknowledged.
	sm.runUntil(9 * time.Second)
	for id := range 2 {
		if got, want := sm.processes[id].Config().Seq, int64(len(sm.commits)); got != want {
			t.Errorf("process %d: got version %d, want %d", id, got, want)
		}
		if !sm.processes[id].Fresh(sm.now) {
			t.Errorf("process %d: got a stale configuration, want a fresh one", id)
		}
	}
}

func TestRestartedWitnessIsNotCounted(t *testing.T) {
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
		t.Error("Accepted: got true with one witness of three, want false")
	}
	if got := r.ProvenAt(c); !got.IsZero() {
		t.Errorf("ProvenAt: got %v with one witness of three, want the zero time", got)
	}
	r.Add(Report{Witness: c.Panels[0].Witnesses[2], Seq: 4, Sent: now.Add(-time.Second)})
	if !r.Accepted(c, 4) {
		t.Error("Accepted: got false with two witnesses of three, want true")
	}
	if got, want := r.ProvenAt(c), now.Add(-time.Second); !got.Equal(want) {
		t.Errorf("ProvenAt: got %v, want %v", got, want)
	}
}

// isolate cuts the given processes off from all others and from the table service.
// It restores all other links.
func (sm *simulation) isolate(ids ...int) {
	for i := range processCount {
		for j := range processCount {
			sm.setLinkCut(i, j, slices.Contains(ids, i) != slices.Contains(ids, j))
		}
		sm.storeCutOff[i] = slices.Contains(ids, i)
	}
}

// withdrawKey commits the withdrawal of a key at an entry instance and runs the
// simulation until the commit is accepted.
func (sm *simulation) withdrawKey(p *process, keyID string) {
	commit := Commit{Seq: p.Config().Seq + 1, Changes: Changes{WithdrawKey{ID: keyID}}}
	c, err := Replay(p.Config(), []Commit{commit})
	if err != nil {
		sm.t.Fatal(err)
	}
	sm.commits = append(sm.commits, commit)
	p.Adopt(c)
	sm.awaitAccepted(p, keyID, commit.Seq)
	for sm.acceptedAt[keyID].IsZero() && sm.now.Before(sm.start.Add(time.Minute)) {
		sm.runUntil(sm.now.Sub(sm.start) + time.Second)
	}
	if sm.acceptedAt[keyID].IsZero() {
		sm.t.Fatalf("withdrawal of %s: got accepted false, want true", keyID)
	}
}

// TestOldConfigurationIsNotProven checks that an entry instance that missed a
// withdrawal does not become fresh through the answers of processes that have not
// applied the withdrawal either.
func TestOldConfigurationIsNotProven(t *testing.T) {
	const entry, key = 9, "k0"
	tests := []struct {
		name      string
		reachable []int
		restart   bool
	}{
		{"other processes of a majority of failure domains", []int{2, 5, 8, 11}, false},
		{"restarted witnesses that lost what they acknowledged", []int{1, 4, 7}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sm := newSimulation(t, 0)
			sm.runUntil(5 * time.Second)
			isolated := append([]int{entry}, tt.reachable...)
			if tt.restart {
				isolated = []int{entry}
			}
			sm.isolate(isolated...)
			sm.withdrawKey(sm.processes[0], key)
			if tt.restart {
				sm.isolate(append(isolated, tt.reachable...)...)
				for _, id := range tt.reachable {
					sm.startProcess(id, 1)
				}
			}
			sm.runUntil(sm.now.Sub(sm.start) + 10*time.Second)
			if sm.processes[entry].Fresh(sm.now) {
				t.Errorf("Fresh at version %d of %d: got true, want false", sm.processes[entry].Config().Seq, len(sm.commits))
			}
		})
	}
}

func TestNextPanelChange(t *testing.T) {
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
			"a majority of the old panel has applied the new one", both,
			[]Report{{old[0], 4, now}, {old[1], 5, now}, {old[2], 5, now}},
			nil, "peridotconfig.RelievePanels{Through:1}",
		},
		{
			"a minority of the old panel has applied the new one", both,
			[]Report{{old[0], 4, now}, {old[1], 5, now}, {old[2], 4, now}},
			next, "<nil>",
		},
		{
			"a witness has timed out", &Config{Seq: 5, Panels: both.Panels[:1]},
			[]Report{{old[0], 5, now.Add(-time.Minute)}, {old[1], 5, now}, {old[2], 5, now}},
			next, fmt.Sprintf("%#v", AppointPanel{Panel{Number: 2, Witnesses: next}}),
		},
		{
			"all witnesses report", &Config{Seq: 5, Panels: both.Panels[:1]},
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
			if got := fmt.Sprintf("%#v", r.NextPanelChange(tt.config, tt.candidates, now)); got != tt.want {
				t.Errorf("NextPanelChange: got %s, want %s", got, tt.want)
			}
		})
	}
}
