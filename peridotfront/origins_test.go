package peridotfront

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotstack/peridotawait"
	"peridotstack/peridotorigin"
	"peridotstack/peridottable"
)

// lookupBound is the longest time that a look-up may take, with some time for a busy
// machine to run it.
const lookupBound = peridotorigin.FirstFrontTimeout + peridotorigin.LookupTimeout + time.Second

// newPlatform returns a platform with an empty table service.
func newPlatform() *fakePlatform {
	return &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}
}

// startFront returns a front that exchanges datagrams, and a function that kills it: it
// sends nothing any more. Tests that don't call it end the front when they end.
func startFront(t *testing.T, c *fakePlatform, name string) (f *Front, kill func()) {
	t.Helper()
	f = newFront(t, c, name)
	f.origins.stored.loaded = true // The table service has no origins.
	ctx, stop := context.WithCancel(t.Context())
	wait := run(ctx, t, f.peers.serve)
	kill = func() {
		stop()
		wait()
	}
	t.Cleanup(kill)
	return f, kill
}

// startFronts returns n fronts that have heard of each other, and functions that kill
// them.
func startFronts(t *testing.T, c *fakePlatform, n int) (fronts []*Front, kill []func()) {
	t.Helper()
	for i := range n {
		f, k := startFront(t, c, fmt.Sprint("front-", i))
		fronts, kill = append(fronts, f), append(kill, k)
	}
	for i, f := range fronts {
		for _, other := range fronts {
			if other != f {
				f.peers.addAddress(mustParseAddrPort(t, other.settings.PeerAddress))
			}
		}
		peridotawait.Until(t, fmt.Sprint("all others heard at front ", i), func() bool { return len(f.peers.heardAddresses()) == n-1 && f.peers.hasReadRoster() })
	}
	return fronts, kill
}

// copies returns the number of fronts that keep the origin of the stream.
func copies(fronts []*Front, request string) int {
	n := 0
	for _, f := range fronts {
		if _, ok := f.origins.version(peridotorigin.KeyOf(request)); ok {
			n++
		}
	}
	return n
}

// TestOriginFoundAtOtherFronts guards against streams that go on at another software
// version because their callers come back at another front than the one that began
// them, also when that one and another have been killed.
func TestOriginFoundAtOtherFronts(t *testing.T) {
	for _, c := range []struct{ fronts, killed, wantCopies int }{
		{fronts: 2, wantCopies: 2},
		{fronts: 3, wantCopies: 3},
		{fronts: 3, killed: 1, wantCopies: 3},
		{fronts: 4, killed: 2, wantCopies: 4},
		{fronts: 14, wantCopies: peridotorigin.Replicas + 1},
		{fronts: 14, killed: 2, wantCopies: peridotorigin.Replicas + 1},
	} {
		t.Run(fmt.Sprintf("%d fronts, %d killed", c.fronts, c.killed), func(t *testing.T) {
			fronts, kill := startFronts(t, newPlatform(), c.fronts)
			for i := range 20 {
				fronts[0].recordOrigin(fmt.Sprint("request-", i), fmt.Sprint("v", i%2))
			}
			for i := range 20 {
				peridotawait.Until(t, "copies", func() bool { return copies(fronts, fmt.Sprint("request-", i)) == c.wantCopies })
			}
			for _, k := range kill[:c.killed] {
				k()
			}
			for at, f := range fronts[c.killed:] {
				for i := range 20 {
					got, _, ok := f.findOrigin(t.Context(), fmt.Sprint("request-", i))
					if want := fmt.Sprint("v", i%2); !ok || got != want {
						t.Errorf("request %d at front %d: got %q, %v, want %q", i, c.killed+at, got, ok, want)
					}
				}
			}
		})
	}
}

// TestOriginFoundAtNewFront guards against a look-up that fails because the front
// that does it has just started, and so far knows no other front.
func TestOriginFoundAtNewFront(t *testing.T) {
	c := newPlatform()
	fronts, kill := startFronts(t, c, 3)
	fronts[0].recordOrigin("request", "v1")
	peridotawait.Until(t, "copies", func() bool { return copies(fronts, "request") == 3 })
	kill[0]()
	fresh, _ := startFront(t, c, "fresh")
	start := time.Now()
	if got, _, ok := fresh.findOrigin(t.Context(), "request"); !ok || got != "v1" {
		t.Errorf("got %q, %v after %v, want v1", got, ok, time.Since(start))
	}
}

// TestOriginKeptAcrossRestarts guards against the loss of copies when fronts are
// killed in turns: a look-up leaves a copy at the front that did it.
func TestOriginKeptAcrossRestarts(t *testing.T) {
	c := newPlatform()
	fronts, kill := startFronts(t, c, 2)
	fronts[0].recordOrigin("request", "v1")
	peridotawait.Until(t, "copies", func() bool { return copies(fronts, "request") == 2 })
	kill[0]()
	fresh, _ := startFront(t, c, "fresh")
	peridotawait.Until(t, "front 1 heard", func() bool { return len(fresh.peers.heardAddresses()) == 1 })
	if got, _, ok := fresh.findOrigin(t.Context(), "request"); !ok || got != "v1" {
		t.Fatalf("before the other front is killed: got %q, %v, want v1", got, ok)
	}
	kill[1]()
	if got, _, ok := fresh.findOrigin(t.Context(), "request"); !ok || got != "v1" {
		t.Errorf("after the other front was killed: got %q, %v, want v1", got, ok)
	}
}

// TestUnknownOriginIsReportedFast checks that a look-up ends as soon as all other
// fronts have answered. With more fronts than a look-up asks, it asks twice.
func TestUnknownOriginIsReportedFast(t *testing.T) {
	for _, c := range []struct {
		fronts int
		// most is the longest time that the fastest of ten look-ups may take.
		most time.Duration
	}{
		{fronts: 4, most: peridotorigin.RepeatInterval / 2},
		{fronts: 14, most: 2 * peridotorigin.RepeatInterval},
	} {
		fronts, _ := startFronts(t, newPlatform(), c.fronts)
		fastest := time.Hour
		for i := range 10 {
			start := time.Now()
			if got, _, ok := fronts[0].findOrigin(t.Context(), fmt.Sprint("unknown-", i)); ok {
				t.Errorf("%d fronts: got %q, want unknown", c.fronts, got)
			}
			fastest = min(fastest, time.Since(start))
		}
		if fastest > c.most {
			t.Errorf("%d fronts: got unknown after %v, want at most %v", c.fronts, fastest, c.most)
		}
	}
}

// TestLookupIsBounded guards against look-ups that hang: other fronts don't answer, no
// other front is known, the front itself exchanges no datagrams, or the caller leaves.
func TestLookupIsBounded(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name  string
		ctx   context.Context
		front func() *Front
		// most is the longest time that the look-up may take.
		most time.Duration
	}{
		{name: "others are killed", ctx: t.Context(), most: lookupBound, front: func() *Front {
			fronts, kill := startFronts(t, newPlatform(), 3)
			kill[1]()
			kill[2]()
			return fronts[0]
		}},
		{name: "another is frozen", ctx: t.Context(), most: lookupBound, front: func() *Front {
			f, _ := startFront(t, newPlatform(), "front")
			frozen, err := net.ListenPacket("udp4", "127.0.0.1:0") // Receives and never answers.
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { frozen.Close() })
			f.peers.addAddress(mustParseAddrPort(t, frozen.LocalAddr().String()))
			return f
		}},
		{name: "no other is known", ctx: t.Context(), most: lookupBound, front: func() *Front {
			f, _ := startFront(t, newPlatform(), "front")
			return f
		}},
		{name: "exchanges no datagrams", ctx: t.Context(), most: lookupBound, front: func() *Front {
			f := newFront(t, newPlatform(), "front")
			f.peers.addAddress(mustParseAddrPort(t, "127.0.0.1:9"))
			return f
		}},
		{name: "caller has left", ctx: canceled, most: time.Second, front: func() *Front {
			f, _ := startFront(t, newPlatform(), "front")
			return f
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.front()
			start := time.Now()
			if got, _, ok := f.findOrigin(c.ctx, "unknown"); ok {
				t.Errorf("got %q, want unknown", got)
			}
			if took := time.Since(start); took > c.most {
				t.Errorf("took %v, want at most %v", took, c.most)
			}
			if n := len(f.origins.lookups); n != 0 {
				t.Errorf("got %d look-ups left, want none", n)
			}
		})
	}
}

// TestEndedStreamNeedsNoCopy checks that the origin of a stream that has ended before
// its batch stays at the front that began it.
func TestEndedStreamNeedsNoCopy(t *testing.T) {
	fronts, _ := startFronts(t, newPlatform(), 3)
	fronts[0].recordOrigin("ended", "v1")
	fronts[0].endOrigin("ended")
	fronts[0].recordOrigin("running", "v1")
	peridotawait.Until(t, "copies", func() bool { return copies(fronts, "running") == 3 })
	if got := copies(fronts, "ended"); got != 1 {
		t.Errorf("got %d copies, want that of the front itself", got)
	}
	if got, _, ok := fronts[1].findOrigin(t.Context(), "ended"); !ok || got != "v1" {
		t.Errorf("got %q, %v, want v1 of the front that began the stream", got, ok)
	}
}

// TestOriginsAreBounded checks that a front without others keeps bounded origins, never
// blocks, and drops versions that fit no datagram.
func TestOriginsAreBounded(t *testing.T) {
	f := newFront(t, newPlatform(), "front")
	for i := range peridotorigin.MaxOrigins + 10 {
		f.recordOrigin(fmt.Sprint(i), "v1")
	}
	f.recordOrigin("long", strings.Repeat("v", peridotorigin.MaxVersionBytes+1))
	f.recordOrigin("", "v1")
	if got := f.origins.removeExpired(); got != peridotorigin.MaxOrigins {
		t.Errorf("got %d origins, want %d", got, peridotorigin.MaxOrigins)
	}
	if got := f.origins.pending.Len(); got != peridotorigin.MaxPending {
		t.Errorf("got %d origins waiting, want %d", got, peridotorigin.MaxPending)
	}
	if _, _, ok := f.findOrigin(t.Context(), "long"); ok {
		t.Error("version that fits no datagram: got it, want it dropped")
	}
	if _, _, ok := f.findOrigin(t.Context(), ""); ok {
		t.Error("no request named: got a version, want none")
	}
}

// TestMalformedOrigins checks that malformed messages about origins change nothing, and
// that a front answers well-formed ones afterwards.
func TestMalformedOrigins(t *testing.T) {
	from := mustParseAddrPort(t, "127.0.0.1:9")
	long := strings.Repeat("v", peridotorigin.MaxVersionBytes+1)
	f := newFront(t, newPlatform(), "front")
	for _, c := range []struct {
		name    string
		message *message
	}{
		{name: "long version", message: &message{Origins: []originGroup{{Version: long, Keys: []uint64{1}}}}},
		{name: "one of two versions long", message: &message{Origins: []originGroup{{Version: "v1", Keys: []uint64{1}}, {Version: long, Keys: []uint64{2}}}}},
		{name: "no keys", message: &message{Origins: []originGroup{{Version: "v1"}}}},
		{name: "too many questions", message: &message{Question: &originQuestion{Keys: make([]uint64, maxQuestionKeys+1)}}},
		{name: "answer to no question", message: &message{Answer: &originAnswer{Nonce: 7, Known: []originGroup{{Version: "v1", Keys: []uint64{1}}}}}},
		{name: "answer with a long version", message: &message{Answer: &originAnswer{Known: []originGroup{{Version: long, Keys: []uint64{1}}}}}},
	} {
		f.origins.handleMessage(from, c.message)
		if got := f.origins.removeExpired(); got != 0 {
			t.Errorf("%s: got %d origins, want none", c.name, got)
		}
		if got := len(f.origins.outbox); got != 0 {
			t.Errorf("%s: got %d answers, want none", c.name, got)
		}
	}
	for _, data := range []string{"\xa1\x08\x01", "\xa1\x08\x81\x81\x01", "\xa1\x09\x82\x01\x61a", "\xa1\x0a\x80", "\xa1\x0a\x83\x01\x02\x03"} {
		if m, err := decodeMessage([]byte(data)); err == nil {
			t.Errorf("%q: got %+v, want an error", data, m)
		}
	}
	f.origins.handleMessage(from, &message{Origins: []originGroup{{Version: "v1", Keys: []uint64{1}}}})
	f.origins.handleMessage(from, &message{Question: &originQuestion{Nonce: 7, Keys: []uint64{1, 2}}})
	m, err := decodeMessage((<-f.origins.outbox).data)
	if err != nil {
		t.Fatal(err)
	}
	if a := m.Answer; a == nil || a.Nonce != 7 || len(a.Known) != 1 || a.Known[0].Version != "v1" || len(a.Unknown) != 1 || a.Unknown[0] != 2 {
		t.Errorf("got answer %+v, want v1 for key 1 and key 2 unknown", a)
	}
}

// TestForgedAnswer guards against an answer of a front that was not asked, or with the
// nonce of another look-up.
func TestForgedAnswer(t *testing.T) {
	f := newFront(t, newPlatform(), "front")
	asked, stranger := mustParseAddrPort(t, "127.0.0.1:9"), mustParseAddrPort(t, "127.0.0.1:8")
	f.peers.addAddress(asked)
	l := f.origins.openLookup(1)
	f.origins.advanceLookup(l)
	known := []originGroup{{Version: "v1", Keys: []uint64{1}}}
	f.origins.handleMessage(stranger, &message{Answer: &originAnswer{Nonce: l.nonce, Known: known}})
	f.origins.handleMessage(asked, &message{Answer: &originAnswer{Nonce: l.nonce + 1, Known: known}})
	if version, state := f.origins.advanceLookup(l); state != peridotorigin.Waiting {
		t.Errorf("forged answers: got state %d and version %q, want it waiting", state, version)
	}
	f.origins.handleMessage(asked, &message{Answer: &originAnswer{Nonce: l.nonce, Known: known}})
	if version, state := f.origins.advanceLookup(l); state != peridotorigin.Found || version != "v1" {
		t.Errorf("answer of the front that was asked: got state %d and version %q, want v1", state, version)
	}
}

// TestEarlyUnknownAnswers guards against a look-up that ends as unknown although a front
// knows the origin: the answers came before all fronts were known, or before the copies
// reached the fronts that were asked, while the one that began the stream was not.
func TestEarlyUnknownAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		// others is the number of other fronts that are known at first.
		others     int
		rosterRead bool
		want       peridotorigin.LookupState
	}{
		{name: "roster not read", others: 1, want: peridotorigin.Waiting},
		{name: "all fronts known and asked", others: 3, rosterRead: true, want: peridotorigin.Unknown},
		{name: "not all fronts asked", others: peridotorigin.LookupFronts + 1, rosterRead: true, want: peridotorigin.Waiting},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFront(t, newPlatform(), "front")
			f.peers.rosterRead = c.rosterRead
			for i := range c.others {
				f.peers.addAddress(mustParseAddrPort(t, fmt.Sprint("127.0.0.1:", i+1)))
			}
			l := f.origins.openLookup(1)
			f.origins.advanceLookup(l)
			for range len(f.origins.outbox) {
				d := <-f.origins.outbox
				f.origins.handleMessage(d.to, &message{Answer: &originAnswer{Nonce: l.nonce, Unknown: []uint64{1}}})
			}
			if _, got := f.origins.advanceLookup(l); got != c.want {
				t.Fatalf("all that were asked don't know: got state %d, want %d", got, c.want)
			}
			if c.want != peridotorigin.Waiting {
				return
			}
			f.origins.handleMessage(mustParseAddrPort(t, "127.0.0.1:1"), &message{Origins: []originGroup{{Version: "v1", Keys: []uint64{1}}}})
			if version, got := f.origins.advanceLookup(l); got != peridotorigin.Found || version != "v1" {
				t.Errorf("after the origin has arrived: got state %d and version %q, want v1", got, version)
			}
		})
	}
}

// TestDatagramsOfOtherVersions guards against processes that misread datagrams of
// processes with or without origins, which serve side by side while they are replaced.
func TestDatagramsOfOtherVersions(t *testing.T) {
	// oldMessage is the message of processes without origins.
	type oldMessage struct {
		From                 string      `cbor:"1,keyasint"`
		Address              string      `cbor:"2,keyasint"`
		Loads                []load      `cbor:"3,keyasint,omitempty"`
		Placements           []placement `cbor:"4,keyasint,omitempty"`
		Usage                *usage      `cbor:"5,keyasint,omitempty"`
		Peers                []string    `cbor:"6,keyasint,omitempty"`
		StoreAnsweringMillis uint32      `cbor:"7,keyasint,omitempty"`
	}
	data, err := (&message{Origins: []originGroup{{Version: "v1", Keys: []uint64{1}}}}).encode()
	if err != nil {
		t.Fatal(err)
	}
	var old oldMessage
	if err := cbor.Unmarshal(data, &old); err != nil || old.Address != "" || old.Loads != nil {
		t.Errorf("new datagram at an old process: got %+v and error %v, want no address, which it ignores", old, err)
	}
	data, err = cbor.Marshal(oldMessage{From: "front-1", Address: "10.0.0.9:7660", Loads: []load{{Server: 7, Running: 1}}, StoreAnsweringMillis: 5})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeMessage(data)
	if err != nil || m.From != "front-1" || m.Address != "10.0.0.9:7660" || len(m.Loads) != 1 || m.StoreAnsweringMillis != 5 || m.hasOrigins() {
		t.Errorf("old datagram at a new process: got %+v and error %v, want its load and no origins", m, err)
	}
}

// TestQueuedAnswersAreBounded guards against questions whose answers wait in memory for a
// narrow link.
func TestQueuedAnswersAreBounded(t *testing.T) {
	o := newFront(t, newPlatform(), "front").origins
	from := strangerAddress(1)
	var keys []uint64
	for k := range uint64(20) {
		keys = append(keys, k)
		o.handleMessage(from, &message{Origins: []originGroup{{Version: fmt.Sprintf("%0250d", k), Keys: []uint64{k}}}})
	}
	for range 10_000 {
		o.handleMessage(from, &message{Question: &originQuestion{Keys: keys}})
	}
	bytes := 0
	for n := len(o.outbox); n > 0; n-- {
		bytes += len((<-o.outbox).data)
	}
	if bytes < maxQueuedBytes || bytes > maxQueuedBytes+maxDatagramBytes {
		t.Errorf("got %d bytes in the queue, want %d", bytes, maxQueuedBytes)
	}
	o.handleMessage(from, &message{Questions: make([]originQuestion, maxQuestionKeys+1)})
	if got := len(o.outbox); got != 0 {
		t.Errorf("too many empty questions: got %d answers, want none", got)
	}
}
