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

// fault is one kind of failure that a schedule brings about.
type fault int

const (
	restarts fault = iota
	outages
	lostAnswers
	lostCommits
	lateCommits
	refusedDials
	faults
)

// happening is something due at a time.
type happening struct {
	at  time.Time
	run func()
}

// attempt is one try of a client, with what it was told.
type attempt struct {
	key   string
	reply Reply
	done  bool
}

// world runs ledgers against a table and a service that runs whatever it gets.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	due      []happening
	table    peridottable.Memory
	down     bool
	active   map[fault]bool
	ledgers  []*Ledger
	starts   int
	attempts map[string]*attempt
	order    []string
	// runs is the service's own log: the request ids by idempotency key.
	runs map[string][]string
}

func newWorld(t *testing.T, seed uint64, active ...fault) *world {
	w := &world{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1_800_000_000, 0),
		active:   make(map[fault]bool),
		attempts: make(map[string]*attempt),
		runs:     make(map[string][]string),
	}
	for _, f := range active {
		w.active[f] = true
	}
	for i := range 3 {
		w.ledgers = append(w.ledgers, nil)
		w.restart(i)
	}
	return w
}

func (w *world) restart(i int) {
	w.starts++
	w.ledgers[i] = NewLedger(Process{Instance: fmt.Sprint("agent-", i), Incarnation: fmt.Sprint(w.starts)}, Options{})
}

func (w *world) after(d time.Duration, run func()) {
	w.due = append(w.due, happening{at: w.now.Add(d), run: run})
}

func (w *world) some(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d))) + time.Millisecond
}

// chance reports whether a fault strikes now.
func (w *world) chance(f fault, percent int) bool {
	return w.active[f] && w.random.IntN(100) < percent
}

// run lets happenings come in the order of their times until none is left.
func (w *world) run(end time.Time) {
	for len(w.due) > 0 {
		first := 0
		for i := range w.due {
			if w.due[i].at.Before(w.due[first].at) {
				first = i
			}
		}
		h := w.due[first]
		w.due = slices.Delete(w.due, first, first+1)
		if h.at.After(end) {
			return
		}
		w.now = h.at
		h.run()
	}
}

// step hands an event to a ledger if it is still that of the instance.
func (w *world) step(i int, l *Ledger, event Event) {
	if w.ledgers[i] != l {
		return
	}
	for _, action := range l.Step(w.now, event) {
		switch a := action.(type) {
		case Commit:
			w.commit(i, l, a.Txn)
		case Read:
			w.read(i, l, a)
		case Answer:
			w.answer(i, l, a)
		}
	}
}

func (w *world) commit(i int, l *Ledger, txn peridottable.Txn) {
	lost := peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "lost")
	w.after(w.some(20*time.Millisecond), func() {
		version, err := int64(0), error(lost)
		switch {
		case w.down:
			err = peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "down")
		case w.chance(lostCommits, 20):
		case w.chance(lateCommits, 20):
			w.after(w.some(8*time.Second), func() { _, _ = w.table.Commit(w.t.Context(), txn) })
		case w.chance(lostAnswers, 30):
			_, _ = w.table.Commit(w.t.Context(), txn)
		default:
			version, err = w.table.Commit(w.t.Context(), txn)
		}
		w.after(w.some(20*time.Millisecond), func() { w.step(i, l, CommitAnswered{ID: txn.ID, Version: version, Err: err}) })
	})
}

func (w *world) read(i int, l *Ledger, a Read) {
	w.after(w.some(20*time.Millisecond), func() {
		answer := ReadAnswered{ID: a.ID}
		if w.down {
			answer.Err = peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, "down")
		} else {
			answer.Rows, answer.Err = readCurrent(w.t.Context(), &w.table, a.Keys)
		}
		w.after(w.some(20*time.Millisecond), func() { w.step(i, l, answer) })
	})
}

func (w *world) answer(i int, l *Ledger, a Answer) {
	at := w.attempts[a.RequestID]
	if !a.Reply.Run {
		w.told(a.RequestID, a.Reply)
		return
	}
	if w.chance(refusedDials, 30) {
		refused := Outcome{Err: peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.NotRun, "refused")}
		w.step(i, l, Ended{RequestID: a.RequestID, Outcome: refused})
		w.told(a.RequestID, Reply{Err: refused.Err})
		return
	}
	w.after(w.some(30*time.Millisecond), func() {
		if w.ledgers[i] != l {
			return // Killed between claim and run.
		}
		w.runs[at.key] = append(w.runs[at.key], a.RequestID)
		w.after(w.some(500*time.Millisecond), func() {
			if w.ledgers[i] != l {
				return // Killed between run and record.
			}
			o := Outcome{Status: 200, Body: a.RequestID}
			w.step(i, l, Ended{RequestID: a.RequestID, Outcome: o})
			w.told(a.RequestID, Reply{Outcome: &o})
		})
	})
}

func (w *world) told(requestID string, r Reply) {
	at := w.attempts[requestID]
	if at.done {
		w.t.Errorf("request %s was answered twice", requestID)
	}
	at.done, at.reply = true, r
}

// ask makes one attempt through a random process, whatever came before.
func (w *world) ask(key string) {
	id := fmt.Sprint("request-", len(w.attempts))
	w.attempts[id] = &attempt{key: key}
	w.order = append(w.order, id)
	i := w.random.IntN(len(w.ledgers))
	w.step(i, w.ledgers[i], Asked{Request: Request{
		RequestID: id, Account: "matriz", Service: "board", Key: key, Fingerprint: "f-" + key, Timeout: 10 * time.Second,
	}})
}

// check compares what the clients were told with the service's log.
func (w *world) check() {
	w.t.Helper()
	ran := make(map[string]bool)
	for key, ids := range w.runs {
		if len(ids) > 1 {
			w.t.Errorf("key %s: got %d runs %v, want at most 1", key, len(ids), ids)
		}
		for _, id := range ids {
			ran[id] = true
		}
	}
	for _, id := range w.order {
		at := w.attempts[id]
		if !at.done {
			continue
		}
		if err := at.reply.Err; err != nil && err.Verdict == peridotverdict.NotRun && ran[id] {
			w.t.Errorf("request %s was refused as not run (%v), but ran", id, err)
		}
		if o := at.reply.Outcome; o != nil && !slices.Equal(w.runs[at.key], []string{o.Body}) {
			w.t.Errorf("request %s got the answer %q, want that of the run %v", id, o.Body, w.runs[at.key])
		}
	}
}

// tick lets time pass for the ledgers and brings about faults until faultsEnd.
func (w *world) tick(faultsEnd time.Time) {
	for i, l := range w.ledgers {
		w.step(i, l, Ticked{})
	}
	if w.now.Before(faultsEnd) && w.chance(restarts, 4) {
		w.restart(w.random.IntN(len(w.ledgers)))
	}
	if w.now.Before(faultsEnd) && w.chance(outages, 2) {
		w.down = true
		w.after(w.some(6*time.Second), func() { w.down = false })
	}
	w.after(50*time.Millisecond, func() { w.tick(faultsEnd) })
}

// schedule runs clients that repeat each key many times under faults.
func schedule(t *testing.T, seed uint64, active ...fault) *world {
	w := newWorld(t, seed, active...)
	const keys, repeats, length = 6, 8, 40 * time.Second
	for k := range keys {
		for range repeats {
			w.after(w.some(length), func() { w.ask(fmt.Sprint("key-", k)) })
		}
	}
	w.tick(w.now.Add(length))
	w.run(w.now.Add(2 * length))
	return w
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		for a := range faults {
			for b := a; b < faults; b++ {
				w := schedule(t, uint64(seed), a, b)
				w.check()
				if t.Failed() {
					t.Fatalf("seed %d faults %d and %d", seed, a, b)
				}
			}
		}
	}
}

// TestQuietSchedule makes sure that the schedules do run something.
func TestQuietSchedule(t *testing.T) {
	w := schedule(t, 1)
	w.check()
	if got, want := len(w.runs), 6; got != want {
		t.Errorf("got %d keys that ran, want %d", got, want)
	}
	for _, id := range w.order {
		if at := w.attempts[id]; !at.done {
			t.Errorf("request %s has no answer", id)
		}
	}
	for i, l := range w.ledgers {
		if got := l.Len(); got != 0 {
			t.Errorf("ledger %d: got %d requests left in memory, want 0", i, got)
		}
	}
}

func TestKeyTime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tables := []struct {
		name string
		key  string
		code peridotverdict.Code
	}{
		{"plain", "push-1", ""},
		{"fresh", uuid7(now.Add(-time.Hour)), ""},
		{"old", uuid7(now.Add(-25 * time.Hour)), peridotverdict.ResultExpired},
		{"future", uuid7(now.Add(2 * time.Hour)), peridotverdict.BadRequest},
	}
	for _, c := range tables {
		l := NewLedger(Process{Instance: "a"}, Options{})
		actions := l.Step(now, Asked{Request: Request{RequestID: "r", Key: c.key, Timeout: time.Minute}})
		got := peridotverdict.Code("")
		if a, ok := actions[0].(Answer); ok {
			got = a.Reply.Err.Code
		}
		if got != c.code {
			t.Errorf("%s: got code %q, want %q", c.name, got, c.code)
		}
	}
}

func uuid7(at time.Time) string {
	h := fmt.Sprintf("%012x", at.UnixMilli())
	return h[:8] + "-" + h[8:] + "-7abc-8def-0123456789ab"
}
