package peridotfront

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotawait"
	"peridotstack/peridotlink"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
)

var (
	testSoftware = peridotquarantine.Software{Service: "llm", Version: "v1"}
	// badParts are the parts of a prompt under which servers end, and soundParts those of
	// one that shares the first part with it.
	badParts, soundParts = partsOf("a", "x"), partsOf("a", "b")
)

func partsOf(ids ...string) []peridotquarantine.Part {
	var parts []peridotquarantine.Part
	for _, id := range ids {
		parts = append(parts, peridotquarantine.PartOf(id))
	}
	return parts
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// endServer makes a front see that the server with the given number breaks off a run of a
// prompt and is gone.
func endServer(t *testing.T, f *Front, server int, parts []peridotquarantine.Part) {
	t.Helper()
	f.quarantine.recordBreak(peridotquarantine.Suspicion{ID: fmt.Sprint("server-", server), Born: 1, At: testSoftware, Parts: parts, Begun: true, Address: closedAddress(t)})
}

// judge returns what becomes of a prompt at a front.
func judge(f *Front, parts []peridotquarantine.Part) peridotquarantine.Judgment {
	judgment, _ := f.quarantine.judge(parts, testSoftware)
	return judgment
}

// TestEndsSeenByDifferentFronts guards against fronts that count only the ends of servers
// that they have seen themselves.
func TestEndsSeenByDifferentFronts(t *testing.T) {
	c := newPlatform()
	fronts, kill := startFronts(t, c, 4)
	fronts[3].quarantine.recordAnswered(partsOf("a"), testSoftware) // The others don't know.
	for i, f := range fronts[:3] {
		endServer(t, f, i, badParts)
	}
	for i, f := range fronts {
		peridotawait.Until(t, fmt.Sprint("refusal at front ", i), func() bool { return judge(f, badParts) == peridotquarantine.Refused })
		peridotawait.Until(t, fmt.Sprint("sound part at front ", i), func() bool { return judge(f, soundParts) == peridotquarantine.Allowed })
	}
	kill[0]()
	kill[1]()
	// A front that has heard none of the news hears the announcements.
	late, _ := startFront(t, c, "front-late")
	peridotawait.Until(t, "refusal at a front that was started later", func() bool { return judge(late, badParts) == peridotquarantine.Refused })
	if got := judge(late, soundParts); got != peridotquarantine.Allowed {
		t.Errorf("got %v for the sound part, want %v", got, peridotquarantine.Allowed)
	}
}

// TestQuarantineOutlivesFronts guards against fronts that forget under which parts servers
// ended when all of them are killed at once, also around faults of the table service.
func TestQuarantineOutlivesFronts(t *testing.T) {
	for _, test := range []struct {
		name string
		// disturb is called once the first front knows of the ends.
		disturb func(t *testing.T, c *fakePlatform)
	}{
		{name: "calm", disturb: func(*testing.T, *fakePlatform) {}},
		{name: "outage", disturb: func(_ *testing.T, c *fakePlatform) {
			c.SetDown(true)
			time.Sleep(2 * quarantineRetryInterval)
			c.SetDown(false)
		}},
		{name: "answers lost", disturb: func(_ *testing.T, c *fakePlatform) { c.LoseAnswers(2) }},
		{name: "restored from an older copy", disturb: func(t *testing.T, c *fakePlatform) {
			peridotawait.Until(t, "rows", func() bool { return len(quarantineRowsOf(t, c)) > 0 })
			c.Store.(*peridottable.Memory).Restore((&peridottable.Memory{}).Copy())
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newPlatform()
			f := newFront(t, c, "front-0")
			ctx, stop := context.WithCancel(t.Context())
			wait := run(ctx, t, f.quarantine.followRows)
			for server := range 3 {
				endServer(t, f, server, badParts)
			}
			peridotawait.Until(t, "refusal", func() bool { return judge(f, badParts) == peridotquarantine.Refused })
			test.disturb(t, c)
			peridotawait.Until(t, "all rows", func() bool { return len(quarantineRowsOf(t, c)) == 3*len(badParts) })
			stop()
			wait()
			next := newFront(t, c, "front-0")
			run(t.Context(), t, next.quarantine.followRows)
			peridotawait.Until(t, "refusal after the restart", func() bool { return judge(next, badParts) == peridotquarantine.Refused })
			next.quarantine.recordAnswered(partsOf("a"), testSoftware)
			peridotawait.Until(t, "rows of the sound part deleted", func() bool { return len(quarantineRowsOf(t, c)) == 3 })
		})
	}
}

// quarantineRowsOf returns the rows of accusations in the table service.
func quarantineRowsOf(t *testing.T, c *fakePlatform) []peridottable.Row {
	t.Helper()
	rows, err := c.Store.Scan(t.Context(), peridottable.Range{Prefix: quarantinePrefix})
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// TestBreakWithoutEnd guards against parts that are blamed because a connection broke,
// and against ends that are not seen because nothing answers at the server's address.
func TestBreakWithoutEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	const unreachable = "unreachable"
	listening := listener.Addr().String()
	config := (&peridotsite.Config{Version: 1, Services: []peridotsite.Service{{Name: "llm"}}}).BuildIndex()
	registered := func(born int64) []peridotsite.Backend {
		return []peridotsite.Backend{{ID: "s", Born: born, Service: "llm", SoftwareVersion: "v1"}}
	}
	for _, test := range []struct {
		name    string
		address string
		// next is the list of registrations that follows.
		next []peridotsite.Backend
		want bool
	}{
		{name: "still listening", address: listening, next: nil},
		{name: "still listening, left", address: listening, next: []peridotsite.Backend{{ID: "s", Born: 1, Service: "llm", SoftwareVersion: "v1", Leaving: true}}},
		{name: "still listening, another server at the address", address: listening, next: append(registered(1), peridotsite.Backend{ID: "n", Address: listening, Service: "llm"}), want: true},
		{name: "still listening, started again", address: listening, next: registered(2), want: true},
		{name: "unreachable, still registered", address: unreachable, next: registered(1)},
		{name: "unreachable, no longer registered", address: unreachable, next: nil, want: true},
		{name: "unreachable, started again", address: unreachable, next: registered(2), want: true},
		{name: "refused", address: closedAddress(t), next: registered(1), want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFront(t, newPlatform(), "front-0")
			if test.address == unreachable {
				f.quarantine.probe = func(context.Context, string) peridotlink.Presence { return peridotlink.PresenceUnknown }
			}
			f.SetConfig(config)
			f.SetBackends(registered(1))
			f.quarantine.recordBreak(peridotquarantine.Suspicion{ID: "s", Born: 1, At: testSoftware, Parts: badParts, Begun: true, Address: test.address})
			time.Sleep(3 * secondProbeDelay) // Both probes have ended.
			f.SetBackends(test.next)
			if got := f.quarantine.count() > 0; got != test.want {
				t.Errorf("got accusations %v, want %v", got, test.want)
			}
		})
	}
}

// TestEndsAtOneMoment guards against a frequent request that is refused because several
// servers ended at one moment while it ran there, although others go on answering it.
func TestEndsAtOneMoment(t *testing.T) {
	request := []peridotquarantine.Part{peridotquarantine.RequestOf("GET", "api/x", "", 0, nil)}
	for _, test := range []struct {
		name string
		// isAnswered is set if another server answers the request after the ends.
		isAnswered bool
		want       peridotquarantine.Judgment
	}{
		{name: "answered again", isAnswered: true, want: peridotquarantine.Allowed},
		{name: "not answered again", want: peridotquarantine.Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFront(t, newPlatform(), "front-0")
			q := f.quarantine
			q.recordAnswered(request, testSoftware)
			brokeAt := f.trueTime().Add(time.Millisecond)
			for server := range 5 {
				s := peridotquarantine.Suspicion{ID: fmt.Sprint("server-", server), Born: 1, At: testSoftware, Parts: request, BrokeAt: brokeAt}
				q.pending.Add(f.now(), s)
				q.confirm(s.End())
			}
			if got := judge(f, request); got != peridotquarantine.Allowed {
				t.Errorf("got %v at the moment of the ends, want %v", got, peridotquarantine.Allowed)
			}
			time.Sleep(2 * time.Millisecond)
			if test.isAnswered {
				q.recordAnswered(request, testSoftware)
			}
			time.Sleep(answeredSettleTime)
			if got := judge(f, request); got != test.want {
				t.Errorf("got %v after %v, want %v", got, answeredSettleTime, test.want)
			}
		})
	}
}

// TestTrialsAreFew guards against fronts that each try a prompt whose part may have ended
// servers.
func TestTrialsAreFew(t *testing.T) {
	fronts, _ := startFronts(t, newPlatform(), 3)
	begin := time.Now()
	trials := 0
	slot := peridotquarantine.Slot(peridotquarantine.OnTrial)
	for time.Since(begin) < 2*slot {
		for _, f := range fronts {
			if f.quarantine.claimTrial(peridotquarantine.OnTrial) {
				trials++
			}
		}
		time.Sleep(time.Millisecond)
	}
	if trials < 2 || trials > 3 {
		t.Errorf("got %d trials in %v, want 2 or 3", trials, 2*slot)
	}
}

// TestQuarantineReportIsBounded guards against datagrams that are too large to be sent, or
// that make a front keep long names.
func TestQuarantineReportIsBounded(t *testing.T) {
	f := newFront(t, newPlatform(), "front-0")
	f.quarantine.loaded = true
	at := peridotquarantine.Software{Service: strings.Repeat("s", 200), Version: strings.Repeat("v", 64)}
	for server := range 4 {
		var parts []peridotquarantine.Part
		for i := range 60 {
			parts = append(parts, peridotquarantine.Part(i))
		}
		f.quarantine.recordBreak(peridotquarantine.Suspicion{ID: fmt.Sprint(server), At: at, Parts: parts, Begun: true, Address: closedAddress(t)})
	}
	peridotawait.Until(t, "accusations", func() bool { return f.quarantine.count() == 240 })
	f.quarantine.recordAnswered([]peridotquarantine.Part{1, 2, 3}, at)
	seen := 0
	for range 3 * 240 / maxNewsPerDatagram {
		for _, m := range f.peers.messages(true) {
			if _, err := m.encode(); err != nil {
				t.Fatal(err)
			}
			if m.Quarantine != nil {
				seen += len(m.Quarantine.Accusations)
			}
		}
	}
	if seen < 240 {
		t.Errorf("got %d accusations in the datagrams, want 240 or more", seen)
	}
	long := &quarantineReport{Accusations: []accusation{{Part: 9, Service: strings.Repeat("s", 300)}}}
	before := f.quarantine.count()
	f.quarantine.handleReport(long, nil)
	if got := f.quarantine.count(); got != before {
		t.Errorf("got %d accusations after a report with a long name, want %d", got, before)
	}
}

// TestSuspectsOfPlainService guards against prompts that are refused because servers of a
// plain service, which read no prompts, ended while streams with the same parts ran there.
func TestSuspectsOfPlainService(t *testing.T) {
	for _, test := range []struct {
		name   string
		engine *peridotsite.Engine
		want   int
	}{
		{name: "plain service", want: 1},
		{name: "engines", engine: &peridotsite.Engine{Slots: 8}, want: 1 + len(badParts)},
	} {
		x := &exchange{
			service: &peridotsite.Service{Name: "s", Engine: test.engine},
			request: httptest.NewRequest(http.MethodPost, "/x", nil), call: Call{PromptParts: badParts},
		}
		x.identify()
		if got := len(x.suspects); got != test.want || !x.suspects[0].IsRequest() {
			t.Errorf("%s: got %d suspects, want %d, the whole request first", test.name, got, test.want)
		}
	}
}
