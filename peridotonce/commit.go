package peridotonce

import (
	"fmt"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// operation is what a commit does to one request's row.
type operation int

const (
	claim operation = iota
	save
	release
)

// part is one request's share of a commit.
type part struct {
	entry     *entry
	operation operation
}

// flight is a commit under way.
type flight struct {
	txn   peridottable.Txn
	parts []part
	// uncertain is set once an answer was lost: an earlier attempt may have taken
	// effect.
	uncertain bool
	// reading is set when the rows are read to learn what happened.
	reading bool
	// resendAt is when to try again, or zero while an answer is awaited.
	resendAt time.Time
}

// write starts the next commit once the one before is done and the rate allows.
func (l *Ledger) write(now time.Time) []Action {
	if l.flight != nil || now.Before(l.nextCommit) {
		return nil
	}
	batch := l.take(now)
	if len(batch) == 0 {
		return nil
	}
	l.commits++
	f := &flight{txn: peridottable.Txn{ID: fmt.Sprintf("%s/%s/%d", l.self.Instance, l.self.Incarnation, l.commits)}}
	for _, e := range batch {
		f.add(e)
	}
	l.flight = f
	return []Action{l.send(now)}
}

// class orders the entries that wait for a commit. A commit takes entries of one
// class only: rows that are surely ours cannot conflict, and must not fail again
// and again together with claims on keys that another process has.
type class int

const (
	// ours are outcomes and releases of rows that this process wrote.
	ours class = iota
	// contended claims were part of a commit that conflicted, but not its cause.
	contended
	// unread entries must be read first and go by themselves.
	unread
	// fresh claims have not been tried. They come last, for there is no end of
	// them.
	fresh
)

func (e *entry) class() class {
	switch {
	case e.unknown():
		return unread
	case e.phase != claiming:
		return ours
	case e.conflicts > 0:
		return contended
	default:
		return fresh
	}
}

// take removes the next batch from the queue: entries of the first class that
// has any ready.
func (l *Ledger) take(now time.Time) []*entry {
	first := fresh
	for _, e := range l.queue {
		if !now.Before(e.notBefore) {
			first = min(first, e.class())
		}
	}
	limit := l.options.MaxBatch
	if first == unread {
		limit = 1
	}
	var batch, rest []*entry
	for _, e := range l.queue {
		if len(batch) >= limit || e.class() != first || now.Before(e.notBefore) {
			rest = append(rest, e)
			continue
		}
		batch = append(batch, e)
	}
	l.queue = rest
	return batch
}

// unknown reports whether the row must be read before it can be released.
func (e *entry) unknown() bool {
	return e.phase == releasing && e.version == 0
}

func (f *flight) add(e *entry) {
	index := expiryKey(e.rowKey, e.record.ClaimedAt)
	check := peridottable.Check{Key: e.rowKey, Version: e.version}
	switch e.phase {
	case claiming:
		f.parts = append(f.parts, part{entry: e, operation: claim})
		f.txn.Checks = append(f.txn.Checks, peridottable.Check{Key: e.rowKey})
		f.txn.Puts = append(f.txn.Puts, peridottable.Put{Key: e.rowKey, Value: e.record.encode()}, peridottable.Put{Key: index})
	case saving:
		f.parts = append(f.parts, part{entry: e, operation: save})
		f.txn.Checks = append(f.txn.Checks, check)
		f.txn.Puts = append(f.txn.Puts, peridottable.Put{Key: e.rowKey, Value: e.record.encode()})
	case releasing:
		f.parts = append(f.parts, part{entry: e, operation: release})
		f.txn.Checks = append(f.txn.Checks, check)
		f.txn.Deletes = append(f.txn.Deletes, e.rowKey, index)
		f.reading = f.reading || e.unknown()
	}
}

// send returns the action that carries the flight on.
func (l *Ledger) send(now time.Time) Action {
	f := l.flight
	f.resendAt = time.Time{}
	interval := time.Duration(float64(time.Second) / l.options.CommitsPerSecond)
	if saved := now.Add(-commitBurst * interval); l.nextCommit.Before(saved) {
		l.nextCommit = saved
	}
	l.nextCommit = l.nextCommit.Add(interval)
	if !f.reading {
		return Commit{Txn: f.txn}
	}
	keys := make([]string, 0, len(f.parts))
	for _, p := range f.parts {
		keys = append(keys, p.entry.rowKey)
	}
	return Read{ID: f.txn.ID, Keys: keys}
}

// resend tries again what had no answer.
func (l *Ledger) resend(now time.Time) []Action {
	if l.flight == nil || l.flight.resendAt.IsZero() || now.Before(l.flight.resendAt) {
		return nil
	}
	return []Action{l.send(now)}
}

// committed takes the answer to a commit. A lost answer is settled by repeating
// the same transaction: either it takes effect now, or it conflicts and the rows
// tell whose they are.
func (l *Ledger) committed(now time.Time, event CommitAnswered) []Action {
	f := l.flight
	if f == nil || f.txn.ID != event.ID {
		return nil
	}
	switch {
	case event.Err == nil:
		l.flight = nil
		return l.succeed(f, event.Version)
	case peridottable.IsConflict(event.Err):
		f.reading = true
		return []Action{l.send(now)}
	case f.uncertain || peridotverdict.Of(event.Err) != peridotverdict.NotRun:
		f.uncertain = true
		f.resendAt = now.Add(commitRetry)
		return nil
	}
	l.flight = nil
	return l.fail(now, f)
}

func (l *Ledger) succeed(f *flight, version int64) []Action {
	var actions []Action
	for _, p := range f.parts {
		if p.operation != claim {
			l.forget(p.entry)
			continue
		}
		actions = append(actions, l.claimed(p.entry, version)...)
	}
	return actions
}

// claimed lets a request run, unless its attempt was given up meanwhile.
func (l *Ledger) claimed(e *entry, version int64) []Action {
	e.version = version
	if e.phase == releasing {
		l.queue = append(l.queue, e)
		return nil
	}
	e.phase = running
	return []Action{l.answer(e, Reply{Run: true})}
}

// fail ends a commit that surely did nothing.
func (l *Ledger) fail(now time.Time, f *flight) []Action {
	var actions []Action
	for _, p := range f.parts {
		e := p.entry
		if p.operation != claim {
			e.notBefore = now.Add(commitRetry)
			l.queue = append(l.queue, e)
			continue
		}
		if e.phase == claiming {
			actions = append(actions, l.answer(e, storeUnavailable()))
		}
		l.forget(e)
	}
	return actions
}

// read takes the current rows of a commit that conflicted.
func (l *Ledger) read(now time.Time, event ReadAnswered) []Action {
	f := l.flight
	if f == nil || f.txn.ID != event.ID || !f.reading {
		return nil
	}
	if event.Err != nil || len(event.Rows) != len(f.parts) {
		f.resendAt = now.Add(commitRetry)
		return nil
	}
	l.flight = nil
	var actions []Action
	for i, p := range f.parts {
		actions = append(actions, l.settle(now, p, event.Rows[i])...)
	}
	return actions
}

// settle decides one part by the row that is there.
func (l *Ledger) settle(now time.Time, p part, row peridottable.Row) []Action {
	e := p.entry
	record := decodeRecord(row)
	mine := row.Version != 0 && record.RequestID == e.request.RequestID && record.Claimer == l.self
	if p.operation == claim {
		return l.settleClaim(now, e, row, record, mine)
	}
	if !mine || record.State == Finished {
		l.forget(e)
		return nil
	}
	e.version = row.Version
	l.queue = append(l.queue, e)
	return nil
}

func (l *Ledger) settleClaim(now time.Time, e *entry, row peridottable.Row, record Record, mine bool) []Action {
	switch {
	case mine:
		return l.claimed(e, row.Version)
	case e.phase == releasing:
		l.forget(e)
		return nil
	case row.Version != 0:
		l.forget(e)
		return []Action{l.answer(e, replyOf(record, e.request, l.self, now))}
	}
	e.conflicts++
	if e.conflicts > maxConflicts {
		l.forget(e)
		return []Action{l.answer(e, storeUnavailable())}
	}
	l.queue = append(l.queue, e)
	return nil
}
