package peridotquarantine

import (
	"testing"
	"time"
)

// TestLoneTrial guards against parts without a rival that stay refused for a day though they
// are sound, and against deadly ones whose trials end many servers.
func TestLoneTrial(t *testing.T) {
	endsAt := func(parts string, times ...time.Duration) []run {
		var runs []run
		for i, after := range times {
			runs = append(runs, run{server: i, parts: parts, at: v1, begun: true, after: after})
		}
		return runs
	}
	const minute = time.Minute
	for _, test := range []struct {
		name  string
		runs  []run
		after time.Duration
		at    Software
		want  Judgment
	}{
		{name: "just ended", runs: endsAt("x", 0, 0, 0), at: v1, want: Refused},
		{name: "a moment before", runs: endsAt("x", 0, 0, minute), after: 6*minute - time.Second, at: v1, want: Refused},
		{name: "first trial", runs: endsAt("x", 0, 0, minute), after: 6 * minute, at: v1, want: OnLoneTrial},
		{name: "at another version", runs: endsAt("x", 0, 0, minute), after: 6 * minute, at: v2, want: OnLoneTrial},
		{name: "after a trial that ended a server", runs: endsAt("x", 0, 0, 0, 5*minute), after: 34 * minute, at: v1, want: Refused},
		{name: "second trial", runs: endsAt("x", 0, 0, 0, 5*minute), after: 35 * minute, at: v1, want: OnLoneTrial},
		{name: "after two trials", runs: endsAt("x", 0, 0, 0, 5*minute, 35*minute), after: 214 * minute, at: v1, want: Refused},
		{name: "third trial", runs: endsAt("x", 0, 0, 0, 5*minute, 35*minute), after: 215 * minute, at: v1, want: OnLoneTrial},
		{name: "more ends than are kept", runs: endsAt("x", 0, 0, 0, 0, 0, 0, 0, 0, 0, 5*minute), after: 34 * minute, at: v1, want: Refused},
		{name: "whole request", runs: endsAt("x", 0, 0, 0), after: 5 * minute, at: v1, want: OnLoneTrial},
		{name: "with a rival", runs: append(endsAt("x", 0, 0, 0), endsAt("a", 0, 0, 0)...), after: 5 * minute, at: v1, want: OnTrial},
	} {
		table := NewTable()
		apply(table, test.runs)
		now := start.Add(test.after)
		got, part := table.Judge(now, partsOf("x"), test.at)
		if got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		if until := table.Until(now, got, part, test.at); got != Allowed && !until.After(now) {
			t.Errorf("%s: got a wait until %v before, want a time to come", test.name, now.Sub(until))
		}
	}
}

// TestLoneTrialsAreFew guards against trials of a deadly part that end a server each time
// that a slot comes, over all instances.
func TestLoneTrialsAreFew(t *testing.T) {
	const maxEnds = 3 + 7
	for _, instances := range []int{2, 24, 300} {
		table := NewTable()
		trials := make([]Trials, instances)
		ends := 0
		end := func(now time.Time) {
			table.Accuse(now, Accusation{Part: PartOf("x"), End: EndOf("s", int64(ends)), At: v1, Begun: true, UnixSeconds: now.Unix()})
			ends++
		}
		for range 3 {
			end(start)
		}
		for now := start; now.Before(start.Add(TTL)); now = now.Add(time.Second) {
			if judgment, _ := table.Judge(now, partsOf("x"), v1); judgment != OnLoneTrial {
				continue
			}
			for i := range trials {
				if trials[i].Claim(now, OnLoneTrial, i, instances) {
					end(now)
				}
			}
		}
		if ends > maxEnds {
			t.Errorf("%d instances: got %d ends in a day, want %d at most", instances, ends, maxEnds)
		}
		if ends < 4 {
			t.Errorf("%d instances: got no trial in a day, want one or more", instances)
		}
	}
}

// TestClaim guards against trials that begin before it is known how the last one ended.
func TestClaim(t *testing.T) {
	for _, test := range []struct {
		kind Judgment
		// want is the number of trials in a minute.
		want   int
		minGap time.Duration
	}{
		{kind: OnTrial, want: 60},
		{kind: OnLoneTrial, want: 6, minGap: loneTrialSlot / 2},
	} {
		for _, instances := range []int{1, 2, 24, 300} {
			trials := make([]Trials, instances)
			got := 0
			var last time.Time
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
				for i := range trials {
					if !trials[i].Claim(now, test.kind, i, instances) {
						continue
					}
					if got > 0 && now.Sub(last) < test.minGap {
						t.Errorf("judgment %v, %d instances: got a trial %v after the last one, want %v at least", test.kind, instances, now.Sub(last), test.minGap)
					}
					got++
					last = now
				}
			}
			if got != test.want {
				t.Errorf("judgment %v, %d instances: got %d trials a minute, want %d", test.kind, instances, got, test.want)
			}
		}
	}
}
