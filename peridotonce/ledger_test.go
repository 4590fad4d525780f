package peridotonce

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"

	"peridotstack/peridotseed"
)

// fault is a kind of failure that a schedule injects.
type fault int

const (
	restarts fault = iota
	outages
	lostAnswers
	lostCommits
	lateCommits
	refusedDials
	faultCount
)

// scheduledCall is a call of run at a simulated time.
type scheduledCall struct {
	at  time.Time
	run func()
}

// attempt is one attempt of a client and its reply.
type attempt struct {
	key      string
	reply    Reply
	answered bool
}

// simulation runs ledgers in simulated time against a table and a service. The
// service runs every request that it gets.
type simulation struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Time
	calls        []scheduledCall
	table        peridottable.Memory
	tableDown    bool
	activeFaults map[fault]bool
	ledgers      []*Ledger
	startCount   int
	attempts     map[string]*attempt
	requestIDs   []string
	// runs is the log of the service: the IDs of the requests that ran, by idempotency
	// key.
	runs map[string][]string
}

func newSimulation(t *testing.T, seed uint64, active ...fault) *simulation {
	s := &simulation{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          time.Unix(1_800_000_000, 0),
		activeFaults: make(map[fault]bool),
		attempts:     make(map[string]*attempt),
		runs:         make(map[string][]string),
	}
	for _, f := range active {
		s.activeFaults[f] = true
	}
	for i := range 3 {
		s.ledgers = append(s.ledgers, nil)
		s.restartProcess(i)
	}
	return s
}

func (s *simulation) restartProcess(i int) {
	s.startCount++
	s.ledgers[i] = NewLedger(Process{Instance: fmt.Sprint("agent-", i), Incarnation: fmt.Sprint(s.startCount)}, Options{})
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.calls = append(s.calls, scheduledCall{at: s.now.Add(d), run: run})
}

// randomDuration returns a random duration of at least 1 ms and less than d + 1 ms.
func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d))) + time.Millisecond
}

// faultOccurs reports whether an active fault occurs now, with the given probability
// in percent.
func (s *simulation) faultOccurs(f fault, percent int) bool {
	return s.activeFaults[f] && s.random.IntN(100) < percent
}

// runUntil runs the scheduled calls in the order of their times until none is left
// or the next one is later than end.
func (s *simulation) runUntil(end time.Time) {
	for len(s.calls) > 0 {
		first := 0
		for i := range s.calls {
			if s.calls[i].at.Before(s.calls[first].at) {
				first = i
			}
		}
		call := s.calls[first]
		s.calls = slices.Delete(s.calls, first, first+1)
		if call.at.After(end) {
			return
		}
		s.now = call.at
		call.run()
	}
}

// step passes an event to l and executes the returned actions. It does nothing if
// instance i has restarted and l is the ledger of the earlier process.
func (s *simulation) step(i int, l *Ledger, event Event) {
	if s.ledgers[i] != l {
		return
	}
	for _, action := range l.Step(s.now, event) {
		switch a := action.(type) {
		case Commit:
			s.commit(i, l, a.Txn)
		case Read:
			s.read(i, l, a)
		case Answer:
			s.answer(i, l, a)
		}
	}
}

func (s *simulation) commit(i int, l *Ledger, txn peridottable.Txn) {
	lost := peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "lost")
	s.schedule(s.randomDuration(20*time.Millisecond), func() {
		version, err := int64(0), error(lost)
		switch {
		case s.tableDown:
			err = peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "down")
		case s.faultOccurs(lostCommits, 20):
		case s.faultOccurs(lateCommits, 20):
			s.schedule(s.randomDuration(8*time.Second), func() { _, _ = s.table.Commit(s.t.Context(), txn) })
		case s.faultOccurs(lostAnswers, 30):
			_, _ = s.table.Commit(s.t.Context(), txn)
		default:
			version, err = s.table.Commit(s.t.Context(), txn)
		}
		s.schedule(s.randomDuration(20*time.Millisecond), func() { s.step(i, l, CommitAnswered{ID: txn.ID, Version: version, Err: err}) })
	})
}

func (s *simulation) read(i int, l *Ledger, a Read) {
	s.schedule(s.randomDuration(20*time.Millisecond), func() {
		answer := ReadAnswered{ID: a.ID}
		if s.tableDown {
			answer.Err = peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "down")
		} else {
			answer.Rows, answer.Err = readCurrent(s.t.Context(), &s.table, a.Keys)
		}
		s.schedule(s.randomDuration(20*time.Millisecond), func() { s.step(i, l, answer) })
	})
}

func (s *simulation) answer(i int, l *Ledger, a Answer) {
	clientAttempt := s.attempts[a.RequestID]
	if !a.Reply.MustRun {
		s.recordReply(a.RequestID, a.Reply)
		return
	}
	if s.faultOccurs(refusedDials, 30) {
		refused := Outcome{Err: peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "refused")}
		s.step(i, l, RequestEnded{RequestID: a.RequestID, Outcome: refused})
		s.recordReply(a.RequestID, Reply{Err: refused.Err})
		return
	}
	s.schedule(s.randomDuration(30*time.Millisecond), func() {
		if s.ledgers[i] != l {
			return // The process restarted between claim and run.
		}
		s.runs[clientAttempt.key] = append(s.runs[clientAttempt.key], a.RequestID)
		s.schedule(s.randomDuration(500*time.Millisecond), func() {
			if s.ledgers[i] != l {
				return // The process restarted between run and record.
			}
			o := Outcome{Status: 200, Body: a.RequestID}
			s.step(i, l, RequestEnded{RequestID: a.RequestID, Outcome: o})
			s.recordReply(a.RequestID, Reply{Outcome: &o})
		})
	})
}

func (s *simulation) recordReply(requestID string, r Reply) {
	clientAttempt := s.attempts[requestID]
	if clientAttempt.answered {
		s.t.Errorf("request %s was answered twice", requestID)
	}
	clientAttempt.answered, clientAttempt.reply = true, r
}

// sendAttempt makes one attempt with key through a random process.
func (s *simulation) sendAttempt(key string) {
	id := fmt.Sprint("request-", len(s.attempts))
	s.attempts[id] = &attempt{key: key}
	s.requestIDs = append(s.requestIDs, id)
	i := s.random.IntN(len(s.ledgers))
	s.step(i, s.ledgers[i], RequestReceived{Request: Request{
		RequestID: id, Account: "matriz", Service: "board", Key: key, Fingerprint: "f-" + key, Timeout: 10 * time.Second,
	}})
}

// checkReplies compares the replies to the clients with the log of the service.
func (s *simulation) checkReplies() {
	s.t.Helper()
	ran := make(map[string]bool)
	for key, ids := range s.runs {
		if len(ids) > 1 {
			s.t.Errorf("key %s: got %d runs %v, want at most 1", key, len(ids), ids)
		}
		for _, id := range ids {
			ran[id] = true
		}
	}
	for _, id := range s.requestIDs {
		clientAttempt := s.attempts[id]
		if !clientAttempt.answered {
			continue
		}
		if err := clientAttempt.reply.Err; err != nil && err.Verdict == peridotverdict.NotRun && ran[id] {
			s.t.Errorf("request %s ran, but was refused with the verdict NotRun: %v", id, err)
		}
		if o := clientAttempt.reply.Outcome; o != nil && !slices.Equal(s.runs[clientAttempt.key], []string{o.Body}) {
			s.t.Errorf("request %s got the answer %q, want the answer of the run %v", id, o.Body, s.runs[clientAttempt.key])
		}
	}
}

// tick sends TimePassed to all ledgers and schedules itself again. It injects
// restarts and outages until faultsEnd.
func (s *simulation) tick(faultsEnd time.Time) {
	for i, l := range s.ledgers {
		s.step(i, l, TimePassed{})
	}
	if s.now.Before(faultsEnd) && s.faultOccurs(restarts, 4) {
		s.restartProcess(s.random.IntN(len(s.ledgers)))
	}
	if s.now.Before(faultsEnd) && s.faultOccurs(outages, 2) {
		s.tableDown = true
		s.schedule(s.randomDuration(6*time.Second), func() { s.tableDown = false })
	}
	s.schedule(50*time.Millisecond, func() { s.tick(faultsEnd) })
}

// runSchedule runs a schedule in which clients repeat each key many times under the
// active faults.
func runSchedule(t *testing.T, seed uint64, active ...fault) *simulation {
	s := newSimulation(t, seed, active...)
	const keys, repeats, length = 6, 8, 40 * time.Second
	for k := range keys {
		for range repeats {
			s.schedule(s.randomDuration(length), func() { s.sendAttempt(fmt.Sprint("key-", k)) })
		}
	}
	s.tick(s.now.Add(length))
	s.runUntil(s.now.Add(2 * length))
	return s
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		for a := range faultCount {
			for b := a; b < faultCount; b++ {
				s := runSchedule(t, uint64(seed), a, b)
				s.checkReplies()
				if t.Failed() {
					t.Fatalf("seed %d faults %d and %d", seed, a, b)
				}
			}
		}
	}
}

// TestScheduleWithoutFaults checks that a schedule runs every key and answers every
// request.
func TestScheduleWithoutFaults(t *testing.T) {
	s := runSchedule(t, 1)
	s.checkReplies()
	if got, want := len(s.runs), 6; got != want {
		t.Errorf("got %d keys that ran, want %d", got, want)
	}
	for _, id := range s.requestIDs {
		if clientAttempt := s.attempts[id]; !clientAttempt.answered {
			t.Errorf("request %s got no answer", id)
		}
	}
	for i, l := range s.ledgers {
		if got := l.Len(); got != 0 {
			t.Errorf("ledger %d: got %d requests in memory, want 0", i, got)
		}
	}
}

func TestKeyTime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name     string
		key      string
		wantCode peridotverdict.Code
	}{
		{"plain", "push-1", ""},
		{"fresh", uuid7(now.Add(-time.Hour)), ""},
		{"old", uuid7(now.Add(-25 * time.Hour)), peridotverdict.ResultExpired},
		{"future", uuid7(now.Add(2 * time.Hour)), peridotverdict.BadRequest},
	}
	for _, c := range tests {
		l := NewLedger(Process{Instance: "a"}, Options{})
		actions := l.Step(now, RequestReceived{Request: Request{RequestID: "r", Key: c.key, Timeout: time.Minute}})
		got := peridotverdict.Code("")
		if a, ok := actions[0].(Answer); ok {
			got = a.Reply.Err.Code
		}
		if got != c.wantCode {
			t.Errorf("%s: got code %q, want %q", c.name, got, c.wantCode)
		}
	}
}

func uuid7(at time.Time) string {
	h := fmt.Sprintf("%012x", at.UnixMilli())
	return h[:8] + "-" + h[8:] + "-7abc-8def-0123456789ab"
}
