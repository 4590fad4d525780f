package peridotorder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"peridotstack/peridotlease"
	"peridotstack/peridotplatform"
	"peridotstack/peridotstandin"
	"peridotstack/peridotverdict"

	"peridotstack/peridotseed"
)

// pipes is a listener of in-memory connections.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.done)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// ordersBench is a stand-in platform and the ledgers of a few instances.
type ordersBench struct {
	platform *peridotstandin.Platform
	server   *http.Server
	pipes    *pipes
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup
	entries  []*ordering
}

// ordering is one instance that may order. It can be frozen at several points.
type ordering struct {
	*Ledger
	manager *peridotlease.Manager
	dial    func(context.Context) (net.Conn, error)
	// stop ends the manager, which then releases the lease.
	stop context.CancelFunc

	mu     sync.Mutex
	frozen [3]time.Duration
}

// The points at which an instance can be frozen.
const (
	beforeDial = iota
	afterDial
	afterCheck
)

func (o *ordering) freeze(point int, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.frozen[point] = d
}

func (o *ordering) pause(point int) {
	o.mu.Lock()
	d := o.frozen[point]
	o.frozen[point] = 0
	o.mu.Unlock()
	time.Sleep(d)
}

// Send implements Sender with pauses around the check.
func (o *ordering) Send(ctx context.Context, order peridotplatform.BackendOrder, authorize func(context.Context) error) error {
	o.pause(beforeDial)
	sender := &peridotplatform.Orders{Dial: o.dial}
	return sender.Send(ctx, order, func(ctx context.Context) error {
		o.pause(afterDial)
		err := authorize(ctx)
		o.pause(afterCheck)
		return err
	})
}

func newOrdersBench(n int) *ordersBench {
	b := &ordersBench{platform: peridotstandin.NewPlatform()}
	b.pipes = &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	b.server = &http.Server{Handler: b.platform.Handler()}
	b.ctx, b.stop = context.WithCancel(context.Background())
	b.running.Go(func() { _ = b.server.Serve(b.pipes) })
	b.platform.SetListLag(8 * time.Second)
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for _, name := range names {
		b.add(name, names)
	}
	return b
}

func (b *ordersBench) add(name string, names []string) {
	m := peridotlease.NewManager(b.platform.Table, name, name)
	m.SetShards([]string{shard})
	m.SetInstances(names)
	ctx, stop := context.WithCancel(b.ctx)
	o := &ordering{manager: m, dial: b.pipes.dial, stop: stop}
	o.Ledger = &Ledger{
		Shard: shard, Nonce: name, Store: b.platform.Table, Sender: o, Terms: m.Terms(),
		Authority: func() (peridotlease.Grant, bool) { return m.Grant(shard) },
		List: func(context.Context) ([]peridotplatform.Instance, error) {
			return b.platform.Instances(), nil
		},
	}
	b.entries = append(b.entries, o)
	b.running.Go(func() { _ = m.Serve(ctx) })
}

func (b *ordersBench) close() {
	b.stop()
	_ = b.server.Close()
	b.running.Wait()
	time.Sleep(2 * time.Minute)
}

// holder waits for the one that holds the lease and may order.
func (b *ordersBench) holder(t *testing.T, not *ordering) *ordering {
	t.Helper()
	for range 200 {
		for _, o := range b.entries {
			if _, err := o.mayOrder(); err == nil && o != not {
				return o
			}
		}
		time.Sleep(time.Second)
	}
	t.Fatal("got no holder, want one")
	return nil
}

// other returns an instance other than o.
func (b *ordersBench) other(o *ordering) *ordering {
	for _, other := range b.entries {
		if other != o {
			return other
		}
	}
	return nil
}

func addOrder(id string) peridotplatform.BackendOrder {
	return peridotplatform.BackendOrder{ID: id, Kind: peridotplatform.AddBackend, Domain: shard, Model: "hino-llm", Version: "v1"}
}

func always(peridotplatform.BackendOrder) bool { return true }

// settled repeats Settle until no order is open.
func settled(t *testing.T, o *ordering) {
	t.Helper()
	for range 100 {
		if o.Settle(context.Background(), always) == nil {
			return
		}
		time.Sleep(time.Second)
	}
	t.Error("Settle: got an open order for 100 s, want none")
}

func TestPlatformOrders(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		run  func(t *testing.T, b *ordersBench)
		// want names what took effect at the platform.
		want    []string
		dropped int
	}{
		{"one order", func(t *testing.T, b *ordersBench) {
			if err := b.holder(t, nil).Ledger.Send(ctx, addOrder("x"), time.Now()); err != nil {
				t.Error(err)
			}
		}, []string{"x"}, 0},
		{"answer lost after effect", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			b.platform.LoseOrderAnswers(1)
			if err := o.Ledger.Send(ctx, addOrder("x"), time.Now()); peridotverdict.Of(err) != peridotverdict.MayHaveRun {
				t.Errorf("Send: got %v, want the verdict MayHaveRun", err)
			}
			if err := o.Ledger.Send(ctx, addOrder("y"), time.Now()); !peridotverdict.Is(err, peridotverdict.OrderBusy) {
				t.Errorf("Send while another is open: got %v, want %s", err, peridotverdict.OrderBusy)
			}
			settled(t, o)
		}, []string{"x"}, 0},
		{"answer lost after effect, next holder", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			b.platform.LoseOrderAnswers(1)
			_ = o.Ledger.Send(ctx, addOrder("x"), time.Now())
			o.manager.SetShards(nil) // The lease lapses.
			settled(t, b.holder(t, o))
		}, []string{"x"}, 0},
		{"holder frozen for a while with the body unsent", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			o.freeze(afterCheck, 6*time.Second)
			if err := o.Ledger.Send(ctx, addOrder("x"), time.Now()); err == nil {
				t.Error("Send: got nil, want an error")
			}
			settled(t, o) // The order is repeated.
		}, []string{"x"}, 1},
		{"holder frozen past its lease after the check", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			o.freeze(afterCheck, 2*time.Minute)
			var frozen sync.WaitGroup
			frozen.Go(func() { _ = o.Ledger.Send(ctx, addOrder("x"), time.Now()) })
			time.Sleep(time.Second)
			o.manager.SetShards(nil)
			next := b.holder(t, o)
			if err := next.Settle(ctx, func(peridotplatform.BackendOrder) bool { return false }); err != nil && !peridotverdict.Is(err, peridotverdict.OrderBusy) {
				t.Error(err)
			}
			frozen.Wait()
		}, nil, 1},
		{"holder frozen past its lease before the check", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			o.freeze(beforeDial, 2*time.Minute)
			var frozen sync.WaitGroup
			frozen.Go(func() {
				if err := o.Ledger.Send(ctx, addOrder("x"), time.Now()); !peridotverdict.Is(err, peridotverdict.LeaseLost) {
					t.Errorf("Send: got %v, want %s", err, peridotverdict.LeaseLost)
				}
			})
			time.Sleep(time.Second)
			o.manager.SetShards(nil)
			if err := b.holder(t, o).Ledger.Send(ctx, addOrder("y"), time.Now()); err != nil {
				t.Error(err)
			}
			frozen.Wait()
		}, []string{"y"}, 1},
		{"lease ended, nobody took it over", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			o.freeze(beforeDial, time.Minute)
			time.AfterFunc(time.Second, func() {
				for _, entry := range b.entries {
					entry.manager.SetShards(nil)
				}
			})
			if err := o.Ledger.Send(ctx, addOrder("x"), time.Now()); !peridotverdict.Is(err, peridotverdict.LeaseLost) {
				t.Errorf("Send: got %v, want %s", err, peridotverdict.LeaseLost)
			}
		}, nil, 1},
		{"holder whose clock stood still", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			grant, _ := o.Authority()
			o.manager.SetShards(nil)
			o.Authority = func() (peridotlease.Grant, bool) { return grant, true }
			if err := b.holder(t, o).Ledger.Send(ctx, addOrder("y"), time.Now()); err != nil {
				t.Error(err)
			}
			if err := o.Ledger.Send(ctx, addOrder("x"), time.Now()); !peridotverdict.Is(err, peridotverdict.LeaseLost) {
				t.Errorf("Send: got %v, want %s", err, peridotverdict.LeaseLost)
			}
		}, []string{"y"}, 1},
		{"holder whose clock stood still, stale read", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			grant, _ := o.Authority()
			o.manager.SetShards(nil)
			time.Sleep(10 * time.Second) // Its last renewal is over.
			if err := b.platform.Table.FreezeReads(ctx, peridotlease.Key(shard)); err != nil {
				t.Fatal(err)
			}
			o.Authority = func() (peridotlease.Grant, bool) { return grant, true }
			b.holder(t, o)
			if err := o.Ledger.Send(ctx, addOrder("x"), time.Now()); !peridotverdict.Is(err, peridotverdict.Conflict) {
				t.Errorf("Send: got %v, want %s", err, peridotverdict.Conflict)
			}
		}, nil, 1},
		{"lease released with a body still to come", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			remove := peridotplatform.BackendOrder{ID: "x", Kind: peridotplatform.RemoveBackend, Instance: "gone by itself"}
			o.freeze(afterCheck, 4*time.Second)
			var frozen sync.WaitGroup
			frozen.Go(func() { _ = o.Ledger.Send(ctx, remove, time.Now()) })
			time.Sleep(100 * time.Millisecond)
			o.stop()
			next := b.other(o)
			for next.Settle(ctx, always) != nil || next.Ledger.Send(ctx, addOrder("y"), time.Now()) != nil {
				time.Sleep(100 * time.Millisecond)
			}
			frozen.Wait()
		}, []string{"x", "y"}, 0},
		{"order decided by a list from before the lease", func(t *testing.T, b *ordersBench) {
			listed := time.Now()
			if err := b.holder(t, nil).Ledger.Send(ctx, addOrder("x"), listed); !peridotverdict.Is(err, peridotverdict.OrderBusy) {
				t.Errorf("Send: got %v, want %s", err, peridotverdict.OrderBusy)
			}
		}, nil, 0},
		{"answer to the record lost", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			o.dial = func(ctx context.Context) (net.Conn, error) {
				b.platform.Table.LoseAnswers(1)
				o.dial = b.pipes.dial
				return o.dial(ctx)
			}
			if err := o.Ledger.Send(ctx, addOrder("x"), time.Now()); peridotverdict.Of(err) != peridotverdict.MayHaveRun {
				t.Errorf("Send: got %v, want the verdict MayHaveRun", err)
			}
			if got := len(b.platform.BackendOrders()); got != 0 {
				t.Errorf("before it is repeated: got %d orders, want 0", got)
			}
			settled(t, o)
		}, []string{"x"}, 1},
		{"store down", func(t *testing.T, b *ordersBench) {
			o := b.holder(t, nil)
			b.platform.Table.SetDown(true)
			if err := o.Ledger.Send(ctx, addOrder("x"), time.Now()); peridotverdict.Of(err) != peridotverdict.NotRun {
				t.Errorf("Send: got %v, want the verdict NotRun", err)
			}
		}, nil, 0},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			b := newOrdersBench(2)
			test.run(t, b)
			b.close()
			var got []string
			for _, e := range b.platform.BackendOrders() {
				got = append(got, e.Order.ID)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("%s: got orders %v at the platform, want %v", test.name, got, test.want)
			}
			if got := b.platform.DroppedOrders(); got != test.dropped {
				t.Errorf("%s: got %d dropped orders, want %d", test.name, got, test.dropped)
			}
		})
	}
}

// TestExpect checks that an answered order counts before the list shows it, and
// no longer than the list's lag.
func TestExpect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newOrdersBench(1)
		b.platform.SetInstances(peridotplatform.Instance{ID: "old", Domain: shard})
		o := b.holder(t, nil)
		remove := peridotplatform.BackendOrder{ID: "r", Kind: peridotplatform.RemoveBackend, Instance: "old"}
		for _, order := range []peridotplatform.BackendOrder{addOrder("x"), remove} {
			if err := o.Ledger.Send(context.Background(), order, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		stale := time.Now()
		before := b.platform.Instances()
		got := o.Expect(before, time.Now())
		if len(got) != 2 || !got[0].Leaving || got[1].OrderID != "x" {
			t.Errorf("Expect before the list shows them: got %+v, want old leaving and x", got)
		}
		time.Sleep(9 * time.Second)
		if got := o.Expect(before, stale); len(got) != 2 {
			t.Errorf("Expect of an old list: got %+v, want old leaving and x", got)
		}
		if got := o.Expect(b.platform.Instances(), time.Now()); len(got) != 1 || got[0].OrderID != "x" {
			t.Errorf("Expect once the list shows them: got %+v, want x only", got)
		}
		time.Sleep(time.Minute)
		if got := o.Expect(before, time.Now()); len(got) != 1 || got[0].Leaving {
			t.Errorf("Expect after the lag: got %+v, want the list as it is", got)
		}
		b.close()
	})
}

// TestPlatformGetsOneSequence runs seeded schedules of failures, singly and in
// pairs, with three instances that want to order, and checks the platform's log:
// each order at most once, and tokens that never go back.
func TestPlatformGetsOneSequence(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		synctest.Test(t, func(t *testing.T) { checkPlatform(t, uint64(seed)) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// orderAgainAndAgain orders one backend server after another.
func (o *ordering) orderAgainAndAgain(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		if o.Settle(ctx, always) == nil {
			_ = o.Ledger.Send(ctx, addOrder(fmt.Sprintf("%s/%d", name, n)), time.Now())
		}
		time.Sleep(900 * time.Millisecond)
	}
}

func checkPlatform(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	b := newOrdersBench(3)
	for i, o := range b.entries {
		b.running.Go(func() { o.orderAgainAndAgain(b.ctx, fmt.Sprint("entry-", i)) })
	}
	table := b.platform.Table
	time.Sleep(40 * time.Second)
	for range 8 {
		time.Sleep(time.Duration(5+r.IntN(40)) * time.Second)
		for range 1 + r.IntN(2) {
			switch r.IntN(7) {
			case 0:
				table.SetDown(true)
				time.AfterFunc(time.Duration(r.IntN(30))*time.Second, func() { table.SetDown(false) })
			case 1:
				table.LoseAnswers(1 + r.IntN(6))
			case 2:
				table.DropCommits(1 + r.IntN(6))
			case 3:
				b.platform.LoseOrderAnswers(1 + r.IntN(3))
			default:
				b.freezeHolder(r)
			}
		}
	}
	time.Sleep(time.Minute)
	b.close()
	checkPlatformLog(t, b.platform.BackendOrders())
}

// freezeHolder freezes whoever holds the lease: its orders at one point, and the
// renewal of its lease.
func (b *ordersBench) freezeHolder(r *rand.Rand) {
	d := time.Duration(r.IntN(60)) * time.Second
	for _, o := range b.entries {
		if _, ok := o.manager.Grant(shard); !ok {
			continue
		}
		o.freeze(r.IntN(3), d)
		o.manager.SetShards(nil)
		time.AfterFunc(d, func() { o.manager.SetShards([]string{shard}) })
	}
}

func checkPlatformLog(t *testing.T, events []peridotstandin.BackendOrderEvent) {
	t.Helper()
	seen := make(map[string]bool)
	var token int64
	for _, e := range events {
		if seen[e.Order.ID] {
			t.Errorf("got order %s twice, want it once", e.Order.ID)
		}
		if e.Order.Token < token {
			t.Errorf("got order %s with token %d after %d, want it not to go back", e.Order.ID, e.Order.Token, token)
		}
		seen[e.Order.ID], token = true, e.Order.Token
	}
	if len(events) == 0 {
		t.Error("got no order at the platform, want some")
	}
}
