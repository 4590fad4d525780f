package peridotorder

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"peridotstack/peridotbackend"
	"peridotstack/peridotlease"
	"peridotstack/peridotstandin"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"

	"peridotstack/peridotseed"
)

// direct is a stand-in engine reached without a network.
type direct struct {
	engine *peridotstandin.Engine
}

// post calls the stand-in's handler; a cut connection is a lost answer.
func (d direct) post(path string, body any, answer any) (err error) {
	defer func() {
		if recover() != nil {
			err = peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "cut")
		}
	}()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	recorder := httptest.NewRecorder()
	d.engine.Handler().ServeHTTP(recorder, httptest.NewRequest("POST", path, strings.NewReader(string(data))))
	if recorder.Code != 200 {
		return peridotverdict.New(peridotverdict.StaleToken, peridotverdict.NotRun, "refused")
	}
	return json.Unmarshal(recorder.Body.Bytes(), answer)
}

func (d direct) State(context.Context) (peridotbackend.State, error) {
	var s peridotbackend.State
	err := d.post("/state", struct{}{}, &s)
	return s, err
}

func (d direct) Order(_ context.Context, o peridotwire.Order) error {
	return d.post("/orders", o, &struct{}{})
}

const shard = "recife-a"

// setLease writes the lease row as its holder would.
func setLease(t testing.TB, table peridottable.Store, token int64) {
	t.Helper()
	ctx := context.Background()
	row, err := table.Get(ctx, peridotlease.Key(shard))
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(peridotlease.Row{Holder: "entry", Nonce: "n", Token: token, TTLMillis: 15_000})
	if err != nil {
		t.Fatal(err)
	}
	txn := peridottable.Txn{
		ID:     fmt.Sprint("lease ", token),
		Checks: []peridottable.Check{{Key: row.Key, Version: row.Version}},
		Puts:   []peridottable.Put{{Key: row.Key, Value: value}},
	}
	if _, err := table.Commit(ctx, txn); err != nil {
		t.Fatal(err)
	}
}

// bench is one engine, its executor and the table.
type bench struct {
	table    *peridottable.Faulty
	engine   *peridotstandin.Engine
	executor *Executor
	restarts int
}

func newBench(t testing.TB, checksTokens bool) *bench {
	b := &bench{
		table: &peridottable.Faulty{Store: &peridottable.Memory{}},
		engine: peridotstandin.NewEngine(peridotstandin.EngineOptions{
			Model: "hino-llm", Version: "v1", Role: "Mixed", OrderTime: 8 * time.Second, ChecksTokens: checksTokens,
		}),
	}
	setLease(t, b.table, 1)
	b.restart()
	return b
}

// restart replaces the process beside the engine and waits until it may order.
func (b *bench) restart() {
	b.restarts++
	b.executor = NewExecutor(direct{b.engine}, b.table, shard, strconv.Itoa(b.restarts))
	time.Sleep(settleTime)
}

// ticket announces a token.
func (b *bench) ticket(t testing.TB, token int64) string {
	t.Helper()
	d, err := b.executor.Describe(context.Background(), peridotwire.Describe{Shard: shard, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	return d.Ticket
}

func order(id, ticket string, token int64) peridotwire.Order {
	return peridotwire.Order{ID: id, Shard: shard, Token: token, Ticket: ticket, Kind: peridotwire.SetRole, Role: id, TimeoutMillis: 10_000}
}

// fakeRequests counts requests on an engine.
type fakeRequests struct {
	running int
}

func (f *fakeRequests) Quiesce() bool        { return f.running == 0 }
func (f *fakeRequests) Resume(time.Duration) {}

func code(err *peridotverdict.Error) peridotverdict.Code {
	if err == nil {
		return ""
	}
	return err.Code
}

// TestOrders brings about one failure each and watches the engine's log.
func TestOrders(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		// run returns the outcome of the last order.
		run  func(t *testing.T, b *bench) *peridotverdict.Error
		code peridotverdict.Code
		// orders names what took effect at the engine, in order.
		orders string
	}{
		{"one order", func(t *testing.T, b *bench) *peridotverdict.Error {
			return b.executor.Order(ctx, order("x", b.ticket(t, 1), 1))
		}, "", "x"},
		{"old holder after a newer one announced itself", func(t *testing.T, b *bench) *peridotverdict.Error {
			old := order("x", b.ticket(t, 1), 1)
			b.ticket(t, 2)
			return b.executor.Order(ctx, old)
		}, peridotverdict.StaleToken, ""},
		{"holder frozen past its lease, nobody else yet", func(t *testing.T, b *bench) *peridotverdict.Error {
			frozen := order("x", b.ticket(t, 1), 1)
			time.Sleep(10 * time.Second)
			return b.executor.Order(ctx, frozen)
		}, peridotverdict.LeaseLost, ""},
		{"answer lost, order repeated", func(t *testing.T, b *bench) *peridotverdict.Error {
			b.engine.LoseOrderAnswers(1)
			x := order("x", b.ticket(t, 1), 1)
			if err := b.executor.Order(ctx, x); err == nil || err.Verdict != peridotverdict.MayHaveRun {
				t.Errorf("lost answer: got %v, want the verdict MayHaveRun", err)
			}
			return b.executor.Order(ctx, x)
		}, "", "x"},
		{"answer lost, agent restarted, order repeated", func(t *testing.T, b *bench) *peridotverdict.Error {
			b.engine.LoseOrderAnswers(1)
			x := order("x", b.ticket(t, 1), 1)
			b.executor.Order(ctx, x)
			b.restart()
			return b.executor.Order(ctx, x)
		}, "", "x"},
		{"answer lost, next order by the next holder", func(t *testing.T, b *bench) *peridotverdict.Error {
			b.engine.LoseOrderAnswers(1)
			b.executor.Order(ctx, order("x", b.ticket(t, 1), 1))
			return b.executor.Order(ctx, order("y", b.ticket(t, 2), 2))
		}, "", "x y"},
		{"engine crashed during the order", func(t *testing.T, b *bench) *peridotverdict.Error {
			b.engine.CrashInOrders(1)
			x := order("x", b.ticket(t, 1), 1)
			b.executor.Order(ctx, x)
			if err := b.executor.Order(ctx, order("y", b.ticket(t, 1), 1)); code(err) != peridotverdict.OrderBusy {
				t.Errorf("before it is settled: got %v, want %s", err, peridotverdict.OrderBusy)
			}
			time.Sleep(settleTime)
			return b.executor.Order(ctx, x)
		}, peridotverdict.EngineFailed, ""},
		{"engine crashed, next order", func(t *testing.T, b *bench) *peridotverdict.Error {
			b.engine.CrashInOrders(1)
			b.executor.Order(ctx, order("x", b.ticket(t, 1), 1))
			time.Sleep(settleTime)
			return b.executor.Order(ctx, order("y", b.ticket(t, 1), 1))
		}, "", "y"},
		{"two orders at once", func(t *testing.T, b *bench) *peridotverdict.Error {
			ticket := b.ticket(t, 1)
			var first sync.WaitGroup
			first.Go(func() { b.executor.Order(ctx, order("x", ticket, 1)) })
			synctest.Wait()
			err := b.executor.Order(ctx, order("y", ticket, 1))
			first.Wait()
			return err
		}, peridotverdict.OrderBusy, "x"},
		{"agent restarted during an order", func(t *testing.T, b *bench) *peridotverdict.Error {
			var first sync.WaitGroup
			before := b.executor
			ticket := b.ticket(t, 1)
			first.Go(func() { before.Order(ctx, order("x", ticket, 1)) })
			synctest.Wait()
			b.restart() // The order takes longer than the new process waits.
			err := b.executor.Order(ctx, order("y", b.ticket(t, 2), 2))
			first.Wait()
			return err
		}, peridotverdict.OrderBusy, "x"},
		{"agent restarted, old token", func(t *testing.T, b *bench) *peridotverdict.Error {
			b.ticket(t, 2)
			setLease(t, b.table, 2)
			b.restart()
			return b.executor.Order(ctx, order("x", b.ticket(t, 1), 1))
		}, peridotverdict.StaleToken, ""},
		{"agent restarted, old token, store down", func(t *testing.T, b *bench) *peridotverdict.Error {
			b.ticket(t, 2)
			setLease(t, b.table, 2)
			b.restart()
			b.table.SetDown(true)
			return b.executor.Order(ctx, order("x", b.ticket(t, 1), 1))
		}, peridotverdict.TokenUnknown, ""},
		{"agent restarted, old token, stale read", func(t *testing.T, b *bench) *peridotverdict.Error {
			if err := b.table.FreezeReads(ctx, peridotlease.Key(shard)); err != nil {
				t.Fatal(err)
			}
			setLease(t, b.table, 2)
			b.restart()
			time.AfterFunc(time.Second, b.table.ThawReads)
			return b.executor.Order(ctx, order("x", b.ticket(t, 1), 1))
		}, peridotverdict.StaleToken, ""},
		{"holder whose clock stood still, the next not announced yet", func(t *testing.T, b *bench) *peridotverdict.Error {
			if err := b.executor.Order(ctx, order("x", b.ticket(t, 1), 1)); err != nil {
				t.Error(err)
			}
			y := order("y", b.ticket(t, 1), 1)
			y.TimeoutMillis = 3_600_000
			time.Sleep(time.Minute)
			setLease(t, b.table, 2)
			return b.executor.Order(ctx, y)
		}, peridotverdict.StaleToken, "x"},
		{"order decided by an older description", func(t *testing.T, b *bench) *peridotverdict.Error {
			x := order("x", b.ticket(t, 1), 1)
			if err := b.executor.Order(ctx, order("y", b.ticket(t, 1), 1)); err != nil {
				t.Error(err)
			}
			return b.executor.Order(ctx, x)
		}, peridotverdict.LeaseLost, "y"},
		{"requests run, then end", func(t *testing.T, b *bench) *peridotverdict.Error {
			requests := &fakeRequests{running: 1}
			b.executor.requests = requests
			x := order("x", b.ticket(t, 1), 1)
			if err := b.executor.Order(ctx, x); code(err) != peridotverdict.OrderBusy {
				t.Errorf("while a request runs: got %v, want %s", err, peridotverdict.OrderBusy)
			}
			requests.running = 0
			return b.executor.Order(ctx, x)
		}, "", "x"},
		{"agent restarted, ticket of before", func(t *testing.T, b *bench) *peridotverdict.Error {
			x := order("x", b.ticket(t, 1), 1)
			b.restart()
			return b.executor.Order(ctx, x)
		}, peridotverdict.LeaseLost, ""},
	}
	for _, test := range tests {
		for _, checks := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, checks)
				err := test.run(t, b)
				if got := code(err); got != test.code {
					t.Errorf("%s (engine checks tokens: %v): got %v, want code %q", test.name, checks, err, test.code)
				}
				var ids []string
				for _, o := range b.engine.Orders() {
					ids = append(ids, o.ID)
				}
				if got := strings.Join(ids, " "); got != test.orders {
					t.Errorf("%s (engine checks tokens: %v): got orders %q at the engine, want %q", test.name, checks, got, test.orders)
				}
			})
		}
	}
}

// TestEngineGetsOneSequence runs seeded schedules of failures, singly and in
// pairs, with three instances that want to order, and checks the engine's log.
func TestEngineGetsOneSequence(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		synctest.Test(t, func(t *testing.T) { checkSequence(t, uint64(seed)) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// sender orders again and again while it holds the lease. It may be frozen
// between its check and its send.
type sender struct {
	manager *peridotlease.Manager
	mu      sync.Mutex
	frozen  time.Duration
	// until holds the end of the lease that each order was sent under.
	until map[string]time.Time
}

func (s *sender) freeze(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = d
}

func (s *sender) pause() {
	s.mu.Lock()
	d := s.frozen
	s.frozen = 0
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *sender) order(ctx context.Context, executor *Executor, id string) {
	grant, ok := s.manager.Grant(shard)
	if !ok {
		return
	}
	d, err := executor.Describe(ctx, peridotwire.Describe{Shard: shard, Token: grant.Token})
	grant, ok = s.manager.Grant(shard)
	if err != nil || !ok || d.Ticket == "" {
		return
	}
	o := order(id, d.Ticket, grant.Token)
	o.TimeoutMillis = grant.Remaining(time.Now()).Milliseconds()
	s.mu.Lock()
	s.until[id] = grant.ExpiresAt
	s.mu.Unlock()
	s.pause()
	if err := executor.Order(ctx, o); err != nil && err.Verdict == peridotverdict.MayHaveRun {
		executor.Order(ctx, o)
	}
}

func checkSequence(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	ctx, stop := context.WithCancel(context.Background())
	b := newBench(t, seed%2 == 0)
	var mu sync.Mutex
	current := func() *Executor {
		mu.Lock()
		defer mu.Unlock()
		return b.executor
	}
	var senders []*sender
	var running sync.WaitGroup
	for i := range 3 {
		name := fmt.Sprintf("entry-%d", i)
		s := &sender{manager: peridotlease.NewManager(b.table, name, name), until: make(map[string]time.Time)}
		s.manager.SetShards([]string{shard})
		s.manager.SetInstances([]string{"entry-0", "entry-1", "entry-2"})
		senders = append(senders, s)
		running.Go(func() { _ = s.manager.Serve(ctx) })
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.order(ctx, current(), fmt.Sprintf("%s/%d", name, n))
				time.Sleep(700 * time.Millisecond)
			}
		})
	}
	for range 8 {
		time.Sleep(time.Duration(5+r.IntN(30)) * time.Second)
		for range 1 + r.IntN(2) {
			switch r.IntN(7) {
			case 0:
				b.table.SetDown(true)
				time.AfterFunc(time.Duration(r.IntN(30))*time.Second, func() { b.table.SetDown(false) })
			case 1:
				b.table.LoseAnswers(1 + r.IntN(6))
			case 2:
				b.table.DropCommits(1 + r.IntN(6))
			case 3:
				b.engine.LoseOrderAnswers(1 + r.IntN(2))
			case 4:
				b.engine.CrashInOrders(1 + r.IntN(2))
			case 5:
				for _, s := range senders {
					s.freeze(time.Duration(r.IntN(40)) * time.Second)
				}
			case 6:
				mu.Lock()
				b.executor = NewExecutor(direct{b.engine}, b.table, shard, fmt.Sprint(seed, r.Uint64()))
				mu.Unlock()
			}
		}
	}
	time.Sleep(time.Minute)
	stop()
	running.Wait()
	time.Sleep(time.Minute)
	checkLog(t, b.engine.OrderEvents(), senders)
}

// checkLog holds an engine's log to the model: one order at a time, each order
// once, tokens that never go back, and no order after its sender's lease.
func checkLog(t *testing.T, events []peridotstandin.OrderEvent, senders []*sender) {
	t.Helper()
	began := make(map[string]bool)
	var token int64
	var under string
	for _, e := range events {
		switch e.Phase {
		case peridotstandin.OrderBegan:
			if under != "" {
				t.Errorf("got order %s during %s, want one at a time", e.Order.ID, under)
			}
			if began[e.Order.ID] {
				t.Errorf("got order %s twice, want it once", e.Order.ID)
			}
			if e.Order.Token < token {
				t.Errorf("got order %s with token %d after %d, want it not to go back", e.Order.ID, e.Order.Token, token)
			}
			for _, s := range senders {
				if until, ok := s.until[e.Order.ID]; ok && !e.At.Before(until) {
					t.Errorf("got order %s %v after its sender's lease, want none", e.Order.ID, e.At.Sub(until))
				}
			}
			began[e.Order.ID], under, token = true, e.Order.ID, e.Order.Token
		case peridotstandin.OrderDone, peridotstandin.OrderCrashed:
			under = ""
		}
	}
	if len(began) == 0 {
		t.Error("got no order at the engine, want some")
	}
}
