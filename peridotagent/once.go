package peridotagent

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotbackend"
	"peridotstack/peridotonce"
	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// runOnce runs a request that is not idempotent, unless its claim is refused or its
// idempotency key was used before. In these cases t gets an error or the recorded
// outcome of the first attempt. runOnce reports whether the request was sent to the
// backend server. It always closes t.
func (a *Agent) runOnce(ctx context.Context, r peridotwire.Run, request peridotbackend.Request, t *peridotstream.Timeline) bool {
	if r.IdempotencyKey == "" {
		t.Close(peridotstream.End{Err: peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "the request needs an idempotency key")})
		return false
	}
	reply := a.onceKeeper.Claim(ctx, peridotonce.Request{
		RequestID:   r.RequestID,
		Account:     r.Account,
		Service:     r.Service,
		Key:         r.IdempotencyKey,
		Fingerprint: peridotonce.Fingerprint(r.Method, r.Path, r.Query, r.ContentType, r.Body),
		Timeout:     time.Duration(r.TimeoutMillis) * time.Millisecond,
	})
	if !reply.MustRun {
		a.metrics.Count("repeats")
		t.Close(replayOutcome(reply, t))
		return false
	}
	peridotbackend.Run(ctx, a.backend, request, t)
	a.onceKeeper.RecordOutcome(r.RequestID, outcomeOf(t))
	return true
}

// replayOutcome appends the recorded body from reply to t and returns the end of
// the repeated answer. If reply contains an error, it returns an end with that
// error.
func replayOutcome(reply peridotonce.Reply, t *peridotstream.Timeline) peridotstream.End {
	if reply.Err != nil {
		return peridotstream.End{Err: reply.Err}
	}
	if err := t.Append(reply.Outcome.Body); err != nil {
		return peridotstream.End{Err: peridotverdict.As(err)}
	}
	return peridotstream.End{Status: reply.Outcome.Status, ContentType: reply.Outcome.ContentType, Repeat: true}
}

// outcomeOf returns the outcome of an answer that has ended.
func outcomeOf(t *peridotstream.Timeline) peridotonce.Outcome {
	end := t.End()
	if end.Err != nil {
		return peridotonce.Outcome{Err: end.Err}
	}
	// Next does not block because the answer has ended.
	chunks, _, _ := t.Next(context.Background(), 0)
	return peridotonce.Outcome{Status: end.Status, ContentType: end.ContentType, Body: strings.Join(chunks, "")}
}

// flushOutcomes waits until the outcomes of all requests are recorded, for at most
// grace.
func (a *Agent) flushOutcomes(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := a.onceKeeper.Flush(ctx); err != nil {
		log.Warn(logPrefix + "shutdown grace passed with outcomes not recorded")
	}
}
