package peridotfront

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"peridotstack/peridotawait"
	"peridotstack/peridotquarantine"
	"peridotstack/peridotsite"
	"peridotstack/peridottable"
)

// TestStateCopiedFromPeer starts a front while the table service is unavailable and
// checks that the front copies the state of a front that sends it datagrams.
func TestStateCopiedFromPeer(t *testing.T) {
	c := &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
	old, fresh := newFront(t, c, "front-0"), newFront(t, c, "front-1")
	old.SetConfig((&peridotsite.Config{Version: 7, Routes: []peridotsite.Route{{Host: "h", Prefix: "/"}}, Accounts: []peridotsite.Account{{Name: "a", Keys: []string{"k"}}}}).BuildIndex())
	old.SetBackends([]peridotsite.Backend{{ID: "b", Service: "s"}, {ID: "l", Service: "s", Leaving: true}})
	c.SetDown(true)
	// The old front knows the address of the new one and sends it datagrams.
	old.peers.addAddress(mustParseAddrPort(t, fresh.settings.PeerAddress))
	for _, f := range []*Front{old, fresh} {
		run(t.Context(), t, f.peers.serve, f.serveSnapshots)
	}
	fresh.FeedFailed(FeedConfig, errors.New("away"))
	run(t.Context(), t, fresh.copyPeerState)
	peridotawait.Until(t, "configuration at the new front", fresh.ready)
	got := fresh.config.Load()
	if account, ok := got.AccountOf("k"); got.Version != 7 || !ok || account != "a" || got.Route("h", "/x") == nil {
		t.Errorf("got %+v, want the other front's configuration", got)
	}
	if known := fresh.backends.byID; len(known) != 2 || !known["l"].Leaving {
		t.Errorf("got backend servers %v, want both, one of them leaving", known)
	}
}

// TestCopiedConfigurationNeedsKeys guards against a front that serves requests without a key
// because the configuration that it copied from another front has no client accounts any more,
// or is the copy of an older front, which does not say whether there ever were any.
func TestCopiedConfigurationNeedsKeys(t *testing.T) {
	c := &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
	route := []peridotsite.Route{{Host: "h", Prefix: "/"}}
	for _, test := range []struct {
		name   string
		config *peridotsite.Config
		want   bool
	}{
		{name: "accounts withdrawn", config: &peridotsite.Config{Version: 7, Routes: route}, want: true},
		{name: "keyless", config: &peridotsite.Config{Version: 7, Routes: route, Keyless: true}, want: false},
	} {
		old, fresh := newFront(t, c, "front-0"), newFront(t, c, "front-1")
		old.SetConfig(test.config.BuildIndex())
		server := httptest.NewServer(http.HandlerFunc(old.writeSnapshot))
		if !fresh.copyStateFrom(t.Context(), &http.Client{Timeout: time.Second}, server.Listener.Addr().String(), "front-0") {
			t.Fatalf("%s: the configuration was not copied", test.name)
		}
		server.Close()
		got := fresh.config.Load()
		if needed := got.NeedsKey(got.Route("h", "/x")); needed != test.want {
			t.Errorf("%s: got key needed %v, want %v", test.name, needed, test.want)
		}
	}
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Config":{"Version":7,"Routes":[{"Host":"h","Prefix":"/"}],"Accounts":null}}`))
	}))
	defer older.Close()
	fresh := newFront(t, c, "front-1")
	if !fresh.copyStateFrom(t.Context(), &http.Client{Timeout: time.Second}, older.Listener.Addr().String(), "front-0") {
		t.Fatal("older front: the configuration was not copied")
	}
	if got := fresh.config.Load(); !got.NeedsKey(got.Route("h", "/x")) {
		t.Error("older front: got no key needed, want one")
	}
}

// TestTableServiceOverridesSnapshot checks that a snapshot does not replace newer data
// from the table service, and that malformed snapshots are rejected.
func TestTableServiceOverridesSnapshot(t *testing.T) {
	c := &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
	f := newFront(t, c, "front-0")
	f.SetConfig(&peridotsite.Config{Version: 9})
	f.FeedAnswered(FeedBackends)
	f.SetBackends([]peridotsite.Backend{{ID: "new", Service: "s"}})
	f.applySnapshot(&stateSnapshot{Config: &peridotsite.Config{Version: 7}, Backends: []peridotsite.Backend{{ID: "old", Service: "s"}}})
	if got := f.config.Load().Version; got != 9 {
		t.Errorf("got version %d, want 9", got)
	}
	if _, ok := f.backends.byID["old"]; ok {
		t.Error("got the registrations of the snapshot, want those of the table service")
	}
	for _, answer := range []string{"", "{}", "[1]", `{"Config":{"Version":"x"}}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
		fresh := newFront(t, c, "front-1")
		if fresh.copyStateFrom(t.Context(), &http.Client{Timeout: time.Second}, server.Listener.Addr().String(), "x") || fresh.ready() {
			t.Errorf("answer %q: got it applied, want it rejected", answer)
		}
		server.Close()
	}
}

// TestConfigFeedLost checks that the feed is lost only after an error: a front that
// has not called the table service yet must not copy the state of another one.
func TestConfigFeedLost(t *testing.T) {
	f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-0")
	if f.configFeedLost() {
		t.Error("before any call: got the feed lost, want it not lost")
	}
	f.FeedFailed(FeedConfig, errors.New("away"))
	if !f.configFeedLost() {
		t.Error("after an error: got the feed not lost, want it lost")
	}
	f.FeedAnswered(FeedConfig)
	if f.configFeedLost() {
		t.Error("after an answer: got the feed lost, want it not lost")
	}
}

func mustParseAddrPort(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestSnapshotsAreBounded guards against many slow readers of a large state.
func TestSnapshotsAreBounded(t *testing.T) {
	f := newFront(t, newPlatform(), "front")
	f.SetConfig(&peridotsite.Config{Version: 1})
	for n := range 2 * maxSnapshotAccusations {
		f.quarantine.accuse(f.trueTime(), peridotquarantine.Accusation{Part: peridotquarantine.Part(n / 4), End: peridotquarantine.End(n + 1), Begun: true, UnixSeconds: f.trueTime().Unix()})
	}
	claims := f.snapshots.NewClaim()
	for _, test := range []struct {
		held int64
		want int
	}{
		{held: 0, want: http.StatusOK},
		{held: snapshotMemory / 4, want: http.StatusOK},
		{held: snapshotMemory * 3 / 4, want: http.StatusServiceUnavailable},
	} {
		claims.Grow(test.held)
		w := httptest.NewRecorder()
		f.writeSnapshot(w, nil)
		if w.Code != test.want || w.Body.Len() > maxSnapshotBytes {
			t.Errorf("%d bytes held: got status %d and %d bytes, want %d and at most %d", test.held, w.Code, w.Body.Len(), test.want, maxSnapshotBytes)
		}
	}
}
