package peridotconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// sized returns a configuration with n keys spread over some accounts.
func sized(b *testing.B, keys, accounts int) *Config {
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
			config := sized(b, s.keys, s.accounts)
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
			config := sized(b, s.keys, s.accounts)
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

// BenchmarkMemory reports the bytes that one configuration keeps.
func BenchmarkMemory(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("keys=%d/accounts=%d", s.keys, s.accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				config := sized(b, s.keys, s.accounts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(config)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes/config")
			whole, err := json.Marshal(sized(b, s.keys, s.accounts))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(whole)), "bytes/snapshot")
		})
	}
}

// BenchmarkStoreReads counts the checks at the table service in a minute of fake
// time, by the number of entry instances in one failure domain.
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

// countChecks runs followers that hear of each other's proofs once a second, or,
// while the store is down, of none.
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
				f.Checked(now, 1, err)
			}
			f.Adopt(&Config{Seq: 1})
			if proof := all[i%readers].Proof(); tick%10 == 0 && !proof.At.IsZero() {
				f.Heard("peer", proof.Seq, proof.At)
			}
		}
	}
	return checks
}

// BenchmarkInForce reports, in fake time without failures, how long a commit takes
// until it is in force at every process, how old the proofs get, and the share of
// looks at which a process could not have started keyed work; its time means
// nothing.
func BenchmarkInForce(b *testing.B) {
	const warmUp, end = 5 * time.Second, 35 * time.Second
	for _, s := range []shape{{4, 1, 2}, {13, 4, 40}, {13, 20, 200}} {
		for _, down := range []bool{false, true} {
			b.Run(fmt.Sprintf("processes=%d/down=%t", s.processes(), down), func(b *testing.B) {
				for b.Loop() {
					w := newShapedWorld(b, 0, s)
					w.runUntil(warmUp)
					w.down = down
					m := &measured{world: w}
					for at := warmUp; at < end; at += 50 * time.Millisecond {
						if !down && at%(3*time.Second) == 0 {
							m.commit()
						}
						w.runUntil(at)
						m.look()
					}
					b.ReportMetric(m.slowest.Seconds(), "s-in-force")
					b.ReportMetric(m.oldest.Seconds(), "s-oldest-proof")
					b.ReportMetric(100*float64(m.stale)/float64(m.looks), "%stale")
				}
			})
		}
	}
}

// measured watches a world.
type measured struct {
	*world
	committed       time.Time
	slowest, oldest time.Duration
	looks, stale    int
}

func (m *measured) commit() {
	seq := int64(len(m.commits)) + 1
	m.commits = append(m.commits, Commit{Seq: seq, Changes: Changes{PutAccount{Account{Name: "a"}}}})
	m.committed = m.now
}

func (m *measured) look() {
	behind := false
	for _, p := range m.procs {
		m.looks++
		if !p.Fresh(m.now) {
			m.stale++
		}
		m.oldest = max(m.oldest, m.now.Sub(p.Proof().At))
		behind = behind || p.Config().Seq < int64(len(m.commits))
	}
	if behind && !m.committed.IsZero() {
		m.slowest = max(m.slowest, m.now.Sub(m.committed))
	}
}
