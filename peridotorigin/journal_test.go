package peridotorigin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// keysOf returns the keys in rows, in ascending order.
func keysOf(rows []JournalRow) []Key {
	var keys []Key
	for _, r := range rows {
		for _, g := range r.Groups {
			keys = append(keys, g.Keys...)
		}
	}
	slices.Sort(keys)
	return keys
}

func TestJournal(t *testing.T) {
	store := func(j *Journal) { j.Stored(j.Changes(100)) }
	tests := []struct {
		name string
		do   func(j *Journal)
		// rows, keys and deletes are what the table service lacks afterwards.
		rows    int
		keys    []Key
		deletes []int
	}{
		{name: "nothing", do: func(*Journal) {}},
		{name: "one row", do: func(j *Journal) { j.Add(0, 1, "v1"); j.Add(time.Second, 2, "v2") }, rows: 1, keys: []Key{1, 2}},
		{name: "added twice", do: func(j *Journal) { j.Add(0, 1, "v1"); j.Add(0, 1, "v2") }, rows: 1, keys: []Key{1}},
		{name: "row of its time", do: func(j *Journal) { j.Add(0, 1, "v1"); j.Add(maxRowAge, 2, "v1") }, rows: 2, keys: []Key{1, 2}},
		{name: "stored", do: func(j *Journal) { j.Add(0, 1, "v1"); store(j) }},
		{name: "added to a stored row", do: func(j *Journal) { j.Add(0, 1, "v1"); store(j); j.Add(1, 2, "v1") }, rows: 1, keys: []Key{1, 2}},
		{name: "added during the call", do: func(j *Journal) {
			j.Add(0, 1, "v1")
			c := j.Changes(100)
			j.Add(1, 2, "v1")
			j.Stored(c)
		}, rows: 1, keys: []Key{1, 2}},
		{name: "ended before it is stored", do: func(j *Journal) { j.Add(0, 1, "v1"); j.Add(0, 2, "v1"); j.End(1) }, rows: 1, keys: []Key{2}},
		{name: "all ended before they are stored", do: func(j *Journal) { j.Add(0, 1, "v1"); j.End(1) }},
		{name: "ended after it is stored", do: func(j *Journal) { j.Add(0, 1, "v1"); store(j); j.End(1) }},
		{name: "table service lost its rows", do: func(j *Journal) { j.Add(0, 1, "v1"); store(j); j.Renew() }, rows: 1, keys: []Key{1}},
		{name: "not expired", do: func(j *Journal) { j.Add(0, 1, "v1"); store(j); j.Expire(TTL) }},
		{name: "expired", do: func(j *Journal) { j.Add(0, 1, "v1"); store(j); j.Expire(maxRowAge + TTL) }, deletes: []int{0}},
		{name: "expired and deleted", do: func(j *Journal) { j.Add(0, 1, "v1"); store(j); j.Expire(maxRowAge + TTL); store(j) }},
		{name: "expired during the call", do: func(j *Journal) {
			j.Add(0, 1, "v1")
			c := j.Changes(100)
			j.Expire(maxRowAge + TTL)
			j.Stored(c)
		}, deletes: []int{0}},
	}
	for _, test := range tests {
		var j Journal
		test.do(&j)
		got := j.Changes(100)
		if keys := keysOf(got.Puts); len(got.Puts) != test.rows || !slices.Equal(keys, test.keys) || !slices.Equal(got.Deletes, test.deletes) {
			t.Errorf("%s: got %d rows with keys %v, deletes %v; want %d, %v, %v", test.name, len(got.Puts), keys, got.Deletes, test.rows, test.keys, test.deletes)
		}
	}
}

// TestJournalBounds guards against rows that the table service refuses and a journal that
// grows without end while it is away.
func TestJournalBounds(t *testing.T) {
	var j Journal
	for i := range 20_000 {
		j.Add(time.Duration(i)*time.Second, Key(i), fmt.Sprint(strings.Repeat("v", i%MaxVersionBytes), i))
	}
	for i := range 20_000 {
		j.Add(20_000*time.Second, Key(i), fmt.Sprint(strings.Repeat("w", i%MaxVersionBytes), i))
	}
	if got := j.Len(); got > maxJournalRows {
		t.Errorf("got %d rows, want at most %d", got, maxJournalRows)
	}
	for _, r := range j.Changes(maxJournalRows).Puts {
		bytes := 0
		for _, g := range r.Groups {
			bytes += groupBytes + len(g.Version) + len(g.Keys)*keyBytes
		}
		if bytes > maxRowBytes {
			t.Errorf("row %d: got %d bytes, want at most %d", r.Number, bytes, maxRowBytes)
		}
	}
}
