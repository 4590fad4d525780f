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
	kvBytesPerToken  = 160e3
	kvBytesPerSecond = 25e9
	kvFixed          = 10 * time.Millisecond
	// reportLag is how old the entry instances believe load reports to be.
	reportLag = 400 * time.Millisecond
	// patience is how long after the deadline a caller still waits.
	patience         = 5 * time.Second
	progressInterval = time.Second
	// learnedShare is the part of a new request in the mix of the last ones.
	learnedShare = 1.0 / 64
	maxQueue     = 3 * time.Second
)

// entry is one entry instance with decisions of its own.
type entry struct {
	bench    *bench
	policy   Policy
	servers  []peridotroute.Server
	router   *peridotroute.Router
	admitter *peridotadmit.Admitter
	retries  *peridotretry.Policy
	fixed    *fixedChoice
	flights  []*exchange
	mix      mix
	// took and expected are what requests needed lately, and what it was
	// expected to be.
	took, expected mix
}

// exchange is one request from its arrival to its only answer.
type exchange struct {
	entry    *entry
	record   *Record
	prefixes []uint64
	priority int
	admitted bool
	number   int
	tried    []string
	// earlierMayHaveRun is set when an attempt before may have run.
	earlierMayHaveRun bool
	// passed counts the tokens that the caller got.
	passed int
	choice peridotroute.Choice
	job    *job
	call   *call
	runs   int
	// sent is set while an attempt is under way.
	sent  bool
	first time.Duration
	// answers counts what must be exactly one.
	answers int
}

func newEntry(b *bench, p Policy, seed uint64) *entry {
	e := &entry{
		bench:    b,
		policy:   p,
		router:   peridotroute.New(seed, peridotroute.TransferKV(kvBytesPerToken, kvBytesPerSecond, kvFixed), peridotroute.ReportLag(reportLag)),
		admitter: peridotadmit.New(peridotadmit.MaxQueueDelay(maxQueue)),
		retries:  peridotretry.New(seed),
		fixed:    newFixedChoice(),
		took:     mix{prefill: 1, decode: 1},
		expected: mix{prefill: 1, decode: 1},
	}
	var accounts []peridotadmit.Account
	for _, c := range b.profile.Accounts {
		accounts = append(accounts, c.Account)
	}
	e.admitter.SetAccounts(0, accounts)
	e.admitter.SetPromptCost(0, b.promptCost())
	return e
}

// setServers takes the list of servers.
func (e *entry) setServers(list []peridotroute.Server) {
	now := e.bench.clock.now
	e.servers = list
	e.router.SetServers(now, list)
	e.setCapacity()
}

// setCapacity tells the admitter how much work of the present mix the servers
// can do, of which this instance may have its part.
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
	engines := e.mix.part(prefill, decode, mixed)
	rate := e.bench.profile.Engine.decodeTokensPerSecond()
	e.admitter.SetCapacity(e.bench.clock.now, engines*rate/float64(len(e.bench.entries)))
}

// arrive takes a request from its caller.
func (e *entry) arrive(r *Record) {
	x := &exchange{entry: e, record: r, prefixes: r.prefixes()}
	e.bench.clock.after(r.Deadline+patience, x.giveUp)
	e.attempt(x)
}

func (e *entry) request(x *exchange) peridotroute.Request {
	r := x.record
	return peridotroute.Request{
		ID:             strconv.Itoa(r.ID),
		Model:          r.Model,
		Service:        r.Service,
		PromptTokens:   r.PromptTokens,
		MaxTokens:      r.MaxTokens,
		ExpectedOutput: r.MaxTokens,
		PrefixHash:     x.prefixes,
		Timeout:        x.left(),
		Exclude:        x.tried,
	}
}

// left returns the time to the deadline.
func (x *exchange) left() time.Duration {
	return x.record.At + x.record.Deadline - x.entry.bench.clock.now
}

// attempt chooses servers and sends the request there.
func (e *entry) attempt(x *exchange) {
	if x.answers > 0 {
		return
	}
	now := e.bench.clock.now
	request := e.request(x)
	x.number++
	choice, err := e.choose(now, request)
	if x.number == 1 && x.record.Model != "" {
		e.count(x, choice)
	}
	if err != nil {
		x.choice = peridotroute.Choice{}
		e.failed(x, peridotverdict.As(err))
		return
	}
	x.choice = choice
	if refusal := e.admit(x); refusal != nil {
		x.answer(refused)
		return
	}
	x.sent = true
	e.router.Begin(now, request, choice)
	e.fixed.outstanding[choice.Instance]++
	if choice.PrefillInstance != "" {
		e.fixed.outstanding[choice.PrefillInstance]++
	}
	e.flights = append(e.flights, x)
	e.bench.send(x)
}

// count tells the controller of the work that arrives.
func (e *entry) count(x *exchange, c peridotroute.Choice) {
	unread := float64(x.record.PromptTokens - c.CachedTokens)
	e.mix.add(unread*e.bench.promptCost(), float64(x.record.MaxTokens))
	e.bench.arrived = append(e.bench.arrived, peridotplanner.Arrival{
		Model:         x.record.Model,
		Domain:        x.record.Domain,
		PrefillTokens: int(unread * e.took.prefill / e.expected.prefill),
		OutputTokens:  int(float64(x.record.MaxTokens) * e.took.decode / e.expected.decode),
	})
}

// learn compares what a request took with what was expected.
func (e *entry) learn(x *exchange) {
	if x.record.Model == "" {
		return
	}
	e.took.add(float64(x.job.read), float64(x.passed))
	e.expected.add(float64(x.record.PromptTokens-x.choice.CachedTokens), float64(x.record.MaxTokens))
}

func (e *entry) choose(now time.Duration, r peridotroute.Request) (peridotroute.Choice, error) {
	if _, ok := e.policy.Choice.(routed); ok {
		return e.router.Choose(now, r)
	}
	var c peridotroute.Choice
	if r.Service != "" {
		c.Instance = e.fixed.pick(e.policy.Choice, e.servers, r.Service, "", r.Exclude)
	} else {
		c.PrefillInstance = e.fixed.pick(e.policy.Choice, e.servers, r.Model, peridotroute.Prefill, r.Exclude)
		c.Instance = e.fixed.pick(e.policy.Choice, e.servers, r.Model, peridotroute.Decode, r.Exclude)
	}
	if c.Instance == "" || r.Model != "" && c.PrefillInstance == "" {
		return c, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server")
	}
	return c, nil
}

// admit returns the refusal of a request, or nil.
func (e *entry) admit(x *exchange) *peridotverdict.Error {
	if !e.policy.Admission || x.admitted || x.record.Service != "" {
		return nil
	}
	decision := e.admitter.Admit(e.bench.clock.now, strconv.Itoa(x.record.ID), peridotadmit.Request{
		Account:                  x.record.Account,
		PromptTokens:             x.record.PromptTokens,
		CachedTokens:             x.choice.CachedTokens,
		ExpectedOutput:           x.record.MaxTokens,
		Timeout:                  x.left(),
		TimeToFirstToken:         x.choice.Wait,
		UnloadedTimeToFirstToken: x.choice.IdleWait,
		TimeToLastToken:          x.choice.Finish,
	})
	if !decision.Admitted {
		e.bench.refusals[decision.Err.Code]++
		return decision.Err
	}
	x.admitted = true
	x.priority = decision.Priority
	return nil
}

// done forgets an attempt that has ended.
func (e *entry) done(x *exchange) {
	if !x.sent {
		return
	}
	x.sent = false
	now := e.bench.clock.now
	e.router.Done(now, strconv.Itoa(x.record.ID), x.passed)
	e.fixed.outstanding[x.choice.Instance]--
	if x.choice.PrefillInstance != "" {
		e.fixed.outstanding[x.choice.PrefillInstance]--
	}
	e.flights = slices.DeleteFunc(e.flights, func(other *exchange) bool { return other == x })
}

// failed decides what follows an attempt that failed.
func (e *entry) failed(x *exchange, err *peridotverdict.Error) {
	now := e.bench.clock.now
	decision := e.retries.Next(now, peridotretry.Attempt{
		Account:           x.record.Account,
		Instance:          x.choice.Instance,
		Number:            x.number,
		Err:               err,
		EarlierMayHaveRun: x.earlierMayHaveRun,
		Idempotent:        x.record.Service == "",
		PassedChunks:      x.passed,
		TimeLeft:          x.left(),
		Tried:             x.tried,
	})
	x.earlierMayHaveRun = x.earlierMayHaveRun || err.Verdict != peridotverdict.NotRun
	if !decision.Retry {
		if decision.Err.Verdict == peridotverdict.NotRun && x.runs > 0 {
			e.bench.fault("request %d was refused as not run after it ran", x.record.ID)
		}
		x.answer(failed)
		return
	}
	if x.choice.Instance != "" {
		x.tried = append(x.tried, x.choice.Instance)
	}
	e.retries.RecordRetry(now, x.record.Account, x.choice.Instance)
	e.bench.clock.after(decision.Delay, func() { e.attempt(x) })
}

// progress passes on how far the streams have come.
func (e *entry) progress() {
	e.setCapacity()
	now := e.bench.clock.now
	for _, x := range e.flights {
		if x.job == nil || x.first == 0 {
			continue
		}
		id := strconv.Itoa(x.record.ID)
		x.passed = x.job.decodeAt.output(x.job)
		e.router.Progress(now, id, x.passed)
		if x.admitted {
			e.admitter.Progress(now, id, x.passed)
		}
	}
}

// firstToken notes the first token that the caller got.
func (x *exchange) firstToken() {
	x.passed = 1
	x.first = x.entry.bench.clock.now - x.record.At
	x.entry.router.Progress(x.entry.bench.clock.now, strconv.Itoa(x.record.ID), 1)
}

// finished ends an exchange with a whole answer.
func (x *exchange) finished(tokens int) {
	if x.answers > 0 {
		x.entry.bench.fault("request %d got a second answer", x.record.ID)
		return
	}
	x.passed = tokens
	if tokens != x.record.OutputTokens {
		x.entry.bench.fault("request %d got %d tokens, want %d", x.record.ID, tokens, x.record.OutputTokens)
	}
	x.entry.learn(x)
	x.entry.done(x)
	x.entry.retries.RecordSuccess(x.entry.bench.clock.now, x.record.Account, x.choice.Instance)
	if x.left() < 0 {
		x.answer(late)
		return
	}
	x.answer(inTime)
}

// giveUp ends an exchange whose caller has gone.
func (x *exchange) giveUp() {
	if x.answers > 0 {
		return
	}
	if x.job != nil && !x.job.ended {
		x.entry.bench.cancel(x.job)
	}
	x.entry.done(x)
	x.answer(gaveUp)
}

// answer settles an exchange once.
func (x *exchange) answer(o outcome) {
	x.answers++
	if x.answers > 1 {
		x.entry.bench.fault("request %d got %d answers", x.record.ID, x.answers)
		return
	}
	if x.admitted {
		prompt := x.record.PromptTokens
		if x.job != nil && x.job.read > 0 {
			// What was read beyond the estimate is charged, and the other way round.
			prompt = x.job.read + x.choice.CachedTokens
		}
		x.entry.admitter.Done(x.entry.bench.clock.now, strconv.Itoa(x.record.ID), prompt, x.passed)
	}
	x.entry.bench.tally.answer(x, o)
}

// fault notes that the system or the bench broke a promise.
func (b *bench) fault(format string, arguments ...any) {
	b.tally.faults = append(b.tally.faults, fmt.Sprintf(format, arguments...))
}

// mix is a mean over the requests that came lately, such as their work in output
// tokens.
type mix struct {
	prefill float64
	decode  float64
}

// add counts a request and forgets the oldest ones slowly.
func (m *mix) add(prefill, decode float64) {
	m.prefill += (prefill - m.prefill) * learnedShare
	m.decode += (decode - m.decode) * learnedShare
}

// part returns how many of the engines, all of one rate, the mix can use before
// those of one role are fully busy.
func (m *mix) part(prefill, decode, mixed float64) float64 {
	total := m.prefill + m.decode
	if total == 0 {
		return prefill + decode + mixed
	}
	return min(prefill+decode+mixed, (prefill+mixed)*total/m.prefill, (decode+mixed)*total/m.decode)
}
