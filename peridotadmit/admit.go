package peridotadmit

import (
	"time"

	"peridotstack/peridotverdict"
)

const (
	// loadLevels is the number of priorities that requests of equal urgency can
	// have, depending on the load of their account.
	loadLevels = 16
	// urgencyLevels is the number of urgencies that requests of equal account
	// priority can have, depending on how many times urgencyStep they can wait.
	urgencyLevels = 32
	urgencyStep   = 250 * time.Millisecond
	// outputSmoothing is the weight of a new output length in the learned mean.
	outputSmoothing = 1.0 / 16
	// chargeExtension is the part of the previous charge that is charged in
	// advance once a request generates more output than charged.
	chargeExtension = 0.5
	// retryAfterMargin makes up for rounding in RetryAfter.
	retryAfterMargin = time.Millisecond
)

// Admit decides whether a request may start, and charges its account if so. The
// caller must pass the id of an admitted request to Done once the request has
// ended, or to Cancel if it did not run. Progress, Done and Cancel ignore an id
// that is not in flight.
func (d *Admitter) Admit(now time.Duration, id string, req Request) Decision {
	d.advance(now)
	a, ok := d.accounts[req.Account]
	if !ok {
		return refuse(peridotverdict.NotAllowed, "the client account is unknown", 0)
	}
	if missed, after := d.missesDeadline(a, req); missed {
		return refuse(peridotverdict.DeadlineTooShort, "the answer cannot be whole before the deadline", after)
	}
	if d.limitWait(now, a.limitFreeAt, a) > 0 {
		return d.refuseForLoad(now, a, req, peridotverdict.AccountLimit, "the client account is at its limit of tokens")
	}
	if d.queueWait(a.virtualFinish, a, req) > 0 {
		return d.refuseForLoad(now, a, req, peridotverdict.Overloaded, "the client account has used up its share")
	}
	priority := d.priority(a, req)
	f := &inFlightRequest{account: a, promptTokens: req.PromptTokens, cachedTokens: req.CachedTokens, chargedOutput: a.expectedOutput(req)}
	d.inFlight[id] = f
	d.charge(now, f, float64(f.promptTokens), float64(f.cachedTokens), f.chargedOutput)
	return Decision{Admitted: true, Priority: priority}
}

// missesDeadline reports whether req cannot meet its deadline, and the delay
// after which it could, 0 if never. The time to the first token shrinks as other
// requests end; the time from the first to the last token does not.
func (d *Admitter) missesDeadline(a *account, req Request) (bool, time.Duration) {
	wait := req.TimeToFirstToken
	if req.UnloadedTimeToFirstToken > 0 {
		// An engine that honours priorities runs requests of an account with a
		// short queue before those of a flood.
		wait = min(wait, req.UnloadedTimeToFirstToken+d.queueDrainTime(a, a.virtualFinish))
	}
	excess := wait + req.TimeToLastToken - req.TimeToFirstToken - req.Timeout
	switch {
	case req.Timeout <= 0 || excess <= 0:
		return false, 0
	case excess > wait-req.UnloadedTimeToFirstToken:
		return true, 0
	}
	return true, excess
}

// queueWait returns the time until the account's queue, which becomes empty at
// the virtual time finish, is short enough to admit req. It is at most 0 if the
// queue is short enough already.
func (d *Admitter) queueWait(finish float64, a *account, req Request) time.Duration {
	return d.queueDrainTime(a, finish) - d.longestQueue(req)
}

// limitWait returns the time until the account's limit admits requests again, if
// the limit is fully restored at the time free. It is at most 0 if the limit
// admits requests now.
func (d *Admitter) limitWait(now, free time.Duration, a *account) time.Duration {
	if a.TokensPerSecond <= 0 {
		return 0
	}
	return free - now - d.options.limitBurstTime
}

// longestQueue returns the longest drain time of the account's queue at which
// req is admitted.
func (d *Admitter) longestQueue(req Request) time.Duration {
	if req.Timeout <= 0 {
		return d.options.maxQueueDelay
	}
	return max(0, min(d.options.maxQueueDelay, req.Timeout-(req.TimeToLastToken-req.TimeToFirstToken)))
}

// refuseForLoad returns a refusal because of load. Until RetryAfter reaches
// maxRetryBacklog, each refusal of an account has a longer RetryAfter than the
// refusal before, so that the refused requests are not all retried for the same free
// capacity.
func (d *Admitter) refuseForLoad(now time.Duration, a *account, req Request, code peridotverdict.Code, message string) Decision {
	finish := max(a.retryFinish, a.virtualFinish)
	free := max(a.retryLimitFreeAt, a.limitFreeAt, now)
	wait := max(d.queueWait(finish, a, req), d.limitWait(now, free, a))
	if wait < d.options.maxRetryBacklog {
		output := a.expectedOutput(req)
		a.retryFinish = max(finish, d.virtualTime) + d.cost(float64(req.PromptTokens-req.CachedTokens), output)/a.weight()
		a.retryLimitFreeAt = free + d.limitRefillTime(a, float64(req.PromptTokens)+output)
	}
	return refuse(code, message, wait)
}

// charge charges tokens of a request to its account's queue and limit; negative
// numbers refund them.
func (d *Admitter) charge(now time.Duration, f *inFlightRequest, prompt, cached, output float64) {
	a := f.account
	d.chargeQueue(a, d.cost(prompt-cached, output))
	a.limitFreeAt = max(a.limitFreeAt, now) + d.limitRefillTime(a, prompt+output)
}

// limitRefillTime returns how long the account's limit takes to provide the
// given number of tokens; 0 if the account has no limit.
func (d *Admitter) limitRefillTime(a *account, tokens float64) time.Duration {
	if a.TokensPerSecond <= 0 {
		return 0
	}
	return durationOf(tokens / (a.TokensPerSecond * d.limitFraction))
}

// ExpectedOutput returns the number of output tokens that a request of the named
// account is expected to have. It is at least 1, and at most maxOutput unless
// that is 0.
func (d *Admitter) ExpectedOutput(name string, maxOutput int) int {
	expected := defaultOutputTokens
	if a, ok := d.accounts[name]; ok && a.meanOutputTokens > 0 {
		expected = int(a.meanOutputTokens)
	}
	if maxOutput > 0 {
		expected = min(expected, maxOutput)
	}
	return max(1, expected)
}

// Cancel refunds the charge of an admitted request that did not run.
func (d *Admitter) Cancel(now time.Duration, id string) {
	f, ok := d.inFlight[id]
	if !ok {
		return
	}
	delete(d.inFlight, id)
	d.advance(now)
	d.charge(now, f, float64(-f.promptTokens), float64(-f.cachedTokens), -f.chargedOutput)
}

func (d *Admitter) cost(prompt, output float64) float64 {
	return prompt*d.promptCost + output
}

// expectedOutput returns the number of output tokens to charge when req is
// admitted.
func (a *account) expectedOutput(req Request) float64 {
	estimate := float64(req.ExpectedOutput)
	switch {
	case a.meanOutputTokens > 0 && estimate > 0:
		return min(a.meanOutputTokens, estimate)
	case a.meanOutputTokens > 0:
		return a.meanOutputTokens
	case estimate > 0:
		return estimate
	}
	return defaultOutputTokens
}

// priority orders requests by the Priority of their account, then by how little
// they can wait, then by how short the queue of their account is. Fair shares
// do not depend on this order: admission enforces them.
func (d *Admitter) priority(a *account, req Request) int {
	level := int(loadLevels * d.queueDrainTime(a, a.virtualFinish) / max(1, d.options.maxQueueDelay))
	level = max(0, loadLevels-1-level)
	return (a.Priority*urgencyLevels+urgency(req))*loadLevels + level
}

// urgency returns a level that is higher the less req can wait for its first
// token; 0 without a deadline.
func urgency(req Request) int {
	if req.Timeout <= 0 {
		return 0
	}
	slack := req.Timeout - (req.TimeToLastToken - req.TimeToFirstToken)
	return max(0, urgencyLevels-1-int(max(0, slack)/urgencyStep))
}

// Progress records the number of output tokens that an admitted request has
// generated so far, and charges more once they exceed the charge.
func (d *Admitter) Progress(now time.Duration, id string, outputTokens int) {
	f, ok := d.inFlight[id]
	if !ok || float64(outputTokens) <= f.chargedOutput {
		return
	}
	d.advance(now)
	extraTokens := float64(outputTokens) - f.chargedOutput + f.chargedOutput*chargeExtension
	f.chargedOutput += extraTokens
	d.charge(now, f, 0, 0, extraTokens)
}

// Done replaces the estimated charge of an admitted request by the tokens that
// it used, and updates the account's learned mean of output tokens.
func (d *Admitter) Done(now time.Duration, id string, promptTokens, outputTokens int) {
	f, ok := d.inFlight[id]
	if !ok {
		return
	}
	delete(d.inFlight, id)
	d.advance(now)
	a := f.account
	if a.meanOutputTokens == 0 {
		a.meanOutputTokens = float64(outputTokens)
	} else {
		a.meanOutputTokens += (float64(outputTokens) - a.meanOutputTokens) * outputSmoothing
	}
	d.charge(now, f, float64(promptTokens-f.promptTokens), 0, float64(outputTokens)-f.chargedOutput)
}

// refuse returns a refusal with the given RetryAfter; 0 means that a retry would
// be refused as well.
func refuse(code peridotverdict.Code, message string, after time.Duration) Decision {
	if after > 0 {
		after += retryAfterMargin
	}
	return Decision{Err: peridotverdict.New(code, peridotverdict.NotRun, message, peridotverdict.RetryAfter(after))}
}
