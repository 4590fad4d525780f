package peridotlease

import (
	"errors"
	"testing"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

var (
	testTerms       = Terms{TTL: 10 * time.Second, RenewInterval: 3 * time.Second, MaxClockDrift: 0.01}
	errResponseLost = peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "lost")
	errConflict     = peridotverdict.New(peridotverdict.Conflict, peridotverdict.NotRun, "moved")
)

// otherRow returns a lease row as another process would write it. An empty holder
// gives a released lease.
func otherRow(version, token int64, holder string) peridottable.Row {
	value := Row{Holder: holder, Nonce: "nonce of " + holder, Token: token, TTLMillis: 10_000}
	if holder == "" {
		value.Nonce = ""
	}
	return peridottable.Row{Key: RowKey("a"), Version: version, WriterID: "other", Value: value.encode()}
}

func TestLeaseTakeover(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name string
		rows []peridottable.Row
		// readAt and commitAt are in seconds after start: when each row was read, and
		// when NextCommit was called.
		readAt    []float64
		commitAt  float64
		want      bool
		wantToken int64
	}{
		{"absent row", []peridottable.Row{{Key: RowKey("a")}}, []float64{0}, 0, true, 1},
		{"released row", []peridottable.Row{otherRow(4, 7, "")}, []float64{0}, 0, true, 8},
		{"held row read just now", []peridottable.Row{otherRow(4, 7, "b")}, []float64{0}, 0, false, 0},
		{"held row within its TTL", []peridottable.Row{otherRow(4, 7, "b"), otherRow(4, 7, "b")}, []float64{0, 10}, 10, false, 0},
		{"held row past its TTL", []peridottable.Row{otherRow(4, 7, "b"), otherRow(4, 7, "b")}, []float64{0, 10.2}, 10.2, true, 8},
		{"no read since the TTL elapsed", []peridottable.Row{otherRow(4, 7, "b")}, []float64{0}, 11, false, 0},
		{"renewed between the reads", []peridottable.Row{otherRow(4, 7, "b"), otherRow(5, 7, "b")}, []float64{0, 10.2}, 10.2, false, 0},
		{"stale read after a newer one", []peridottable.Row{otherRow(5, 7, "b"), otherRow(4, 7, "")}, []float64{0, 1}, 1, false, 0},
	}
	for _, test := range tests {
		l := New("a", "c", "nonce of c", testTerms)
		for i, r := range test.rows {
			l.HandleRead(r, start.Add(seconds(test.readAt[i])))
		}
		txn, got := l.NextCommit(start.Add(seconds(test.commitAt)), 0)
		if got != test.want {
			t.Errorf("%s: NextCommit: got %v, want %v", test.name, got, test.want)
			continue
		}
		if !got {
			continue
		}
		value, err := DecodeRow(txn.Puts[0].Value)
		if err != nil {
			t.Fatal(err)
		}
		if value.Token != test.wantToken {
			t.Errorf("%s: got token %d, want %d", test.name, value.Token, test.wantToken)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// TestGrantExpiryCountsFromRequestStart guards against a grant that outlasts the
// lease because its duration counts from a late response.
func TestGrantExpiryCountsFromRequestStart(t *testing.T) {
	start := time.Now()
	l := New("a", "c", "nonce of c", testTerms)
	l.HandleRead(peridottable.Row{Key: RowKey("a")}, start)
	if _, ok := l.NextCommit(start, 0); !ok {
		t.Fatal("NextCommit: got none, want one")
	}
	// The response takes 4 s. The grant expires 9.9 s after the request started: the
	// TTL of 10 s less the drift bound.
	l.HandleCommitResult(1, nil, start.Add(4*time.Second))
	if _, got := l.Grant(start.Add(9800 * time.Millisecond)); !got {
		t.Error("Grant after 9.8 s: got false, want true")
	}
	if _, got := l.Grant(start.Add(9900 * time.Millisecond)); got {
		t.Error("Grant after 9.9 s: got true, want false")
	}
}

// TestLeaseLostResponses checks that an unanswered commit grants nothing until a
// read shows whether it took effect.
func TestLeaseLostResponses(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name string
		err  error
		// committed is whether the commit took effect.
		committed bool
		want      bool
	}{
		{"committed, response lost", errResponseLost, true, true},
		{"not committed, response lost", errResponseLost, false, false},
		{"conflict", errConflict, false, false},
		{"committed, unknown error", errors.New("cut"), true, true},
	}
	for _, test := range tests {
		l := New("a", "c", "nonce of c", testTerms)
		l.HandleRead(otherRow(4, 7, ""), start)
		txn, _ := l.NextCommit(start, 0)
		l.HandleCommitResult(0, test.err, start.Add(time.Second))
		if _, got := l.Grant(start.Add(time.Second)); got {
			t.Errorf("%s: Grant before the row was read again: got true, want false", test.name)
		}
		seen := otherRow(4, 7, "")
		if test.committed {
			seen = peridottable.Row{Key: RowKey("a"), Version: 5, WriterID: txn.ID, Value: txn.Puts[0].Value}
		}
		l.HandleRead(seen, start.Add(2*time.Second))
		if _, got := l.Grant(start.Add(2 * time.Second)); got != test.want {
			t.Errorf("%s: Grant after the row was read again: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestRankIsPermutation checks that the instances get distinct ranks for a shard.
func TestRankIsPermutation(t *testing.T) {
	instances := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
	for _, shard := range []string{"recife-a", "recife-b", "kin-a"} {
		var ranks [4]int
		for _, self := range instances {
			ranks[Rank(shard, self, instances)]++
		}
		if want := [4]int{1, 1, 1, 1}; ranks != want {
			t.Errorf("%s: got ranks %v, want %v", shard, ranks, want)
		}
	}
}
