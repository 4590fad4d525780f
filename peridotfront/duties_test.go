package peridotfront

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"peridotstack/peridotclock"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.Default)
	os.Exit(m.Run())
}

// cloud takes usage reports, as the platform does, from all fronts.
type cloud struct {
	peridottable.Faulty
	mu      sync.Mutex
	reports []usageReport
	// loseAnswers makes the next reports take effect without an answer.
	loseAnswers int
}

type usageReport struct {
	duty   Duty
	window int64
	counts map[string]int64
	at     time.Time
}

func (c *cloud) WatchConfig(ctx context.Context, _ Watcher) error {
	<-ctx.Done()
	return nil
}

func (c *cloud) WatchBackends(ctx context.Context, _ Watcher) error {
	<-ctx.Done()
	return nil
}

func (c *cloud) ReportUsage(_ context.Context, d Duty, window int64, counts map[string]int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, usageReport{duty: d, window: window, counts: maps.Clone(counts), at: time.Now()})
	if c.loseAnswers > 0 {
		c.loseAnswers--
		return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "answer lost")
	}
	return nil
}

func (c *cloud) got() []usageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]usageReport(nil), c.reports...)
}

// holder returns who sent the last report.
func (c *cloud) holder() string {
	reports := c.got()
	if len(reports) == 0 {
		return ""
	}
	return reports[len(reports)-1].duty.Holder
}

const dutyWindow = 500 * time.Millisecond

// newFront returns a front on loopback that shares the cloud.
func newFront(t *testing.T, c *cloud, name string) *Front {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	clock := &peridotclock.True{}
	now := peridotclock.Boot()
	clock.Observe(time.Second, now, now)
	return New(Settings{
		Instance: name, PeerAddress: conn.LocalAddr().String(), LeaseTTL: 3 * time.Second,
		UsageWindow: dutyWindow, UsageLate: 4 * time.Second, RepeatWindow: time.Second,
	}, c, nil, clock)
}

// TestUsageIsReportedOnce counts at three fronts and stops the one that reports,
// twice, in the middle of the windows. Answers of the table service and of the
// platform are lost.
func TestUsageIsReportedOnce(t *testing.T) {
	const fronts = 3
	c := &cloud{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
	stops := make(map[string]func())
	counted := make(map[int64]int64)
	cut := make(map[int64]bool)
	var all []*Front
	for i := range fronts {
		f := newFront(t, c, fmt.Sprint("front-", i))
		ctx, stop := context.WithCancel(t.Context())
		var parts sync.WaitGroup
		parts.Go(func() { _ = f.peers.serve(ctx) })
		parts.Go(func() { _ = f.anchorClock(ctx) })
		parts.Go(func() {
			d := newDuties(f)
			d.start(ctx)
			<-ctx.Done()
			d.done.Wait()
		})
		stops[f.settings.Instance] = func() {
			stop()
			parts.Wait()
		}
		defer stops[f.settings.Instance]()
		all = append(all, f)
	}
	end := time.Now().Add(12 * time.Second)
	for round := 0; time.Now().Before(end); round++ {
		time.Sleep(20 * time.Millisecond)
		f := all[round%len(all)]
		at, ok := f.clock.Now(peridotclock.Boot())
		if !ok {
			continue
		}
		f.mu.Lock()
		f.tally.Add("a", at)
		counted[int64(f.tally.WindowAt(at))]++
		f.mu.Unlock()
		switch round {
		case 150, 330:
			c.LoseAnswers(1)
			c.mu.Lock()
			c.loseAnswers = 1
			c.mu.Unlock()
		case 200, 380:
			// What the stopped front counted since its last datagram is lost, so that
			// this window may be short.
			cut[int64(f.tally.WindowAt(at))] = true
			holder := c.holder()
			stops[holder]()
			all = slices.DeleteFunc(all, func(f *Front) bool { return f.settings.Instance == holder })
		}
	}
	for window := range cut {
		delete(counted, window)
	}
	checkReports(t, c.got(), counted)
}

func checkReports(t *testing.T, reports []usageReport, counted map[int64]int64) {
	t.Helper()
	holders := make(map[string]bool)
	first := make(map[int64]usageReport)
	var last usageReport
	for _, r := range reports {
		holders[r.duty.Holder] = true
		if known, ok := first[r.window]; ok && !maps.Equal(known.counts, r.counts) {
			t.Errorf("window %d: got %v and %v, want one set of figures", r.window, known.counts, r.counts)
		} else if !ok {
			first[r.window] = r
		}
		if r.duty.Token < last.duty.Token || r.duty.Token == last.duty.Token && r.duty.Holder != last.duty.Holder {
			t.Errorf("got %+v behind %+v, want tokens that grow with each holder", r.duty, last.duty)
		}
		last = r
	}
	if len(holders) != 3 {
		t.Errorf("got reports of %d holders, want 3", len(holders))
	}
	for window, r := range first {
		want, whole := counted[window]
		if !whole {
			continue
		}
		if r.counts["a"] < want*95/100 || r.counts["a"] > want {
			t.Errorf("window %d: got %d requests, want %d within 5 in 100", window, r.counts["a"], want)
		}
	}
}

// TestHoldersDoNotTakeTurns checks that a holder whose lease is about to end
// sends nothing, and neither does one that lost it while it was frozen.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	c := &cloud{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
	f := newFront(t, c, "front-0")
	ctx, stop := context.WithCancel(t.Context())
	d := newDuties(f)
	d.done.Go(func() { _ = d.lease.Serve(ctx) }) // Without serve, so that only the test asks.
	end := time.Now().Add(10 * time.Second)
	for {
		if _, ok := d.duty(); ok {
			break
		}
		if time.Now().After(end) {
			t.Fatal("got no duty within 10 s, want it")
		}
		time.Sleep(10 * time.Millisecond)
	}
	grant, _ := d.lease.Grant(dutyShard)
	c.SetDown(true) // No renewal takes effect from here on.
	for peridotclock.Boot().Before(grant.ExpiresAt) {
		_, ok := d.duty()
		newest, held := d.lease.Grant(dutyShard)
		if ok && (!held || newest.Remaining(peridotclock.Boot()) < sendMargin-50*time.Millisecond) {
			t.Fatalf("got a duty with %v left, want none below %v", newest.Remaining(peridotclock.Boot()), sendMargin)
		}
		time.Sleep(5 * time.Millisecond)
	}
	stop()
	d.stop()
	row, err := c.Store.Get(t.Context(), "lease/"+dutyShard)
	if err != nil || len(row.Value) == 0 {
		t.Fatalf("got row %q (%v), want the lease's", row.Value, err)
	}
}

// TestBackendsAfterAnOutage checks which backend servers are used when some are
// not registered.
func TestBackendsAfterAnOutage(t *testing.T) {
	a, b := peridotsite.Backend{ID: "a"}, peridotsite.Backend{ID: "b"}
	leaving := b
	leaving.Leaving = true
	tests := []struct {
		name string
		// outage is set when the table service came back 100 ms before; before is
		// what was registered then.
		outage bool
		known  []peridotsite.Backend
		before []peridotsite.Backend
		list   []peridotsite.Backend
		// soon and late say whether b is used 1.5 s and 3 s later.
		soon, late bool
	}{
		{name: "gone without an outage", known: []peridotsite.Backend{a, b}, list: []peridotsite.Backend{a}},
		{name: "missing after an outage", outage: true, known: []peridotsite.Backend{a, b}, list: []peridotsite.Backend{a}, soon: true},
		{name: "still missing later", outage: true, known: []peridotsite.Backend{a, b}, before: []peridotsite.Backend{a}, list: []peridotsite.Backend{a}, soon: true},
		{name: "removed after an outage", outage: true, known: []peridotsite.Backend{a, b}, before: []peridotsite.Backend{a, b}, list: []peridotsite.Backend{a}},
		{name: "back and removed after an outage", outage: true, known: []peridotsite.Backend{a, b}, before: []peridotsite.Backend{b}, list: []peridotsite.Backend{a}},
		{name: "leaving before an outage", outage: true, known: []peridotsite.Backend{a, leaving}, list: []peridotsite.Backend{a}},
		{name: "registered after an outage", outage: true, known: []peridotsite.Backend{a, b}, list: []peridotsite.Backend{a, b}, soon: true, late: true},
	}
	for _, test := range tests {
		l := &backends{}
		l.register(0, test.known)
		now := 10 * time.Second
		if test.outage {
			l.returned(now)
		}
		if test.before != nil {
			l.register(now, test.before)
		}
		l.register(now+100*time.Millisecond, test.list)
		for _, later := range []struct {
			after time.Duration
			want  bool
		}{{1500 * time.Millisecond, test.soon}, {3 * time.Second, test.late}} {
			l.expire(now + later.after)
			if _, got := l.known["b"]; got != later.want {
				t.Errorf("%s: after %v: got b used %v, want %v", test.name, later.after, got, later.want)
			}
		}
	}
}

// TestLocalOutageIsNoLapse cuts one front from the table service while a backend
// server leaves. It may only be taken for lapsed if no other front was answered.
func TestLocalOutageIsNoLapse(t *testing.T) {
	for _, c := range []struct {
		name string
		// steady is for how long another front says it has been answered.
		steady time.Duration
		used   bool
	}{
		{name: "others were answered", steady: time.Hour},
		{name: "others were cut, too", steady: time.Millisecond, used: true},
		{name: "others are cut", used: true},
	} {
		f := newFront(t, &cloud{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-0")
		a, b := peridotsite.Backend{ID: "a", Service: "s"}, peridotsite.Backend{ID: "b", Service: "s"}
		f.Configured(&peridotsite.Config{Version: 1})
		f.Reached(FeedBackends)
		f.Registered([]peridotsite.Backend{a, b})
		time.Sleep(5 * time.Millisecond)
		f.Lost(FeedBackends, nil)
		f.peers.take(&message{From: "front-1", Address: "10.0.0.9:7660", StoreMillis: uint32(c.steady.Milliseconds())})
		f.Reached(FeedBackends)
		f.Registered([]peridotsite.Backend{a})
		if _, got := f.backends.known["b"]; got != c.used {
			t.Errorf("%s: got b used %v, want %v", c.name, got, c.used)
		}
	}
}

// TestWindowsWaitForAllFigures compares how long a window waits with how often the
// fronts tell their figures.
func TestWindowsWaitForAllFigures(t *testing.T) {
	const due = 10 * time.Second
	for _, fronts := range []int{1, 5, 25, 100, 130} {
		got, announced := settle(fronts, due), announceEvery*sendInterval(fronts)
		if got < min(2*announced, due/2) || got < minSettle || got > due/2 {
			t.Errorf("%d fronts: got %v, want %v at least, in which each has told its figures though a datagram was lost, and %v at most", fronts, got, 2*announced, due/2)
		}
	}
	if got := settle(100_000, due); got != due/2 {
		t.Errorf("too many fronts: got %v, want %v", got, due/2)
	}
}
