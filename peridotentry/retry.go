package peridotentry

import (
	"context"
	"sync"
	"time"

	"peridotstack/peridotretry"
	"peridotstack/peridotroute"
	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
	"peridotstack/peridotwire"
)

// progressIntervalChunks is the number of chunks between two updates of the
// estimated cost of a request.
const progressIntervalChunks = 32

// tryUntilDone runs an admitted call and retries it on other backend servers as
// long as the retry policy allows. No other layer retries requests.
func (e *Entry) tryUntilDone(ctx context.Context, c *call, a *answer, choice peridotroute.Choice) (*peridotstream.End, *peridotverdict.Error) {
	attempt := peridotretry.Attempt{Account: c.run.Account, Idempotent: c.run.Idempotent}
	for {
		c.run.TimeoutMillis = timeLeft(ctx).Milliseconds()
		c.run.RequestID = newRequestID(choice.Instance)
		var reserved *peridotroute.Choice
		end, passedChunks, err := e.tryOnce(ctx, c, a, choice, func() bool {
			lost := peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the agent is out of reach")
			next, ok := e.traffic.reserveRetry(c, failedAttempt(ctx, attempt, choice, lost, 0))
			if ok {
				reserved = &next
			}
			return ok
		})
		if err == nil {
			e.traffic.recordSuccess(c.run.Account, choice.Instance)
			e.quarantine.recordAnswered(c.run)
			e.traffic.settle(c, tokenCountsOf(&c.run, end))
			return end, nil
		}
		attempt = failedAttempt(ctx, attempt, choice, err, passedChunks)
		next, finalErr := e.nextTry(ctx, c, attempt, reserved)
		if finalErr != nil {
			e.settleFailed(c, finalErr, passedChunks)
			return nil, finalErr
		}
		e.metrics.CountRetry(err.Code)
		if err.Code == peridotverdict.PeerLost {
			// The agent may still run the try that the next one replaces.
			e.pool.cancelRun(c.run.RequestID)
		}
		attempt.EarlierMayHaveRun = attempt.EarlierMayHaveRun || err.Verdict != peridotverdict.NotRun
		attempt.Tried = append(attempt.Tried, choice.Instance)
		choice = next
	}
}

// failedAttempt returns a with the failure of the try that follows it.
func failedAttempt(ctx context.Context, a peridotretry.Attempt, choice peridotroute.Choice, err *peridotverdict.Error, passedChunks int) peridotretry.Attempt {
	a.Number++
	a.Instance = choice.Instance
	a.Err = err
	a.PassedChunks = passedChunks
	a.TimeLeft = timeLeft(ctx)
	a.ExpectedDuration = choice.Finish
	return a
}

// nextTry returns the choice of the backend server for the next try: the reserved
// one, or another after a delay if reserved is nil. If there is no further try, it
// returns the final error of the call.
func (e *Entry) nextTry(ctx context.Context, c *call, attempt peridotretry.Attempt, reserved *peridotroute.Choice) (peridotroute.Choice, *peridotverdict.Error) {
	if reserved != nil && attempt.PassedChunks == 0 && ctx.Err() == nil {
		return *reserved, nil
	}
	d := e.traffic.decideRetry(attempt)
	if !d.Retry {
		return peridotroute.Choice{}, d.Err
	}
	peridotwait.Sleep(ctx, d.Delay)
	if ctx.Err() != nil || e.quarantine.check(c.run) != nil {
		return peridotroute.Choice{}, attempt.FinalError()
	}
	choice, err := e.traffic.chooseForRetry(c, d.Exclude)
	if err != nil {
		return choice, attempt.FinalError()
	}
	return choice, nil
}

// tryOnce runs a call on one backend server. The second result is the number of
// chunks appended to the answer. This try appends no more chunks after tryOnce
// has returned. If its agent is out of reach, tryOnce returns early only once
// reserveReplacement has returned true.
func (e *Entry) tryOnce(ctx context.Context, c *call, a *answer, choice peridotroute.Choice, reserveReplacement func() bool) (*peridotstream.End, int, *peridotverdict.Error) {
	a.setID(c.run.RequestID)
	e.traffic.recordSent(c, choice)
	defer e.traffic.recordTryEnd(c.run.RequestID)
	l, peer, err := e.pool.acquire(choice.Instance, len(c.run.Body))
	if err != nil {
		return nil, 0, err
	}
	defer e.pool.release(l)
	recordDelivered := sync.OnceFunc(func() { e.pool.recordDelivered(l, len(c.run.Body)) })
	defer recordDelivered()
	onFirstChunk := sync.OnceFunc(func() {
		e.pool.recordResponding(l)
		recordDelivered()
	})
	target := e.usageTargetFor(l, c.run.Account)
	c.run.UsageWindow = int64(target.cell.Window)
	x := newExchange(c.run, 0, &a.timeline)
	x.usageTarget = target
	x.reserveReplacement = reserveReplacement
	x.onProgress = func(chunks int) {
		onFirstChunk()
		if chunks == 1 || chunks%progressIntervalChunks == 0 {
			e.traffic.recordProgress(c.id, &x.request, chunks)
		}
	}
	end, err := e.runExchange(ctx, peer, x, false)
	if err != nil {
		e.countUsage(x, peridotstream.End{Err: err})
	} else {
		e.countUsage(x, *end)
	}
	return end, x.abandon(), err
}

// settleFailed settles a failed call. It cancels the charge if the call
// certainly did not run.
func (e *Entry) settleFailed(c *call, err *peridotverdict.Error, passedChunks int) {
	if err.Verdict == peridotverdict.NotRun {
		e.traffic.settle(c, nil)
		return
	}
	e.traffic.settle(c, &tokenCounts{prompt: promptTokens(&c.run), output: passedChunks})
}

// tokenCountsOf returns the engine's token counts, or estimates where they are
// missing.
func tokenCountsOf(run *peridotwire.Run, end *peridotstream.End) *tokenCounts {
	counts := &tokenCounts{prompt: end.PromptTokens, output: end.OutputTokens}
	if counts.prompt == 0 {
		counts.prompt = promptTokens(run)
	}
	if counts.output == 0 {
		counts.output = end.Chunks
	}
	return counts
}

// timeLeft returns the time until the deadline of ctx, or defaultRequestTimeout if
// there is none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultRequestTimeout
	}
	return time.Until(deadline)
}
