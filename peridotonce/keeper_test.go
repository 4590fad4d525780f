package peridotonce

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"peridotstack/peridotstandin"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// fixture contains a table and a service that is called through Keepers.
type fixture struct {
	t        *testing.T
	table    *peridottable.Faulty
	service  peridotstandin.Service
	attempts int
}

// startProcess starts the Keeper of a process and returns a function that stops it.
func (f *fixture) startProcess(instance, incarnation string) (*Keeper, context.CancelFunc) {
	k := NewKeeper(f.table, Process{Instance: instance, Incarnation: incarnation}, Options{})
	ctx, kill := context.WithCancel(f.t.Context())
	go k.Serve(ctx)
	return k, kill
}

func (f *fixture) newRequest(body string) Request {
	f.attempts++
	return Request{
		RequestID: fmt.Sprint("try-", f.attempts), Account: "matriz", Service: "board", Key: "push-1",
		Fingerprint: Fingerprint("POST", "/push", "", "", body), Timeout: time.Minute,
	}
}

// callService calls the service once, as the backend adapter does.
func (f *fixture) callService() Outcome {
	r := httptest.NewRequest("POST", "/push", strings.NewReader("hymn"))
	r.Header.Set("Idempotency-Key", "push-1")
	w := httptest.NewRecorder()
	f.service.ServeHTTP(w, r)
	return Outcome{Status: w.Code, Body: w.Body.String()}
}

// attempt makes one attempt through k and calls the service if Reply.MustRun is set.
func (f *fixture) attempt(k *Keeper, body string) Reply {
	r := f.newRequest(body)
	reply := k.Claim(f.t.Context(), r)
	if reply.MustRun {
		o := f.callService()
		k.RecordOutcome(r.RequestID, o)
		return Reply{Outcome: &o}
	}
	return reply
}

func (f *fixture) wantRuns(want int) {
	f.t.Helper()
	if got := len(f.service.Calls()); got != want {
		f.t.Errorf("got %d calls of the service, want %d", got, want)
	}
}

func wantErr(t *testing.T, r Reply, code peridotverdict.Code, verdict peridotverdict.Verdict) {
	t.Helper()
	if r.Err == nil || r.Err.Code != code || r.Err.Verdict != verdict {
		t.Errorf("got reply %+v, want code %s verdict %s", r, code, verdict)
	}
}

func wantSameAnswer(t *testing.T, r, first Reply) {
	t.Helper()
	if r.Outcome == nil || first.Outcome == nil || *r.Outcome != *first.Outcome {
		t.Errorf("got reply %+v, want the first answer %+v", r, first)
	}
}

// waitForBackground waits long enough for background commits and their retries.
func waitForBackground() {
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

func runWithFixture(t *testing.T, run func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run(t, &fixture{t: t, table: &peridottable.Faulty{Store: &peridottable.Memory{}}})
	})
}

func TestRepeatAtAnotherProcessGetsRecordedAnswer(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		k1, _ := f.startProcess("agent-1", "a")
		k2, _ := f.startProcess("agent-2", "b")
		first := f.attempt(k1, "hymn")
		wantSameAnswer(t, f.attempt(k1, "hymn"), first)
		waitForBackground()
		wantSameAnswer(t, f.attempt(k2, "hymn"), first)
		wantErr(t, f.attempt(k2, "another"), peridotverdict.KeyReused, peridotverdict.NotRun)
		f.wantRuns(1)
	})
}

func TestRestartBetweenClaimAndRecord(t *testing.T) {
	tests := []struct {
		name string
		runs int
	}{
		{"between claim and run", 0},
		{"between run and record", 1},
	}
	for _, c := range tests {
		runWithFixture(t, func(t *testing.T, f *fixture) {
			k1, kill := f.startProcess("agent-1", "a")
			if got := k1.Claim(t.Context(), f.newRequest("hymn")); !got.MustRun {
				t.Fatalf("%s: got reply %+v, want a run", c.name, got)
			}
			if c.runs > 0 {
				f.callService()
			}
			kill()
			restarted, _ := f.startProcess("agent-1", "b")
			wantErr(t, f.attempt(restarted, "hymn"), peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun)
			other, _ := f.startProcess("agent-2", "c")
			wantErr(t, f.attempt(other, "hymn"), peridotverdict.StillRunning, peridotverdict.MayHaveRun)
			time.Sleep(2 * time.Minute)
			wantErr(t, f.attempt(other, "hymn"), peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun)
			f.wantRuns(c.runs)
		})
	}
}

func TestLostClaimAnswer(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		k, _ := f.startProcess("agent-1", "a")
		f.table.LoseAnswers(1)
		first := f.attempt(k, "hymn")
		if first.Outcome == nil {
			t.Errorf("got reply %+v, want the answer of a run", first)
		}
		waitForBackground()
		other, _ := f.startProcess("agent-2", "b")
		wantSameAnswer(t, f.attempt(other, "hymn"), first)
		f.wantRuns(1)
	})
}

// TestRestartBeforeClaimAnswer stops the process after its claim took effect and
// before the answer to the commit arrived.
func TestRestartBeforeClaimAnswer(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		k, kill := f.startProcess("agent-1", "a")
		f.table.LoseAnswers(1000)
		r := f.newRequest("hymn")
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		wantErr(t, k.Claim(ctx, r), peridotverdict.DeadlinePassed, peridotverdict.NotRun)
		kill()
		f.table.LoseAnswers(0)
		restarted, _ := f.startProcess("agent-1", "b")
		wantErr(t, f.attempt(restarted, "hymn"), peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun)
		f.wantRuns(0)
	})
}

func TestStoreOutageDuringClaimAndSave(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		k, _ := f.startProcess("agent-1", "a")
		other, _ := f.startProcess("agent-2", "b")
		f.table.SetDown(true)
		refused := f.attempt(k, "hymn")
		wantErr(t, refused, peridotverdict.StoreUnavailable, peridotverdict.NotRun)
		if refused.Err.RetryAfter <= 0 {
			t.Errorf("got no retry delay, want one")
		}
		f.wantRuns(0)

		f.table.SetDown(false)
		r := f.newRequest("hymn")
		if got := k.Claim(t.Context(), r); !got.MustRun {
			t.Fatalf("got reply %+v, want a run", got)
		}
		f.table.SetDown(true)
		o := f.callService()
		k.RecordOutcome(r.RequestID, o)
		wantSameAnswer(t, f.attempt(k, "hymn"), Reply{Outcome: &o})
		wantErr(t, f.attempt(other, "hymn"), peridotverdict.StoreUnavailable, peridotverdict.NotRun)
		waitForBackground()
		f.table.SetDown(false)
		waitForBackground()
		wantSameAnswer(t, f.attempt(other, "hymn"), Reply{Outcome: &o})
		f.wantRuns(1)
	})
}

func TestReleaseAfterRefusedDial(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		k, _ := f.startProcess("agent-1", "a")
		other, _ := f.startProcess("agent-2", "b")
		r := f.newRequest("hymn")
		k.Claim(t.Context(), r)
		f.table.LoseAnswers(1)
		k.RecordOutcome(r.RequestID, Outcome{Err: peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "refused")})
		waitForBackground()
		if got := f.attempt(other, "hymn"); got.Outcome == nil {
			t.Errorf("got reply %+v, want the answer of a run", got)
		}
		f.wantRuns(1)
	})
}

// TestFailureThatMayHaveRun checks that a repeat of a request whose outcome is
// uncertain gets the recorded failure.
func TestFailureThatMayHaveRun(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		k, _ := f.startProcess("agent-1", "a")
		other, _ := f.startProcess("agent-2", "b")
		r := f.newRequest("hymn")
		k.Claim(t.Context(), r)
		f.callService()
		k.RecordOutcome(r.RequestID, Outcome{Err: peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "cut")})
		waitForBackground()
		wantErr(t, f.attempt(other, "hymn"), peridotverdict.EngineFailed, peridotverdict.MayHaveRun)
		f.wantRuns(1)
	})
}

func TestConcurrentClaimsOfOneKey(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		var group sync.WaitGroup
		for i := range 8 {
			k, _ := f.startProcess(fmt.Sprint("agent-", i), "a")
			r := f.newRequest("hymn")
			group.Go(func() {
				if k.Claim(t.Context(), r).MustRun {
					k.RecordOutcome(r.RequestID, f.callService())
				}
			})
		}
		group.Wait()
		f.wantRuns(1)
	})
}

func TestSweepRemovesOnlyExpiredRecords(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		k, _ := f.startProcess("agent-1", "a")
		sweeper := &Sweeper{Store: f.table}
		first := f.attempt(k, "hymn")
		waitForBackground()
		if got, err := sweeper.Sweep(t.Context(), time.Now().Add(minRecordLifetime)); got != 0 || err != nil {
			t.Errorf("Sweep within the lifetime: got %d deleted records, error %v, want 0", got, err)
		}
		wantSameAnswer(t, f.attempt(k, "hymn"), first)
		waitForBackground()
		if got, err := sweeper.Sweep(t.Context(), time.Now().Add(minRecordLifetime+2*expiryBucketLength)); got != 1 || err != nil {
			t.Errorf("Sweep after the lifetime: got %d deleted records, error %v, want 1", got, err)
		}
		rows, err := f.table.Scan(t.Context(), peridottable.Range{Prefix: "once"})
		if len(rows) != 0 || err != nil {
			t.Errorf("got %d rows, error %v, want none", len(rows), err)
		}
	})
}

func TestClaimQueueLimit(t *testing.T) {
	l := NewLedger(Process{Instance: "a"}, Options{MaxBatch: 1, CommitsPerSecond: 1})
	now := time.Unix(1_800_000_000, 0)
	refused := 0
	for i := range 10 {
		for _, action := range l.Step(now, RequestReceived{Request: Request{RequestID: fmt.Sprint(i), Key: fmt.Sprint(i), Timeout: time.Minute}}) {
			if a, ok := action.(Answer); ok {
				refused++
				wantErr(t, a.Reply, peridotverdict.Overloaded, peridotverdict.NotRun)
			}
		}
	}
	if want := 6; refused != want {
		t.Errorf("got %d refusals, want %d", refused, want)
	}
}

// TestClaimReleasedAfterLostAnswerAndOutage checks that the claim of a refused
// attempt is released. The claim takes effect, but its answer is lost and the table
// service fails, so the attempt is refused with the verdict NotRun.
func TestClaimReleasedAfterLostAnswerAndOutage(t *testing.T) {
	runWithFixture(t, func(t *testing.T, f *fixture) {
		k, _ := f.startProcess("agent-1", "a")
		other, _ := f.startProcess("agent-2", "b")
		f.table.LoseAnswers(1)
		f.table.BeforeCommit(func(peridottable.Txn) {
			f.table.BeforeCommit(func(peridottable.Txn) { f.table.SetDown(true) })
		})
		wantErr(t, f.attempt(k, "hymn"), peridotverdict.StoreUnavailable, peridotverdict.NotRun)
		f.table.BeforeCommit(nil)
		f.table.SetDown(false)
		waitForBackground()
		if got := f.attempt(other, "hymn"); got.Outcome == nil {
			t.Errorf("got reply %+v, want the answer of a run", got)
		}
		f.wantRuns(1)
	})
}
