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
	entryInstances = 3
	// serverListLag is the time from a change of a server until the entry
	// instances receive the new server list.
	serverListLag = time.Second
	// failureDetectionTime is the time from the failure of a server until the
	// entry instances receive a server list without it.
	failureDetectionTime = 3 * time.Second
	loadReportInterval   = 500 * time.Millisecond
	controlInterval      = time.Second
	// Each cache event reaches an entry instance after a random delay of at most
	// maxHintDelay. hintLossRate is the probability that it is lost.
	maxHintDelay = 2 * time.Second
	hintLossRate = 0.1
	// settleTime is the time for which the simulation continues after the last
	// arrival, so that the remaining requests can end.
	settleTime = 2 * time.Minute
)

// simulation replays one trace under one policy.
type simulation struct {
	profile       Profile
	scenario      Scenario
	policy        Policy
	clock         *clock
	random        *rand.Rand
	tally         *tally
	engines       []*engine
	plainServices []*plainService
	entries       []*entry
	fleetManager  *fleetManager
	arrivals      []peridotplanner.Arrival
	refusals      map[peridotverdict.Code]int
}

// Run replays trace on the fleet of p under policy while the events of s happen,
// and returns the measurements. The same arguments give the same result. Run
// doesn't set the result's Seed, OfBestBaseline or OfPlain; RunAll does.
func Run(p Profile, s Scenario, policy Policy, trace []Record, seed uint64) Result {
	sim := newSimulation(p, s, policy, seed)
	for i := range trace {
		r := &trace[i]
		sim.clock.at(r.At, func() {
			sim.tally.recordArrival(r)
			sim.entries[sim.random.IntN(entryInstances)].receive(r)
		})
	}
	for _, e := range s.Events {
		if d, ok := e.(DomainOutage); ok {
			sim.clock.at(d.At, func() { sim.failDomain(p.Domains[d.Domain]) })
			sim.clock.at(d.Until, func() { sim.restoreDomain(p.Domains[d.Domain]) })
		}
	}
	for _, at := range s.shiftTimes() {
		sim.clock.at(at, func() { clear(sim.fleetManager.changesByEngine) })
	}
	sim.clock.every(controlInterval, arrivalDuration, sim.fleetManager.tick)
	sim.clock.every(loadReportInterval, arrivalDuration+settleTime, sim.sendLoadReports)
	sim.clock.every(progressInterval, arrivalDuration+settleTime, func() {
		for _, e := range sim.entries {
			e.reportProgress()
		}
	})
	sim.clock.run(arrivalDuration + settleTime)
	return sim.result(trace)
}

func newSimulation(p Profile, s Scenario, policy Policy, seed uint64) *simulation {
	sim := &simulation{
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
		sim.addEngine(p.Domains[i%len(p.Domains)], role, stateServing)
	}
	for i := range p.Services {
		sim.plainServices = append(sim.plainServices, &plainService{id: fmt.Sprint("service-", i), domain: p.Domains[i%len(p.Domains)], clock: sim.clock})
	}
	sim.entries = make([]*entry, entryInstances)
	for i := range sim.entries {
		sim.entries[i] = newEntry(sim, policy, seed+uint64(i))
	}
	for _, e := range sim.entries {
		e.setServers(sim.serverList())
	}
	sim.fleetManager = newFleetManager(sim)
	return sim
}

func (s *simulation) addEngine(domain string, role peridotconfig.Role, state engineState) *engine {
	e := &engine{
		id:     fmt.Sprint("engine-", len(s.engines)),
		domain: domain,
		kind:   s.profile.Engine,
		clock:  s.clock,
		tally:  s.tally,
		role:   role,
		state:  state,
		cache:  newPrefixCache(),
	}
	e.onCacheEvent = func(hashes []uint64, evicted bool) { s.sendCacheEvent(e.id, hashes, evicted) }
	s.engines = append(s.engines, e)
	return e
}

// promptCost returns the engine time of a prompt token as a multiple of that of
// an output token.
func (s *simulation) promptCost() float64 {
	return s.profile.Engine.decodeTokensPerSecond() / s.profile.Engine.PrefillTokensPerSecond
}

// serverList returns the servers that the platform lists at this time.
func (s *simulation) serverList() []peridotroute.Server {
	var list []peridotroute.Server
	for _, e := range s.engines {
		if e.state == stateDown || e.state == stateProvisioning || e.state == stateChanging || e.state == stateRemoved {
			continue
		}
		list = append(list, peridotroute.Server{
			Instance:               e.id,
			Domain:                 e.domain,
			Model:                  s.profile.Model,
			Role:                   string(e.role),
			PrefillTokensPerSecond: e.kind.PrefillTokensPerSecond,
			DecodeTokensPerSecond:  e.kind.decodeTokensPerSecond(),
			MaxRunning:             e.kind.MaxStreams,
			RoundTrip:              2 * s.profile.Network,
			Leaving:                e.state == stateDraining,
		})
	}
	for _, p := range s.plainServices {
		if !p.down {
			list = append(list, peridotroute.Server{Instance: p.id, Domain: p.domain, Service: s.profile.Service, RoundTrip: 2 * s.profile.Network})
		}
	}
	return list
}

// publishServers makes all entry instances receive the server list after the
// given delay. They receive the list as it is then.
func (s *simulation) publishServers(after time.Duration) {
	s.clock.after(after, func() {
		for _, e := range s.entries {
			e.setServers(s.serverList())
		}
	})
}

// sendLoadReports sends a load report of each serving or draining engine to all
// entry instances.
func (s *simulation) sendLoadReports() {
	lag := s.scenario.reportLag()
	for _, e := range s.engines {
		if e.state != stateServing && e.state != stateDraining {
			continue
		}
		r := e.loadReport()
		s.clock.after(lag, func() {
			r.At = s.clock.now
			for _, entry := range s.entries {
				entry.router.Observe(s.clock.now, r)
			}
		})
	}
}

// sendCacheEvent sends a cache event of an engine to each entry instance with a
// random delay, except to those for which the event is lost.
func (s *simulation) sendCacheEvent(instance string, hashes []uint64, evicted bool) {
	for _, e := range s.entries {
		if s.random.Float64() < hintLossRate {
			continue
		}
		delay := time.Duration(s.random.Int64N(int64(maxHintDelay)))
		s.clock.after(delay, func() { e.router.HintPrefix(s.clock.now, instance, hashes, evicted) })
	}
}

func (s *simulation) engineByID(id string) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// sendAttempt sends one attempt of a request to the servers chosen for it.
func (s *simulation) sendAttempt(x *exchange) {
	if x.record.Service != "" {
		s.sendCall(x)
		return
	}
	j := &job{record: x.record, prefixes: x.prefixes, priority: x.priority, decodeEngine: s.engineByID(x.choice.Instance)}
	j.prefillEngine = j.decodeEngine
	if x.choice.PrefillInstance != "" {
		j.prefillEngine = s.engineByID(x.choice.PrefillInstance)
		j.reserveDecodeEngine()
	}
	x.job = j
	x.firstTokenTime = 0
	isActive := func() bool { return x.job == j && x.outcomes == 0 }
	j.onPrefillDone = func() { s.transferCache(j) }
	j.onFirstToken = func() {
		s.clock.after(s.profile.Network, func() {
			if isActive() {
				x.recordFirstToken()
			}
		})
	}
	j.onDone = func() {
		tokens := int(j.endToken - j.startToken + tokenEpsilon)
		s.clock.after(s.profile.Network, func() {
			if isActive() {
				x.complete(tokens)
			}
		})
	}
	j.onFail = func() {
		j.releaseDecodeEngine()
		if isActive() {
			s.failAttempt(x, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the engine failed"))
		}
	}
	s.clock.after(s.profile.Network, func() { s.deliverJob(x, j) })
}

// tokenEpsilon is added to a number of tokens before it is truncated, because a
// floating-point error could make a whole number slightly too small.
const tokenEpsilon = 1e-3

func (s *simulation) deliverJob(x *exchange, j *job) {
	switch {
	case j.ended:
	case j.prefillEngine.acceptsJobs():
		j.prefillEngine.enqueuePrefill(j)
	default:
		j.ended = true
		j.releaseDecodeEngine()
		s.failAttempt(x, peridotverdict.New(peridotverdict.Leaving, peridotverdict.NotRun, "the engine takes no requests"))
	}
}

// failAttempt ends an attempt with an error and lets its entry instance decide
// whether to retry.
func (s *simulation) failAttempt(x *exchange, err *peridotverdict.Error) {
	x.entry.endAttempt(x)
	x.entry.handleFailure(x, err)
}

// transferCache transfers the KV cache of a prompt from the prefill engine to
// the decode engine and queues the job there.
func (s *simulation) transferCache(j *job) {
	bytes := float64(j.record.PromptTokens) * kvBytesPerToken
	transferTime := kvFixedTransferTime + time.Duration(bytes/kvBytesPerSecond*float64(time.Second))
	s.clock.after(transferTime, func() {
		switch {
		case j.ended:
		case j.decodeEngine.acceptsJobs():
			j.releaseDecodeEngine()
			j.decodeEngine.enqueueDecode(j)
		default:
			j.ended = true
			j.onFail()
		}
	})
}

// cancelJob removes a job whose caller gave up from its engines.
func (s *simulation) cancelJob(j *job) {
	j.ended = true
	j.releaseDecodeEngine()
	j.prefillEngine.cancelJob(j)
	if j.decodeEngine != j.prefillEngine {
		j.decodeEngine.cancelJob(j)
	}
}

func (s *simulation) sendCall(x *exchange) {
	var target *plainService
	for _, p := range s.plainServices {
		if p.id == x.choice.Instance {
			target = p
		}
	}
	c := &call{record: x.record}
	x.call = c
	isActive := func() bool { return x.call == c && x.outcomes == 0 }
	c.onStart = func() {
		x.callRuns++
		if x.callRuns > 1 {
			s.recordFault("call %d ran %d times", x.record.ID, x.callRuns)
		}
	}
	c.onDone = func() {
		s.clock.after(s.profile.Network, func() {
			if isActive() {
				x.complete(0)
			}
		})
	}
	c.onFail = func() {
		if isActive() {
			s.failAttempt(x, peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the service failed"))
		}
	}
	s.clock.after(s.profile.Network, func() {
		if !target.down {
			target.enqueue(c)
			return
		}
		if isActive() {
			s.failAttempt(x, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "the service cannot be reached"))
		}
	})
}

func (s *simulation) failDomain(domain string) {
	for _, e := range s.engines {
		if e.domain == domain && e.state != stateProvisioning && e.state != stateRemoved {
			e.fail()
		}
	}
	for _, p := range s.plainServices {
		if p.domain == domain {
			p.fail()
		}
	}
	s.publishServers(failureDetectionTime)
}

func (s *simulation) restoreDomain(domain string) {
	for _, e := range s.engines {
		if e.domain == domain && e.state == stateDown {
			e.state = stateServing
		}
	}
	for _, p := range s.plainServices {
		if p.domain == domain {
			p.down = false
		}
	}
	s.publishServers(serverListLag)
}

func (e *engine) acceptsJobs() bool {
	return e.state == stateServing || e.state == stateDraining
}

// reserveDecodeEngine keeps the job's decode engine from finishing a drain
// before the KV cache has arrived there.
func (j *job) reserveDecodeEngine() {
	j.hasReservation = true
	j.decodeEngine.reservations++
}

// releaseDecodeEngine undoes reserveDecodeEngine. It does nothing without a
// reservation.
func (j *job) releaseDecodeEngine() {
	if !j.hasReservation {
		return
	}
	j.hasReservation = false
	j.decodeEngine.reservations--
	j.decodeEngine.clock.after(0, j.decodeEngine.tick)
}
