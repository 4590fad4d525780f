package peridotorigin

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestTable(t *testing.T) {
	type step struct {
		at      time.Duration
		key     Key
		version string
	}
	for _, c := range []struct {
		name  string
		steps []step
		// at is when the table is read; want contains the versions that it must contain.
		at   time.Duration
		want map[Key]string
	}{
		{name: "empty", want: map[Key]string{}},
		{name: "kept", steps: []step{{key: 1, version: "v1"}, {key: 2, version: "v2"}}, at: 9, want: map[Key]string{1: "v1", 2: "v2"}},
		{name: "no version named", steps: []step{{key: 1}}, want: map[Key]string{1: ""}},
		{name: "first version stays", steps: []step{{key: 1, version: "v1"}, {at: 1, key: 1, version: "v2"}}, at: 2, want: map[Key]string{1: "v1"}},
		{name: "expired", steps: []step{{key: 1, version: "v1"}, {at: 5, key: 2, version: "v1"}}, at: 10, want: map[Key]string{2: "v1"}},
		{name: "recorded again after expiry", steps: []step{{key: 1, version: "v1"}, {at: 10, key: 1, version: "v2"}}, at: 11, want: map[Key]string{1: "v2"}},
		{name: "repeated copy does not extend", steps: []step{{key: 1, version: "v1"}, {at: 4, key: 1, version: "v1"}}, at: 10, want: map[Key]string{}},
		{name: "resumption extends", steps: []step{{key: 1, version: "v1"}, {at: 5, key: 1, version: "v1"}}, at: 14, want: map[Key]string{1: "v1"}},
		{name: "another version does not extend", steps: []step{{key: 1, version: "v1"}, {at: 5, key: 1, version: "v2"}}, at: 10, want: map[Key]string{}},
		{name: "resumption extends once more", steps: []step{{key: 1, version: "v1"}, {at: 5, key: 1, version: "v1"}, {at: 10, key: 1, version: "v1"}}, at: 19, want: map[Key]string{1: "v1"}},
		{name: "renewed origin expires", steps: []step{{key: 1, version: "v1"}, {at: 5, key: 1, version: "v1"}}, at: 15, want: map[Key]string{}},
		{name: "drops the oldest", steps: []step{{key: 1, version: "v1"}, {key: 2, version: "v1"}, {key: 3, version: "v1"}, {key: 4, version: "v1"}}, want: map[Key]string{2: "v1", 3: "v1", 4: "v1"}},
		{name: "refuses a long version", steps: []step{{key: 1, version: strings.Repeat("v", MaxVersionBytes+1)}}, want: map[Key]string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(10, 3)
			for _, s := range c.steps {
				table.Record(s.at, s.key, s.version)
			}
			got := make(map[Key]string)
			for key := range Key(10) {
				if version, ok := table.Version(c.at, key); ok {
					got[key] = version
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) || table.Len() != len(c.want) {
				t.Errorf("got %v and length %d, want %v", got, table.Len(), c.want)
			}
		})
	}
}

// TestTableMemory checks that the table releases what it drops: entries, versions and
// the queue stay bounded over many times its limit.
func TestTableMemory(t *testing.T) {
	const limit = 100
	table := NewTable(time.Hour, limit)
	for i := range 50 * limit {
		table.Record(time.Duration(i), Key(i), fmt.Sprint("v", i/limit))
		if len(table.queue) > 2*limit+2 || len(table.origins) > limit || len(table.interned) > 2 {
			t.Fatalf("after %d: got queue %d, origins %d, interned %d", i+1, len(table.queue), len(table.origins), len(table.interned))
		}
	}
	table.Expire(2 * time.Hour)
	if table.Len() != 0 || len(table.origins) != 0 || len(table.interned) != 0 {
		t.Errorf("all expired: got length %d, origins %d, interned %d, want 0", table.Len(), len(table.origins), len(table.interned))
	}
}

// TestVersionsAreBounded guards against long versions that take all memory, each of them for
// one stream.
func TestVersionsAreBounded(t *testing.T) {
	table := NewTable(time.Minute, MaxOrigins)
	const streams = 40_000
	for i := range Key(streams) {
		table.Record(0, i, fmt.Sprintf("%0*d", MaxVersionBytes, i))
	}
	if got, most := table.Len(), maxVersionsBytes/MaxVersionBytes; got < most/2 || got > most || table.internedBytes > maxVersionsBytes {
		t.Errorf("got %d origins and %d bytes, want %d to %d and at most %d", got, table.internedBytes, most/2, most, maxVersionsBytes)
	}
	if _, ok := table.Version(0, streams-1); !ok {
		t.Error("got no version for the latest stream, want it")
	}
	table.Expire(time.Minute)
	if table.internedBytes != 0 {
		t.Errorf("got %d bytes after expiry, want 0", table.internedBytes)
	}
}
