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

// progressChunks is how many chunks pass between two corrections of a request's
// cost.
const progressChunks = 32

// tryUntilDone runs an admitted call, again on another backend server as long
// as the policy allows it. This is the only layer that retries.
func (e *Entry) tryUntilDone(ctx context.Context, c *call, a *answer, choice peridotroute.Choice) (*peridotstream.End, *peridotverdict.Error) {
	attempt := peridotretry.Attempt{Account: c.run.Account, Idempotent: c.run.Idempotent}
	for {
		c.run.TimeoutMillis = left(ctx).Milliseconds()
		c.run.RequestID = newRequestID(choice.Instance)
		end, passed, err := e.tryOnce(ctx, c, a, choice)
		if err == nil {
			e.traffic.succeeded(c.run.Account, choice.Instance)
			e.traffic.end(c, used(&c.run, end))
			return end, nil
		}
		attempt.Number++
		attempt.Instance = choice.Instance
		attempt.Err = err
		attempt.PassedChunks = passed
		attempt.TimeLeft = left(ctx)
		attempt.ExpectedDuration = choice.Finish
		next, refused := e.nextTry(ctx, c, attempt)
		if refused != nil {
			e.settleFailed(c, refused, passed)
			return nil, refused
		}
		e.metrics.Retried(err.Code)
		attempt.EarlierMayHaveRun = attempt.EarlierMayHaveRun || err.Verdict != peridotverdict.NotRun
		attempt.Tried = append(attempt.Tried, choice.Instance)
		choice = next
	}
}

// nextTry returns where a call goes after a try that failed, or its final
// answer.
func (e *Entry) nextTry(ctx context.Context, c *call, attempt peridotretry.Attempt) (peridotroute.Choice, *peridotverdict.Error) {
	d := e.traffic.next(attempt)
	if !d.Retry {
		return peridotroute.Choice{}, d.Err
	}
	peridotwait.Sleep(ctx, d.Delay)
	if ctx.Err() != nil {
		return peridotroute.Choice{}, attempt.FinalError()
	}
	choice, err := e.traffic.again(c, d.Exclude)
	if err != nil {
		return choice, attempt.FinalError()
	}
	return choice, nil
}

// tryOnce runs a call on one backend server. It also returns how many chunks
// reached the answer; no more follow once it has returned.
func (e *Entry) tryOnce(ctx context.Context, c *call, a *answer, choice peridotroute.Choice) (*peridotstream.End, int, *peridotverdict.Error) {
	a.setID(c.run.RequestID)
	e.traffic.sent(c, choice)
	defer e.traffic.over(c.run.RequestID)
	l, peer, err := e.pool.acquire(choice.Instance, len(c.run.Body))
	if err != nil {
		return nil, 0, err
	}
	defer e.pool.release(l)
	arrived := sync.OnceFunc(func() { e.pool.arrived(l, len(c.run.Body)) })
	defer arrived()
	begun := sync.OnceFunc(func() {
		e.pool.heard(l)
		arrived()
	})
	use := e.useOf(l, c.run.Account)
	c.run.UsageWindow = int64(use.cell.Window)
	x := newExchange(c.run, 0, &a.timeline)
	x.use = use
	x.progress = func(chunks int) {
		begun()
		if chunks == 1 || chunks%progressChunks == 0 {
			e.traffic.progress(c.id, &x.request, chunks)
		}
	}
	end, err := e.conduct(ctx, peer, x, false)
	if err != nil {
		e.countUse(x, peridotstream.End{Err: err})
	} else {
		e.countUse(x, *end)
	}
	return end, x.abandon(), err
}

// settleFailed gives back what a call was charged that surely did not run.
func (e *Entry) settleFailed(c *call, err *peridotverdict.Error, passed int) {
	if err.Verdict == peridotverdict.NotRun {
		e.traffic.end(c, nil)
		return
	}
	e.traffic.end(c, &usage{prompt: promptTokens(&c.run), output: passed})
}

// used returns what the engine counted, or else an estimate.
func used(run *peridotwire.Run, end *peridotstream.End) *usage {
	u := &usage{prompt: end.PromptTokens, output: end.OutputTokens}
	if u.prompt == 0 {
		u.prompt = promptTokens(run)
	}
	if u.output == 0 {
		u.output = end.Chunks
	}
	return u
}

// left returns the time until the deadline of ctx.
func left(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return time.Until(deadline)
}
