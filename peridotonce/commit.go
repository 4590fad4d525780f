package peridotonce

import (
	"fmt"
	"time"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// operation is the change that a commit makes to the row of one request.
type operation int

const (
	opClaim operation = iota
	opSave
	opRelease
)

// commitPart is the part of a commit that belongs to one request.
type commitPart struct {
	entry     *entry
	operation operation
}

// inFlightCommit is a commit in progress.
type inFlightCommit struct {
	txn   peridottable.Txn
	parts []commitPart
	// mayBeApplied reports whether the answer to an attempt was lost, so that the
	// commit may have taken effect.
	mayBeApplied bool
	// readingRows reports whether the next step reads the rows, to determine the
	// outcome of the commit.
	readingRows bool
	// retryAt is the time of the next attempt, or zero while an answer is pending.
	retryAt time.Time
}

// startCommit starts the next commit if none is in flight and the rate limit allows
// it.
func (l *Ledger) startCommit(now time.Time) []Action {
	if l.inFlight != nil || now.Before(l.nextCommitAt) {
		return nil
	}
	batch := l.nextBatch(now)
	if len(batch) == 0 {
		return nil
	}
	l.commitCount++
	f := &inFlightCommit{txn: peridottable.Txn{ID: fmt.Sprintf("%s/%s/%d", l.self.Instance, l.self.Incarnation, l.commitCount)}}
	for _, e := range batch {
		f.addEntry(e)
	}
	l.inFlight = f
	return []Action{l.sendInFlight(now)}
}

// class is the priority of an entry that waits for a commit; lower values go first.
// A commit contains entries of one class only. Rows that this process owns cannot
// conflict, and must not fail repeatedly because they share a commit with claims on
// keys of other processes.
type class int

const (
	// classOwned contains outcomes and releases of rows that this process wrote.
	classOwned class = iota
	// classContended contains claims that were part of a conflicting commit but whose
	// own row showed no conflict when it was read afterwards.
	classContended
	// classUnread contains releases whose row must be read first. Each gets a commit of
	// its own.
	classUnread
	// classNew contains claims that were not attempted yet. They have the lowest
	// priority because a steady arrival of them would starve the other classes.
	classNew
)

func (e *entry) class() class {
	switch {
	case e.needsRead():
		return classUnread
	case e.phase != phaseClaiming:
		return classOwned
	case e.conflicts > 0:
		return classContended
	default:
		return classNew
	}
}

// nextBatch removes the entries of the next commit from the queue and returns them.
// They belong to the first class that has an entry whose notBefore has passed.
func (l *Ledger) nextBatch(now time.Time) []*entry {
	first := classNew
	for _, e := range l.queue {
		if !now.Before(e.notBefore) {
			first = min(first, e.class())
		}
	}
	limit := l.options.MaxBatch
	if first == classUnread {
		limit = 1
	}
	var batch, remaining []*entry
	for _, e := range l.queue {
		if len(batch) >= limit || e.class() != first || now.Before(e.notBefore) {
			remaining = append(remaining, e)
			continue
		}
		batch = append(batch, e)
	}
	l.queue = remaining
	return batch
}

// needsRead reports whether the row must be read before it can be released.
func (e *entry) needsRead() bool {
	return e.phase == phaseReleasing && e.rowVersion == 0
}

func (f *inFlightCommit) addEntry(e *entry) {
	index := expiryKey(e.rowKey, e.record.ClaimedAt)
	check := peridottable.Check{Key: e.rowKey, Version: e.rowVersion}
	switch e.phase {
	case phaseClaiming:
		f.parts = append(f.parts, commitPart{entry: e, operation: opClaim})
		f.txn.Checks = append(f.txn.Checks, peridottable.Check{Key: e.rowKey})
		f.txn.Puts = append(f.txn.Puts, peridottable.Put{Key: e.rowKey, Value: e.record.encode()}, peridottable.Put{Key: index})
	case phaseSaving:
		f.parts = append(f.parts, commitPart{entry: e, operation: opSave})
		f.txn.Checks = append(f.txn.Checks, check)
		f.txn.Puts = append(f.txn.Puts, peridottable.Put{Key: e.rowKey, Value: e.record.encode()})
	case phaseReleasing:
		f.parts = append(f.parts, commitPart{entry: e, operation: opRelease})
		f.txn.Checks = append(f.txn.Checks, check)
		f.txn.Deletes = append(f.txn.Deletes, e.rowKey, index)
		f.readingRows = f.readingRows || e.needsRead()
	}
}

// sendInFlight returns the Commit or Read that comes next for the commit in flight,
// and counts it against the rate limit.
func (l *Ledger) sendInFlight(now time.Time) Action {
	f := l.inFlight
	f.retryAt = time.Time{}
	interval := time.Duration(float64(time.Second) / l.options.CommitsPerSecond)
	if earliest := now.Add(-commitBurst * interval); l.nextCommitAt.Before(earliest) {
		l.nextCommitAt = earliest
	}
	l.nextCommitAt = l.nextCommitAt.Add(interval)
	if !f.readingRows {
		return Commit{Txn: f.txn}
	}
	keys := make([]string, 0, len(f.parts))
	for _, p := range f.parts {
		keys = append(keys, p.entry.rowKey)
	}
	return Read{ID: f.txn.ID, Keys: keys}
}

// retryInFlight repeats the last Commit or Read once its retry time has passed.
func (l *Ledger) retryInFlight(now time.Time) []Action {
	if l.inFlight == nil || l.inFlight.retryAt.IsZero() || now.Before(l.inFlight.retryAt) {
		return nil
	}
	return []Action{l.sendInFlight(now)}
}

// handleCommitAnswered handles the answer to a commit. If the answer was lost, the
// same transaction is committed again: either it takes effect now, or it conflicts,
// and reading the rows shows which process wrote them.
func (l *Ledger) handleCommitAnswered(now time.Time, event CommitAnswered) []Action {
	f := l.inFlight
	if f == nil || f.txn.ID != event.ID {
		return nil
	}
	switch {
	case event.Err == nil:
		l.inFlight = nil
		return l.completeCommit(f, event.Version)
	case peridottable.IsConflict(event.Err):
		f.readingRows = true
		return []Action{l.sendInFlight(now)}
	case f.mayBeApplied || peridotverdict.Of(event.Err) != peridotverdict.NotRun:
		f.mayBeApplied = true
		f.retryAt = now.Add(commitRetryDelay)
		return nil
	}
	l.inFlight = nil
	return l.failCommit(now, f)
}

func (l *Ledger) completeCommit(f *inFlightCommit, version int64) []Action {
	var actions []Action
	for _, p := range f.parts {
		if p.operation != opClaim {
			l.removeEntry(p.entry)
			continue
		}
		actions = append(actions, l.completeClaim(p.entry, version)...)
	}
	return actions
}

// completeClaim lets a request run after its claim was committed with the given row
// version. If the claim was refused in the meantime, completeClaim queues its
// release.
func (l *Ledger) completeClaim(e *entry, version int64) []Action {
	e.rowVersion = version
	if e.phase == phaseReleasing {
		l.queue = append(l.queue, e)
		return nil
	}
	e.phase = phaseRunning
	return []Action{l.answerEntry(e, Reply{MustRun: true})}
}

// failCommit handles a commit that is known to have had no effect. Claims are refused;
// outcomes and releases are queued again.
func (l *Ledger) failCommit(now time.Time, f *inFlightCommit) []Action {
	var actions []Action
	for _, p := range f.parts {
		e := p.entry
		if p.operation != opClaim {
			e.notBefore = now.Add(commitRetryDelay)
			l.queue = append(l.queue, e)
			continue
		}
		if e.phase == phaseClaiming {
			actions = append(actions, l.answerEntry(e, storeUnavailableReply()))
		}
		l.removeEntry(e)
	}
	return actions
}

// handleReadAnswered handles the current rows of a commit that conflicted.
func (l *Ledger) handleReadAnswered(now time.Time, event ReadAnswered) []Action {
	f := l.inFlight
	if f == nil || f.txn.ID != event.ID || !f.readingRows {
		return nil
	}
	if event.Err != nil || len(event.Rows) != len(f.parts) {
		f.retryAt = now.Add(commitRetryDelay)
		return nil
	}
	l.inFlight = nil
	var actions []Action
	for i, p := range f.parts {
		actions = append(actions, l.resolvePart(now, p, event.Rows[i])...)
	}
	return actions
}

// resolvePart determines the outcome of one part of a commit from the current row.
func (l *Ledger) resolvePart(now time.Time, p commitPart, row peridottable.Row) []Action {
	e := p.entry
	record := decodeRecord(row)
	owned := row.Version != 0 && record.RequestID == e.request.RequestID && record.Claimer == l.self
	if p.operation == opClaim {
		return l.resolveClaim(now, e, row, record, owned)
	}
	if !owned || record.State == Finished {
		l.removeEntry(e)
		return nil
	}
	e.rowVersion = row.Version
	l.queue = append(l.queue, e)
	return nil
}

func (l *Ledger) resolveClaim(now time.Time, e *entry, row peridottable.Row, record Record, owned bool) []Action {
	switch {
	case owned:
		return l.completeClaim(e, row.Version)
	case e.phase == phaseReleasing:
		l.removeEntry(e)
		return nil
	case row.Version != 0:
		l.removeEntry(e)
		return []Action{l.answerEntry(e, replyForRecord(record, e.request, l.self, now))}
	}
	e.conflicts++
	if e.conflicts > maxConflicts {
		l.removeEntry(e)
		return []Action{l.answerEntry(e, storeUnavailableReply())}
	}
	l.queue = append(l.queue, e)
	return nil
}
