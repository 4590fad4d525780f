package peridotlease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"peridotstack/peridotseed"
	"peridotstack/peridottable"
)

// simulation runs the leases of several processes on one shard in simulated time. Its
// table can be restored from older copies. Calls take time, their answers may be
// lost, and a lost commit may take effect late.
type simulation struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Time
	table  *peridottable.Memory
	copies []*peridottable.Memory
	events []event
	procs  []*process
	acts   []act
}

type event struct {
	at  time.Time
	run func()
}

// process is one process that contends for the lease.
type process struct {
	name string
	// starts is the number of starts of the process.
	starts int
	lease  *Lease
	// era is the newest era that the process has seen.
	era         int64
	busy        bool
	frozenUntil time.Time
}

// act is an order sent by a holder.
type act struct {
	at    time.Time
	name  string
	token int64
}

const simulationStep = 50 * time.Millisecond

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(0, 0), table: &peridottable.Memory{}}
	for i := range 3 {
		p := &process{name: fmt.Sprint("front-", i)}
		s.restart(p)
		s.procs = append(s.procs, p)
	}
	return s
}

func (s *simulation) restart(p *process) {
	p.starts++
	p.lease = New("a", p.name, fmt.Sprint(p.name, "/", p.starts), testTerms)
	p.era, p.busy = 0, false
}

// randomTime returns a random duration below limit.
func (s *simulation) randomTime(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, event{s.now.Add(d), run})
}

// deliver calls run in p after d, but not while p is frozen, and not in a later start
// of p.
func (s *simulation) deliver(p *process, d time.Duration, run func()) {
	start := p.starts
	s.after(d, func() {
		switch {
		case p.starts != start:
		case s.now.Before(p.frozenUntil):
			s.deliver(p, p.frozenUntil.Sub(s.now), run)
		default:
			run()
		}
	})
}

// isStale reports whether an answer is from an older era than p has seen, and records
// the era.
func (p *process) isStale(era int64) bool {
	p.era = max(p.era, era)
	return era < p.era
}

func (s *simulation) read(p *process) {
	p.busy = true
	lost := s.random.IntN(10) == 0
	s.after(s.randomTime(300*time.Millisecond), func() {
		row, err := s.table.Get(context.Background(), RowKey("a"))
		if err != nil {
			s.t.Fatal(err)
		}
		s.deliver(p, s.randomTime(300*time.Millisecond), func() {
			p.busy = false
			if lost || p.isStale(row.Era) {
				p.lease.lastReadAt = s.now
				return
			}
			p.lease.HandleRead(row, s.now)
		})
	})
}

// commit sends a commit as platform.Client does: it is not sent if p knows that the
// era is another one, but takes effect in whichever era it arrives.
func (s *simulation) commit(p *process, txn peridottable.Txn) {
	if txn.Era != p.era {
		p.lease.HandleCommitResult(0, errConflict, s.now)
		return
	}
	p.busy = true
	lost := s.random.IntN(10) == 0
	latency := s.randomTime(300 * time.Millisecond)
	if lost {
		latency = s.randomTime(20 * time.Second)
		s.deliver(p, 1200*time.Millisecond, func() {
			p.busy = false
			p.lease.HandleCommitResult(0, errResponseLost, s.now)
		})
	}
	s.after(latency, func() {
		sent := txn
		sent.Era = peridottable.AnyEra
		version, err := s.table.Commit(context.Background(), sent)
		era := s.table.Era()
		if lost {
			return
		}
		s.deliver(p, s.randomTime(300*time.Millisecond), func() {
			p.busy = false
			if p.isStale(era) || err == nil && era != txn.Era {
				err = errResponseLost
			}
			p.lease.HandleCommitResult(version, err, s.now)
		})
	})
}

func (s *simulation) step(tick int) {
	s.now = s.now.Add(simulationStep)
	for i := 0; i < len(s.events); i++ {
		if e := s.events[i]; !s.now.Before(e.at) {
			s.events = append(s.events[:i], s.events[i+1:]...)
			i--
			e.run()
		}
	}
	if tick%10 == 0 {
		s.copies = append(s.copies, s.table.Copy())
	}
	s.injectFault()
	holders := 0
	for rank, p := range s.procs {
		if s.now.Before(p.frozenUntil) {
			continue
		}
		if grant, ok := p.lease.Grant(s.now); ok {
			holders++
			s.check(act{s.now, p.name, grant.Token})
		}
		if p.busy {
			continue
		}
		delay := time.Duration(rank) * 300 * time.Millisecond
		if p.lease.readDue(s.now, time.Second, delay) {
			s.read(p)
		} else if txn, ok := p.lease.NextCommit(s.now, delay); ok {
			s.commit(p, txn)
		}
	}
	if holders > 1 {
		s.t.Errorf("seed %d at %v: got %d holders, want at most 1", s.seed, s.now.UTC(), holders)
	}
}

func (s *simulation) injectFault() {
	p := s.procs[s.random.IntN(len(s.procs))]
	switch s.random.IntN(800) {
	case 0, 1, 2, 3:
		newest := len(s.copies) - 1
		s.table.Restore(s.copies[max(0, newest-s.random.IntN(20))])
	case 4:
		p.frozenUntil = s.now.Add(s.randomTime(30 * time.Second))
	case 5:
		s.restart(p)
	case 6:
		s.restart(p)
		s.table.Restore(s.copies[max(0, len(s.copies)-1-s.random.IntN(20))])
	}
}

// check checks an act against those before.
func (s *simulation) check(a act) {
	for i := len(s.acts) - 1; i >= 0; i-- {
		old := s.acts[i]
		if old.token > a.token || old.token == a.token && old.name != a.name {
			s.t.Errorf("seed %d at %v: got token %d of %s after token %d of %s, want a higher one for each holder", s.seed, a.at.UTC(), a.token, a.name, old.token, old.name)
			break
		}
	}
	turns := false
	for i := len(s.acts) - 1; i >= 0 && a.at.Sub(s.acts[i].at) < testTerms.Shorten(testTerms.TTL); i-- {
		turns = turns || s.acts[i].name != a.name
		if turns && s.acts[i].name == a.name {
			s.t.Errorf("seed %d: %s acts at %v and at %v, although another holder acted in between", s.seed, a.name, s.acts[i].at.UTC(), a.at.UTC())
			break
		}
	}
	if n := len(s.acts); n > 0 && s.acts[n-1].name == a.name && s.acts[n-1].token == a.token && n > 1 && s.acts[n-2] == (act{s.acts[n-2].at, a.name, a.token}) {
		s.acts[n-1].at = a.at // Keep only the first and the last act of a term.
		return
	}
	s.acts = append(s.acts, a)
}

// TestOneHolderAcrossRestores guards against two holders of a lease, against holders
// that take turns, and against fencing tokens that fall or have two holders, when the
// table loses the newest versions of the lease row. It runs seeded schedules of
// restores, frozen and killed processes, and lost and late commits.
func TestOneHolderAcrossRestores(t *testing.T) {
	held := 0
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		s := newSimulation(t, uint64(seed))
		for tick := range 4000 {
			s.step(tick)
		}
		held += len(s.acts)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if held == 0 {
		t.Error("got no holder in any schedule, want some")
	}
}

// TestLeaseAfterRestore guards against a gap in the duties after a restore, and
// against a contender that counts time from before it. The holder renews over the
// older row, and a contender watches that row for a whole lease in the new era.
func TestLeaseAfterRestore(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(seconds(s)) }
	inEra := func(era int64, row peridottable.Row) peridottable.Row {
		row.Era = era
		return row
	}
	lost := peridottable.Row{Key: RowKey("a")}
	for _, test := range []struct {
		name string
		row  peridottable.Row
	}{
		{"row lost", lost},
		{"row of an earlier holder", otherRow(2, 7, "b")},
		{"row released", otherRow(2, 7, "")},
	} {
		holder := New("a", "c", "nonce of c", testTerms)
		holder.HandleRead(otherRow(3, 7, ""), at(0))
		holder.NextCommit(at(0), 0)
		holder.HandleCommitResult(4, nil, at(0))
		holder.HandleRead(inEra(1, test.row), at(1))
		txn, ok := holder.NextCommit(at(4), 0)
		if !ok || txn.Era != 1 || txn.Checks[0].Version != test.row.Version {
			t.Errorf("%s: got renewal %+v (%v), want one of version %d in era 1", test.name, txn, ok, test.row.Version)
		}
		holder.HandleCommitResult(0, errResponseLost, at(4.5)) // It did not take effect.
		holder.HandleRead(inEra(1, test.row), at(4.6))
		if _, ok := holder.NextCommit(at(4.7), 0); !ok {
			t.Errorf("%s: got no renewal after a lost one, want one", test.name)
		}
		holder.HandleCommitResult(5, nil, at(5))
		if grant, ok := holder.Grant(at(13)); !ok || grant.Token != 8 {
			t.Errorf("%s: got grant %+v (%v), want token 8 after the renewal", test.name, grant, ok)
		}
		contender := New("a", "d", "nonce of d", testTerms)
		contender.HandleRead(otherRow(2, 7, "b"), at(0))
		for _, step := range []struct {
			second    float64
			want      bool
			wantToken int64
		}{{9, false, 0}, {10.3, false, 0}, {19.1, false, 0}, {19.3, true, 1<<40 + test.row.Version + 1}} {
			contender.HandleRead(inEra(1, test.row), at(step.second))
			txn, got := contender.NextCommit(at(step.second), 0)
			if got != step.want {
				t.Errorf("%s: contender after %v s: got commit %v, want %v", test.name, step.second, got, step.want)
			}
			if !got {
				continue
			}
			if value, err := DecodeRow(txn.Puts[0].Value); err != nil || value.Token != step.wantToken {
				t.Errorf("%s: got token %d (%v), want %d", test.name, value.Token, err, step.wantToken)
			}
		}
	}
}
