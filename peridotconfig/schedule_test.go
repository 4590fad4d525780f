package peridotconfig

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"peridotstack/peridotmember"
)

const (
	domainCount     = 4
	agentsPerDomain = 2
	processCount    = domainCount * (1 + agentsPerDomain)
	faultsEnd       = 60 * time.Second
	catchUpTime     = 3 * time.Second
	// readersPerDomain is the maximum number of readers per failure domain.
	readersPerDomain = 2
	callTimeout      = time.Second
	keyCount         = 60
)

var errNoAnswer = errors.New("no answer")

// clusterSize is the number of failure domains, and of entry instances and agents
// in each. The entry instances have the lowest ids in their failure domain.
type clusterSize struct {
	domains, entries, agents int
}

func (s clusterSize) processCount() int { return s.domains * (s.entries + s.agents) }

// agentsOf returns the agents that an entry instance pings.
func (s clusterSize) agentsOf(p *process) []int {
	var entries, agents []string
	for id := range s.processCount() {
		if id%(s.entries+s.agents) < s.entries {
			entries = append(entries, strconv.Itoa(id))
		} else {
			agents = append(agents, strconv.Itoa(id))
		}
	}
	if !p.isEntry {
		return nil
	}
	var links []int
	for _, name := range linksPerProcess.Agents(p.name(), entries, agents) {
		id, _ := strconv.Atoi(name)
		links = append(links, id)
	}
	return links
}

// linksPerProcess links each of the four entry instances of newSimulation to all
// agents.
var linksPerProcess = peridotmember.Links{PerEntry: 4, PerAgent: 4}

// process is one process of a simulation.
type process struct {
	id          int
	incarnation int
	domain      int
	isEntry     bool
	// linkedAgents are the agents that an entry instance pings.
	linkedAgents []int
	pausedUntil  time.Time
	*Follower
	// lastPongFrom and lastPongAt hold the identity of each agent in its last pong
	// and the time of that pong, by agent id.
	lastPongFrom map[int]Witness
	lastPongAt   map[int]time.Time
}

func (p *process) name() string { return strconv.Itoa(p.id) }

func (p *process) witness() Witness {
	return Witness{Domain: strconv.Itoa(p.domain), Instance: p.name(), Incarnation: strconv.Itoa(p.incarnation)}
}

// event is a function that runs at a process. It is dropped if the process has
// restarted since the event was scheduled.
type event struct {
	at          time.Time
	order       int
	id          int
	incarnation int
	run         func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates the processes of a cluster, their messages and the table
// service in fake time.
type simulation struct {
	t         testing.TB
	size      clusterSize
	seed      uint64
	random    *rand.Rand
	now       time.Time
	start     time.Time
	queue     events
	order     int
	processes []*process
	// commits is the content of the table service.
	commits   []Commit
	storeDown bool
	// storeCutOff is set for each process that cannot reach the table service.
	storeCutOff map[int]bool
	// linkCut is set for each pair of processes, sender first, whose messages are
	// lost.
	linkCut map[[2]int]bool
	// faultsActive makes some messages late, and enables withdrawals of keys.
	faultsActive bool
	// acceptedAt holds when the withdrawal of each key was accepted, by key ID.
	acceptedAt        map[string]time.Time
	nextKey           int
	startedRequests   int
	pendingRecoveries []recovery
	// seqAtRecovery is the number of the newest commit when the last failure ended.
	seqAtRecovery int64
}

// recovery is a function that ends a failure at a given time.
type recovery struct {
	at  time.Time
	run func()
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	return newSizedSimulation(t, seed, clusterSize{domainCount, 1, agentsPerDomain})
}

func newSizedSimulation(t testing.TB, seed uint64, s clusterSize) *simulation {
	sm := &simulation{
		t:           t,
		size:        s,
		seed:        seed,
		random:      rand.New(rand.NewPCG(seed, 1)),
		now:         time.Unix(1000, 0),
		start:       time.Unix(1000, 0),
		processes:   make([]*process, s.processCount()),
		storeCutOff: make(map[int]bool),
		linkCut:     make(map[[2]int]bool),
		acceptedAt:  make(map[string]time.Time),
	}
	changes := Changes{PutAccount{Account: Account{Name: "matriz-recife", Weight: 1}}}
	for i := range keyCount {
		changes = append(changes, GiveKey{Key: Key{ID: fmt.Sprint("k", i), Account: "matriz-recife"}})
	}
	var panel Panel
	panel.Number = 1
	for i := range sm.processes {
		if p := sm.startProcess(i, 0); i%(s.entries+s.agents) == s.entries {
			panel.Witnesses = append(panel.Witnesses, p.witness())
		}
	}
	sm.commits = []Commit{{Seq: 1, Changes: append(changes, AppointPanel{Panel: panel})}}
	return sm
}

func (sm *simulation) startProcess(id, incarnation int) *process {
	perDomain := sm.size.entries + sm.size.agents
	p := &process{id: id, incarnation: incarnation, domain: id / perDomain, isEntry: id%perDomain < sm.size.entries, lastPongFrom: make(map[int]Witness), lastPongAt: make(map[int]time.Time)}
	p.linkedAgents = sm.size.agentsOf(p)
	var options []FollowerOption
	if !p.isEntry {
		options = append(options, WithoutStore())
	}
	p.Follower = NewFollower(uint64(id), options...)
	p.SetReader(id%perDomain < readersPerDomain)
	sm.processes[id] = p
	sm.scheduleEvery(p, 100*time.Millisecond, func() { sm.tick(p) })
	if p.isEntry {
		sm.scheduleEvery(p, time.Second, func() { sm.pingAll(p) })
		sm.scheduleEvery(p, 50*time.Millisecond, func() { sm.sendRequest(p) })
		sm.scheduleEvery(p, 3*time.Second, func() { sm.commitChange(p) })
	}
	return p
}

func (sm *simulation) schedule(p *process, d time.Duration, run func()) {
	sm.order++
	heap.Push(&sm.queue, event{at: sm.now.Add(d), order: sm.order, id: p.id, incarnation: p.incarnation, run: run})
}

func (sm *simulation) scheduleEvery(p *process, d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		sm.schedule(p, d, again)
	}
	sm.schedule(p, time.Duration(sm.random.Int64N(int64(d))), again)
}

// send delivers a message after a random delay, unless the link between the two
// processes is cut.
func (sm *simulation) send(from, to *process, run func()) {
	if sm.linkCut[[2]int{from.id, to.id}] {
		return
	}
	delay := time.Millisecond + time.Duration(sm.random.Int64N(int64(4*time.Millisecond)))
	if sm.faultsActive && sm.random.IntN(50) == 0 {
		delay += time.Duration(sm.random.Int64N(int64(6 * time.Second)))
	}
	sm.schedule(to, delay, run)
}

func (sm *simulation) runUntil(end time.Duration) {
	for sm.queue.Len() > 0 && !sm.queue[0].at.After(sm.start.Add(end)) {
		e := heap.Pop(&sm.queue).(event)
		sm.now = e.at
		p := sm.processes[e.id]
		if p.incarnation != e.incarnation {
			continue
		}
		if p.pausedUntil.After(sm.now) {
			e.at = p.pausedUntil
			heap.Push(&sm.queue, e)
			continue
		}
		before := p.Config().Seq
		e.run()
		if got := p.Config().Seq; got < before {
			sm.t.Fatalf("seed %d: version of process %d: got %d after %d, want no decrease", sm.seed, p.id, got, before)
		}
	}
}

func (sm *simulation) tick(p *process) {
	for _, action := range p.Tick(sm.now) {
		switch action := action.(type) {
		case CheckHead:
			sm.checkHead(p)
		case AskWitnesses:
			sm.pingWitnesses(p)
		case Fetch:
			sm.fetch(p, action)
		}
	}
}

// checkHead reads the head from the table service. The answer may arrive after
// callTimeout, for instance because p is paused.
func (sm *simulation) checkHead(p *process) {
	sent := sm.now
	ended := false
	end := func(seq int64, err error) {
		if !ended {
			ended = true
			p.HandleCheckResult(sent, seq, err)
		}
	}
	sm.schedule(p, callTimeout, func() { end(0, errNoAnswer) })
	if sm.storeDown || sm.storeCutOff[p.id] {
		return
	}
	seq := int64(len(sm.commits))
	sm.schedule(p, time.Duration(sm.random.Int64N(int64(20*time.Millisecond))), func() { end(seq, nil) })
}

func (sm *simulation) fetch(p *process, f Fetch) {
	ended := false
	end := func(c *Config, err error) {
		if ended {
			return
		}
		ended = true
		if err == nil {
			p.Adopt(c)
		}
		p.HandleFetchResult(sm.now, err)
	}
	sm.schedule(p, callTimeout, func() { end(nil, errNoAnswer) })
	if f.Peer == "" {
		if !sm.storeDown && !sm.storeCutOff[p.id] {
			// The read may be stale and lack the last commit.
			seen := sm.commits[:max(1, len(sm.commits)-sm.random.IntN(2))]
			c, err := Replay(p.Config(), seen)
			sm.schedule(p, time.Millisecond, func() { end(c, err) })
		}
		return
	}
	id, _ := strconv.Atoi(f.Peer)
	peer := sm.processes[id]
	sm.send(p, peer, func() {
		c := peer.Config()
		sm.send(peer, p, func() { end(c, nil) })
	})
}

// pingAll exchanges versions between an entry instance and its linked agents.
func (sm *simulation) pingAll(p *process) {
	for _, id := range p.linkedAgents {
		sm.ping(p, sm.processes[id])
	}
}

// pingWitnesses exchanges versions with the witnesses.
func (sm *simulation) pingWitnesses(p *process) {
	for _, panel := range p.Config().Panels {
		for _, witness := range panel.Witnesses {
			id, _ := strconv.Atoi(witness.Instance)
			sm.ping(p, sm.processes[id])
		}
	}
}

func (sm *simulation) ping(p, a *process) {
	sentAt, configAtSend := sm.now, p.Config()
	sm.send(p, a, func() {
		a.HandleVersion(p.name(), configAtSend.Seq, time.Time{})
		stamp, proof, identity := sm.now, a.Proof(), a.witness()
		age := sm.now.Sub(proof.At)
		sm.send(a, p, func() {
			sm.handlePong(p, a, configAtSend, sentAt, proof, age, identity)
			confirmed := p.Proof()
			confirmedAge := sm.now.Sub(confirmed.At)
			sm.send(p, a, func() {
				a.HandleVersion(p.name(), confirmed.Seq, proofTime(stamp, confirmed, confirmedAge))
			})
		})
	})
}

func proofTime(from time.Time, proof Proof, age time.Duration) time.Time {
	if proof.At.IsZero() {
		return time.Time{}
	}
	return from.Add(-age)
}

func (sm *simulation) handlePong(p, a *process, configAtSend *Config, sentAt time.Time, proof Proof, age time.Duration, identity Witness) {
	p.HandleVersion(a.name(), proof.Seq, proofTime(sentAt, proof, age))
	p.HandleReport(configAtSend, Report{Witness: identity, Seq: proof.Seq, Sent: sentAt})
	p.lastPongFrom[a.id], p.lastPongAt[a.id] = identity, sm.now
}

// sendRequest sends a request with a random key from an entry instance to an agent.
// The entry instance checks the key when it sends the request, and the agent checks
// it again when the request arrives.
func (sm *simulation) sendRequest(p *process) {
	id := fmt.Sprint("k", sm.random.IntN(min(sm.nextKey+2, keyCount)))
	key, ok := p.Config().Key(id)
	if !ok || key.Withdrawn || !p.Fresh(sm.now) {
		return
	}
	seq := p.Config().Seq
	a := sm.processes[p.linkedAgents[sm.random.IntN(len(p.linkedAgents))]]
	sm.send(p, a, func() {
		if !a.Fresh(sm.now) || !a.Config().AdmitsKey(id, seq) {
			return
		}
		sm.startedRequests++
		if at, ok := sm.acceptedAt[id]; ok && sm.now.Sub(at) > DefaultMaxProofAge {
			sm.t.Errorf("seed %d: key %s: started %v after its withdrawal was accepted, want at most %v", sm.seed, id, sm.now.Sub(at), DefaultMaxProofAge)
		}
	})
}

// commitChange commits a change of the panels, if one is due, or else the withdrawal
// of a key at an entry instance.
func (sm *simulation) commitChange(p *process) {
	if sm.storeDown || sm.storeCutOff[p.id] || p.Config().Seq != int64(len(sm.commits)) {
		return
	}
	var candidates []Witness
	for _, id := range p.linkedAgents {
		if at, ok := p.lastPongAt[id]; ok && sm.now.Sub(at) < 2*time.Second {
			candidates = append(candidates, p.lastPongFrom[id])
		}
	}
	change := p.Reports.NextPanelChange(p.Config(), candidates, sm.now)
	if change == nil && sm.faultsActive && sm.nextKey < keyCount {
		change = WithdrawKey{ID: fmt.Sprint("k", sm.nextKey)}
		sm.nextKey++
	}
	if change == nil {
		return
	}
	commit := Commit{Seq: int64(len(sm.commits)) + 1, Changes: Changes{change}}
	sm.commits = append(sm.commits, commit)
	if sm.random.IntN(5) == 0 {
		return // The answer is lost, so no process waits until the commit is accepted.
	}
	c, err := Replay(p.Config(), []Commit{commit})
	if err != nil {
		sm.t.Fatal(err)
	}
	p.Adopt(c)
	if withdrawal, ok := change.(WithdrawKey); ok {
		sm.awaitAccepted(p, withdrawal.ID, commit.Seq)
	}
}

func (sm *simulation) awaitAccepted(p *process, keyID string, seq int64) {
	if p.Reports.Accepted(p.Config(), seq) {
		sm.acceptedAt[keyID] = sm.now
		return
	}
	sm.pingWitnesses(p)
	sm.schedule(p, 200*time.Millisecond, func() { sm.awaitAccepted(p, keyID, seq) })
}
