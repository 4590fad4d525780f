package peridotlease

import (
	"errors"
	"testing"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

var (
	testTerms = Terms{TTL: 10 * time.Second, Renew: 3 * time.Second, Drift: 0.01}
	errLost   = peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "lost")
	errMoved  = peridotverdict.New(peridotverdict.Conflict, peridotverdict.NotRun, "moved")
)

// row returns a lease row as another process would write it.
func row(version, token int64, holder string) peridottable.Row {
	value := Row{Holder: holder, Nonce: "nonce of " + holder, Token: token, TTLMillis: 10_000}
	if holder == "" {
		value.Nonce = ""
	}
	return peridottable.Row{Key: Key("a"), Version: version, WriterID: "other", Value: value.encode()}
}

func TestLeaseTakeover(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name string
		rows []peridottable.Row
		// at holds when each row was read, in seconds; take is when Commit is asked.
		at    []float64
		take  float64
		want  bool
		token int64
	}{
		{"absent row", []peridottable.Row{{Key: Key("a")}}, []float64{0}, 0, true, 1},
		{"released row", []peridottable.Row{row(4, 7, "")}, []float64{0}, 0, true, 8},
		{"held row seen just now", []peridottable.Row{row(4, 7, "b")}, []float64{0}, 0, false, 0},
		{"held row within its time", []peridottable.Row{row(4, 7, "b"), row(4, 7, "b")}, []float64{0, 10}, 10, false, 0},
		{"held row past its time", []peridottable.Row{row(4, 7, "b"), row(4, 7, "b")}, []float64{0, 10.2}, 10.2, true, 8},
		{"no read since it ran out", []peridottable.Row{row(4, 7, "b")}, []float64{0}, 11, false, 0},
		{"renewed in between", []peridottable.Row{row(4, 7, "b"), row(5, 7, "b")}, []float64{0, 10.2}, 10.2, false, 0},
		{"stale read after a newer one", []peridottable.Row{row(5, 7, "b"), row(4, 7, "")}, []float64{0, 1}, 1, false, 0},
	}
	for _, test := range tests {
		l := New("a", "c", "nonce of c", testTerms)
		for i, r := range test.rows {
			l.Saw(r, start.Add(seconds(test.at[i])))
		}
		txn, got := l.Commit(start.Add(seconds(test.take)), 0)
		if got != test.want {
			t.Errorf("%s: got a commit %v, want %v", test.name, got, test.want)
			continue
		}
		if !got {
			continue
		}
		value, err := Decode(txn.Puts[0].Value)
		if err != nil {
			t.Fatal(err)
		}
		if value.Token != test.token {
			t.Errorf("%s: got token %d, want %d", test.name, value.Token, test.token)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func TestLeaseCountsFromBeforeTheRequest(t *testing.T) {
	start := time.Now()
	l := New("a", "c", "nonce of c", testTerms)
	l.Saw(peridottable.Row{Key: Key("a")}, start)
	if _, ok := l.Commit(start, 0); !ok {
		t.Fatal("Commit: got none, want one")
	}
	// The answer takes 4 s; the lease ends 9.9 s after the request was started.
	l.Wrote(1, nil, start.Add(4*time.Second))
	if _, got := l.Grant(start.Add(9800 * time.Millisecond)); !got {
		t.Error("Grant after 9.8 s: got false, want true")
	}
	if _, got := l.Grant(start.Add(9900 * time.Millisecond)); got {
		t.Error("Grant after 9.9 s: got true, want false")
	}
}

func TestLeaseLostAnswers(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name string
		err  error
		// wrote says whether the commit took effect.
		wrote bool
		want  bool
	}{
		{"effect, answer lost", errLost, true, true},
		{"no effect, answer lost", errLost, false, false},
		{"conflict", errMoved, false, false},
		{"unknown failure after effect", errors.New("cut"), true, true},
	}
	for _, test := range tests {
		l := New("a", "c", "nonce of c", testTerms)
		l.Saw(row(4, 7, ""), start)
		txn, _ := l.Commit(start, 0)
		l.Wrote(0, test.err, start.Add(time.Second))
		if _, got := l.Grant(start.Add(time.Second)); got {
			t.Errorf("%s: got a grant before the row was read, want none", test.name)
		}
		seen := row(4, 7, "")
		if test.wrote {
			seen = peridottable.Row{Key: Key("a"), Version: 5, WriterID: txn.ID, Value: txn.Puts[0].Value}
		}
		l.Saw(seen, start.Add(2*time.Second))
		if _, got := l.Grant(start.Add(2 * time.Second)); got != test.want {
			t.Errorf("%s: got a grant %v, want %v", test.name, got, test.want)
		}
	}
}

func TestSpread(t *testing.T) {
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
