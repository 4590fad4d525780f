package peridotquarantine

import (
	"fmt"
	"testing"
	"time"
	"unicode"
)

var (
	v1, v2 = Software{"llm", "v1"}, Software{"llm", "v2"}
	start  = time.Unix(1_800_000_000, 0)
)

// run is a run of a prompt with the given parts at the server with the given number. It
// ends with its server unless answered is set.
type run struct {
	server   int
	parts    string
	at       Software
	begun    bool
	answered bool
	// hadEvents is set if the answer had events.
	hadEvents bool
	after     time.Duration
}

// partsOf returns the parts named by the letters: a whole request by a capital one.
func partsOf(text string) []Part {
	var parts []Part
	for _, id := range text {
		part := PartOf(string(id))
		if unicode.IsUpper(id) {
			part |= wholeRequest
		}
		parts = append(parts, part)
	}
	return parts
}

// apply applies the runs to a table.
func apply(t *Table, runs []run) {
	for _, r := range runs {
		now := start.Add(r.after)
		if r.answered {
			t.RecordAnswered(partsOf(r.parts), r.at, now)
			continue
		}
		s := Suspicion{ID: fmt.Sprint("server-", r.server), Born: 1, At: r.at, Parts: partsOf(r.parts), Begun: r.begun, HadEvents: r.hadEvents, BrokeAt: now}
		for _, a := range s.Accusations() {
			t.Accuse(now, a)
		}
	}
}

func TestJudge(t *testing.T) {
	ended := func(server int, parts string) run { return run{server: server, parts: parts, at: v1, begun: true} }
	unseen := func(server int, parts string) run { return run{server: server, parts: parts, at: v1} }
	midStream := func(server int) run { return run{server: server, parts: "x", at: v1, begun: true, hadEvents: true} }
	later := func(server int, parts string) run {
		return run{server: server, parts: parts, at: v1, begun: true, after: time.Second}
	}
	atV2 := func(server int) run { return run{server: server, parts: "x", at: v2, begun: true, after: time.Second} }
	answered := func(parts string) run { return run{parts: parts, at: v1, answered: true} }
	sameParts := []run{ended(1, "ax"), ended(2, "ax"), ended(3, "ax")}
	tests := []struct {
		name   string
		runs   []run
		prompt string
		at     Software
		after  time.Duration
		want   Judgment
	}{
		{name: "nothing known", prompt: "ax", at: v1},
		{name: "two ends", runs: []run{ended(1, "x"), ended(2, "x")}, prompt: "x", at: v1},
		{name: "three ends", runs: []run{ended(1, "x"), ended(2, "x"), ended(3, "x")}, prompt: "x", at: v1, want: Refused},
		{name: "one server, three runs", runs: []run{ended(1, "x"), ended(1, "x"), ended(1, "x")}, prompt: "x", at: v1},
		{name: "three ends, no run had begun", runs: []run{unseen(1, "x"), unseen(2, "x"), unseen(3, "x")}, prompt: "x", at: v1},
		{name: "four ends, no run had begun", runs: []run{unseen(1, "x"), unseen(2, "x"), unseen(3, "x"), unseen(4, "x")}, prompt: "x", at: v1, want: Refused},
		{name: "two ends of a request", runs: []run{unseen(1, "X"), unseen(2, "X")}, prompt: "X", at: v1},
		{name: "three ends of a request", runs: []run{unseen(1, "X"), unseen(2, "X"), unseen(3, "X")}, prompt: "X", at: v1, want: Refused},
		{name: "three ends of a request that was answered before", runs: []run{answered("X"), unseen(1, "X"), unseen(2, "X"), unseen(3, "X")}, prompt: "X", at: v1},
		{name: "answered after three ends", runs: []run{unseen(1, "X"), unseen(2, "X"), unseen(3, "X"), answered("X")}, prompt: "X", at: v1},
		{name: "sound part of a request under which servers ended", runs: []run{ended(1, "Xa"), ended(2, "Xa"), ended(3, "Xa")}, prompt: "Ya", at: v1, want: OnTrial},
		{name: "request beside one that ended more servers", runs: []run{
			unseen(1, "XY"), unseen(2, "XY"), unseen(3, "XY"), unseen(4, "X"),
		}, prompt: "Y", at: v1, want: OnTrial},
		{name: "beside runs that had begun", runs: []run{
			unseen(1, "b"), unseen(2, "b"), unseen(3, "b"), unseen(4, "b"), ended(1, "x"), ended(2, "x"), ended(3, "x"), ended(4, "x"),
		}, prompt: "b", at: v1},
		{name: "sound before", runs: append([]run{answered("a")}, sameParts...), prompt: "a", at: v1},
		{name: "sound afterwards", runs: append(sameParts[:3:3], answered("a")), prompt: "a", at: v1},
		{name: "four ends behind events", runs: []run{midStream(1), midStream(2), midStream(3), midStream(4)}, prompt: "x", at: v1},
		{name: "five ends behind events", runs: []run{midStream(1), midStream(2), midStream(3), midStream(4), midStream(5)}, prompt: "x", at: v1, want: Refused},
		{name: "some ends behind events", runs: []run{midStream(1), ended(1, "x"), midStream(2), ended(2, "x"), ended(3, "x"), midStream(3)}, prompt: "x", at: v1, want: Refused},
		{name: "not begun, beside streams with events", runs: []run{
			midStream(1), midStream(2), midStream(3), midStream(4), unseen(1, "b"), unseen(2, "b"), unseen(3, "b"), unseen(4, "b"),
		}, prompt: "b", at: v1, want: OnTrial},
		{name: "five ends since the last answer", runs: []run{answered("x"), later(1, "x"), later(2, "x"), later(3, "x"), later(4, "x"), later(5, "x")}, prompt: "x", at: v1, after: time.Second, want: Refused},
		{name: "four ends since the last answer", runs: []run{answered("x"), later(1, "x"), later(2, "x"), later(3, "x"), later(4, "x")}, prompt: "x", at: v1, after: time.Second},
		{name: "answered between the ends", runs: []run{
			ended(1, "a"), ended(2, "a"), ended(3, "a"), answered("a"), later(4, "a"), later(5, "a"), later(6, "a"),
		}, prompt: "a", at: v1, after: time.Second},
		{name: "shared by the prompts that end servers and by others", runs: []run{
			answered("a"), later(1, "ax"), later(2, "ax"), later(3, "ax"), later(4, "ax"), later(5, "ax"),
		}, prompt: "ab", at: v1, after: time.Second, want: OnTrial},
		{name: "answered at this version, ends at another", runs: []run{
			answered("x"), atV2(1), atV2(2), atV2(3), atV2(4), atV2(5),
		}, prompt: "x", at: v1, after: time.Second},
		{name: "the other part was answered before", runs: []run{
			answered("a"), later(1, "ax"), later(2, "ax"), later(3, "ax"),
		}, prompt: "bx", at: v1, after: time.Second, want: Refused},
		{name: "the other part was answered before, a minute later", runs: []run{
			answered("a"), later(1, "ax"), later(2, "ax"), later(3, "ax"),
		}, prompt: "bx", at: v1, after: time.Second + soundRivalDelay, want: OnTrial},
		{name: "the other part is sound", runs: append(sameParts[:3:3], answered("a")), prompt: "bx", at: v1, want: Refused},
		{name: "always together", runs: sameParts, prompt: "ax", at: v1, want: Refused},
		{name: "one of two that were always together", runs: sameParts, prompt: "ab", at: v1, want: OnTrial},
		{name: "the trial ended a server", runs: append(sameParts[:3:3], ended(4, "x")), prompt: "x", at: v1, want: Refused},
		{name: "the other one after that trial", runs: append(sameParts[:3:3], ended(4, "x")), prompt: "a", at: v1, want: OnTrial},
		{name: "many other parts", runs: []run{ended(1, "ax"), ended(2, "bx"), ended(3, "cx")}, prompt: "dx", at: v1, want: Refused},
		{name: "one of many other parts", runs: []run{ended(1, "ax"), ended(2, "bx"), ended(3, "cx")}, prompt: "a", at: v1},
		{name: "ends at two versions", runs: []run{ended(1, "x"), ended(2, "x"), {server: 3, parts: "x", at: v2, begun: true}}, prompt: "x", at: v2, want: Refused},
		{name: "sound at another version", runs: []run{ended(1, "x"), ended(2, "x"), ended(3, "x"), {parts: "x", at: v2, answered: true}}, prompt: "x", at: v1, want: Refused},
		{name: "sound at the version", runs: []run{ended(1, "x"), ended(2, "x"), ended(3, "x"), {parts: "x", at: v2, answered: true}}, prompt: "x", at: v2},
		{name: "expired", runs: sameParts, prompt: "ax", at: v1, after: TTL},
		{name: "one expired", runs: []run{ended(1, "x"), ended(2, "x"), {server: 3, parts: "x", at: v1, begun: true, after: time.Hour}}, prompt: "x", at: v1, after: TTL},
	}
	for _, test := range tests {
		table := NewTable()
		apply(table, test.runs)
		if got, _ := table.Judge(start.Add(test.after), partsOf(test.prompt), test.at); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestAccusationsAddUp guards against instances that differ in what they know once they
// have exchanged their accusations, whatever the order.
func TestAccusationsAddUp(t *testing.T) {
	first, second := NewTable(), NewTable()
	apply(first, []run{{server: 1, parts: "ax", at: v1, begun: true}, {server: 2, parts: "x", at: v1, begun: true}})
	apply(second, []run{{server: 2, parts: "x", at: v1}, {server: 3, parts: "x", at: v1, begun: true}})
	for _, pair := range [][2]*Table{{first, second}, {second, first}} {
		for _, a := range pair[0].All() {
			pair[1].Accuse(start, a)
		}
	}
	for i, table := range []*Table{first, second} {
		if got, _ := table.Judge(start, partsOf("x"), v1); got != Refused {
			t.Errorf("table %d: got %v, want %v", i, got, Refused)
		}
		if got := len(table.All()); got != 4 {
			t.Errorf("table %d: got %d accusations, want 4", i, got)
		}
	}
}

// TestTableIsBounded guards against callers that make instances remember any number of
// parts, and against parts under which many servers ended that are forgotten for them.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	apply(table, []run{{server: 1, parts: "x", at: v1, begun: true}, {server: 2, parts: "x", at: v1, begun: true}, {server: 3, parts: "x", at: v1, begun: true}})
	for n := range 2 * maxAccusedParts {
		table.Accuse(start, Accusation{Part: Part(n), End: EndOf("other", int64(n)), At: v1, UnixSeconds: start.Unix()})
	}
	for n := range 2 * maxEndsPerPart {
		table.Accuse(start, Accusation{Part: PartOf("x"), End: EndOf("s", int64(n)), At: v1, Begun: true, UnixSeconds: start.Unix()})
	}
	for n := range 2 * maxAnsweredParts {
		table.RecordAnswered([]Part{Part(1<<40 + n)}, v1, start)
	}
	requests, prompts := table.Counts(start)
	if accused := requests.Accused + prompts.Accused; accused > maxAccusedParts || requests.Quarantined+prompts.Quarantined != 1 {
		t.Errorf("got %d parts accused, requests %v, parts of prompts %v; want %d at most and 1 quarantined", accused, requests, prompts, maxAccusedParts)
	}
	if got := len(table.accused[PartOf("x")]); got > maxEndsPerPart {
		t.Errorf("got %d accusations of one part, want %d at most", got, maxEndsPerPart)
	}
	if got := table.answered.Len(); got > maxAnsweredParts {
		t.Errorf("got %d answered parts, want %d at most", got, maxAnsweredParts)
	}
	if got := table.answeredRequests.Len(); got > maxAnsweredRequests {
		t.Errorf("got %d answered requests, want %d at most", got, maxAnsweredRequests)
	}
}

func TestAnnounceGoesRound(t *testing.T) {
	table := NewTable()
	const parts, limit = 50, 8
	for n := range parts {
		table.Accuse(start, Accusation{Part: Part(n), End: EndOf("s", int64(n)), At: v1, UnixSeconds: start.Unix()})
	}
	seen := make(map[Part]bool)
	for range (parts + limit - 1) / limit {
		list := table.Announce(start, limit)
		if len(list) != limit {
			t.Errorf("got %d accusations, want %d", len(list), limit)
		}
		for _, a := range list {
			seen[a.Part] = true
		}
	}
	if len(seen) != parts {
		t.Errorf("got %d parts announced, want %d", len(seen), parts)
	}
}

func TestPending(t *testing.T) {
	s := Suspicion{ID: "s", Born: 1, At: v1, Parts: partsOf("x")}
	var p Pending
	if !p.Add(0, s) || p.Add(time.Second, s) {
		t.Error("got another first suspicion of a server, want one")
	}
	other := s
	other.Born = 2
	if !p.Add(time.Second, other) {
		t.Error("got no first suspicion of the next incarnation, want one")
	}
	if got := len(p.Take(s.End())); got != 2 {
		t.Errorf("got %d suspicions of the server, want 2", got)
	}
	if got := len(p.ends); got != 1 {
		t.Errorf("got %d servers left, want 1", got)
	}
	p.Expire(time.Second + pendingTTL)
	if got := len(p.ends); got != 0 {
		t.Errorf("got %d servers after the time, want 0", got)
	}
	for n := range 2 * maxPendingEnds {
		other.Born = int64(n)
		p.Add(0, other)
	}
	if got := len(p.ends); got != maxPendingEnds {
		t.Errorf("got %d servers, want %d", got, maxPendingEnds)
	}
}

// TestEnded guards against servers that leave and are taken for crashed, and against crashed
// ones that are missed because their successor listens at the same address.
func TestEnded(t *testing.T) {
	for _, test := range []struct {
		name    string
		listens bool
		now     Registration
		want    bool
	}{
		{name: "registered", now: Registration{Registered: true}},
		{name: "registration gone", want: true},
		{name: "leaves", now: Registration{Registered: true, Leaving: true}},
		{name: "replaced", now: Registration{Registered: true, Replaced: true}, want: true},
		{name: "listens, registered", listens: true, now: Registration{Registered: true}},
		{name: "listens, registration gone", listens: true},
		{name: "listens, replaced", listens: true, now: Registration{Replaced: true}, want: true},
		{name: "listens, leaves and is replaced", listens: true, now: Registration{Registered: true, Leaving: true, Replaced: true}},
	} {
		s := Suspicion{ID: "s", Born: 1, At: v1, Parts: partsOf("x")}
		var p Pending
		p.Add(0, s)
		if test.listens {
			p.SetListening(s.End())
		}
		if got := len(p.Ended(func(Suspicion) Registration { return test.now })) > 0; got != test.want {
			t.Errorf("%s: got ended %v, want %v", test.name, got, test.want)
		}
	}
	var p Pending
	s := Suspicion{ID: "s", Born: 1, At: v1, Parts: partsOf("x")}
	p.Add(0, s)
	p.SetListening(s.End())
	if !p.Add(2*maxBreakSpread, s) {
		t.Error("got no new investigation after a break at a server that listened, want one")
	}
	if got := len(p.Take(s.End())); got != 1 {
		t.Errorf("got %d suspicions, want that of the last break only", got)
	}
}

// TestLoneRequestsAreForgotten guards against accusations of all requests that ever ran at
// a server when it ended, which are announced and kept for a day.
func TestLoneRequestsAreForgotten(t *testing.T) {
	table := NewTable()
	apply(table, []run{{server: 1, parts: "XYa", at: v1}, {server: 2, parts: "X", at: v1}})
	for _, test := range []struct {
		name            string
		after           time.Duration
		announced, kept int
	}{
		{name: "at once", announced: 4, kept: 4},
		{name: "no longer announced", after: loneRequestAnnounced, announced: 3, kept: 4},
		{name: "forgotten", after: loneRequestTTL, announced: 3, kept: 3},
		{name: "after a day", after: TTL},
	} {
		now := start.Add(test.after)
		table.Expire(now)
		if got := len(table.Announce(now, maxAccusedParts)); got != test.announced {
			t.Errorf("%s: got %d accusations announced, want %d", test.name, got, test.announced)
		}
		if got := len(table.All()); got != test.kept {
			t.Errorf("%s: got %d accusations, want %d", test.name, got, test.kept)
		}
	}
}
