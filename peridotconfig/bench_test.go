package peridotconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// newConfig returns a configuration with the given number of keys, distributed
// evenly over the given number of accounts.
func newConfig(b *testing.B, keys, accounts int) *Config {
	b.Helper()
	var changes Changes
	for i := range accounts {
		changes = append(changes, PutAccount{Account: Account{Name: fmt.Sprintf("account-%04d", i), Models: []string{"hino-llm"}, Weight: 1}})
	}
	for i := range keys {
		changes = append(changes, GiveKey{Key: Key{
			ID:      fmt.Sprintf("%016x", i),
			Account: fmt.Sprintf("account-%04d", i%accounts),
			Hash:    fmt.Sprintf("%064x", i),
		}})
	}
	config, err := (&Config{}).Apply(changes...)
	if err != nil {
		b.Fatal(err)
	}
	return config
}

var sizes = []struct{ keys, accounts int }{{100, 50}, {1000, 200}, {10000, 950}}

func BenchmarkLookup(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("keys=%d/accounts=%d", s.keys, s.accounts), func(b *testing.B) {
			config := newConfig(b, s.keys, s.accounts)
			last := fmt.Sprintf("%016x", s.keys-1)
			for b.Loop() {
				key, _ := config.Key(last)
				if _, ok := config.Account(key.Account); !ok {
					b.Fatal("account: got none, want one")
				}
			}
		})
	}
}

func BenchmarkApplyCommit(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("keys=%d/accounts=%d", s.keys, s.accounts), func(b *testing.B) {
			config := newConfig(b, s.keys, s.accounts)
			change := WithdrawKey{ID: fmt.Sprintf("%016x", s.keys/2)}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Apply(change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory reports the size in bytes of one configuration in memory and as a
// snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("keys=%d/accounts=%d", s.keys, s.accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				config := newConfig(b, s.keys, s.accounts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(config)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes/config")
			whole, err := json.Marshal(newConfig(b, s.keys, s.accounts))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(whole)), "bytes/snapshot")
		})
	}
}

// BenchmarkStoreReads reports the rate of checks of the table service over a minute
// of fake time, by the number of entry instances in one failure domain.
func BenchmarkStoreReads(b *testing.B) {
	const readers, minute = 2, 600
	for _, entries := range []int{3, 30, 92} {
		for _, down := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/down=%t", entries, down), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(countChecks(entries, readers, minute, down))/60, "checks/s")
				}
			})
		}
	}
}

// countChecks runs followers for the given number of ticks and returns the number
// of checks. Each follower gets the proof of a reader once a second. If the table
// service is down, there are no proofs.
func countChecks(entries, readers, ticks int, down bool) int {
	now := time.Unix(1000, 0)
	var all []*Follower
	for i := range entries {
		f := NewFollower(uint64(i))
		f.SetReader(i < readers)
		all = append(all, f)
	}
	checks := 0
	for tick := range ticks {
		now = now.Add(100 * time.Millisecond)
		for i, f := range all {
			for _, action := range f.Tick(now) {
				if _, ok := action.(CheckHead); !ok {
					continue
				}
				checks++
				var err error
				if down {
					err = errors.New("down")
				}
				f.HandleCheckResult(now, 1, err)
			}
			f.Adopt(&Config{Seq: 1})
			if proof := all[i%readers].Proof(); tick%10 == 0 && !proof.At.IsZero() {
				f.HandleVersion("peer", proof.Seq, proof.At)
			}
		}
	}
	return checks
}

// BenchmarkInForce reports how long a commit takes until every process has applied
// it, the maximum age of a proof, and the percentage of samples in which a process
// could not have started a request that requires a key. All are in fake time,
// without failures except that the table service may be down. The time per operation
// is meaningless.
func BenchmarkInForce(b *testing.B) {
	const warmUp, end = 5 * time.Second, 35 * time.Second
	for _, s := range []clusterSize{{4, 1, 2}, {13, 4, 40}, {13, 20, 200}} {
		for _, down := range []bool{false, true} {
			b.Run(fmt.Sprintf("processes=%d/down=%t", s.processCount(), down), func(b *testing.B) {
				for b.Loop() {
					sm := newSizedSimulation(b, 0, s)
					sm.runUntil(warmUp)
					sm.storeDown = down
					m := &measurement{simulation: sm}
					for at := warmUp; at < end; at += 50 * time.Millisecond {
						if !down && at%(3*time.Second) == 0 {
							m.commit()
						}
						sm.runUntil(at)
						m.sample()
					}
					b.ReportMetric(m.slowestCommit.Seconds(), "s-in-force")
					b.ReportMetric(m.oldestProof.Seconds(), "s-oldest-proof")
					b.ReportMetric(100*float64(m.staleSamples)/float64(m.samples), "%stale")
				}
			})
		}
	}
}

// measurement collects the figures of BenchmarkInForce from a simulation.
type measurement struct {
	*simulation
	committedAt                time.Time
	slowestCommit, oldestProof time.Duration
	samples, staleSamples      int
}

func (m *measurement) commit() {
	seq := int64(len(m.commits)) + 1
	m.commits = append(m.commits, Commit{Seq: seq, Changes: Changes{PutAccount{Account{Name: "a"}}}})
	m.committedAt = m.now
}

func (m *measurement) sample() {
	outdated := false
	for _, p := range m.processes {
		m.samples++
		if !p.Fresh(m.now) {
			m.staleSamples++
		}
		m.oldestProof = max(m.oldestProof, m.now.Sub(p.Proof().At))
		outdated = outdated || p.Config().Seq < int64(len(m.commits))
	}
	if outdated && !m.committedAt.IsZero() {
		m.slowestCommit = max(m.slowestCommit, m.now.Sub(m.committedAt))
	}
}
