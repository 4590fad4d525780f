package peridotadmit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var accountCounts = []int{10, 100, 950}

func makeAccounts(n int) []Account {
	var accounts []Account
	for i := range n {
		accounts = append(accounts, Account{Name: fmt.Sprintf("account-%03d", i), Weight: 1 + i%3, TokensPerSecond: 1e6})
	}
	return accounts
}

// BenchmarkAdmit measures one request from Admit to Done; the accounts take
// turns.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			accounts := makeAccounts(n)
			d := New()
			d.SetAccounts(0, accounts)
			d.SetCapacity(0, 1e6)
			now := time.Duration(0)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				i++
				name := accounts[i%n].Name
				if got := d.Admit(now, name, Request{Account: name, PromptTokens: 800, ExpectedOutput: 150}); !got.Admitted {
					b.Fatal(got.Err)
				}
				d.Done(now, name, 800, 150)
			}
		})
	}
}

// BenchmarkRefuse measures one refusal while the queues of all accounts are
// full.
func BenchmarkRefuse(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			accounts := makeAccounts(n)
			d := New()
			d.SetAccounts(0, accounts)
			d.SetCapacity(0, 1)
			for _, a := range accounts {
				d.Admit(0, a.Name, Request{Account: a.Name, PromptTokens: 1e6, ExpectedOutput: 10})
			}
			b.ReportAllocs()
			for b.Loop() {
				if d.Admit(time.Millisecond, "x", Request{Account: accounts[0].Name, PromptTokens: 10, ExpectedOutput: 10}).Admitted {
					b.Fatal("got the request admitted, want it refused")
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap memory of one account with one request in
// flight.
func BenchmarkMemory(b *testing.B) {
	const n = 10_000
	var before, after runtime.MemStats
	accounts := makeAccounts(n)
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := New()
	d.SetAccounts(0, accounts)
	d.SetCapacity(0, 1e6)
	for _, a := range accounts {
		d.Admit(0, a.Name, Request{Account: a.Name, PromptTokens: 800, ExpectedOutput: 150})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/account")
	runtime.KeepAlive(d)
	runtime.KeepAlive(accounts)
}
