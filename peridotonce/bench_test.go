package peridotonce

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotstack/peridottable"
)

// slowTable takes some time for each commit and counts them.
type slowTable struct {
	peridottable.Faulty
}

func (s *slowTable) Commit(ctx context.Context, t peridottable.Txn) (int64, error) {
	time.Sleep(5 * time.Millisecond)
	return s.Faulty.Commit(ctx, t)
}

// BenchmarkGroupCommit measures the commits that one request costs when some
// number of requests run at the same time.
func BenchmarkGroupCommit(b *testing.B) {
	for _, concurrent := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(concurrent), func(b *testing.B) {
			table := &slowTable{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
			keeper := NewKeeper(table, Process{Instance: "agent-1", Incarnation: "a"}, Options{CommitsPerSecond: 100})
			ctx, stop := context.WithCancel(b.Context())
			defer stop()
			go keeper.Serve(ctx)
			next := make(chan int)
			var group sync.WaitGroup
			for range concurrent {
				group.Go(func() {
					for i := range next {
						id := fmt.Sprint("request-", i)
						if reply := keeper.Ask(ctx, Request{RequestID: id, Key: id, Timeout: time.Minute}); !reply.Run {
							b.Errorf("got %+v, want a run", reply)
						}
						keeper.End(id, Outcome{Status: 200, Body: "pushed"})
					}
				})
			}
			for i := range b.N {
				next <- i
			}
			close(next)
			group.Wait()
			if err := keeper.Flush(ctx); err != nil {
				b.Fatal(err)
			}
			commits, _ := table.Counts()
			b.ReportMetric(float64(commits)/float64(b.N), "commits/request")
		})
	}
}

// BenchmarkMemory measures what a ledger holds per unsaved request, and the
// bytes of its row, with the largest answer that is kept and a small one.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{64, 1024, defaultMaxBody} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			const count = 400
			var held, row float64
			for range b.N {
				before := heap()
				l := NewLedger(Process{Instance: "agent-1", Incarnation: "a"}, Options{CommitsPerSecond: 1e6})
				row = fill(l, count, size)
				held = float64(heap()-before) / count
				runtime.KeepAlive(l)
			}
			b.ReportMetric(held, "heap-B/request")
			b.ReportMetric(row, "row-B/request")
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// fill brings count requests to where their outcomes wait for the table, and
// returns the bytes of one row.
func fill(l *Ledger, count, size int) float64 {
	now := time.Unix(1_800_000_000, 0)
	pending := make([]Action, 0, count)
	for i := range count {
		r := Request{RequestID: fmt.Sprint("request-", i), Account: "matriz", Service: "board", Key: fmt.Sprint(i), Fingerprint: strings.Repeat("f", 64), Timeout: time.Minute}
		pending = append(pending, l.Step(now, Asked{Request: r})...)
	}
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		now = now.Add(time.Millisecond)
		if c, ok := a.(Commit); ok && c.Txn.Checks[0].Version == 0 {
			pending = append(pending, l.Step(now, CommitAnswered{ID: c.Txn.ID, Version: 1})...)
		}
		pending = append(pending, l.Step(now, Ticked{})...)
	}
	row := 0
	for id, e := range l.byRequest {
		l.Step(now, Ended{RequestID: id, Outcome: Outcome{Status: 200, Body: strings.Repeat(id[:1], size)}})
		row = len(e.record.encode())
	}
	return float64(row)
}
