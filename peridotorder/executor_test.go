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

// directEngine calls a stand-in engine without a network.
type directEngine struct {
	engine *peridotstandin.Engine
}

// post calls the stand-in's handler. The handler panics to simulate a broken
// connection; post then returns an error with the verdict MayHaveRun.
func (d directEngine) post(path string, body any, answer any) (err error) {
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

func (d directEngine) State(context.Context) (peridotbackend.State, error) {
	var s peridotbackend.State
	err := d.post("/state", struct{}{}, &s)
	return s, err
}

func (d directEngine) Order(_ context.Context, o peridotwire.Order) error {
	return d.post("/orders", o, &struct{}{})
}

const shard = "recife-a"

// setLease writes the lease row with a token as the lease holder would.
func setLease(t testing.TB, table peridottable.Store, token int64) {
	t.Helper()
	ctx := context.Background()
	row, err := table.Get(ctx, peridotlease.RowKey(shard))
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

// engineFixture contains one stand-in engine, its executor and a table.
type engineFixture struct {
	table        *peridottable.Faulty
	engine       *peridotstandin.Engine
	executor     *Executor
	restartCount int
}

func newEngineFixture(t testing.TB, checksTokens bool) *engineFixture {
	f := &engineFixture{
		table: &peridottable.Faulty{Store: &peridottable.Memory{}},
		engine: peridotstandin.NewEngine(peridotstandin.EngineOptions{
			Model: "hino-llm", Version: "v1", Role: "Mixed", OrderTime: 8 * time.Second, CheckFencingTokens: checksTokens,
		}),
	}
	setLease(t, f.table, 1)
	f.restart()
	return f
}

// restart replaces the executor and waits until the new one accepts orders.
func (f *engineFixture) restart() {
	f.restartCount++
	f.executor = NewExecutor(directEngine{f.engine}, f.table, shard, strconv.Itoa(f.restartCount))
	time.Sleep(orderStartTimeout)
}

// issueTicket passes a token to the executor and returns the ticket issued for it.
func (f *engineFixture) issueTicket(t testing.TB, token int64) string {
	t.Helper()
	d, err := f.executor.Describe(context.Background(), peridotwire.Describe{Shard: shard, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	return d.Ticket
}

func newOrder(id, ticket string, token int64) peridotwire.Order {
	return peridotwire.Order{ID: id, Shard: shard, Token: token, Ticket: ticket, Kind: peridotwire.SetRole, Role: id, TimeoutMillis: 10_000}
}

// fakeRequests implements Requests with a set number of running requests.
type fakeRequests struct {
	running int
}

func (f *fakeRequests) Quiesce() bool        { return f.running == 0 }
func (f *fakeRequests) Resume(time.Duration) {}

func codeOf(err *peridotverdict.Error) peridotverdict.Code {
	if err == nil {
		return ""
	}
	return err.Code
}

// TestExecutorOrder injects one failure in each case and checks the outcome of the
// last order and the orders that took effect at the engine.
func TestExecutorOrder(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		// run sends orders and returns the outcome of the last one.
		run      func(t *testing.T, f *engineFixture) *peridotverdict.Error
		wantCode peridotverdict.Code
		// wantOrders lists the IDs of the orders that took effect at the engine.
		wantOrders string
	}{
		{"one order", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			return f.executor.Order(ctx, newOrder("x", f.issueTicket(t, 1), 1))
		}, "", "x"},
		{"order of an old holder after a newer one announced its token", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			old := newOrder("x", f.issueTicket(t, 1), 1)
			f.issueTicket(t, 2)
			return f.executor.Order(ctx, old)
		}, peridotverdict.StaleToken, ""},
		{"holder paused past the end of its lease, no new holder", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			x := newOrder("x", f.issueTicket(t, 1), 1)
			time.Sleep(10 * time.Second)
			return f.executor.Order(ctx, x)
		}, peridotverdict.LeaseLost, ""},
		{"answer lost, order repeated", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			f.engine.LoseOrderAnswers(1)
			x := newOrder("x", f.issueTicket(t, 1), 1)
			if err := f.executor.Order(ctx, x); err == nil || err.Verdict != peridotverdict.MayHaveRun {
				t.Errorf("lost answer: got %v, want the verdict MayHaveRun", err)
			}
			return f.executor.Order(ctx, x)
		}, "", "x"},
		{"answer lost, agent restarted, order repeated", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			f.engine.LoseOrderAnswers(1)
			x := newOrder("x", f.issueTicket(t, 1), 1)
			f.executor.Order(ctx, x)
			f.restart()
			return f.executor.Order(ctx, x)
		}, "", "x"},
		{"answer lost, next order by the next holder", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			f.engine.LoseOrderAnswers(1)
			f.executor.Order(ctx, newOrder("x", f.issueTicket(t, 1), 1))
			return f.executor.Order(ctx, newOrder("y", f.issueTicket(t, 2), 2))
		}, "", "x y"},
		{"engine crashed during the order", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			f.engine.CrashDuringOrders(1)
			x := newOrder("x", f.issueTicket(t, 1), 1)
			f.executor.Order(ctx, x)
			if err := f.executor.Order(ctx, newOrder("y", f.issueTicket(t, 1), 1)); codeOf(err) != peridotverdict.OrderBusy {
				t.Errorf("while x is pending: got %v, want %s", err, peridotverdict.OrderBusy)
			}
			time.Sleep(orderStartTimeout)
			return f.executor.Order(ctx, x)
		}, peridotverdict.EngineFailed, ""},
		{"engine crashed, next order", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			f.engine.CrashDuringOrders(1)
			f.executor.Order(ctx, newOrder("x", f.issueTicket(t, 1), 1))
			time.Sleep(orderStartTimeout)
			return f.executor.Order(ctx, newOrder("y", f.issueTicket(t, 1), 1))
		}, "", "y"},
		{"two concurrent orders", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			ticket := f.issueTicket(t, 1)
			var first sync.WaitGroup
			first.Go(func() { f.executor.Order(ctx, newOrder("x", ticket, 1)) })
			synctest.Wait()
			err := f.executor.Order(ctx, newOrder("y", ticket, 1))
			first.Wait()
			return err
		}, peridotverdict.OrderBusy, "x"},
		{"agent restarted during an order", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			var first sync.WaitGroup
			before := f.executor
			ticket := f.issueTicket(t, 1)
			first.Go(func() { before.Order(ctx, newOrder("x", ticket, 1)) })
			synctest.Wait()
			f.restart() // The order takes longer than the wait after a restart.
			err := f.executor.Order(ctx, newOrder("y", f.issueTicket(t, 2), 2))
			first.Wait()
			return err
		}, peridotverdict.OrderBusy, "x"},
		{"agent restarted, stale token", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			f.issueTicket(t, 2)
			setLease(t, f.table, 2)
			f.restart()
			return f.executor.Order(ctx, newOrder("x", f.issueTicket(t, 1), 1))
		}, peridotverdict.StaleToken, ""},
		{"agent restarted, stale token, store down", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			f.issueTicket(t, 2)
			setLease(t, f.table, 2)
			f.restart()
			f.table.SetDown(true)
			return f.executor.Order(ctx, newOrder("x", f.issueTicket(t, 1), 1))
		}, peridotverdict.TokenUnknown, ""},
		{"agent restarted, stale token, stale read", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			if err := f.table.FreezeReads(ctx, peridotlease.RowKey(shard)); err != nil {
				t.Fatal(err)
			}
			setLease(t, f.table, 2)
			f.restart()
			time.AfterFunc(time.Second, f.table.ThawReads)
			return f.executor.Order(ctx, newOrder("x", f.issueTicket(t, 1), 1))
		}, peridotverdict.StaleToken, ""},
		{"holder with a stopped clock, next holder not announced yet", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			if err := f.executor.Order(ctx, newOrder("x", f.issueTicket(t, 1), 1)); err != nil {
				t.Error(err)
			}
			y := newOrder("y", f.issueTicket(t, 1), 1)
			y.TimeoutMillis = 3_600_000
			time.Sleep(time.Minute)
			setLease(t, f.table, 2)
			return f.executor.Order(ctx, y)
		}, peridotverdict.StaleToken, "x"},
		{"order based on an outdated description", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			x := newOrder("x", f.issueTicket(t, 1), 1)
			if err := f.executor.Order(ctx, newOrder("y", f.issueTicket(t, 1), 1)); err != nil {
				t.Error(err)
			}
			return f.executor.Order(ctx, x)
		}, peridotverdict.LeaseLost, "y"},
		{"requests running at first", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			requests := &fakeRequests{running: 1}
			f.executor.requests = requests
			x := newOrder("x", f.issueTicket(t, 1), 1)
			if err := f.executor.Order(ctx, x); codeOf(err) != peridotverdict.OrderBusy {
				t.Errorf("while a request is running: got %v, want %s", err, peridotverdict.OrderBusy)
			}
			requests.running = 0
			return f.executor.Order(ctx, x)
		}, "", "x"},
		{"agent restarted, ticket from before the restart", func(t *testing.T, f *engineFixture) *peridotverdict.Error {
			x := newOrder("x", f.issueTicket(t, 1), 1)
			f.restart()
			return f.executor.Order(ctx, x)
		}, peridotverdict.LeaseLost, ""},
	}
	for _, test := range tests {
		for _, checksTokens := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				f := newEngineFixture(t, checksTokens)
				err := test.run(t, f)
				if got := codeOf(err); got != test.wantCode {
					t.Errorf("%s (engine checks tokens: %v): got %v, want code %q", test.name, checksTokens, err, test.wantCode)
				}
				var ids []string
				for _, o := range f.engine.Orders() {
					ids = append(ids, o.ID)
				}
				if got := strings.Join(ids, " "); got != test.wantOrders {
					t.Errorf("%s (engine checks tokens: %v): got orders %q at the engine, want %q", test.name, checksTokens, got, test.wantOrders)
				}
			})
		}
	}
}

// TestEngineOrdersAreSerialized lets three instances send orders concurrently under
// seeded schedules of failures, injected singly and in pairs, and checks the
// engine's log.
func TestEngineOrdersAreSerialized(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		synctest.Test(t, func(t *testing.T) { checkEngineSchedule(t, uint64(seed)) })
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// engineSender sends orders to an engine while it holds the lease. It can be paused
// between the lease check and the sending of an order.
type engineSender struct {
	manager         *peridotlease.Manager
	mu              sync.Mutex
	pauseBeforeSend time.Duration
	// leaseEnds maps the ID of an order to the end of the lease it was sent under.
	leaseEnds map[string]time.Time
}

func (s *engineSender) setPause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauseBeforeSend = d
}

func (s *engineSender) pause() {
	s.mu.Lock()
	d := s.pauseBeforeSend
	s.pauseBeforeSend = 0
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *engineSender) sendOrder(ctx context.Context, executor *Executor, id string) {
	grant, ok := s.manager.Grant(shard)
	if !ok {
		return
	}
	d, err := executor.Describe(ctx, peridotwire.Describe{Shard: shard, Token: grant.Token})
	grant, ok = s.manager.Grant(shard)
	if err != nil || !ok || d.Ticket == "" {
		return
	}
	o := newOrder(id, d.Ticket, grant.Token)
	o.TimeoutMillis = grant.Remaining(time.Now()).Milliseconds()
	s.mu.Lock()
	s.leaseEnds[id] = grant.ExpiresAt
	s.mu.Unlock()
	s.pause()
	if err := executor.Order(ctx, o); err != nil && err.Verdict == peridotverdict.MayHaveRun {
		executor.Order(ctx, o)
	}
}

func checkEngineSchedule(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	ctx, stop := context.WithCancel(context.Background())
	f := newEngineFixture(t, seed%2 == 0)
	var mu sync.Mutex
	current := func() *Executor {
		mu.Lock()
		defer mu.Unlock()
		return f.executor
	}
	var senders []*engineSender
	var running sync.WaitGroup
	for i := range 3 {
		name := fmt.Sprintf("entry-%d", i)
		s := &engineSender{manager: peridotlease.NewManager(f.table, name, name), leaseEnds: make(map[string]time.Time)}
		s.manager.SetShards([]string{shard})
		s.manager.SetInstances([]string{"entry-0", "entry-1", "entry-2"})
		senders = append(senders, s)
		running.Go(func() { _ = s.manager.Serve(ctx) })
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.sendOrder(ctx, current(), fmt.Sprintf("%s/%d", name, n))
				time.Sleep(700 * time.Millisecond)
			}
		})
	}
	for range 8 {
		time.Sleep(time.Duration(5+r.IntN(30)) * time.Second)
		for range 1 + r.IntN(2) {
			switch r.IntN(7) {
			case 0:
				f.table.SetDown(true)
				time.AfterFunc(time.Duration(r.IntN(30))*time.Second, func() { f.table.SetDown(false) })
			case 1:
				f.table.LoseAnswers(1 + r.IntN(6))
			case 2:
				f.table.DropCommits(1 + r.IntN(6))
			case 3:
				f.engine.LoseOrderAnswers(1 + r.IntN(2))
			case 4:
				f.engine.CrashDuringOrders(1 + r.IntN(2))
			case 5:
				for _, s := range senders {
					s.setPause(time.Duration(r.IntN(40)) * time.Second)
				}
			case 6:
				mu.Lock()
				f.executor = NewExecutor(directEngine{f.engine}, f.table, shard, fmt.Sprint(seed, r.Uint64()))
				mu.Unlock()
			}
		}
	}
	time.Sleep(time.Minute)
	stop()
	running.Wait()
	time.Sleep(time.Minute)
	checkEngineLog(t, f.engine.OrderEvents(), senders)
}

// checkEngineLog checks that an engine ran one order at a time and each order once,
// that tokens never decreased, and that no order started after the end of its
// sender's lease.
func checkEngineLog(t *testing.T, events []peridotstandin.OrderEvent, senders []*engineSender) {
	t.Helper()
	started := make(map[string]bool)
	var token int64
	var runningID string
	for _, e := range events {
		switch e.Phase {
		case peridotstandin.OrderBegan:
			if runningID != "" {
				t.Errorf("got order %s during order %s, want one at a time", e.Order.ID, runningID)
			}
			if started[e.Order.ID] {
				t.Errorf("got order %s twice, want once", e.Order.ID)
			}
			if e.Order.Token < token {
				t.Errorf("got order %s with token %d after token %d, want no decrease", e.Order.ID, e.Order.Token, token)
			}
			for _, s := range senders {
				if leaseEnd, ok := s.leaseEnds[e.Order.ID]; ok && !e.At.Before(leaseEnd) {
					t.Errorf("got order %s %v after the end of its sender's lease, want none", e.Order.ID, e.At.Sub(leaseEnd))
				}
			}
			started[e.Order.ID], runningID, token = true, e.Order.ID, e.Order.Token
		case peridotstandin.OrderDone, peridotstandin.OrderCrashed:
			runningID = ""
		}
	}
	if len(started) == 0 {
		t.Error("got no order at the engine, want some")
	}
}
