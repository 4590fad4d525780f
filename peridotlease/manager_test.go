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

// callLatency is the one-way latency of a call to the table service.
const callLatency = 150 * time.Millisecond

// pausingStore is a Store that can block its caller before a call is sent or
// after its response arrived, as if the calling process were paused. It can also
// return stale reads.
type pausingStore struct {
	peridottable.Store
	mu sync.Mutex
	// frozenBeforeUntil and frozenAfterUntil are the times until which callers are
	// blocked before and after each call.
	frozenBeforeUntil, frozenAfterUntil time.Time
	// staleUntil is the time until which Scan returns lastRows.
	staleUntil time.Time
	// lastRows are the rows of the last read that was not stale.
	lastRows []peridottable.Row
}

// staleRows returns the rows of the last read, and whether Scan must return them
// instead of reading the table.
func (p *pausingStore) staleRows() ([]peridottable.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastRows, time.Now().Before(p.staleUntil) && p.lastRows != nil
}

// makeStale makes all reads of the next d stale.
func (p *pausingStore) makeStale(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleUntil = time.Now().Add(d)
}

// freeze blocks callers for the next d, after each call if afterCall is set and
// before it otherwise.
func (p *pausingStore) freeze(d time.Duration, afterCall bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if afterCall {
		p.frozenAfterUntil = time.Now().Add(d)
		return
	}
	p.frozenBeforeUntil = time.Now().Add(d)
}

// sleepUntil sleeps until end, and at least for callLatency.
func (p *pausingStore) sleepUntil(end *time.Time) {
	p.mu.Lock()
	remaining := time.Until(*end)
	p.mu.Unlock()
	time.Sleep(max(remaining, callLatency))
}

func (p *pausingStore) Scan(ctx context.Context, r peridottable.Range) ([]peridottable.Row, error) {
	p.sleepUntil(&p.frozenBeforeUntil)
	defer p.sleepUntil(&p.frozenAfterUntil)
	if rows, stale := p.staleRows(); stale {
		return rows, nil
	}
	rows, err := p.Store.Scan(ctx, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRows = rows
	return rows, err
}

func (p *pausingStore) Commit(ctx context.Context, t peridottable.Txn) (int64, error) {
	p.sleepUntil(&p.frozenBeforeUntil)
	defer p.sleepUntil(&p.frozenAfterUntil)
	return p.Store.Commit(ctx, t)
}

// cluster is a group of managers that share one table.
type cluster struct {
	table    *peridottable.Faulty
	stores   []*pausingStore
	managers []*Manager
}

func newCluster(n int, shards []string, terms Terms) *cluster {
	c := &cluster{table: &peridottable.Faulty{Store: &peridottable.Memory{}}}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	start := time.Now()
	for i, name := range names {
		store := &pausingStore{Store: c.table}
		// The rates of the clocks differ by up to the whole drift bound.
		rate := 1 + terms.MaxClockDrift*float64(i%3-1)
		clock := func() time.Time {
			return start.Add(time.Duration(float64(time.Since(start)) * rate))
		}
		m := NewManager(store, name, "nonce-"+name, WithTerms(terms), WithClock(clock))
		m.SetShards(shards)
		m.SetInstances(names)
		c.stores = append(c.stores, store)
		c.managers = append(c.managers, m)
	}
	return c
}

// injectFault starts one fault, chosen by r, which ends by itself.
func (c *cluster) injectFault(r *rand.Rand) {
	switch r.IntN(5) {
	case 0:
		c.table.SetDown(true)
		time.AfterFunc(time.Duration(r.IntN(30))*time.Second, func() { c.table.SetDown(false) })
	case 1:
		c.table.LoseAnswers(1 + r.IntN(4))
	case 2:
		c.table.DropCommits(1 + r.IntN(4))
	case 3:
		c.stores[r.IntN(len(c.stores))].makeStale(time.Duration(r.IntN(40)) * time.Second)
	case 4:
		c.stores[r.IntN(len(c.stores))].freeze(time.Duration(r.IntN(40))*time.Second, r.IntN(2) == 0)
	}
}

// grantsOn returns the grants that the managers have on a shard, at most one per
// manager.
func (c *cluster) grantsOn(shard string) []Grant {
	var grants []Grant
	for _, m := range c.managers {
		if g, ok := m.Grant(shard); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

// TestOneHolderAtATime runs seeded schedules of faults, one or two at a time, and
// checks in each history that a shard has at most one holder at any time and that
// its fencing token never decreases.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		synctest.Test(t, func(t *testing.T) { checkSchedule(t, uint64(seed)) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func checkSchedule(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	ctx, stop := context.WithCancel(context.Background())
	c := newCluster(3, []string{"a", "b"}, testTerms)
	var running sync.WaitGroup
	for _, m := range c.managers {
		running.Go(func() { _ = m.Serve(ctx) })
	}
	var lastToken int64
	grantCount := 0
	for tick := range 1200 {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		grants := c.grantsOn("a")
		if len(grants) > 1 {
			t.Errorf("seed %d tick %d: got %d holders of one shard (%+v), want at most 1", seed, tick, len(grants), grants)
		}
		for _, g := range grants {
			grantCount++
			if g.Token < lastToken {
				t.Errorf("seed %d tick %d: got token %d after %d, want a token that never decreases", seed, tick, g.Token, lastToken)
			}
			lastToken = g.Token
		}
		if tick%150 == 100 {
			c.injectFault(r)
			if r.IntN(2) == 0 {
				c.injectFault(r)
			}
		}
	}
	if grantCount == 0 {
		t.Errorf("seed %d: the shard never had a holder, want one", seed)
	}
	stop()
	running.Wait()
	time.Sleep(time.Minute) // Let the timers of all faults fire before the synctest bubble ends.
}

// TestLeaseReacquiredAfterFailure checks that a shard has a holder again after
// each kind of failure.
func TestLeaseReacquiredAfterFailure(t *testing.T) {
	tests := []struct {
		name string
		fail func(c *cluster, stops []context.CancelFunc, holderIndex int)
	}{
		{"holder stopped gracefully", func(_ *cluster, stops []context.CancelFunc, holderIndex int) { stops[holderIndex]() }},
		{"holder frozen", func(c *cluster, _ []context.CancelFunc, holderIndex int) {
			c.stores[holderIndex].freeze(time.Hour, false)
		}},
		{"store outage", func(c *cluster, _ []context.CancelFunc, _ int) {
			c.table.SetDown(true)
			time.Sleep(time.Minute)
			c.table.SetDown(false)
		}},
		{"responses lost", func(c *cluster, _ []context.CancelFunc, _ int) { c.table.LoseAnswers(5) }},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(3, []string{"a"}, testTerms)
			var stops []context.CancelFunc
			for _, m := range c.managers {
				ctx, stop := context.WithCancel(context.Background())
				stops = append(stops, stop)
				go m.Serve(ctx)
			}
			time.Sleep(10 * time.Second)
			before := c.grantsOn("a")
			if len(before) != 1 {
				t.Fatalf("%s: got holders %v before the failure, want 1", test.name, before)
			}
			for i, m := range c.managers {
				if _, ok := m.Grant("a"); ok {
					test.fail(c, stops, i)
					break
				}
			}
			time.Sleep(30 * time.Second)
			if got := c.grantsOn("a"); len(got) != 1 {
				t.Errorf("%s: got holders %v after the failure, want 1", test.name, got)
			}
			for _, stop := range stops {
				stop()
			}
			time.Sleep(2 * time.Hour)
		})
	}
}

// BenchmarkStoreLoad reports the calls per second to the table service for
// clusters of several sizes, over five simulated minutes with all instances up.
func BenchmarkStoreLoad(b *testing.B) {
	sizes := []struct{ shards, instances int }{{4, 3}, {13, 100}, {13, 1200}, {200, 100}}
	for _, size := range sizes {
		name := fmt.Sprintf("shards=%d/instances=%d", size.shards, size.instances)
		b.Run(name, func(b *testing.B) {
			var commits, reads int
			for b.Loop() {
				commits, reads = storeLoad(size.shards, size.instances)
			}
			b.ReportMetric(float64(commits)/300, "commits/s")
			b.ReportMetric(float64(reads)/300, "reads/s")
			b.ReportMetric(float64(commits)/300/float64(size.shards), "commits/s/shard")
		})
	}
}
