package peridotonce

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// Process names one process between its start and its end.
type Process struct {
	Instance string
	// Incarnation differs after each restart.
	Incarnation string
}

// State is how far a request has come.
type State string

const (
	// Claimed means that the request may be running or may have run.
	Claimed State = "Claimed"
	// Finished means that the outcome is known.
	Finished State = "Finished"
)

// Outcome is how a request ended.
type Outcome struct {
	// Status, ContentType and Body are the whole answer when Err is nil.
	Status      int
	ContentType string
	Body        string
	// Err is the failure with its verdict.
	Err *peridotverdict.Error
}

// Record is the value of a request's row.
type Record struct {
	RequestID   string
	Fingerprint string
	Claimer     Process
	// ClaimedAt is the claimer's wall clock.
	ClaimedAt     time.Time
	TimeoutMillis int64
	State         State
	// Outcome is set once State is Finished.
	Outcome *Outcome
	// BodyBytes and BodyDigest stand for a body too large to keep; the Outcome
	// then has no Body.
	BodyBytes  int
	BodyDigest uint64
}

// finish returns r with an outcome whose body has at most maxBody bytes.
func (r Record) finish(o Outcome, maxBody int) Record {
	r.State = Finished
	if len(o.Body) > maxBody {
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
		panic("peridotonce: a record cannot be encoded: " + err.Error()) // Its types always can.
	}
	return data
}

// decodeRecord reads a row. An unreadable row becomes a claim of nobody known.
func decodeRecord(row peridottable.Row) Record {
	var r Record
	if json.Unmarshal(row.Value, &r) != nil {
		return Record{State: Claimed}
	}
	return r
}

// Reply is the final answer to one attempt. Exactly one of Run, Outcome and Err
// is set.
type Reply struct {
	// Run tells the caller to run the request and report its outcome.
	Run bool
	// Outcome is the recorded answer of the first run.
	Outcome *Outcome
	// Err refuses the attempt.
	Err *peridotverdict.Error
}

// replyOf returns what a repeat gets for the record of its key. It never lets
// the request run.
func replyOf(r Record, repeat Request, self Process, now time.Time) Reply {
	if r.Fingerprint != repeat.Fingerprint && r.Fingerprint != "" {
		return refusal(peridotverdict.KeyReused, peridotverdict.NotRun, "the idempotency key came with another request before", 0)
	}
	if r.State != Finished || r.Outcome == nil {
		return replyOfClaim(r, self, now)
	}
	if r.Outcome.Err != nil {
		return Reply{Err: r.Outcome.Err}
	}
	if r.BodyBytes > 0 {
		return refusal(peridotverdict.ResultExpired, peridotverdict.Ran, "the request ran; its answer was too large to keep", 0)
	}
	return Reply{Outcome: r.Outcome}
}

// replyOfClaim answers while no outcome is recorded. Whether the claimer still
// runs is a hint for the time to come back; the verdict is the same.
func replyOfClaim(r Record, self Process, now time.Time) Reply {
	restarted := r.Claimer.Instance == self.Instance && r.Claimer != self
	end := r.ClaimedAt.Add(time.Duration(r.TimeoutMillis)*time.Millisecond + claimPatience)
	if !restarted && now.Before(end) {
		return refusal(peridotverdict.StillRunning, peridotverdict.MayHaveRun, "the request is running", stillRunningRetry)
	}
	return refusal(peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun, "an earlier attempt may have run and its outcome is unknown", 0)
}

func refusal(code peridotverdict.Code, verdict peridotverdict.Verdict, message string, retryAfter time.Duration) Reply {
	return Reply{Err: peridotverdict.New(code, verdict, message, peridotverdict.RetryAfter(retryAfter))}
}
