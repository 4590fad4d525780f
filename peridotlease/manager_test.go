package peridotlease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"peridotstack/peridottable"

	"peridotstack/peridotseed"
)

// latency is what a call takes one way.
const latency = 150 * time.Millisecond

// pausing is a Store whose caller can be frozen before a call goes out or after
// its answer came, as a paused process would be.
type pausing struct {
	peridottable.Store
	mu sync.Mutex
	// before and after are when a freeze in front of or behind a call ends.
	before, after time.Time
	// stale is when reads end to return rows, which were read before.
	stale time.Time
	rows  []peridottable.Row
}

// old returns the rows read last while reads are stale.
func (p *pausing) old() ([]peridottable.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows, time.Now().Before(p.stale) && p.rows != nil
}

func (p *pausing) makeStale(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = time.Now().Add(d)
}

func (p *pausing) freeze(d time.Duration, after bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after {
		p.after = time.Now().Add(d)
		return
	}
	p.before = time.Now().Add(d)
}

func (p *pausing) wait(until *time.Time) {
	p.mu.Lock()
	d := time.Until(*until)
	p.mu.Unlock()
	time.Sleep(max(d, latency))
}

func (p *pausing) Scan(ctx context.Context, r peridottable.Range) ([]peridottable.Row, error) {
	p.wait(&p.before)
	defer p.wait(&p.after)
	if rows, stale := p.old(); stale {
		return rows, nil
	}
	rows, err := p.Store.Scan(ctx, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = rows
	return rows, err
}

func (p *pausing) Commit(ctx context.Context, t peridottable.Txn) (int64, error) {
	p.wait(&p.before)
	defer p.wait(&p.after)
	return p.Store.Commit(ctx, t)
}

// world is a few managers over one table.
type world struct {
	table    *peridottable.Faulty
	stores   []*pausing
	managers []*Manager
}

func newWorld(n int, shards []string, terms Terms) *world {
	w := &world{table: &peridottable.Faulty{Store: &peridottable.Memory{}}}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	start := time.Now()
	for i, name := range names {
		store := &pausing{Store: w.table}
		// The clocks run apart by the whole bound.
		speed := 1 + terms.Drift*float64(i%3-1)
		clock := func() time.Time {
			return start.Add(time.Duration(float64(time.Since(start)) * speed))
		}
		m := NewManager(store, name, "nonce-"+name, WithTerms(terms), WithClock(clock))
		m.SetShards(shards)
		m.SetInstances(names)
		w.stores = append(w.stores, store)
		w.managers = append(w.managers, m)
	}
	return w
}

// fault brings about one failure, chosen by r, and ends it by itself.
func (w *world) fault(r *rand.Rand) {
	switch r.IntN(5) {
	case 0:
		w.table.SetDown(true)
		time.AfterFunc(time.Duration(r.IntN(30))*time.Second, func() { w.table.SetDown(false) })
	case 1:
		w.table.LoseAnswers(1 + r.IntN(4))
	case 2:
		w.table.DropCommits(1 + r.IntN(4))
	case 3:
		w.stores[r.IntN(len(w.stores))].makeStale(time.Duration(r.IntN(40)) * time.Second)
	case 4:
		w.stores[r.IntN(len(w.stores))].freeze(time.Duration(r.IntN(40))*time.Second, r.IntN(2) == 0)
	}
}

// holders returns who holds the shard now, by their own account.
func (w *world) holders(shard string) []Grant {
	var grants []Grant
	for _, m := range w.managers {
		if g, ok := m.Grant(shard); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

// TestOneHolderAtATime runs seeded schedules of failures, singly and in pairs,
// and holds the history of each to a written model: at most one holder at any
// time, and a token that never goes back and never changes hands.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		synctest.Test(t, func(t *testing.T) { checkSchedule(t, uint64(seed)) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func checkSchedule(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	ctx, stop := context.WithCancel(context.Background())
	w := newWorld(3, []string{"a", "b"}, testTerms)
	var running sync.WaitGroup
	for _, m := range w.managers {
		running.Go(func() { _ = m.Serve(ctx) })
	}
	var token int64
	held := 0
	for tick := range 1200 {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		grants := w.holders("a")
		if len(grants) > 1 {
			t.Errorf("seed %d at %d: got %d holders (%+v), want at most 1", seed, tick, len(grants), grants)
		}
		for _, g := range grants {
			held++
			if g.Token < token {
				t.Errorf("seed %d at %d: got token %d after %d, want it not to go back", seed, tick, g.Token, token)
			}
			token = g.Token
		}
		if tick%150 == 100 {
			w.fault(r)
			if r.IntN(2) == 0 {
				w.fault(r)
			}
		}
	}
	if held == 0 {
		t.Errorf("seed %d: got no holder at any time, want one", seed)
	}
	stop()
	running.Wait()
	time.Sleep(time.Minute) // The faults end before the bubble does.
}

// TestLeaseReturns checks that a shard finds a holder after each failure ends.
func TestLeaseReturns(t *testing.T) {
	tests := []struct {
		name string
		do   func(w *world, stops []context.CancelFunc, holder int)
	}{
		{"holder stopped gracefully", func(_ *world, stops []context.CancelFunc, holder int) { stops[holder]() }},
		{"holder frozen", func(w *world, _ []context.CancelFunc, holder int) { w.stores[holder].freeze(time.Hour, false) }},
		{"store outage", func(w *world, _ []context.CancelFunc, _ int) {
			w.table.SetDown(true)
			time.Sleep(time.Minute)
			w.table.SetDown(false)
		}},
		{"answers lost", func(w *world, _ []context.CancelFunc, _ int) { w.table.LoseAnswers(5) }},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(3, []string{"a"}, testTerms)
			var stops []context.CancelFunc
			for _, m := range w.managers {
				ctx, stop := context.WithCancel(context.Background())
				stops = append(stops, stop)
				go m.Serve(ctx)
			}
			time.Sleep(10 * time.Second)
			before := w.holders("a")
			if len(before) != 1 {
				t.Fatalf("%s: got holders %v at first, want 1", test.name, before)
			}
			for i, m := range w.managers {
				if _, ok := m.Grant("a"); ok {
					test.do(w, stops, i)
					break
				}
			}
			time.Sleep(30 * time.Second)
			if got := w.holders("a"); len(got) != 1 {
				t.Errorf("%s: got holders %v, want 1", test.name, got)
			}
			for _, stop := range stops {
				stop()
			}
			time.Sleep(2 * time.Hour)
		})
	}
}

// BenchmarkStoreLoad prints the calls to the table service per second for some
// sizes, over five simulated minutes with all instances up.
func BenchmarkStoreLoad(b *testing.B) {
	sizes := []struct{ shards, instances int }{{4, 3}, {13, 100}, {13, 1200}, {200, 100}}
	for _, size := range sizes {
		name := fmt.Sprintf("shards=%d/instances=%d", size.shards, size.instances)
		b.Run(name, func(b *testing.B) {
			var writes, reads int
			for b.Loop() {
				writes, reads = storeLoad(size.shards, size.instances)
			}
			b.ReportMetric(float64(writes)/300, "commits/s")
			b.ReportMetric(float64(reads)/300, "reads/s")
			b.ReportMetric(float64(writes)/300/float64(size.shards), "commits/s/shard")
		})
	}
}
