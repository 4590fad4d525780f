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

// slowTable is a table with a fixed delay per commit.
type slowTable struct {
	peridottable.Faulty
}

func (s *slowTable) Commit(ctx context.Context, t peridottable.Txn) (int64, error) {
	time.Sleep(5 * time.Millisecond)
	return s.Faulty.Commit(ctx, t)
}

// BenchmarkGroupCommit measures the commits per request for different numbers of
// concurrent requests.
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
						if reply := keeper.Claim(ctx, Request{RequestID: id, Key: id, Timeout: time.Minute}); !reply.MustRun {
							b.Errorf("got %+v, want a run", reply)
						}
						keeper.RecordOutcome(id, Outcome{Status: 200, Body: "pushed"})
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

// BenchmarkMemory measures the heap bytes and the row bytes of a request whose
// outcome is not committed yet, for answers up to the largest that is recorded.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{64, 1024, defaultMaxBodyBytes} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			const count = 400
			var heapPerRequest, rowBytes float64
			for range b.N {
				before := heapBytes()
				l := NewLedger(Process{Instance: "agent-1", Incarnation: "a"}, Options{CommitsPerSecond: 1e6})
				rowBytes = fillLedger(l, count, size)
				heapPerRequest = float64(heapBytes()-before) / count
				runtime.KeepAlive(l)
			}
			b.ReportMetric(heapPerRequest, "heap-B/request")
			b.ReportMetric(rowBytes, "row-B/request")
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// fillLedger claims and ends count requests, so that their outcomes wait for a
// commit. It returns the size of one row in bytes.
func fillLedger(l *Ledger, count, size int) float64 {
	now := time.Unix(1_800_000_000, 0)
	pending := make([]Action, 0, count)
	for i := range count {
		r := Request{RequestID: fmt.Sprint("request-", i), Account: "matriz", Service: "board", Key: fmt.Sprint(i), Fingerprint: strings.Repeat("f", 64), Timeout: time.Minute}
		pending = append(pending, l.Step(now, RequestReceived{Request: r})...)
	}
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		now = now.Add(time.Millisecond)
		if c, ok := a.(Commit); ok && c.Txn.Checks[0].Version == 0 {
			pending = append(pending, l.Step(now, CommitAnswered{ID: c.Txn.ID, Version: 1})...)
		}
		pending = append(pending, l.Step(now, TimePassed{})...)
	}
	rowBytes := 0
	for id, e := range l.byRequest {
		l.Step(now, RequestEnded{RequestID: id, Outcome: Outcome{Status: 200, Body: strings.Repeat(id[:1], size)}})
		rowBytes = len(e.record.encode())
	}
	return float64(rowBytes)
}
