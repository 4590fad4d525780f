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

// pipeListener is a net.Listener for in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.done)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// platformFixture contains a stand-in platform and the instances that send orders to
// it.
type platformFixture struct {
	platform *peridotstandin.Platform
	server   *http.Server
	listener *pipeListener
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup
	senders  []*platformSender
}

// platformSender is an instance that sends orders to the platform. It can be paused
// at several points.
type platformSender struct {
	*Dispatcher
	manager *peridotlease.Manager
	dial    func(context.Context) (net.Conn, error)
	// stop stops the manager, which then releases the lease.
	stop context.CancelFunc

	mu     sync.Mutex
	pauses [3]time.Duration
}

// Points at which a platformSender can be paused.
const (
	beforeDial = iota
	afterDial
	afterCheck
)

func (o *platformSender) setPause(point int, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pauses[point] = d
}

func (o *platformSender) pause(point int) {
	o.mu.Lock()
	d := o.pauses[point]
	o.pauses[point] = 0
	o.mu.Unlock()
	time.Sleep(d)
}

// Send implements Sender. It can pause before the dial, and before and after the
// call of authorize.
func (o *platformSender) Send(ctx context.Context, order peridotplatform.BackendOrder, authorize func(context.Context) error) error {
	o.pause(beforeDial)
	sender := &peridotplatform.OrderSender{Dial: o.dial}
	return sender.Send(ctx, order, func(ctx context.Context) error {
		o.pause(afterDial)
		err := authorize(ctx)
		o.pause(afterCheck)
		return err
	})
}

func newPlatformFixture(n int) *platformFixture {
	f := &platformFixture{platform: peridotstandin.NewPlatform()}
	f.listener = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	f.server = &http.Server{Handler: f.platform.Handler()}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.running.Go(func() { _ = f.server.Serve(f.listener) })
	f.platform.SetListLag(8 * time.Second)
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for _, name := range names {
		f.addSender(name, names)
	}
	return f
}

func (f *platformFixture) addSender(name string, names []string) {
	m := peridotlease.NewManager(f.platform.Table, name, name)
	m.SetShards([]string{shard})
	m.SetInstances(names)
	ctx, stop := context.WithCancel(f.ctx)
	o := &platformSender{manager: m, dial: f.listener.dial, stop: stop}
	o.Dispatcher = &Dispatcher{
		Shard: shard, Nonce: name, Store: f.platform.Table, Sender: o, Terms: m.Terms(),
		Grant: func() (peridotlease.Grant, bool) { return m.Grant(shard) },
		List: func(context.Context) ([]peridotplatform.Instance, error) {
			return f.platform.Instances(), nil
		},
	}
	f.senders = append(f.senders, o)
	f.running.Go(func() { _ = m.Serve(ctx) })
}

func (f *platformFixture) close() {
	f.stop()
	_ = f.server.Close()
	f.running.Wait()
	time.Sleep(2 * time.Minute)
}

// waitForHolder waits until an instance other than excluded may send orders, and
// returns it.
func (f *platformFixture) waitForHolder(t *testing.T, excluded *platformSender) *platformSender {
	t.Helper()
	for range 200 {
		for _, o := range f.senders {
			if _, err := o.orderGrant(); err == nil && o != excluded {
				return o
			}
		}
		time.Sleep(time.Second)
	}
	t.Fatal("got no lease holder, want one")
	return nil
}

// otherSender returns an instance other than o.
func (f *platformFixture) otherSender(o *platformSender) *platformSender {
	for _, other := range f.senders {
		if other != o {
			return other
		}
	}
	return nil
}

func newAddOrder(id string) peridotplatform.BackendOrder {
	return peridotplatform.BackendOrder{ID: id, Kind: peridotplatform.AddBackend, Domain: shard, Model: "hino-llm", Version: "v1"}
}

func alwaysWanted(peridotplatform.BackendOrder) bool { return true }

// waitUntilResolved calls ResolveOpenOrder until no order is open.
func waitUntilResolved(t *testing.T, o *platformSender) {
	t.Helper()
	for range 100 {
		if o.ResolveOpenOrder(context.Background(), alwaysWanted) == nil {
			return
		}
		time.Sleep(time.Second)
	}
	t.Error("ResolveOpenOrder: got an open order for 100 s, want none")
}

func TestDispatcherSend(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		run  func(t *testing.T, f *platformFixture)
		// want lists the IDs of the orders that took effect at the platform.
		want []string
		// wantDropped is the number of orders whose body arrived too late or not at all.
		wantDropped int
	}{
		{"one order", func(t *testing.T, f *platformFixture) {
			if err := f.waitForHolder(t, nil).Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); err != nil {
				t.Error(err)
			}
		}, []string{"x"}, 0},
		{"answer lost after the order took effect", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			f.platform.LoseOrderAnswers(1)
			if err := o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); peridotverdict.Of(err) != peridotverdict.MayHaveRun {
				t.Errorf("Send: got %v, want the verdict MayHaveRun", err)
			}
			if err := o.Dispatcher.Send(ctx, newAddOrder("y"), time.Now()); !peridotverdict.Is(err, peridotverdict.OrderBusy) {
				t.Errorf("Send while another is open: got %v, want %s", err, peridotverdict.OrderBusy)
			}
			waitUntilResolved(t, o)
		}, []string{"x"}, 0},
		{"answer lost after the order took effect, next holder resolves it", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			f.platform.LoseOrderAnswers(1)
			_ = o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now())
			o.manager.SetShards(nil) // The lease expires without being released.
			waitUntilResolved(t, f.waitForHolder(t, o))
		}, []string{"x"}, 0},
		{"holder paused before sending the body, still holds the lease", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			o.setPause(afterCheck, 6*time.Second)
			if err := o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); err == nil {
				t.Error("Send: got nil, want an error")
			}
			waitUntilResolved(t, o) // ResolveOpenOrder sends the order again.
		}, []string{"x"}, 1},
		{"holder paused past the end of its lease after the check", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			o.setPause(afterCheck, 2*time.Minute)
			var sends sync.WaitGroup
			sends.Go(func() { _ = o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()) })
			time.Sleep(time.Second)
			o.manager.SetShards(nil)
			next := f.waitForHolder(t, o)
			if err := next.ResolveOpenOrder(ctx, func(peridotplatform.BackendOrder) bool { return false }); err != nil && !peridotverdict.Is(err, peridotverdict.OrderBusy) {
				t.Error(err)
			}
			sends.Wait()
		}, nil, 1},
		{"holder paused past the end of its lease before the check", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			o.setPause(beforeDial, 2*time.Minute)
			var sends sync.WaitGroup
			sends.Go(func() {
				if err := o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); !peridotverdict.Is(err, peridotverdict.LeaseLost) {
					t.Errorf("Send: got %v, want %s", err, peridotverdict.LeaseLost)
				}
			})
			time.Sleep(time.Second)
			o.manager.SetShards(nil)
			if err := f.waitForHolder(t, o).Dispatcher.Send(ctx, newAddOrder("y"), time.Now()); err != nil {
				t.Error(err)
			}
			sends.Wait()
		}, []string{"y"}, 1},
		{"lease ended, no new holder", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			o.setPause(beforeDial, time.Minute)
			time.AfterFunc(time.Second, func() {
				for _, entry := range f.senders {
					entry.manager.SetShards(nil)
				}
			})
			if err := o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); !peridotverdict.Is(err, peridotverdict.LeaseLost) {
				t.Errorf("Send: got %v, want %s", err, peridotverdict.LeaseLost)
			}
		}, nil, 1},
		{"holder with a stopped clock", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			grant, _ := o.Grant()
			o.manager.SetShards(nil)
			o.Grant = func() (peridotlease.Grant, bool) { return grant, true }
			if err := f.waitForHolder(t, o).Dispatcher.Send(ctx, newAddOrder("y"), time.Now()); err != nil {
				t.Error(err)
			}
			if err := o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); !peridotverdict.Is(err, peridotverdict.LeaseLost) {
				t.Errorf("Send: got %v, want %s", err, peridotverdict.LeaseLost)
			}
		}, []string{"y"}, 1},
		{"holder with a stopped clock, stale read", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			grant, _ := o.Grant()
			o.manager.SetShards(nil)
			time.Sleep(10 * time.Second) // Wait until the holder's last renewal has finished.
			if err := f.platform.Table.FreezeReads(ctx, peridotlease.RowKey(shard)); err != nil {
				t.Fatal(err)
			}
			o.Grant = func() (peridotlease.Grant, bool) { return grant, true }
			f.waitForHolder(t, o)
			if err := o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); !peridotverdict.Is(err, peridotverdict.Conflict) {
				t.Errorf("Send: got %v, want %s", err, peridotverdict.Conflict)
			}
		}, nil, 1},
		{"lease released before the body was sent", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			remove := peridotplatform.BackendOrder{ID: "x", Kind: peridotplatform.RemoveBackend, Instance: "unlisted"}
			o.setPause(afterCheck, 4*time.Second)
			var sends sync.WaitGroup
			sends.Go(func() { _ = o.Dispatcher.Send(ctx, remove, time.Now()) })
			time.Sleep(100 * time.Millisecond)
			o.stop()
			next := f.otherSender(o)
			for next.ResolveOpenOrder(ctx, alwaysWanted) != nil || next.Dispatcher.Send(ctx, newAddOrder("y"), time.Now()) != nil {
				time.Sleep(100 * time.Millisecond)
			}
			sends.Wait()
		}, []string{"x", "y"}, 0},
		{"order based on a list from before the lease", func(t *testing.T, f *platformFixture) {
			listStart := time.Now()
			if err := f.waitForHolder(t, nil).Dispatcher.Send(ctx, newAddOrder("x"), listStart); !peridotverdict.Is(err, peridotverdict.OrderBusy) {
				t.Errorf("Send: got %v, want %s", err, peridotverdict.OrderBusy)
			}
		}, nil, 0},
		{"answer to the commit of the intent lost", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			o.dial = func(ctx context.Context) (net.Conn, error) {
				f.platform.Table.LoseAnswers(1)
				o.dial = f.listener.dial
				return o.dial(ctx)
			}
			if err := o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); peridotverdict.Of(err) != peridotverdict.MayHaveRun {
				t.Errorf("Send: got %v, want the verdict MayHaveRun", err)
			}
			if got := len(f.platform.BackendOrders()); got != 0 {
				t.Errorf("before ResolveOpenOrder sends the order again: got %d orders, want 0", got)
			}
			waitUntilResolved(t, o)
		}, []string{"x"}, 1},
		{"store down", func(t *testing.T, f *platformFixture) {
			o := f.waitForHolder(t, nil)
			f.platform.Table.SetDown(true)
			if err := o.Dispatcher.Send(ctx, newAddOrder("x"), time.Now()); peridotverdict.Of(err) != peridotverdict.NotRun {
				t.Errorf("Send: got %v, want the verdict NotRun", err)
			}
		}, nil, 0},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newPlatformFixture(2)
			test.run(t, f)
			f.close()
			var got []string
			for _, e := range f.platform.BackendOrders() {
				got = append(got, e.Order.ID)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("%s: got orders %v at the platform, want %v", test.name, got, test.want)
			}
			if got := f.platform.DroppedOrders(); got != test.wantDropped {
				t.Errorf("%s: got %d dropped orders, want %d", test.name, got, test.wantDropped)
			}
		})
	}
}

// TestDispatcherExpectedInstances checks that ExpectedInstances adds the effect of a
// confirmed order until the list shows it or the list's lag has passed.
func TestDispatcherExpectedInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPlatformFixture(1)
		f.platform.SetInstances(peridotplatform.Instance{ID: "old", Domain: shard})
		o := f.waitForHolder(t, nil)
		remove := peridotplatform.BackendOrder{ID: "r", Kind: peridotplatform.RemoveBackend, Instance: "old"}
		for _, order := range []peridotplatform.BackendOrder{newAddOrder("x"), remove} {
			if err := o.Dispatcher.Send(context.Background(), order, time.Now()); err != nil {
				t.Fatal(err)
			}
		}
		stale := time.Now()
		before := f.platform.Instances()
		got := o.ExpectedInstances(before, time.Now())
		if len(got) != 2 || !got[0].Leaving || got[1].OrderID != "x" {
			t.Errorf("ExpectedInstances before the list shows the orders: got %+v, want old leaving and x", got)
		}
		time.Sleep(9 * time.Second)
		if got := o.ExpectedInstances(before, stale); len(got) != 2 {
			t.Errorf("ExpectedInstances of a stale list: got %+v, want old leaving and x", got)
		}
		if got := o.ExpectedInstances(f.platform.Instances(), time.Now()); len(got) != 1 || got[0].OrderID != "x" {
			t.Errorf("ExpectedInstances after the list shows the orders: got %+v, want x only", got)
		}
		time.Sleep(time.Minute)
		if got := o.ExpectedInstances(before, time.Now()); len(got) != 1 || got[0].Leaving {
			t.Errorf("ExpectedInstances after the list's lag: got %+v, want the list unchanged", got)
		}
		f.close()
	})
}

// TestPlatformOrdersAreSerialized lets three instances send orders concurrently
// under seeded schedules of failures, injected singly and in pairs. It checks that
// the platform applied each order at most once and that tokens never decreased.
func TestPlatformOrdersAreSerialized(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		synctest.Test(t, func(t *testing.T) { checkPlatformSchedule(t, uint64(seed)) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// sendOrders orders one backend server after another until ctx is done.
func (o *platformSender) sendOrders(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		if o.ResolveOpenOrder(ctx, alwaysWanted) == nil {
			_ = o.Dispatcher.Send(ctx, newAddOrder(fmt.Sprintf("%s/%d", name, n)), time.Now())
		}
		time.Sleep(900 * time.Millisecond)
	}
}

func checkPlatformSchedule(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	f := newPlatformFixture(3)
	for i, o := range f.senders {
		f.running.Go(func() { o.sendOrders(f.ctx, fmt.Sprint("entry-", i)) })
	}
	table := f.platform.Table
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
				f.platform.LoseOrderAnswers(1 + r.IntN(3))
			default:
				f.pauseHolder(r)
			}
		}
	}
	time.Sleep(time.Minute)
	f.close()
	checkPlatformLog(t, f.platform.BackendOrders())
}

// pauseHolder pauses the lease holder: its orders at one of the points, and the
// renewal of its lease.
func (f *platformFixture) pauseHolder(r *rand.Rand) {
	d := time.Duration(r.IntN(60)) * time.Second
	for _, o := range f.senders {
		if _, ok := o.manager.Grant(shard); !ok {
			continue
		}
		o.setPause(r.IntN(3), d)
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
			t.Errorf("got order %s twice, want once", e.Order.ID)
		}
		if e.Order.Token < token {
			t.Errorf("got order %s with token %d after token %d, want no decrease", e.Order.ID, e.Order.Token, token)
		}
		seen[e.Order.ID], token = true, e.Order.Token
	}
	if len(events) == 0 {
		t.Error("got no order at the platform, want some")
	}
}
