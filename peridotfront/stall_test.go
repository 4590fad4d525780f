package peridotfront

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotclock"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// newStallExchange returns an exchange of a front with two servers and a retry budget.
func newStallExchange(t *testing.T) *exchange {
	t.Helper()
	f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-1")
	f.retryBudget.Slack = 10
	config := (&peridotsite.Config{Version: 1, Services: []peridotsite.Service{{Name: "s"}}}).BuildIndex()
	f.SetConfig(config)
	f.SetBackends([]peridotsite.Backend{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}})
	return &exchange{
		front: f, request: httptest.NewRequest("GET", "/", nil), ctx: t.Context(), config: config, service: config.Service("s"),
		route: &peridotsite.Route{Kind: peridotsite.Safe, Attempts: 2}, arrivedAt: peridotclock.BootTime(), timeout: time.Minute,
	}
}

// newStartedExchange is like newStallExchange for a started answer of an engine.
func newStartedExchange(t *testing.T) *exchange {
	t.Helper()
	x := newStallExchange(t)
	x.logFields = log.Fields{}
	x.config = (&peridotsite.Config{Version: 2, Services: []peridotsite.Service{{Name: "s", Engine: &peridotsite.Engine{}}}}).BuildIndex()
	x.service = x.config.Service("s")
	x.front.SetConfig(x.config)
	x.route.Attempts, x.answerStarted, x.lastEventID = 4, true, 1
	return x
}

// TestLateTimerCancelsNothing guards against giving up sound servers after a pause of
// the front itself, whose timers expire before it has read what the servers sent.
func TestLateTimerCancelsNothing(t *testing.T) {
	const limit = 20 * time.Millisecond
	x := newStallExchange(t)
	ctx, watch := x.watchStall("stream", peridotsite.Backend{ID: "a"})
	defer watch.stop()
	watch.start(limit)
	watch.mu.Lock() // Stops expire as a pause of the process would.
	time.Sleep(10 * limit)
	watch.mu.Unlock()
	time.Sleep(stallCheckInterval / 2)
	if ctx.Err() != nil {
		t.Fatal("right after the pause: got the try canceled, want time to read")
	}
	watch.start(time.Minute)
	time.Sleep(2 * stallCheckInterval)
	if ctx.Err() != nil {
		t.Error("after an event: got the try canceled, want it to go on")
	}
	watch.start(limit)
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		t.Error("silent server: got the try not canceled within a second, want it canceled")
	}
}

// TestSilenceCountsForOneTry guards against taking a server for silent that was not even
// tried, because the server of the try before it was.
func TestSilenceCountsForOneTry(t *testing.T) {
	x := newStallExchange(t)
	x.logFields = log.Fields{}
	x.silentFor = time.Second // As stop sets it for the try at a.
	x.recordFailure("a", peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "silent"))
	x.recordFailure("b", peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "not registered any more"))
	if !x.readmitSilent() || !slices.Equal(x.triedBackends, []string{"b"}) {
		t.Errorf("got %v excluded after the silent servers were readmitted, want only b", x.triedBackends)
	}
}

// TestBrokenRunIsNotAwaited guards against holding a started answer whose last run was
// broken off by its engine, because an earlier one was given up for silence.
func TestBrokenRunIsNotAwaited(t *testing.T) {
	x := newStartedExchange(t)
	lost := func(verdict peridotverdict.Verdict) *peridotverdict.Error {
		return peridotverdict.New(peridotverdict.PeerLost, verdict, "lost")
	}
	x.silentFor = time.Second // As stop sets it for the try at a.
	x.recordFailure("a", lost(peridotverdict.MayHaveRun))
	if !x.awaitRetry() {
		t.Error("after a silent engine: got the end of the answer, want it to wait")
	}
	x.recordFailure("c", lost(peridotverdict.NotRun))
	if !x.awaitRetry() {
		t.Error("after an engine without the run: got the end of the answer, want it to wait")
	}
	x.recordFailure("d", lost(peridotverdict.MayHaveRun))
	if x.awaitRetry() {
		t.Error("after a run that its engine broke off: got a wait, want the end of the answer")
	}
}

// TestLateTimersCancelNothing guards against giving up a sound server after two pauses
// of the front in a row, as the CPU limit of a container causes them.
func TestLateTimersCancelNothing(t *testing.T) {
	const limit = 20 * time.Millisecond
	x := newStallExchange(t)
	ctx, watch := x.watchStall("stream", peridotsite.Backend{ID: "a"})
	defer watch.stop()
	watch.start(limit)
	for range 2 {
		watch.mu.Lock()
		time.Sleep(2*stallCheckInterval + limit)
		watch.mu.Unlock()
		time.Sleep(stallCheckInterval / 5)
	}
	if ctx.Err() != nil {
		t.Fatal("right after the second pause: got the try canceled, want time to read")
	}
}

// TestLateFrontReplacesDarkServer guards against waiting for a dark server for good at a
// front whose timers are always late.
func TestLateFrontReplacesDarkServer(t *testing.T) {
	x := newStallExchange(t)
	ctx, watch := x.watchStall("stream", peridotsite.Backend{ID: "a"})
	defer watch.stop()
	start := time.Now()
	watch.start(20 * time.Millisecond)
	for ctx.Err() == nil && time.Since(start) < 2*maxPostponement {
		watch.mu.Lock()
		time.Sleep(2 * stallCheckInterval)
		watch.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	if elapsed := time.Since(start); ctx.Err() == nil || elapsed < maxPostponement {
		t.Errorf("got canceled %v after %v, want it canceled after about %v", ctx.Err() != nil, elapsed, maxPostponement)
	}
}

// TestReservedRetryIsCountedWhenSent guards against more retries in a window than the
// budget allows, because a reserved one is sent after its window has passed.
func TestReservedRetryIsCountedWhenSent(t *testing.T) {
	const window = 200 * time.Millisecond
	x := newStartedExchange(t)
	f := x.front
	f.retryBudget.Ratio, f.retryBudget.Slack, f.retryBudget.Window = 0, 1, window
	x.tries, x.runs = 1, 1
	ctx, watch := x.watchStall("stream", peridotsite.Backend{ID: "a"})
	watch.start(time.Millisecond)
	<-ctx.Done()
	watch.stop()
	x.recordFailure("a", peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "silent"))
	for start := time.Now(); time.Since(start) < window*3/2; {
		if !x.awaitRetry() {
			t.Fatal("got the end of the answer, want it to wait")
		}
	}
	sent := 0
	f.mu.Lock()
	if f.retryBudget.AllowRepeats(f.now(), x.service.Name, 1) { // Another request.
		sent++
	}
	f.mu.Unlock()
	if x.allowTry(1) {
		sent++
	}
	if sent != 1 {
		t.Errorf("got %d retries sent in one window, want 1", sent)
	}
}

// TestFailureIsRecordedForReplacement guards against trying an engine again that failed,
// because its failure was recorded for the engine that it replaced.
func TestFailureIsRecordedForReplacement(t *testing.T) {
	x := newStartedExchange(t)
	x.triedBackends = []string{"a"}
	if err := x.tryStream(peridotplace.Choice{Backend: "left"}); err == nil {
		t.Fatal("got no error, want that b cannot be reached")
	}
	if want := []string{"a", "b"}; !slices.Equal(x.triedBackends, want) {
		t.Errorf("got %v excluded, want %v", x.triedBackends, want)
	}
}
