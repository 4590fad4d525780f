package peridotfront

import (
	"context"
	"maps"
	"testing"
	"time"

	"peridotstack/peridotclock"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
)

// restoringPlatform is a fakePlatform whose table is restored during a commit. The
// commit takes effect in the new era, as in the platform's store.
type restoringPlatform struct {
	*fakePlatform
	// duringCommit is called once, after the next commit was sent.
	duringCommit func()
}

func (p *restoringPlatform) Commit(ctx context.Context, t peridottable.Txn) (int64, error) {
	if p.duringCommit == nil {
		return p.fakePlatform.Commit(ctx, t)
	}
	p.duringCommit()
	p.duringCommit = nil
	t.Era = peridottable.AnyEra
	if _, err := p.fakePlatform.Commit(ctx, t); err != nil {
		return 0, err
	}
	return 0, peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "new era")
}

// newHolder returns the duties of a front that became the holder at the given time
// before now.
func newHolder(t *testing.T, p *restoringPlatform, name string, since time.Duration) *duties {
	t.Helper()
	f := newFront(t, p.fakePlatform, name)
	f.platform = p
	f.clock.SetAnchor(time.Now().Add(-time.Second))
	d := newDuties(f)
	d.startTerm(1)
	d.termStart = peridotclock.BootTime().Add(-since)
	d.observeEra()
	d.eraSeenAt = peridotclock.BootTime().Add(-time.Hour)
	return d
}

// TestSealAcrossRestore guards against a window that is reported with two sets of
// counts because the table service lost the row of its seal after the report. The
// first holder seals and reports a window in which it counted 3 requests; whoever
// seals it again counts another number.
func TestSealAcrossRestore(t *testing.T) {
	sealed := map[string]int64{"a": 3}
	tests := []struct {
		name string
		// sameHolder is set if the first holder seals again, and announced if the next
		// holder has received the announcement of the seal.
		sameHolder, announced bool
		// inCopy is set if the copy contains the seal, and noRestore if the table is not
		// restored.
		inCopy, noRestore bool
		// inCommit is set if the table is restored during the commit of the next holder.
		inCommit bool
		// since is for how long the next holder is the holder already.
		since time.Duration
		// want are the counts of the second report; nil means that there must be none.
		want map[string]int64
	}{
		{name: "same holder", sameHolder: true, want: sealed},
		{name: "next holder, seal announced", announced: true, want: sealed},
		{name: "next holder, seal in the copy", inCopy: true, want: sealed},
		{name: "next holder, no restore", noRestore: true, want: sealed},
		{name: "next holder knows nothing"},
		{name: "next holder, restored during its commit", inCommit: true},
		{name: "holder throughout has not sealed yet", since: time.Minute, want: map[string]int64{"a": 5}},
	}
	for _, test := range tests {
		table := &peridottable.Memory{}
		c := &fakePlatform{Faulty: peridottable.Faulty{Store: table}}
		p := &restoringPlatform{fakePlatform: c}
		first := newHolder(t, p, "front-0", time.Minute)
		next := newHolder(t, p, "front-1", test.since)
		w := first.front.tally.WindowAt(first.front.trueTime()) - 1
		at := first.front.tally.WindowEnd(w - 1)
		for range 3 {
			first.front.tally.Add("a", at)
		}
		for range 5 {
			next.front.tally.Add("a", at)
		}
		before := table.Copy()
		if test.since == 0 {
			if got, err := first.sealWindow(t.Context(), w); err != nil || !maps.Equal(got, sealed) {
				t.Fatalf("%s: got seal %v (%v), want %v", test.name, got, err, sealed)
			}
		}
		if test.inCopy {
			before = table.Copy()
		}
		if test.announced {
			for _, m := range first.front.peers.messages(true) {
				next.front.peers.handleMessage(m)
			}
		}
		restore := func() {
			table.Restore(before)
			next.eraSeenAt, next.era = peridotclock.BootTime(), -1 // Sees the new era next time.
		}
		switch {
		case test.inCommit:
			p.duringCommit = restore
		case !test.noRestore:
			restore()
		}
		d := next
		if test.sameHolder {
			d = first
			first.front.tally.Add("a", at)
		}
		time.Sleep(testUsageWindow) // The window ended before the new era was seen.
		d.rewriteSeals(t.Context())
		got, err := d.sealWindow(t.Context(), w)
		if err != nil || !maps.Equal(got, test.want) {
			t.Errorf("%s: got counts %v (%v), want %v", test.name, got, err, test.want)
		}
		row, err := c.Get(t.Context(), sealKey(w))
		if err != nil || (row.Version == 0) != (test.want == nil) {
			t.Errorf("%s: got row %+v (%v), want one %v", test.name, row, err, test.want != nil)
		}
	}
}

// TestReportWaitsForAnnouncement guards against a report whose counts no other front
// knows: if its sender were killed together with a restore, the next holder could not
// repeat them.
func TestReportWaitsForAnnouncement(t *testing.T) {
	p := &restoringPlatform{fakePlatform: &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}}
	d := newHolder(t, p, "front-0", time.Minute)
	w := peridotusage.Window(7)
	d.front.recordSeal(w, map[string]int64{"a": 1})
	if !d.isAnnounced(w) {
		t.Error("no other front: got not announced, want announced")
	}
	d.front.peers.handleMessage(&message{From: "front-1", Address: "10.0.0.9:7660"})
	if d.isAnnounced(w) {
		t.Error("just sealed: got announced, want not announced")
	}
	time.Sleep(announcementsBeforeReport * roundsPerAnnouncement * sendInterval(2, 0, 0))
	if !d.isAnnounced(w) {
		t.Error("after two announcements: got not announced, want announced")
	}
}
