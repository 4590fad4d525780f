package peridotconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// appendCommit appends one commit and returns the resulting configuration. After a
// conflict it loads the later commits and tries again.
func appendCommit(t *testing.T, l *Log, base *Config, id string, changes Changes) *Config {
	t.Helper()
	for {
		next, err := l.Append(context.Background(), base, id, "ana", changes)
		if err == nil {
			return next
		}
		if !peridotverdict.Is(err, peridotverdict.Conflict) {
			t.Fatal(err)
		}
		if base, err = l.Load(context.Background(), base); err != nil {
			t.Fatal(err)
		}
	}
}

func TestConcurrentAppends(t *testing.T) {
	const operators, commitsEach = 4, 20
	store := &peridottable.Faulty{Store: &peridottable.Memory{}}
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			base := &Config{}
			for i := range commitsEach {
				name := fmt.Sprintf("account-%d-%d", operator, i)
				base = appendCommit(t, &Log{Store: store}, base, name, Changes{PutAccount{Account{Name: name}}})
			}
		})
	}
	wg.Wait()
	commits, err := (&Log{Store: store}).CommitsAfter(context.Background(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(commits), operators*commitsEach; got != want {
		t.Errorf("commits: got %d, want %d", got, want)
	}
	for i, c := range commits {
		if got, want := c.Seq, int64(i+1); got != want {
			t.Fatalf("number of commit %d: got %d, want %d", i, got, want)
		}
	}
}

// TestStaleHead checks that HeadCheck returns an error rather than an old number if
// reads of the head row return a stale copy.
func TestStaleHead(t *testing.T) {
	ctx := context.Background()
	store := &peridottable.Faulty{Store: &peridottable.Memory{}}
	l := &Log{Store: store}
	base := appendCommit(t, l, &Config{}, "one", Changes{PutAccount{Account{Name: "a"}}})
	check := &HeadCheck{Store: store}
	if got, err := check.NewestSeq(ctx); err != nil || got != 1 {
		t.Fatalf("NewestSeq: got %d and %v, want 1", got, err)
	}
	if err := store.FreezeReads(ctx, HeadKey); err != nil {
		t.Fatal(err)
	}
	row, err := store.Get(ctx, HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	txn, err := appendTxn(row, Commit{Seq: base.Seq + 1, ID: "two"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(ctx, txn); err != nil {
		t.Fatal(err)
	}
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	if got, err := check.NewestSeq(canceled); err == nil {
		t.Errorf("NewestSeq with stale reads: got %d, want an error", got)
	}
	store.ThawReads()
	if got, err := check.NewestSeq(ctx); err != nil || got != 2 {
		t.Errorf("NewestSeq: got %d and %v, want 2", got, err)
	}
}

func TestAppendLostAnswer(t *testing.T) {
	ctx := context.Background()
	store := &peridottable.Faulty{Store: &peridottable.Memory{}}
	l := &Log{Store: store}
	store.LoseAnswers(1)
	_, err := l.Append(ctx, &Config{}, "one", "ana", Changes{PutAccount{Account{Name: "a"}}})
	if got, want := peridotverdict.Of(err), peridotverdict.MayHaveRun; got != want {
		t.Errorf("verdict: got %v, want %v", got, want)
	}
	c, err := l.Load(ctx, &Config{})
	if err != nil || c.Seq != 1 {
		t.Fatalf("Load: got version %d and %v, want 1", c.Seq, err)
	}
	if _, err := l.Append(ctx, &Config{}, "one", "ana", nil); !peridottable.IsConflict(err) {
		t.Errorf("the same commit again: got %v, want a conflict", err)
	}
}

func TestSnapshotBoundsReads(t *testing.T) {
	ctx := context.Background()
	store := &peridottable.Faulty{Store: &peridottable.Memory{}}
	l := &Log{Store: store}
	whole := &Config{}
	big := strings.Repeat("x", 1<<10)
	for i := range 2*CommitsPerSnapshot + 7 {
		whole = appendCommit(t, l, whole, fmt.Sprint("commit-", i), Changes{PutAccount{Account{Name: fmt.Sprint(big, i)}}})
	}
	update, err := l.ReadUpdate(ctx, &Config{})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(update.Commits), 7; got != want {
		t.Errorf("commits read after the snapshot: got %d, want %d", got, want)
	}
	c, err := update.Apply(&Config{})
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(c, whole) {
		t.Errorf("Load: got a configuration of version %d that differs from the one written at %d", c.Seq, whole.Seq)
	}
	if err := l.WriteSnapshot(ctx, &Config{Seq: 3}, "old"); err != nil {
		t.Fatal(err)
	}
	if c, err := l.ReadSnapshot(ctx); err != nil || c.Seq != 2*CommitsPerSnapshot {
		t.Errorf("ReadSnapshot after WriteSnapshot of an older one: got %d and %v, want %d", c.Seq, err, 2*CommitsPerSnapshot)
	}
}

func TestUpdate(t *testing.T) {
	var recent RecentCommits
	full := &Config{}
	for i := range maxRecentCommits + 10 {
		commit := Commit{Seq: int64(i + 1), Changes: Changes{PutAccount{Account{Name: fmt.Sprint("a", i)}}}}
		var err error
		if full, err = Replay(full, []Commit{commit}); err != nil {
			t.Fatal(err)
		}
		recent.Add(commit)
	}
	tests := []struct {
		base    int64
		whole   bool
		commits int
	}{
		{0, true, 0},
		{9, true, 0},
		{10, false, maxRecentCommits},
		{maxRecentCommits + 9, false, 1},
		{maxRecentCommits + 10, false, 0},
		{maxRecentCommits + 11, false, 0},
	}
	for _, tt := range tests {
		got := recent.UpdateSince(full, tt.base)
		if (got.Whole != nil) != tt.whole || len(got.Commits) != tt.commits {
			t.Errorf("UpdateSince(%d): got whole %t and %d commits, want %t and %d", tt.base, got.Whole != nil, len(got.Commits), tt.whole, tt.commits)
		}
	}
	body, err := json.Marshal(recent.UpdateSince(full, 0))
	if err != nil {
		t.Fatal(err)
	}
	var update Update
	if err := json.Unmarshal(body, &update); err != nil {
		t.Fatal(err)
	}
	got, err := update.Apply(&Config{Seq: 4})
	if err != nil || !reflect.DeepEqual(got, full) {
		t.Errorf("Apply: got %v and version %d, want %d", err, got.Seq, full.Seq)
	}
	if newer, err := update.Apply(&Config{Seq: 9999}); err != nil || newer.Seq != 9999 {
		t.Errorf("Apply on a newer configuration: got version %d and %v, want 9999", newer.Seq, err)
	}
}

func TestAdmitsKey(t *testing.T) {
	c, err := (&Config{}).Apply(
		PutAccount{Account{Name: "a"}},
		GiveKey{Key{ID: "live", Account: "a"}},
		GiveKey{Key{ID: "withdrawn", Account: "a"}},
		GiveKey{Key{ID: "purged", Account: "a"}},
		WithdrawKey{"withdrawn"},
		WithdrawKey{"purged"},
		PurgeKeys{[]string{"purged"}},
	)
	if err != nil {
		t.Fatal(err)
	}
	c.Seq = 7
	tests := []struct {
		key  string
		seq  int64
		want bool
	}{
		{"live", 3, true},
		{"withdrawn", 3, false},
		{"withdrawn", 8, false},
		{"purged", 3, false},
		{"purged", 7, false},
		{"added later", 8, true},
	}
	for _, tt := range tests {
		if got := c.AdmitsKey(tt.key, tt.seq); got != tt.want {
			t.Errorf("AdmitsKey(%q, %d): got %t, want %t", tt.key, tt.seq, got, tt.want)
		}
	}
	if got := c.PurgeableKeys(1); len(got) != 0 {
		t.Errorf("PurgeableKeys(1): got %v, want none", got)
	}
	if got, want := c.PurgeableKeys(0), []string{"withdrawn"}; !slices.Equal(got, want) {
		t.Errorf("PurgeableKeys(0): got %v, want %v", got, want)
	}
	if _, err := c.Apply(PurgeKeys{[]string{"live"}}); !peridotverdict.Is(err, peridotverdict.BadRequest) {
		t.Errorf("purge of a live key: got %v, want %s", err, peridotverdict.BadRequest)
	}
}
