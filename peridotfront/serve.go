package peridotfront

import (
	"slices"
	"time"

	"peridotstack/peridotclock"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
)

const (
	// maxLateWaitShare is the longest time for which a late request is expected to wait for
	// other work, as a fraction of the time left until its caller abandons it, without the
	// prefill itself. The rest is for the answer and for errors of the estimate.
	maxLateWaitShare = 0.7
	// onTimeMargin is the part of the objective reserved, after the prefill, to
	// generate the first token and send it to the caller.
	onTimeMargin = 25 * time.Millisecond
)

// serve serves the request at servers of its service. The kind of the route determines
// whether the answer is forwarded event by event or as a whole; any service may be behind
// either.
func (x *exchange) serve() {
	if err := x.findSoftware(); err != nil {
		err.RetryAfter = max(err.RetryAfter, x.untilOriginRead())
		x.giveUp(err)
		return
	}
	defer x.recordReplaced() // Before the caller sees the end.
	x.classify()
	try := x.tryWhole
	if x.route.Kind == peridotsite.Stream {
		try = x.tryStream
	}
	for {
		choice, ok := x.nextServers()
		if !ok {
			return
		}
		err := try(choice)
		if err == nil {
			return
		}
		if x.ended() {
			x.giveUp(err)
			return
		}
	}
}

// nextServers returns the servers for the next try once it may begin. If the request is
// not tried again, it answers the caller and returns false.
func (x *exchange) nextServers() (peridotplace.Choice, bool) {
	for {
		if err := x.authenticateAgain(); err != nil {
			x.refuse(err)
			return peridotplace.Choice{}, false
		}
		if err := x.checkQuarantine(); err != nil {
			x.giveUp(err)
			return peridotplace.Choice{}, false
		}
		x.late = false // Another engine may still meet the objective.
		x.unstoredSoftware = nil
		choice, ok := x.placeAsEarlier()
		if !ok {
			choice, ok = x.place(x.software)
		}
		if !ok && x.readmitSilent() {
			choice, ok = x.place(x.software)
		}
		if !ok && x.awaitStored() {
			continue
		}
		if !ok && x.awaitRetry() {
			x.readmitRefused()
			continue
		}
		if !ok {
			x.countNoServer()
			x.giveUp(peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server takes the request", peridotverdict.RetryAfter(x.untilAccepted())))
			return choice, false
		}
		choice, err := x.admit(choice)
		if err != nil {
			x.refuse(err)
			return choice, false
		}
		claimed, placeAgain := x.claimTry(choice)
		if claimed {
			return choice, true
		}
		if !placeAgain && !x.awaitRetry() {
			x.giveUp(x.lastErr)
			return choice, false
		}
	}
}

// claimTry counts a try with c against the limits of its servers and the retry budget. It
// returns false if one of them does not allow it; another choice may be allowed at once
// if placeAgain is set.
func (x *exchange) claimTry(c peridotplace.Choice) (claimed, placeAgain bool) {
	if !x.reserve(c) {
		return false, true // Another request has taken the place.
	}
	repeats := x.repeatsOf(c)
	if x.allowTry(repeats) {
		return true, false
	}
	x.release(c)
	if repeats > 1 {
		x.singleEngine = true // It adds one repeat only.
		return false, true
	}
	return false, false
}

// awaitRetry waits for a short time until a started answer may go on at some server. It
// returns false if it cannot go on anywhere, or if the last run was not given up by this
// instance: after a run that its server broke off, the caller can resume the stream
// sooner itself.
func (x *exchange) awaitRetry() bool {
	if !x.gaveUpTry || !x.answerStarted || !x.canRetry() || !x.hasServer() {
		return false
	}
	x.reservedRepeats = 0 // They were counted in a window that may pass before it is sent.
	peridotwait.Sleep(x.ctx, stallCheckInterval)
	return true
}

// hasServer reports whether a server is registered that could go on with the answer
// sooner or later.
func (x *exchange) hasServer() bool {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	excluded := slices.DeleteFunc(slices.Clone(x.excludedBackends()), func(id string) bool { return slices.Contains(x.refusedBackends, id) })
	return f.placer.HasRegistered(peridotplace.Alternative{Service: x.service.Name, SoftwareVersion: x.software, Generates: x.service.Engine != nil, Exclude: excluded, ExcludeVersions: x.excludedVersions()})
}

// place chooses the servers for the request, of the given software version unless it is
// empty. It returns false if no server accepts requests.
func (x *exchange) place(software string) (choice peridotplace.Choice, ok bool) {
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	isWhole := x.route.Kind != peridotsite.Stream
	prompt := peridotplace.Prompt{Service: x.service.Name, Parts: x.call.Parts, Tokens: x.promptTokens(), SoftwareVersion: software, Single: x.singleEngine || isWhole, Late: x.late, SendTime: x.sendTime(), Interactive: x.interactive, Gap: x.route.Gap}
	x.setTimesLeft(&prompt)
	choose := func(exclude []string) bool {
		prompt.Exclude, prompt.ExcludeVersions = exclude, x.excludedVersions()
		choice, ok = f.placer.Place(f.now(), prompt)
		return ok
	}
	x.withServers(choose)
	for ok && x.excludeUnstored(choice) {
		x.withServers(choose)
	}
	x.placedFor = choice.Reason
	f.logLocalityChanges()
	return choice, ok
}

// sendTime returns the time that the network link of this instance takes to send
// the body.
func (x *exchange) sendTime() time.Duration {
	return time.Duration(float64(len(x.body)) / x.front.settings.LinkBytesPerSecond * float64(time.Second))
}

// promptTokens returns the number of prompt tokens that the caller states, or the
// sum over the parts of the prompt if it states none.
func (x *exchange) promptTokens() int {
	if x.call.PromptTokens > 0 {
		return x.call.PromptTokens
	}
	tokens := 0
	for _, part := range x.call.Parts {
		tokens += part.Tokens
	}
	return tokens
}

// lateBy returns the time by which the first token is expected to miss the objective.
func (x *exchange) lateBy(c peridotplace.Choice) time.Duration {
	return peridotclock.BootTime().Sub(x.arrivedAt) + c.Wait + onTimeMargin - x.route.Objective
}

// isLate reports whether the first token is expected to miss the objective.
func (x *exchange) isLate(c peridotplace.Choice) bool {
	return x.route.Objective > 0 && x.lateBy(c) > 0 && !x.answerStarted
}

// admit decides the urgency of a request for engines and returns the choice to use for it.
// A request is late if the requests queued before it keep its first token from arriving
// within the objective. Late requests are queued behind all others, so that the
// others still meet their objective under overload. Interactive requests are never late:
// engines serve them before all others. If the caller of a late request that
// has not run is expected to leave before the first event, admit refuses it immediately.
// The Retry-After of the refusal is the time by which the request would miss the
// objective. A resumed stream has fewer engines to choose from and is refused only if
// the wait alone exceeds its deadline. Of the queues at plain servers nothing is known.
func (x *exchange) admit(c peridotplace.Choice) (peridotplace.Choice, *peridotverdict.Error) {
	if x.service.Engine == nil {
		return c, nil
	}
	x.logFields["uncached"] = c.UncachedTokens
	lateBy, isLate := x.lateBy(c), x.isLate(c)
	x.late = isLate && !x.interactive
	if isLate && x.interactive {
		x.front.metrics.Count("interactive_expected_late")
	}
	if x.late {
		if lateChoice, ok := x.place(x.software); ok {
			c = lateChoice
		}
	}
	x.logFields["wait_ms"] = c.Wait
	maxQueueing := time.Duration(maxLateWaitShare * float64(x.remainingWait()-c.PrefillTime))
	if x.resumesStream() {
		maxQueueing = x.remainingWait() - c.PrefillTime
	}
	if isLate && x.runs == 0 && c.Wait-c.PrefillTime > maxQueueing {
		return c, peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "the answer would come after the deadline", peridotverdict.RetryAfter(lateBy))
	}
	return c, nil
}
