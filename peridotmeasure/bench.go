package peridotmeasure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotplanner"
	"peridotstack/peridotroute"
	"peridotstack/peridotverdict"
)

const (
	entries = 3
	// listLag is how long entry instances take to hear of a change of a server.
	listLag = time.Second
	// detectTime is how long they take to notice that a server is gone.
	detectTime     = 3 * time.Second
	reportInterval = 500 * time.Millisecond
	controlTick    = time.Second
	// Cache events are late by up to hintDelay, and some are lost.
	hintDelay = 2 * time.Second
	hintLoss  = 0.1
	// tail is how long the last requests may take.
	tail = 2 * time.Minute
)

// bench is one run of a trace with one policy.
type bench struct {
	profile  Profile
	scenario Scenario
	policy   Policy
	clock    *clock
	random   *rand.Rand
	tally    *tally
	engines  []*engine
	plains   []*plain
	entries  []*entry
	control  *control
	arrived  []peridotplanner.Arrival
	refusals map[peridotverdict.Code]int
}

// Run runs a trace with one policy. The same arguments give the same result.
func Run(p Profile, s Scenario, policy Policy, trace []Record, seed uint64) Result {
	b := newBench(p, s, policy, seed)
	for i := range trace {
		r := &trace[i]
		b.clock.at(r.At, func() {
			b.tally.arrive(r)
			b.entries[b.random.IntN(entries)].arrive(r)
		})
	}
	for _, t := range s.Turns {
		if d, ok := t.(DomainFails); ok {
			b.clock.at(d.At, func() { b.failDomain(p.Domains[d.Domain]) })
			b.clock.at(d.Until, func() { b.returnDomain(p.Domains[d.Domain]) })
		}
	}
	for _, at := range s.shifts() {
		b.clock.at(at, func() { clear(b.control.moves) })
	}
	b.clock.every(controlTick, length, b.control.tick)
	b.clock.every(reportInterval, length+tail, b.report)
	b.clock.every(progressInterval, length+tail, func() {
		for _, e := range b.entries {
			e.progress()
		}
	})
	b.clock.run(length + tail)
	return b.result(trace)
}

func newBench(p Profile, s Scenario, policy Policy, seed uint64) *bench {
	b := &bench{
		profile:  p,
		scenario: s,
		policy:   policy,
		clock:    &clock{},
		random:   rand.New(rand.NewPCG(seed, 1)),
		tally:    newTally(p),
		refusals: make(map[peridotverdict.Code]int),
	}
	for i := range p.Engines {
		role := peridotconfig.Decode
		switch {
		case policy.Mixed:
			role = peridotconfig.Mixed
		case i < p.PrefillEngines:
			role = peridotconfig.Prefill
		}
		b.addEngine(p.Domains[i%len(p.Domains)], role, serving)
	}
	for i := range p.Services {
		b.plains = append(b.plains, &plain{id: fmt.Sprint("service-", i), domain: p.Domains[i%len(p.Domains)], clock: b.clock})
	}
	b.entries = make([]*entry, entries)
	for i := range b.entries {
		b.entries[i] = newEntry(b, policy, seed+uint64(i))
	}
	for _, e := range b.entries {
		e.setServers(b.list())
	}
	b.control = newControl(b)
	return b
}

func (b *bench) addEngine(domain string, role peridotconfig.Role, state engineState) *engine {
	e := &engine{
		id:     fmt.Sprint("engine-", len(b.engines)),
		domain: domain,
		kind:   b.profile.Engine,
		clock:  b.clock,
		tally:  b.tally,
		role:   role,
		state:  state,
		cache:  newPrefixStore(),
	}
	e.onPrefix = func(hashes []uint64, gone bool) { b.hint(e.id, hashes, gone) }
	b.engines = append(b.engines, e)
	return e
}

// promptCost is the cost of a prompt token against that of an output token.
func (b *bench) promptCost() float64 {
	return b.profile.Engine.decodeTokensPerSecond() / b.profile.Engine.PrefillTokensPerSecond
}

// list returns the servers as the platform lists them.
func (b *bench) list() []peridotroute.Server {
	var list []peridotroute.Server
	for _, e := range b.engines {
		if e.state == down || e.state == arriving || e.state == away || e.state == gone {
			continue
		}
		list = append(list, peridotroute.Server{
			Instance:               e.id,
			Domain:                 e.domain,
			Model:                  b.profile.Model,
			Role:                   string(e.role),
			PrefillTokensPerSecond: e.kind.PrefillTokensPerSecond,
			DecodeTokensPerSecond:  e.kind.decodeTokensPerSecond(),
			MaxRunning:             e.kind.MaxStreams,
			RoundTrip:              2 * b.profile.Network,
			Leaving:                e.state == draining,
		})
	}
	for _, p := range b.plains {
		if !p.down {
			list = append(list, peridotroute.Server{Instance: p.id, Domain: p.domain, Service: b.profile.Service, RoundTrip: 2 * b.profile.Network})
		}
	}
	return list
}

// publish lets the entry instances hear of the servers after a time.
func (b *bench) publish(after time.Duration) {
	b.clock.after(after, func() {
		for _, e := range b.entries {
			e.setServers(b.list())
		}
	})
}

func (b *bench) report() {
	lag := b.scenario.lag()
	for _, e := range b.engines {
		if e.state != serving && e.state != draining {
			continue
		}
		r := e.report()
		b.clock.after(lag, func() {
			r.At = b.clock.now
			for _, entry := range b.entries {
				entry.router.Observe(b.clock.now, r)
			}
		})
	}
}

// hint passes on a cache event, late and not to all.
func (b *bench) hint(instance string, hashes []uint64, gone bool) {
	for _, e := range b.entries {
		if b.random.Float64() < hintLoss {
			continue
		}
		delay := time.Duration(b.random.Int64N(int64(hintDelay)))
		b.clock.after(delay, func() { e.router.HintPrefix(b.clock.now, instance, hashes, gone) })
	}
}

func (b *bench) engine(id string) *engine {
	for _, e := range b.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// send carries one attempt to its servers.
func (b *bench) send(x *exchange) {
	if x.record.Service != "" {
		b.sendCall(x)
		return
	}
	j := &job{record: x.record, prefixes: x.prefixes, priority: x.priority, decodeAt: b.engine(x.choice.Instance)}
	j.prefillAt = j.decodeAt
	if x.choice.PrefillInstance != "" {
		j.prefillAt = b.engine(x.choice.PrefillInstance)
		j.reserve()
	}
	x.job = j
	x.first = 0
	mine := func() bool { return x.job == j && x.answers == 0 }
	j.onRead = func() { b.move(j) }
	j.onFirst = func() {
		b.clock.after(b.profile.Network, func() {
			if mine() {
				x.firstToken()
			}
		})
	}
	j.onEnd = func() {
		tokens := int(j.end - j.start + rounding)
		b.clock.after(b.profile.Network, func() {
			if mine() {
				x.finished(tokens)
			}
		})
	}
	j.onFail = func() {
		j.unreserve()
		if mine() {
			b.lose(x, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the engine failed"))
		}
	}
	b.clock.after(b.profile.Network, func() { b.deliver(x, j) })
}

// rounding keeps a count of tokens from missing a whole one.
const rounding = 1e-3

func (b *bench) deliver(x *exchange, j *job) {
	switch {
	case j.ended:
	case j.prefillAt.accepts():
		j.prefillAt.takePrompt(j)
	default:
		j.ended = true
		j.unreserve()
		b.lose(x, peridotverdict.New(peridotverdict.Leaving, peridotverdict.NotRun, "the engine takes no requests"))
	}
}

// lose ends an attempt that failed.
func (b *bench) lose(x *exchange, err *peridotverdict.Error) {
	x.entry.done(x)
	x.entry.failed(x, err)
}

// move takes the KV cache of a prompt to the engine that generates the answer.
func (b *bench) move(j *job) {
	bytes := float64(j.record.PromptTokens) * kvBytesPerToken
	took := kvFixed + time.Duration(bytes/kvBytesPerSecond*float64(time.Second))
	b.clock.after(took, func() {
		switch {
		case j.ended:
		case j.decodeAt.accepts():
			j.unreserve()
			j.decodeAt.takeCache(j)
		default:
			j.ended = true
			j.onFail()
		}
	})
}

// cancel ends a job whose caller has gone.
func (b *bench) cancel(j *job) {
	j.ended = true
	j.unreserve()
	j.prefillAt.drop(j)
	if j.decodeAt != j.prefillAt {
		j.decodeAt.drop(j)
	}
}

func (b *bench) sendCall(x *exchange) {
	var target *plain
	for _, p := range b.plains {
		if p.id == x.choice.Instance {
			target = p
		}
	}
	c := &call{record: x.record}
	x.call = c
	mine := func() bool { return x.call == c && x.answers == 0 }
	c.onRun = func() {
		x.runs++
		if x.runs > 1 {
			b.fault("call %d ran %d times", x.record.ID, x.runs)
		}
	}
	c.onEnd = func() {
		b.clock.after(b.profile.Network, func() {
			if mine() {
				x.finished(0)
			}
		})
	}
	c.onFail = func() {
		if mine() {
			b.lose(x, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the service failed"))
		}
	}
	b.clock.after(b.profile.Network, func() {
		if !target.down {
			target.take(c)
			return
		}
		if mine() {
			b.lose(x, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "the service cannot be reached"))
		}
	})
}

func (b *bench) failDomain(domain string) {
	for _, e := range b.engines {
		if e.domain == domain && e.state != arriving && e.state != gone {
			e.fail()
		}
	}
	for _, p := range b.plains {
		if p.domain == domain {
			p.fail()
		}
	}
	b.publish(detectTime)
}

func (b *bench) returnDomain(domain string) {
	for _, e := range b.engines {
		if e.domain == domain && e.state == down {
			e.state = serving
		}
	}
	for _, p := range b.plains {
		if p.domain == domain {
			p.down = false
		}
	}
	b.publish(listLag)
}

func (e *engine) accepts() bool {
	return e.state == serving || e.state == draining
}

// reserve keeps the engine that generates the answer from going away.
func (j *job) reserve() {
	j.reserved = true
	j.decodeAt.reserved++
}

func (j *job) unreserve() {
	if !j.reserved {
		return
	}
	j.reserved = false
	j.decodeAt.reserved--
	j.decodeAt.clock.after(0, j.decodeAt.tick)
}
