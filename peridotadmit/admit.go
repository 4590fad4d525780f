package peridotadmit

import (
	"time"

	"peridotstack/peridotverdict"
)

const (
	// priorityLevels part the requests of one Priority by the load of their
	// account.
	priorityLevels = 16
	// learnShare is the part of a new output length in the learned mean.
	learnShare = 1.0 / 16
	// extension is by how much a charge that was too small grows.
	extension = 0.5
	// margin makes up for rounding in the time to come back.
	margin = time.Millisecond
)

// Admit decides on a request. Done must be called once an admitted request has
// ended.
func (d *Admitter) Admit(now time.Duration, id string, ask Ask) Decision {
	d.advance(now)
	a, ok := d.accounts[ask.Account]
	if !ok {
		return refuse(peridotverdict.NotAllowed, "the client account is unknown", 0)
	}
	if hopeless, after := d.late(a, ask); hopeless {
		return refuse(peridotverdict.DeadlineTooShort, "the answer cannot be whole before the deadline", after)
	}
	if d.limitWait(now, a.limitAt, a) > 0 {
		return d.refuseLoad(now, a, ask, peridotverdict.AccountLimit, "the client account is at its limit of tokens")
	}
	if d.queueWait(a.finish, a, ask) > 0 {
		return d.refuseLoad(now, a, ask, peridotverdict.Overloaded, "the client account has used up its share")
	}
	priority := d.priority(a)
	f := &flight{account: a, prompt: ask.PromptTokens, cached: ask.CachedTokens, charged: a.expected(ask)}
	d.flights[id] = f
	d.pay(now, f, float64(f.prompt), float64(f.cached), f.charged)
	return Decision{Admit: true, Priority: priority}
}

// late reports whether ask cannot make its deadline, and when it could: the
// time to the first token shrinks as others end, the time after it does not.
func (d *Admitter) late(a *account, ask Ask) (bool, time.Duration) {
	wait := ask.Wait
	if ask.Alone > 0 {
		// The engine lets an account with a short queue pass a flood.
		wait = min(wait, ask.Alone+d.queueTime(a, a.finish))
	}
	over := wait + ask.Finish - ask.Wait - ask.Deadline
	switch {
	case ask.Deadline <= 0 || over <= 0:
		return false, 0
	case over > wait-ask.Alone:
		return true, 0
	}
	return true, over
}

// queueWait returns how much too long for the ask the account's queue is when
// it ends at the virtual time finish.
func (d *Admitter) queueWait(finish float64, a *account, ask Ask) time.Duration {
	return d.queueTime(a, finish) - d.longest(ask)
}

// limitWait returns how long the account's limit stays used up when it is
// wholly free again at a time.
func (d *Admitter) limitWait(now, free time.Duration, a *account) time.Duration {
	if a.TokensPerSecond <= 0 {
		return 0
	}
	return free - now - d.options.limitBurst
}

// longest returns the longest queue behind which the ask is admitted.
func (d *Admitter) longest(ask Ask) time.Duration {
	if ask.Deadline <= 0 {
		return d.options.maxQueue
	}
	return max(0, min(d.options.maxQueue, ask.Deadline-(ask.Finish-ask.Wait)))
}

// refuseLoad tells each refused request a later time than the one before, so
// that not all come back for the same free place.
func (d *Admitter) refuseLoad(now time.Duration, a *account, ask Ask, code peridotverdict.Code, message string) Decision {
	finish := max(a.promised, a.finish)
	free := max(a.limitPromised, a.limitAt, now)
	wait := max(d.queueWait(finish, a, ask), d.limitWait(now, free, a))
	if wait < d.options.maxPromise {
		output := a.expected(ask)
		a.promised = max(finish, d.virtual) + d.cost(float64(ask.PromptTokens-ask.CachedTokens), output)/a.weight()
		a.limitPromised = free + d.limitTime(a, float64(ask.PromptTokens)+output)
	}
	return refuse(code, message, wait)
}

// pay charges tokens of a request to its account's queue and limit; negative
// ones are given back.
func (d *Admitter) pay(now time.Duration, f *flight, prompt, cached, output float64) {
	a := f.account
	d.charge(a, d.cost(prompt-cached, output))
	a.limitAt = max(a.limitAt, now) + d.limitTime(a, prompt+output)
}

// limitTime returns how long the account's limit takes to allow tokens.
func (d *Admitter) limitTime(a *account, tokens float64) time.Duration {
	if a.TokensPerSecond <= 0 {
		return 0
	}
	return seconds(tokens / (a.TokensPerSecond * d.share))
}

// Expected returns the output tokens that a request of the account is expected
// to have, at most told when that is not 0.
func (d *Admitter) Expected(name string, told int) int {
	expected := defaultOutput
	if a, ok := d.accounts[name]; ok && a.output > 0 {
		expected = int(a.output)
	}
	if told > 0 {
		expected = min(expected, told)
	}
	return max(1, expected)
}

// Cancel gives back what an admitted request that did not run was charged.
func (d *Admitter) Cancel(now time.Duration, id string) {
	f, ok := d.flights[id]
	if !ok {
		return
	}
	delete(d.flights, id)
	d.advance(now)
	d.pay(now, f, float64(-f.prompt), float64(-f.cached), -f.charged)
}

func (d *Admitter) cost(prompt, output float64) float64 {
	return prompt*d.promptCost + output
}

// expected returns the output tokens to charge on arrival.
func (a *account) expected(ask Ask) float64 {
	told := float64(ask.ExpectedOutput)
	switch {
	case a.output > 0 && told > 0:
		return min(a.output, told)
	case a.output > 0:
		return a.output
	case told > 0:
		return told
	}
	return defaultOutput
}

// priority puts the requests of accounts with a short queue before the others,
// within one Priority of the accounts.
func (d *Admitter) priority(a *account) int {
	level := int(priorityLevels * d.queueTime(a, a.finish) / max(1, d.options.maxQueue))
	return a.Priority*priorityLevels + max(0, priorityLevels-1-level)
}

// Progress records how many output tokens a request has by now, and charges it
// more when there are more than expected.
func (d *Admitter) Progress(now time.Duration, id string, outputTokens int) {
	f, ok := d.flights[id]
	if !ok || float64(outputTokens) <= f.charged {
		return
	}
	d.advance(now)
	more := float64(outputTokens) - f.charged + f.charged*extension
	f.charged += more
	d.pay(now, f, 0, 0, more)
}

// Done settles an admitted request by what it really used, and learns from it.
func (d *Admitter) Done(now time.Duration, id string, promptTokens, outputTokens int) {
	f, ok := d.flights[id]
	if !ok {
		return
	}
	delete(d.flights, id)
	d.advance(now)
	a := f.account
	if a.output == 0 {
		a.output = float64(outputTokens)
	} else {
		a.output += (float64(outputTokens) - a.output) * learnShare
	}
	d.pay(now, f, float64(promptTokens-f.prompt), 0, float64(outputTokens)-f.charged)
}

// refuse returns a refusal; after is zero when coming back makes no sense.
func refuse(code peridotverdict.Code, message string, after time.Duration) Decision {
	if after > 0 {
		after += margin
	}
	return Decision{Err: peridotverdict.New(code, peridotverdict.NotRun, message, peridotverdict.RetryAfter(after))}
}
