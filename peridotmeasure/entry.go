package peridotmeasure

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"peridotstack/peridotadmit"
	"peridotstack/peridotplanner"
	"peridotstack/peridotretry"
	"peridotstack/peridotroute"
	"peridotstack/peridotverdict"
)

const (
	kvBytesPerToken     = 160e3
	kvBytesPerSecond    = 25e9
	kvFixedTransferTime = 10 * time.Millisecond
	// assumedReportLag is the age of load reports that the routers assume.
	assumedReportLag = 400 * time.Millisecond
	// callerPatience is the time after the deadline for which a caller still
	// waits.
	callerPatience   = 5 * time.Second
	progressInterval = time.Second
	// averagingWeight is the weight of a new request in a workAverage.
	averagingWeight = 1.0 / 64
	maxQueueDelay   = 3 * time.Second
)

// entry is one entry instance. It routes, admits and retries by its own state.
type entry struct {
	sim      *simulation
	policy   Policy
	servers  []peridotroute.Server
	router   *peridotroute.Router
	admitter *peridotadmit.Admitter
	retries  *peridotretry.Policy
	baseline *baselineRouter
	inFlight []*exchange
	// work averages the expected work of the last arrivals in output tokens.
	work workAverage
	// actualTokens and expectedTokens average the prefill and decode tokens of the
	// last completed requests and the tokens expected for them.
	actualTokens, expectedTokens workAverage
}

// exchange is one request and its state, from its arrival at an entry instance
// to its outcome.
type exchange struct {
	entry          *entry
	record         *Record
	prefixes       []uint64
	priority       int
	admitted       bool
	attempts       int
	triedInstances []string
	// earlierMayHaveRun is set when an earlier attempt may have run.
	earlierMayHaveRun bool
	// passedTokens is the number of tokens passed on to the caller.
	passedTokens    int
	choice          peridotroute.Choice
	job             *job
	call            *call
	callRuns        int
	attemptInFlight bool
	// firstTokenTime is the time from arrival to the first token; 0 before it.
	firstTokenTime time.Duration
	// outcomes counts the outcomes of the request. There must be exactly one.
	outcomes int
}

func newEntry(sim *simulation, p Policy, seed uint64) *entry {
	e := &entry{
		sim:            sim,
		policy:         p,
		router:         peridotroute.New(seed, peridotroute.TransferKV(kvBytesPerToken, kvBytesPerSecond, kvFixedTransferTime), peridotroute.ReportLag(assumedReportLag)),
		admitter:       peridotadmit.New(peridotadmit.MaxQueueDelay(maxQueueDelay)),
		retries:        peridotretry.New(seed),
		baseline:       newBaselineRouter(),
		actualTokens:   workAverage{prefill: 1, decode: 1},
		expectedTokens: workAverage{prefill: 1, decode: 1},
	}
	var accounts []peridotadmit.Account
	for _, c := range sim.profile.Accounts {
		accounts = append(accounts, c.Account)
	}
	e.admitter.SetAccounts(0, accounts)
	e.admitter.SetPromptCost(0, sim.promptCost())
	return e
}

// setServers replaces the list of servers.
func (e *entry) setServers(list []peridotroute.Server) {
	now := e.sim.clock.now
	e.servers = list
	e.router.SetServers(now, list)
	e.setCapacity()
}

// setCapacity sets the admitter's capacity to an equal share, among the entry
// instances, of what the servers can do at the present ratio of prefill to
// decode work.
func (e *entry) setCapacity() {
	var prefill, decode, mixed float64
	for _, s := range e.servers {
		switch {
		case s.Model == "" || s.Leaving || s.Down:
		case s.Role == peridotroute.Prefill:
			prefill++
		case s.Role == peridotroute.Decode:
			decode++
		default:
			mixed++
		}
	}
	engines := e.work.usableEngines(prefill, decode, mixed)
	rate := e.sim.profile.Engine.decodeTokensPerSecond()
	e.admitter.SetCapacity(e.sim.clock.now, engines*rate/float64(len(e.sim.entries)))
}

// receive accepts a request from its caller and starts the first attempt.
func (e *entry) receive(r *Record) {
	x := &exchange{entry: e, record: r, prefixes: r.prefixes()}
	e.sim.clock.after(r.Deadline+callerPatience, x.giveUp)
	e.startAttempt(x)
}

func (e *entry) routeRequest(x *exchange) peridotroute.Request {
	r := x.record
	return peridotroute.Request{
		ID:             strconv.Itoa(r.ID),
		Model:          r.Model,
		Service:        r.Service,
		PromptTokens:   r.PromptTokens,
		MaxTokens:      r.MaxTokens,
		ExpectedOutput: r.MaxTokens,
		PrefixHash:     x.prefixes,
		Timeout:        x.timeLeft(),
		Exclude:        x.triedInstances,
	}
}

// timeLeft returns the time to the deadline, which is negative after it.
func (x *exchange) timeLeft() time.Duration {
	return x.record.At + x.record.Deadline - x.entry.sim.clock.now
}

// startAttempt chooses servers, admits the request unless an earlier attempt was
// admitted, and sends it.
func (e *entry) startAttempt(x *exchange) {
	if x.outcomes > 0 {
		return
	}
	now := e.sim.clock.now
	request := e.routeRequest(x)
	x.attempts++
	choice, err := e.chooseServers(now, request)
	if x.attempts == 1 && x.record.Model != "" {
		e.recordArrival(x, choice)
	}
	if err != nil {
		x.choice = peridotroute.Choice{}
		e.handleFailure(x, peridotverdict.As(err))
		return
	}
	x.choice = choice
	if refusal := e.admit(x); refusal != nil {
		x.settle(outcomeRefused)
		return
	}
	x.attemptInFlight = true
	e.router.Begin(now, request, choice)
	e.baseline.outstanding[choice.Instance]++
	if choice.PrefillInstance != "" {
		e.baseline.outstanding[choice.PrefillInstance]++
	}
	e.inFlight = append(e.inFlight, x)
	e.sim.sendAttempt(x)
}

// recordArrival reports the expected work of a request to the fleet manager. It
// corrects the estimate by the ratio of actual to expected tokens of the last
// completed requests.
func (e *entry) recordArrival(x *exchange, c peridotroute.Choice) {
	uncached := float64(x.record.PromptTokens - c.CachedTokens)
	e.work.add(uncached*e.sim.promptCost(), float64(x.record.MaxTokens))
	e.sim.arrivals = append(e.sim.arrivals, peridotplanner.Arrival{
		Model:         x.record.Model,
		Domain:        x.record.Domain,
		PrefillTokens: int(uncached * e.actualTokens.prefill / e.expectedTokens.prefill),
		OutputTokens:  int(float64(x.record.MaxTokens) * e.actualTokens.decode / e.expectedTokens.decode),
	})
}

// updateAverages adds the actual and the expected tokens of a completed model
// request to the averages.
func (e *entry) updateAverages(x *exchange) {
	if x.record.Model == "" {
		return
	}
	e.actualTokens.add(float64(x.job.prefillTokens), float64(x.passedTokens))
	e.expectedTokens.add(float64(x.record.PromptTokens-x.choice.CachedTokens), float64(x.record.MaxTokens))
}

func (e *entry) chooseServers(now time.Duration, r peridotroute.Request) (peridotroute.Choice, error) {
	if _, ok := e.policy.Choice.(routed); ok {
		return e.router.Choose(now, r)
	}
	var c peridotroute.Choice
	if r.Service != "" {
		c.Instance = e.baseline.pick(e.policy.Choice, e.servers, r.Service, "", r.Exclude)
	} else {
		c.PrefillInstance = e.baseline.pick(e.policy.Choice, e.servers, r.Model, peridotroute.Prefill, r.Exclude)
		c.Instance = e.baseline.pick(e.policy.Choice, e.servers, r.Model, peridotroute.Decode, r.Exclude)
	}
	if c.Instance == "" || r.Model != "" && c.PrefillInstance == "" {
		return c, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server")
	}
	return c, nil
}

// admit returns nil if the request may start, and otherwise the error with which
// the admitter refuses it.
func (e *entry) admit(x *exchange) *peridotverdict.Error {
	if !e.policy.Admission || x.admitted || x.record.Service != "" {
		return nil
	}
	decision := e.admitter.Admit(e.sim.clock.now, strconv.Itoa(x.record.ID), peridotadmit.Request{
		Account:                  x.record.Account,
		PromptTokens:             x.record.PromptTokens,
		CachedTokens:             x.choice.CachedTokens,
		ExpectedOutput:           x.record.MaxTokens,
		Timeout:                  x.timeLeft(),
		TimeToFirstToken:         x.choice.Wait,
		UnloadedTimeToFirstToken: x.choice.IdleWait,
		TimeToLastToken:          x.choice.Finish,
	})
	if !decision.Admitted {
		e.sim.refusals[decision.Err.Code]++
		return decision.Err
	}
	x.admitted = true
	x.priority = decision.Priority
	return nil
}

// endAttempt removes an attempt from the state of the router, the baseline and
// the entry. It does nothing if no attempt is in flight.
func (e *entry) endAttempt(x *exchange) {
	if !x.attemptInFlight {
		return
	}
	x.attemptInFlight = false
	now := e.sim.clock.now
	e.router.Done(now, strconv.Itoa(x.record.ID), x.passedTokens)
	e.baseline.outstanding[x.choice.Instance]--
	if x.choice.PrefillInstance != "" {
		e.baseline.outstanding[x.choice.PrefillInstance]--
	}
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *exchange) bool { return other == x })
}

// handleFailure schedules a retry after a failed attempt, or settles the
// exchange as failed.
func (e *entry) handleFailure(x *exchange, err *peridotverdict.Error) {
	now := e.sim.clock.now
	decision := e.retries.Next(now, peridotretry.Attempt{
		Account:           x.record.Account,
		Instance:          x.choice.Instance,
		Number:            x.attempts,
		Err:               err,
		EarlierMayHaveRun: x.earlierMayHaveRun,
		Idempotent:        x.record.Service == "",
		PassedChunks:      x.passedTokens,
		TimeLeft:          x.timeLeft(),
		Tried:             x.triedInstances,
	})
	x.earlierMayHaveRun = x.earlierMayHaveRun || err.Verdict != peridotverdict.NotRun
	if !decision.Retry {
		if decision.Err.Verdict == peridotverdict.NotRun && x.callRuns > 0 {
			e.sim.recordFault("request %d was refused as not run after it ran", x.record.ID)
		}
		x.settle(outcomeFailed)
		return
	}
	if x.choice.Instance != "" {
		x.triedInstances = append(x.triedInstances, x.choice.Instance)
	}
	e.retries.RecordRetry(now, x.record.Account, x.choice.Instance)
	e.sim.clock.after(decision.Delay, func() { e.startAttempt(x) })
}

// reportProgress updates the router and the admitter with the progress of the
// streams, and the admitter with the present capacity.
func (e *entry) reportProgress() {
	e.setCapacity()
	now := e.sim.clock.now
	for _, x := range e.inFlight {
		if x.job == nil || x.firstTokenTime == 0 {
			continue
		}
		id := strconv.Itoa(x.record.ID)
		x.passedTokens = x.job.decodeEngine.generatedTokens(x.job)
		e.router.Progress(now, id, x.passedTokens)
		if x.admitted {
			e.admitter.Progress(now, id, x.passedTokens)
		}
	}
}

// recordFirstToken records the first token that the caller receives.
func (x *exchange) recordFirstToken() {
	x.passedTokens = 1
	x.firstTokenTime = x.entry.sim.clock.now - x.record.At
	x.entry.router.Progress(x.entry.sim.clock.now, strconv.Itoa(x.record.ID), 1)
}

// complete ends an exchange with a complete answer of the given number of
// tokens, which is 0 for a call.
func (x *exchange) complete(tokens int) {
	if x.outcomes > 0 {
		x.entry.sim.recordFault("request %d got a second answer", x.record.ID)
		return
	}
	x.passedTokens = tokens
	if tokens != x.record.OutputTokens {
		x.entry.sim.recordFault("request %d got %d tokens, want %d", x.record.ID, tokens, x.record.OutputTokens)
	}
	x.entry.updateAverages(x)
	x.entry.endAttempt(x)
	x.entry.retries.RecordSuccess(x.entry.sim.clock.now, x.record.Account, x.choice.Instance)
	if x.timeLeft() < 0 {
		x.settle(outcomeLate)
		return
	}
	x.settle(outcomeInTime)
}

// giveUp cancels an exchange whose caller no longer waits.
func (x *exchange) giveUp() {
	if x.outcomes > 0 {
		return
	}
	if x.job != nil && !x.job.ended {
		x.entry.sim.cancelJob(x.job)
	}
	x.entry.endAttempt(x)
	x.settle(outcomeGaveUp)
}

// settle records the outcome of an exchange. A second outcome is a fault.
func (x *exchange) settle(o outcome) {
	x.outcomes++
	if x.outcomes > 1 {
		x.entry.sim.recordFault("request %d got %d answers", x.record.ID, x.outcomes)
		return
	}
	if x.admitted {
		prompt := x.record.PromptTokens
		if x.job != nil && x.job.prefillTokens > 0 {
			// The charge corrects an error of the cache estimate in either direction.
			prompt = x.job.prefillTokens + x.choice.CachedTokens
		}
		x.entry.admitter.Done(x.entry.sim.clock.now, strconv.Itoa(x.record.ID), prompt, x.passedTokens)
	}
	x.entry.sim.tally.recordOutcome(x, o)
}

// recordFault records a violated invariant of the system or the simulation.
func (s *simulation) recordFault(format string, arguments ...any) {
	s.tally.faults = append(s.tally.faults, fmt.Sprintf(format, arguments...))
}

// workAverage is an exponentially weighted average of the prefill and decode
// work of requests. Its user chooses the unit.
type workAverage struct {
	prefill float64
	decode  float64
}

// add adds the work of one request to the average.
func (a *workAverage) add(prefill, decode float64) {
	a.prefill += (prefill - a.prefill) * averagingWeight
	a.decode += (decode - a.decode) * averagingWeight
}

// usableEngines returns how many of the engines can be busy with work of this
// ratio of prefill to decode until the engines of one role are saturated. All
// engines have the same rate.
func (a *workAverage) usableEngines(prefill, decode, mixed float64) float64 {
	total := a.prefill + a.decode
	if total == 0 {
		return prefill + decode + mixed
	}
	return min(prefill+decode+mixed, (prefill+mixed)*total/a.prefill, (decode+mixed)*total/a.decode)
}
