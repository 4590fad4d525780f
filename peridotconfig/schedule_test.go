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
	processes       = domainCount * (1 + agentsPerDomain)
	faultsUntil     = 60 * time.Second
	inForceWithin   = 3 * time.Second
	// readersPerDomain is how many entry instances of a failure domain check the
	// table service.
	readersPerDomain = 2
	callTimeout      = time.Second
	keyCount         = 60
)

var errCut = errors.New("no answer")

// shape is the number of processes of each kind. The first processes of a failure
// domain are entry instances, the others agents.
type shape struct {
	domains, entries, agents int
}

func (s shape) processes() int { return s.domains * (s.entries + s.agents) }

// links returns the agents that an entry instance pings.
func (s shape) links(p *process) []int {
	var entries, agents []string
	for id := range s.processes() {
		if id%(s.entries+s.agents) < s.entries {
			entries = append(entries, strconv.Itoa(id))
		} else {
			agents = append(agents, strconv.Itoa(id))
		}
	}
	if !p.entry {
		return nil
	}
	var links []int
	for _, name := range linksPerProcess.Agents(p.name(), entries, agents) {
		id, _ := strconv.Atoi(name)
		links = append(links, id)
	}
	return links
}

// linksPerProcess links the four entry instances of a small schedule to all agents.
var linksPerProcess = peridotmember.Links{PerEntry: 4, PerAgent: 4}

// process is one process of a schedule.
type process struct {
	id     int
	life   int
	domain int
	entry  bool
	// links are the agents that an entry instance pings.
	links  []int
	paused time.Time
	*Follower
	// pongs holds when each agent last answered, and in which life.
	pongs map[int]Witness
	seen  map[int]time.Time
}

func (p *process) name() string { return strconv.Itoa(p.id) }

func (p *process) witness() Witness {
	return Witness{Domain: strconv.Itoa(p.domain), Instance: p.name(), Incarnation: strconv.Itoa(p.life)}
}

// event runs at a process; it is dropped when the process was restarted since.
type event struct {
	at    time.Time
	order int
	id    int
	life  int
	run   func()
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

// world runs one schedule in fake time.
type world struct {
	t        testing.TB
	shape    shape
	seed     uint64
	random   *rand.Rand
	now      time.Time
	start    time.Time
	queue    events
	order    int
	procs    []*process
	commits  []Commit
	down     bool
	storeCut map[int]bool
	cut      map[[2]int]bool
	faults   bool
	// accepted holds when the withdrawal of a key was accepted.
	accepted map[string]time.Time
	nextKey  int
	starts   int
	heals    []heal
	// atHeal is the number of the newest commit when all failures ended.
	atHeal int64
}

// heal ends a failure.
type heal struct {
	at  time.Time
	run func()
}

func newWorld(t testing.TB, seed uint64) *world {
	return newShapedWorld(t, seed, shape{domainCount, 1, agentsPerDomain})
}

func newShapedWorld(t testing.TB, seed uint64, s shape) *world {
	w := &world{
		t:        t,
		shape:    s,
		seed:     seed,
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1000, 0),
		start:    time.Unix(1000, 0),
		procs:    make([]*process, s.processes()),
		storeCut: make(map[int]bool),
		cut:      make(map[[2]int]bool),
		accepted: make(map[string]time.Time),
	}
	changes := Changes{PutAccount{Account: Account{Name: "matriz-recife", Weight: 1}}}
	for i := range keyCount {
		changes = append(changes, GiveKey{Key: Key{ID: fmt.Sprint("k", i), Account: "matriz-recife"}})
	}
	var panel Panel
	panel.Number = 1
	for i := range w.procs {
		if p := w.boot(i, 0); i%(s.entries+s.agents) == s.entries {
			panel.Witnesses = append(panel.Witnesses, p.witness())
		}
	}
	w.commits = []Commit{{Seq: 1, Changes: append(changes, AppointPanel{Panel: panel})}}
	return w
}

func (w *world) boot(id, life int) *process {
	perDomain := w.shape.entries + w.shape.agents
	p := &process{id: id, life: life, domain: id / perDomain, entry: id%perDomain < w.shape.entries, pongs: make(map[int]Witness), seen: make(map[int]time.Time)}
	p.links = w.shape.links(p)
	var options []FollowerOption
	if !p.entry {
		options = append(options, WithoutStore())
	}
	p.Follower = NewFollower(uint64(id), options...)
	p.SetReader(id%perDomain < readersPerDomain)
	w.procs[id] = p
	w.every(p, 100*time.Millisecond, func() { w.tick(p) })
	if p.entry {
		w.every(p, time.Second, func() { w.pingAll(p) })
		w.every(p, 50*time.Millisecond, func() { w.call(p) })
		w.every(p, 3*time.Second, func() { w.operate(p) })
	}
	return p
}

func (w *world) after(p *process, d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, id: p.id, life: p.life, run: run})
}

func (w *world) every(p *process, d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.after(p, d, again)
	}
	w.after(p, time.Duration(w.random.Int64N(int64(d))), again)
}

// send delivers a message unless the two processes are cut off from each other.
func (w *world) send(from, to *process, run func()) {
	if w.cut[[2]int{from.id, to.id}] {
		return
	}
	delay := time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Millisecond)))
	if w.faults && w.random.IntN(50) == 0 {
		delay += time.Duration(w.random.Int64N(int64(6 * time.Second)))
	}
	w.after(to, delay, run)
}

func (w *world) runUntil(end time.Duration) {
	for w.queue.Len() > 0 && !w.queue[0].at.After(w.start.Add(end)) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		p := w.procs[e.id]
		if p.life != e.life {
			continue
		}
		if p.paused.After(w.now) {
			e.at = p.paused
			heap.Push(&w.queue, e)
			continue
		}
		before := p.Config().Seq
		e.run()
		if got := p.Config().Seq; got < before {
			w.t.Fatalf("seed %d: version of process %d: got %d after %d, want no step back", w.seed, p.id, got, before)
		}
	}
}

func (w *world) tick(p *process) {
	for _, action := range p.Tick(w.now) {
		switch action := action.(type) {
		case CheckHead:
			w.checkHead(p)
		case AskWitnesses:
			w.ask(p)
		case Fetch:
			w.fetch(p, action)
		}
	}
}

// checkHead asks the table service; an answer may be late, and p may be paused.
func (w *world) checkHead(p *process) {
	sent := w.now
	ended := false
	end := func(seq int64, err error) {
		if !ended {
			ended = true
			p.Checked(sent, seq, err)
		}
	}
	w.after(p, callTimeout, func() { end(0, errCut) })
	if w.down || w.storeCut[p.id] {
		return
	}
	seq := int64(len(w.commits))
	w.after(p, time.Duration(w.random.Int64N(int64(20*time.Millisecond))), func() { end(seq, nil) })
}

func (w *world) fetch(p *process, f Fetch) {
	ended := false
	end := func(c *Config, err error) {
		if ended {
			return
		}
		ended = true
		if err == nil {
			p.Adopt(c)
		}
		p.Fetched(w.now, err)
	}
	w.after(p, callTimeout, func() { end(nil, errCut) })
	if f.Peer == "" {
		if !w.down && !w.storeCut[p.id] {
			// The read may be stale: it may lack the last commits.
			seen := w.commits[:max(1, len(w.commits)-w.random.IntN(2))]
			c, err := Replay(p.Config(), seen)
			w.after(p, time.Millisecond, func() { end(c, err) })
		}
		return
	}
	id, _ := strconv.Atoi(f.Peer)
	peer := w.procs[id]
	w.send(p, peer, func() {
		c := peer.Config()
		w.send(peer, p, func() { end(c, nil) })
	})
}

// pingAll is the exchange of versions between an entry instance and the agents.
func (w *world) pingAll(p *process) {
	for _, id := range p.links {
		w.ping(p, w.procs[id])
	}
}

// ask exchanges versions with the witnesses.
func (w *world) ask(p *process) {
	for _, panel := range p.Config().Panels {
		for _, witness := range panel.Witnesses {
			id, _ := strconv.Atoi(witness.Instance)
			w.ping(p, w.procs[id])
		}
	}
}

func (w *world) ping(p, a *process) {
	pinged, asked := w.now, p.Config()
	w.send(p, a, func() {
		a.Heard(p.name(), asked.Seq, time.Time{})
		stamp, proof, identity := w.now, a.Proof(), a.witness()
		age := w.now.Sub(proof.At)
		w.send(a, p, func() {
			w.pong(p, a, asked, pinged, proof, age, identity)
			back := p.Proof()
			backAge := w.now.Sub(back.At)
			w.send(p, a, func() {
				a.Heard(p.name(), back.Seq, counted(stamp, back, backAge))
			})
		})
	})
}

func counted(from time.Time, proof Proof, age time.Duration) time.Time {
	if proof.At.IsZero() {
		return time.Time{}
	}
	return from.Add(-age)
}

func (w *world) pong(p, a *process, asked *Config, pinged time.Time, proof Proof, age time.Duration, identity Witness) {
	p.Heard(a.name(), proof.Seq, counted(pinged, proof, age))
	p.Reported(asked, Report{Witness: identity, Seq: proof.Seq, Sent: pinged})
	p.pongs[a.id], p.seen[a.id] = identity, w.now
}

// call starts keyed work at an entry instance with some key: the entry checks,
// and so does the agent when the message arrives, however late.
func (w *world) call(p *process) {
	id := fmt.Sprint("k", w.random.IntN(min(w.nextKey+2, keyCount)))
	key, ok := p.Config().Key(id)
	if !ok || key.Withdrawn || !p.Fresh(w.now) {
		return
	}
	seq := p.Config().Seq
	a := w.procs[p.links[w.random.IntN(len(p.links))]]
	w.send(p, a, func() {
		if !a.Fresh(w.now) || !a.Config().Admits(id, seq) {
			return
		}
		w.starts++
		if at, ok := w.accepted[id]; ok && w.now.Sub(at) > DefaultBound {
			w.t.Errorf("seed %d: key %s: started %v after its withdrawal was accepted, want at most %v", w.seed, id, w.now.Sub(at), DefaultBound)
		}
	})
}

// operate commits at an entry instance: a withdrawal, or a change of the panels.
func (w *world) operate(p *process) {
	if w.down || w.storeCut[p.id] || p.Config().Seq != int64(len(w.commits)) {
		return
	}
	var candidates []Witness
	for _, id := range p.links {
		if at, ok := p.seen[id]; ok && w.now.Sub(at) < 2*time.Second {
			candidates = append(candidates, p.pongs[id])
		}
	}
	change := p.Reports.Succession(p.Config(), candidates, w.now)
	if change == nil && w.faults && w.nextKey < keyCount {
		change = WithdrawKey{ID: fmt.Sprint("k", w.nextKey)}
		w.nextKey++
	}
	if change == nil {
		return
	}
	commit := Commit{Seq: int64(len(w.commits)) + 1, Changes: Changes{change}}
	w.commits = append(w.commits, commit)
	if w.random.IntN(5) == 0 {
		return // The answer is lost; nobody learns that it was accepted.
	}
	c, err := Replay(p.Config(), []Commit{commit})
	if err != nil {
		w.t.Fatal(err)
	}
	p.Adopt(c)
	if withdrawal, ok := change.(WithdrawKey); ok {
		w.awaitAccepted(p, withdrawal.ID, commit.Seq)
	}
}

func (w *world) awaitAccepted(p *process, keyID string, seq int64) {
	if p.Reports.Accepted(p.Config(), seq) {
		w.accepted[keyID] = w.now
		return
	}
	w.ask(p)
	w.after(p, 200*time.Millisecond, func() { w.awaitAccepted(p, keyID, seq) })
}
