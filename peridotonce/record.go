package peridotonce

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// Process identifies one run of a process, from its start to its end.
type Process struct {
	Instance string
	// Incarnation is different after each restart.
	Incarnation string
}

// State is the progress of a request.
type State string

const (
	// Claimed means that the request may be running or may have run.
	Claimed State = "Claimed"
	// Finished means that the outcome is known.
	Finished State = "Finished"
)

// Outcome is the result of a request that has ended.
type Outcome struct {
	// Status, ContentType and Body are the complete answer if Err is nil.
	Status      int
	ContentType string
	Body        string
	// Err is the failure with its verdict, or nil.
	Err *peridotverdict.Error
}

// Record is the content of a request's row in the table service.
type Record struct {
	RequestID   string
	Fingerprint string
	Claimer     Process
	// ClaimedAt is the time of the claim by the claimer's wall clock.
	ClaimedAt     time.Time
	TimeoutMillis int64
	State         State
	// Outcome is nil unless State is Finished.
	Outcome *Outcome
	// BodyBytes and BodyDigest are the size and the xxHash64 of a body that is too
	// large to record. Outcome.Body is then empty.
	BodyBytes  int
	BodyDigest uint64
}

// withOutcome returns r with the outcome o. If the body has more than maxBodyBytes bytes,
// its size and digest replace it.
func (r Record) withOutcome(o Outcome, maxBodyBytes int) Record {
	r.State = Finished
	if len(o.Body) > maxBodyBytes {
		r.BodyBytes = len(o.Body)
		r.BodyDigest = xxhash.Sum64String(o.Body)
		o.Body = ""
	}
	r.Outcome = &o
	return r
}

func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("peridotonce: a record cannot be encoded: " + err.Error()) // Every field can be encoded as JSON.
	}
	return data
}

// decodeRecord decodes the value of a row. If the value cannot be decoded, it
// returns a claim by an unknown process.
func decodeRecord(row peridottable.Row) Record {
	var r Record
	if json.Unmarshal(row.Value, &r) != nil {
		return Record{State: Claimed}
	}
	return r
}

// Reply is the final reply to one attempt. Exactly one of MustRun, Outcome and Err
// is set.
type Reply struct {
	// MustRun reports whether the caller must run the request and report its outcome.
	MustRun bool
	// Outcome is the recorded answer of the first run.
	Outcome *Outcome
	// Err is the reason for the refusal of the attempt, or the recorded failure of the
	// first run.
	Err *peridotverdict.Error
}

// replyForRecord returns the reply to a repeat whose key has the record r. Its
// MustRun is never set.
func replyForRecord(r Record, repeat Request, self Process, now time.Time) Reply {
	if r.Fingerprint != repeat.Fingerprint && r.Fingerprint != "" {
		return errorReply(peridotverdict.KeyReused, peridotverdict.NotRun, "the idempotency key came with another request before", 0)
	}
	if r.State != Finished || r.Outcome == nil {
		return replyForClaim(r, self, now)
	}
	if r.Outcome.Err != nil {
		return Reply{Err: r.Outcome.Err}
	}
	if r.BodyBytes > 0 {
		return errorReply(peridotverdict.ResultExpired, peridotverdict.Ran, "the request ran; its answer was too large to keep", 0)
	}
	return Reply{Outcome: r.Outcome}
}

// replyForClaim returns the reply to a repeat while no outcome is recorded. The
// verdict is always MayHaveRun. If the claimer may still be running the request, the
// code is StillRunning and the reply has a retry delay; otherwise the code is
// MayHaveRunBefore.
func replyForClaim(r Record, self Process, now time.Time) Reply {
	restarted := r.Claimer.Instance == self.Instance && r.Claimer != self
	claimEnd := r.ClaimedAt.Add(time.Duration(r.TimeoutMillis)*time.Millisecond + claimTimeout)
	if !restarted && now.Before(claimEnd) {
		return errorReply(peridotverdict.StillRunning, peridotverdict.MayHaveRun, "the request is running", runningRetryAfter)
	}
	return errorReply(peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun, "an earlier attempt may have run and its outcome is unknown", 0)
}

func errorReply(code peridotverdict.Code, verdict peridotverdict.Verdict, message string, retryAfter time.Duration) Reply {
	return Reply{Err: peridotverdict.New(code, verdict, message, peridotverdict.RetryAfter(retryAfter))}
}
