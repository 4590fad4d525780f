package peridottable

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// put returns a transaction that writes a row if it has the given version.
func put(id, key string, version int64) Txn {
	return Txn{ID: id, Checks: []Check{{Key: key, Version: version}}, Puts: []Put{{Key: key, Value: []byte(id)}}}
}

// TestResolveCommit checks that ResolveCommit distinguishes a lost answer from a
// lost commit.
func TestResolveCommit(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *Faulty)
		want  bool
	}{
		{"answer lost", func(f *Faulty) { f.LoseAnswers(1) }, true},
		{"commit lost", func(f *Faulty) { f.DropCommits(1) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &Faulty{Store: &Memory{}}
			test.fault(f)
			txn := put("first", "row", 0)
			if _, err := f.Commit(t.Context(), txn); err == nil {
				t.Fatal("Commit: got nil, want an error")
			}
			_, got, err := ResolveCommit(t.Context(), f, txn)
			if err != nil || got != test.want {
				t.Errorf("ResolveCommit: got %v and %v, want %v", got, err, test.want)
			}
		})
	}
}

// TestGetCurrent checks that GetCurrent does not return a stale row.
func TestGetCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Faulty{Store: &Memory{}}
		version, err := f.Commit(t.Context(), put("old", "row", 0))
		if err != nil {
			t.Fatal(err)
		}
		if err := f.FreezeReads(t.Context(), "row"); err != nil {
			t.Fatal(err)
		}
		if _, err := f.Commit(t.Context(), put("new", "row", version)); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, f.ThawReads)
		row, err := GetCurrent(t.Context(), f, "row")
		if got, want := row.WriterID, "new"; err != nil || got != want {
			t.Errorf("got %q and %v, want %q", got, err, want)
		}
	})
}

// Two writers create the same row. The second gets a conflict.
func Example() {
	ctx := context.Background()
	var table Memory
	_, first := table.Commit(ctx, put("first", "row", 0))
	_, second := table.Commit(ctx, put("second", "row", 0))
	fmt.Println(IsConflict(first), IsConflict(second))
	// Output: false true
}
