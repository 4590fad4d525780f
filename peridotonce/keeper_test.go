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

// bench is a table, a service and the processes in front of it.
type bench struct {
	t       *testing.T
	table   *peridottable.Faulty
	service peridotstandin.Service
	tries   int
}

// start starts a process; the function kills it.
func (b *bench) start(instance, incarnation string) (*Keeper, context.CancelFunc) {
	k := NewKeeper(b.table, Process{Instance: instance, Incarnation: incarnation}, Options{})
	ctx, kill := context.WithCancel(b.t.Context())
	go k.Serve(ctx)
	return k, kill
}

func (b *bench) request(body string) Request {
	b.tries++
	return Request{
		RequestID: fmt.Sprint("try-", b.tries), Account: "matriz", Service: "board", Key: "push-1",
		Fingerprint: Fingerprint("POST", "/push", "", "", body), Timeout: time.Minute,
	}
}

// call runs the service once, as the backend adapter does.
func (b *bench) call() Outcome {
	r := httptest.NewRequest("POST", "/push", strings.NewReader("hymn"))
	r.Header.Set("Idempotency-Key", "push-1")
	w := httptest.NewRecorder()
	b.service.ServeHTTP(w, r)
	return Outcome{Status: w.Code, Body: w.Body.String()}
}

// attempt asks and, if told so, runs.
func (b *bench) attempt(k *Keeper, body string) Reply {
	r := b.request(body)
	reply := k.Ask(b.t.Context(), r)
	if reply.Run {
		o := b.call()
		k.End(r.RequestID, o)
		return Reply{Outcome: &o}
	}
	return reply
}

func (b *bench) wantRuns(want int) {
	b.t.Helper()
	if got := len(b.service.Calls()); got != want {
		b.t.Errorf("the service got %d calls, want %d", got, want)
	}
}

func wantErr(t *testing.T, r Reply, code peridotverdict.Code, verdict peridotverdict.Verdict) {
	t.Helper()
	if r.Err == nil || r.Err.Code != code || r.Err.Verdict != verdict {
		t.Errorf("got reply %+v, want code %s verdict %s", r, code, verdict)
	}
}

func wantAnswer(t *testing.T, r, first Reply) {
	t.Helper()
	if r.Outcome == nil || first.Outcome == nil || *r.Outcome != *first.Outcome {
		t.Errorf("got reply %+v, want the first answer %+v", r, first)
	}
}

// settle lets time pass for background work.
func settle() {
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

func inBubble(t *testing.T, run func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		run(t, &bench{t: t, table: &peridottable.Faulty{Store: &peridottable.Memory{}}})
	})
}

func TestRepeatElsewhereGetsTheAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		k1, _ := b.start("agent-1", "a")
		k2, _ := b.start("agent-2", "b")
		first := b.attempt(k1, "hymn")
		wantAnswer(t, b.attempt(k1, "hymn"), first)
		settle()
		wantAnswer(t, b.attempt(k2, "hymn"), first)
		wantErr(t, b.attempt(k2, "another"), peridotverdict.KeyReused, peridotverdict.NotRun)
		b.wantRuns(1)
	})
}

func TestRestartBetweenClaimAndRecord(t *testing.T) {
	tables := []struct {
		name string
		runs int
	}{
		{"between claim and run", 0},
		{"between run and record", 1},
	}
	for _, c := range tables {
		inBubble(t, func(t *testing.T, b *bench) {
			k1, kill := b.start("agent-1", "a")
			if got := k1.Ask(t.Context(), b.request("hymn")); !got.Run {
				t.Fatalf("%s: got reply %+v, want a run", c.name, got)
			}
			if c.runs > 0 {
				b.call()
			}
			kill()
			again, _ := b.start("agent-1", "b")
			wantErr(t, b.attempt(again, "hymn"), peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun)
			other, _ := b.start("agent-2", "c")
			wantErr(t, b.attempt(other, "hymn"), peridotverdict.StillRunning, peridotverdict.MayHaveRun)
			time.Sleep(2 * time.Minute)
			wantErr(t, b.attempt(other, "hymn"), peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun)
			b.wantRuns(c.runs)
		})
	}
}

func TestLostClaimAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		k, _ := b.start("agent-1", "a")
		b.table.LoseAnswers(1)
		first := b.attempt(k, "hymn")
		if first.Outcome == nil {
			t.Errorf("got reply %+v, want the answer of a run", first)
		}
		settle()
		other, _ := b.start("agent-2", "b")
		wantAnswer(t, b.attempt(other, "hymn"), first)
		b.wantRuns(1)
	})
}

// TestRestartBeforeClaimAnswer kills the process while its claim, which took
// effect, has no answer yet.
func TestRestartBeforeClaimAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		k, kill := b.start("agent-1", "a")
		b.table.LoseAnswers(1000)
		r := b.request("hymn")
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		wantErr(t, k.Ask(ctx, r), peridotverdict.DeadlinePassed, peridotverdict.NotRun)
		kill()
		b.table.LoseAnswers(0)
		again, _ := b.start("agent-1", "b")
		wantErr(t, b.attempt(again, "hymn"), peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun)
		b.wantRuns(0)
	})
}

func TestStoreDownAtEachStep(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		k, _ := b.start("agent-1", "a")
		other, _ := b.start("agent-2", "b")
		b.table.SetDown(true)
		refused := b.attempt(k, "hymn")
		wantErr(t, refused, peridotverdict.StoreUnavailable, peridotverdict.NotRun)
		if refused.Err.RetryAfter <= 0 {
			t.Errorf("got no time to come back, want one")
		}
		b.wantRuns(0)

		b.table.SetDown(false)
		r := b.request("hymn")
		if got := k.Ask(t.Context(), r); !got.Run {
			t.Fatalf("got reply %+v, want a run", got)
		}
		b.table.SetDown(true)
		o := b.call()
		k.End(r.RequestID, o)
		wantAnswer(t, b.attempt(k, "hymn"), Reply{Outcome: &o})
		wantErr(t, b.attempt(other, "hymn"), peridotverdict.StoreUnavailable, peridotverdict.NotRun)
		settle()
		b.table.SetDown(false)
		settle()
		wantAnswer(t, b.attempt(other, "hymn"), Reply{Outcome: &o})
		b.wantRuns(1)
	})
}

func TestReleaseAfterRefusedDial(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		k, _ := b.start("agent-1", "a")
		other, _ := b.start("agent-2", "b")
		r := b.request("hymn")
		k.Ask(t.Context(), r)
		b.table.LoseAnswers(1)
		k.End(r.RequestID, Outcome{Err: peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "refused")})
		settle()
		if got := b.attempt(other, "hymn"); got.Outcome == nil {
			t.Errorf("got reply %+v, want the answer of a run", got)
		}
		b.wantRuns(1)
	})
}

// TestFailureThatMayHaveRun makes the outcome of a run uncertain.
func TestFailureThatMayHaveRun(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		k, _ := b.start("agent-1", "a")
		other, _ := b.start("agent-2", "b")
		r := b.request("hymn")
		k.Ask(t.Context(), r)
		b.call()
		k.End(r.RequestID, Outcome{Err: peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "cut")})
		settle()
		wantErr(t, b.attempt(other, "hymn"), peridotverdict.EngineFailed, peridotverdict.MayHaveRun)
		b.wantRuns(1)
	})
}

func TestRaceOnOneKey(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		var group sync.WaitGroup
		for i := range 8 {
			k, _ := b.start(fmt.Sprint("agent-", i), "a")
			r := b.request("hymn")
			group.Go(func() {
				if k.Ask(t.Context(), r).Run {
					k.End(r.RequestID, b.call())
				}
			})
		}
		group.Wait()
		b.wantRuns(1)
	})
}

func TestSweepKeepsTheLifetime(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		k, _ := b.start("agent-1", "a")
		sweeper := &Sweeper{Store: b.table}
		first := b.attempt(k, "hymn")
		settle()
		if got, err := sweeper.Sweep(t.Context(), time.Now().Add(recordLifetime)); got != 0 || err != nil {
			t.Errorf("Sweep within the lifetime removed %d, %v, want 0", got, err)
		}
		wantAnswer(t, b.attempt(k, "hymn"), first)
		settle()
		if got, err := sweeper.Sweep(t.Context(), time.Now().Add(recordLifetime+2*bucketLength)); got != 1 || err != nil {
			t.Errorf("Sweep after the lifetime removed %d, %v, want 1", got, err)
		}
		rows, err := b.table.Scan(t.Context(), peridottable.Range{Prefix: "once"})
		if len(rows) != 0 || err != nil {
			t.Errorf("got %d rows, %v, want none", len(rows), err)
		}
	})
}

func TestPacingRefusesWithATime(t *testing.T) {
	l := NewLedger(Process{Instance: "a"}, Options{MaxBatch: 1, CommitsPerSecond: 1})
	now := time.Unix(1_800_000_000, 0)
	refused := 0
	for i := range 10 {
		for _, action := range l.Step(now, Asked{Request: Request{RequestID: fmt.Sprint(i), Key: fmt.Sprint(i), Timeout: time.Minute}}) {
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

// TestLostClaimThenOutage loses the answer of a claim that took effect and then
// the table service: the attempt is refused as not run, so its claim must go.
func TestLostClaimThenOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		k, _ := b.start("agent-1", "a")
		other, _ := b.start("agent-2", "b")
		b.table.LoseAnswers(1)
		b.table.BeforeCommit(func(peridottable.Txn) {
			b.table.BeforeCommit(func(peridottable.Txn) { b.table.SetDown(true) })
		})
		wantErr(t, b.attempt(k, "hymn"), peridotverdict.StoreUnavailable, peridotverdict.NotRun)
		b.table.BeforeCommit(nil)
		b.table.SetDown(false)
		settle()
		if got := b.attempt(other, "hymn"); got.Outcome == nil {
			t.Errorf("got reply %+v, want the answer of a run", got)
		}
		b.wantRuns(1)
	})
}
