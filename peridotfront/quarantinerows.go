package peridotfront

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotquarantine"
	"peridotstack/peridottable"
	"peridotstack/peridotwait"
)

const (
	// quarantinePrefix is the key prefix of the rows of accusations. There is one row for
	// each part and end, so that fronts never write the same row with different values.
	quarantinePrefix = "quarantine/"
	// answerInfix follows the part in the keys of the rows of answers: the last known one on a
	// part that is accused, at each software version.
	answerInfix = "/answered/"
	// quarantineReadInterval is the time between two reads of the rows.
	quarantineReadInterval = 10 * time.Second
	// quarantineRetryInterval is the time between two checks whether the rows have to be
	// read or written, also after a failure.
	quarantineRetryInterval = 250 * time.Millisecond
	// quarantineWriteDelay is the time from a change until it is written.
	quarantineWriteDelay = 100 * time.Millisecond
	// maxRowsPerCommit limits the rows in one transaction.
	maxRowsPerCommit = 64
)

// quarantineRows contains the changes of rows that the table service lacks. The zero value
// is empty.
type quarantineRows struct {
	puts    map[string]*quarantinePut
	deletes map[string]bool
}

// quarantinePut is a row to be written.
type quarantinePut struct {
	value []byte
	// isAnswer is set if the row is that of an answer.
	isAnswer bool
	// sent is set once a transaction may have written the row.
	sent bool
}

func quarantineKey(a peridotquarantine.Accusation) string {
	return fmt.Sprintf("%s%s/%016x", quarantinePrefix, a.Part, uint64(a.End))
}

func answerKey(a peridotquarantine.Answer) string {
	return fmt.Sprintf("%s%s%s%016x", quarantinePrefix, a.Part, answerInfix, xxhash.Sum64String(a.At.Service+"\n"+a.At.Version))
}

func (r *quarantineRows) putAccusation(a peridotquarantine.Accusation) {
	r.put(quarantineKey(a), a, false)
}

func (r *quarantineRows) putAnswer(a peridotquarantine.Answer) {
	r.put(answerKey(a), a, true)
}

func (r *quarantineRows) put(key string, value any, isAnswer bool) {
	data, err := json.Marshal(value)
	if err != nil {
		return // Marshaling an accusation or an answer can't fail.
	}
	if r.puts == nil {
		r.puts = make(map[string]*quarantinePut)
	}
	r.puts[key] = &quarantinePut{value: data, isAnswer: isAnswer}
	delete(r.deletes, key)
}

// delete deletes the row of an accusation, or drops it if no transaction has had it.
func (r *quarantineRows) delete(a peridotquarantine.Accusation) {
	key := quarantineKey(a)
	if put := r.puts[key]; put != nil && !put.sent {
		delete(r.puts, key)
		return
	}
	r.deleteKey(key)
}

func (r *quarantineRows) deleteKey(key string) {
	if r.deletes == nil {
		r.deletes = make(map[string]bool)
	}
	r.deletes[key] = true
	delete(r.puts, key)
}

// txn returns a transaction with some of the changes. It returns false if there are none.
// Answers come first: without them, accusations would count at all software versions.
func (r *quarantineRows) txn(id string) (peridottable.Txn, bool) {
	t := peridottable.Txn{ID: id, Era: peridottable.AnyEra}
	for _, answers := range []bool{true, false} {
		for key, put := range r.puts {
			if put.isAnswer == answers && len(t.Puts) < maxRowsPerCommit {
				put.sent = true
				t.Puts = append(t.Puts, peridottable.Put{Key: key, Value: put.value})
			}
		}
	}
	for key := range r.deletes {
		if len(t.Puts)+len(t.Deletes) == maxRowsPerCommit {
			break
		}
		t.Deletes = append(t.Deletes, key)
	}
	return t, len(t.Puts)+len(t.Deletes) > 0
}

// remove removes the changes of a transaction that took effect. A change that was reverted
// meanwhile stays.
func (r *quarantineRows) remove(t peridottable.Txn) {
	for _, put := range t.Puts {
		delete(r.puts, put.Key)
	}
	for _, key := range t.Deletes {
		delete(r.deletes, key)
	}
}

// followRows keeps the rows of the table service and the table the same until ctx is done.
func (q *quarantine) followRows(ctx context.Context) error {
	var readAt time.Duration
	var readEra int64
	hasRead := false
	for ctx.Err() == nil {
		now, era := q.front.now(), q.front.platform.Era()
		if !hasRead || era != readEra || now-readAt >= quarantineReadInterval {
			hasRead = q.readRows(ctx)
			readAt, readEra = now, era
		}
		if hasRead {
			q.writeRows(ctx)
		}
		select {
		case <-q.changed:
			// Most accusations are refuted within that time, and need no row.
			peridotwait.Sleep(ctx, quarantineWriteDelay)
		case <-time.After(quarantineRetryInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// readRows adds the stored accusations to the table and notes which rows the table service
// lacks or must delete. It reports whether it could read the rows.
func (q *quarantine) readRows(ctx context.Context) bool {
	stored, err := peridottable.ScanAll(ctx, q.front.platform, quarantinePrefix)
	if err != nil {
		q.front.metrics.Count("quarantine_read_failures")
		return false
	}
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	known := make(map[string]bool, len(stored))
	for _, row := range stored {
		known[row.Key] = true
	}
	// Answers come first, because they decide which accusations count.
	answers := slices.DeleteFunc(slices.Clone(stored), func(row peridottable.Row) bool { return !isAnswerRow(row) })
	for _, row := range answers {
		q.applyAnswerRow(now, row)
	}
	for _, row := range stored {
		if !isAnswerRow(row) {
			q.applyRow(now, row)
		}
	}
	for _, row := range answers {
		q.deleteUnusedAnswer(row)
	}
	q.putMissingRows(known)
	q.loaded = true
	return true
}

// putMissingRows notes the rows that the table service lacks; known contains the keys of those
// that it has. The caller must hold q.mu.
func (q *quarantine) putMissingRows(known map[string]bool) {
	accusations := q.table.All()
	for _, a := range accusations {
		if !known[quarantineKey(a)] && q.table.MustLast(a.Part) {
			q.rows.putAccusation(a)
		}
	}
	for _, part := range accusedParts(accusations) {
		for _, a := range q.table.LastingAnswers(part) {
			if !known[answerKey(a)] {
				q.rows.putAnswer(a)
			}
		}
	}
}

// isAnswerRow reports whether a row is that of an answer.
func isAnswerRow(row peridottable.Row) bool {
	return strings.Contains(row.Key, answerInfix)
}

// applyAnswerRow applies the row of an answer. The caller must hold q.mu.
func (q *quarantine) applyAnswerRow(now time.Time, row peridottable.Row) {
	var a peridotquarantine.Answer
	if err := json.Unmarshal(row.Value, &a); err != nil || answerKey(a) != row.Key {
		q.recordUnreadableRow(row)
		return
	}
	q.learnAnswer(now, a)
}

// deleteUnusedAnswer deletes the row of an answer on a part that is not accused. The caller
// must hold q.mu.
func (q *quarantine) deleteUnusedAnswer(row peridottable.Row) {
	var a peridotquarantine.Answer
	if err := json.Unmarshal(row.Value, &a); err == nil && answerKey(a) == row.Key && !q.table.IsAccused(a.Part) {
		q.rows.deleteKey(row.Key)
	}
}

// recordUnreadableRow records that a row is ignored.
func (q *quarantine) recordUnreadableRow(row peridottable.Row) {
	q.front.metrics.Count("unreadable_rows")
	log.WithField("row", row.Key).Warn(logPrefix + "ignoring a row that cannot be decoded")
}

// applyRow applies one row. A row is deleted if it has expired or an answer refutes it. The
// caller must hold q.mu.
func (q *quarantine) applyRow(now time.Time, row peridottable.Row) {
	var a peridotquarantine.Accusation
	if err := json.Unmarshal(row.Value, &a); err != nil || quarantineKey(a) != row.Key {
		q.recordUnreadableRow(row)
		return
	}
	switch {
	case q.rows.deletes[row.Key]:
	case a.Expired(now) || q.table.IsRefuted(a):
		q.rows.deleteKey(row.Key)
	default:
		q.accuse(now, a)
	}
}

// writeRows writes the changes that the table service lacks, as long as it takes them.
func (q *quarantine) writeRows(ctx context.Context) {
	for ctx.Err() == nil {
		q.mu.Lock()
		t, ok := q.rows.txn(q.front.self.Incarnation)
		q.mu.Unlock()
		if !ok {
			return
		}
		if _, err := q.front.platform.Commit(ctx, t); err != nil {
			q.front.metrics.Count("quarantine_write_failures")
			peridotwait.Sleep(ctx, quarantineRetryInterval)
			return
		}
		q.mu.Lock()
		q.rows.remove(t)
		q.mu.Unlock()
	}
}
