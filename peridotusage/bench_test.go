package peridotusage

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"peridotstack/peridottable"
)

var accountCounts = []int{50, 200, 950}

func heap() int64 {
	runtime.GC()
	runtime.GC() // The first one only ages what pools hold.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// fill counts one request of each account at each agent.
func fill(add func(agent Process, c Cell, f Figure), agents, accounts int) {
	now := WindowAt(time.Unix(1_800_000_000, 0))
	for a := range agents {
		agent := Process{Instance: fmt.Sprintf("engine-%05d", a), Incarnation: fmt.Sprintf("%016x", a*7919)}
		for i := range accounts {
			cell := Cell{Agent: agent, Window: now, Account: fmt.Sprintf("account-%04d", i)}
			add(agent, cell, Figure{Requests: int64(i%7 + 1), PromptTokens: int64(i * 311), OutputTokens: int64(i * 97)})
		}
	}
}

// BenchmarkCounter measures what one agent holds per figure and what it hands
// over per flush when every account has new figures.
func BenchmarkCounter(b *testing.B) {
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var held, flush float64
			var c *Counter
			for range b.N {
				c = nil
				before := heap()
				c = NewCounter(Process{}, 0)
				fill(func(_ Process, cell Cell, f Figure) { c.Add("kin-a", cell, f) }, 1, accounts)
				held = float64(heap()-before) / float64(accounts)
				data, err := EncodeParts(c.Parts("kin-a", 1, accounts))
				if err != nil {
					b.Fatal(err)
				}
				flush = float64(len(data))
				runtime.KeepAlive(c)
			}
			b.ReportMetric(held, "heap-B/figure")
			b.ReportMetric(flush, "B/flush")
		})
	}
}

// BenchmarkCollector measures what a collector of ten agents holds per figure
// and window, and the bytes of one seal and of one checkpoint.
func BenchmarkCollector(b *testing.B) {
	const agents = 10
	for _, accounts := range accountCounts {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var held, seal, checkpoint float64
			var l *Ledger
			for range b.N {
				l = nil
				before := heap()
				l = NewLedger("kin-a")
				fill(func(agent Process, cell Cell, f Figure) {
					l.Take([]Part{{Cell: cell, Counter: agent, Figure: f}})
				}, agents, accounts)
				held = float64(heap()-before) / float64(agents*accounts)
				s := l.Prepare(WindowAt(time.Unix(1_800_000_000, 0)))
				var txn peridottable.Txn
				if err := put(&txn, "sealed", 0, s.Sealed); err != nil {
					b.Fatal(err)
				}
				if err := put(&txn, "cells", 0, s.Cells[0]); err != nil {
					b.Fatal(err)
				}
				seal = float64(len(txn.Puts[0].Value) + len(txn.Puts[1].Value))
				if err := put(&txn, "open", 0, openRow{Parts: l.Open()}); err != nil {
					b.Fatal(err)
				}
				checkpoint = float64(len(txn.Puts[2].Value))
				runtime.KeepAlive(l)
			}
			b.ReportMetric(held, "heap-B/figure")
			b.ReportMetric(seal, "B/seal")
			b.ReportMetric(checkpoint, "B/checkpoint")
		})
	}
}
