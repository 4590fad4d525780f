package peridotconfig

import (
	"fmt"
	"testing"
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
