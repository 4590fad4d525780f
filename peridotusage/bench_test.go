package peridotusage

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"peridotstack/peridottable"
)

var accountCounts = []int{50, 200, 950}

// heapBytes returns the number of bytes allocated on the heap after garbage
// collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // The first collection only moves pooled objects to the victim cache.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// addRequests calls add with one figure for each account at each agent.
func addRequests(add func(agent Process, c Cell, f Figure), agents, accounts int) {
	now := WindowAt(time.Unix(1_800_000_000, 0))
	for a := range agents {
		agent := Process{Instance: fmt.Sprintf("engine-%05d", a), Incarnation: fmt.Sprintf("%016x", a*7919)}
		for i := range accounts {
			cell := Cell{Agent: agent, Window: now, Account: fmt.Sprintf("account-%04d", i)}
			add(agent, cell, Figure{Requests: int64(i%7 + 1), PromptTokens: int64(i * 311), OutputTokens: int64(i * 97)})
		}
	}
}

// BenchmarkCounter reports one agent's heap bytes per figure and the encoded
// bytes of one handover in which every account has new figures.
func BenchmarkCounter(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var heapPerFigure, flushBytes float64
			var c *Counter
			for range b.N {
				c = nil
				before := heapBytes()
				c = NewCounter(Process{}, 0)
				addRequests(func(_ Process, cell Cell, f Figure) { c.Add("kin-a", cell, f) }, 1, accounts)
				heapPerFigure = float64(heapBytes()-before) / float64(accounts)
				data, err := EncodeParts(c.Parts("kin-a", 1, accounts))
				if err != nil {
					b.Fatal(err)
				}
				flushBytes = float64(len(data))
				runtime.KeepAlive(c)
			}
			b.ReportMetric(heapPerFigure, "heap-B/figure")
			b.ReportMetric(flushBytes, "B/flush")
		})
	}
}

// BenchmarkCollector reports the heap bytes per figure of one window at a
// collector of ten agents, and the encoded bytes of one seal and one checkpoint.
func BenchmarkCollector(b *testing.B) {
	const agents = 10
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var heapPerFigure, sealBytes, checkpointBytes float64
			var l *Ledger
			for range b.N {
				l = nil
				before := heapBytes()
				l = NewLedger("kin-a")
				addRequests(func(agent Process, cell Cell, f Figure) {
					l.Merge([]Part{{Cell: cell, Counter: agent, Figure: f}})
				}, agents, accounts)
				heapPerFigure = float64(heapBytes()-before) / float64(agents*accounts)
				s := l.PrepareSeal(WindowAt(time.Unix(1_800_000_000, 0)))
				var txn peridottable.Txn
				if err := putRow(&txn, "sealed", 0, s.Sealed); err != nil {
					b.Fatal(err)
				}
				if err := putRow(&txn, "cells", 0, s.Cells[0]); err != nil {
					b.Fatal(err)
				}
				sealBytes = float64(len(txn.Puts[0].Value) + len(txn.Puts[1].Value))
				if err := putRow(&txn, "open", 0, openRow{Parts: l.UnsealedParts()}); err != nil {
					b.Fatal(err)
				}
				checkpointBytes = float64(len(txn.Puts[2].Value))
				runtime.KeepAlive(l)
			}
			b.ReportMetric(heapPerFigure, "heap-B/figure")
			b.ReportMetric(sealBytes, "B/seal")
			b.ReportMetric(checkpointBytes, "B/checkpoint")
		})
	}
}
