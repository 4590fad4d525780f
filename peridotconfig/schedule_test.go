package peridotconfig

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const (
	domains         = 4
	agentsPerDomain = 2
	processes       = domains * (1 + agentsPerDomain)
	faultsUntil     = 60 * time.Second
	inForceWithin   = 7 * time.Second
	callTimeout     = 2 * time.Second
	keyCount        = 60
)

var errCut = errors.New("no answer")

// process is one process of a schedule. The first process of each failure
// domain is an entry instance, the others are agents.
type process struct {
	id     int
	life   int
	entry  bool
	paused time.Time
	*Follower
	// pongs holds when each agent last answered, and in which life.
	pongs map[int]Witness
	seen  map[int]time.Time
}

func (p *process) name() string { return strconv.Itoa(p.id) }

func (p *process) domain() int { return p.id / (1 + agentsPerDomain) }

func (p *process) witness() Witness {
	return Witness{Domain: strconv.Itoa(p.domain()), Instance: p.name(), Incarnation: strconv.Itoa(p.life)}
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
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	now      time.Time
	start    time.Time
	queue    events
	order    int
	procs    [processes]*process
	commits  []Commit
	down     bool
	storeCut [processes]bool
	cut      [processes][processes]bool
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

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), accepted: make(map[string]time.Time)}
	w.start = w.now
	changes := Changes{PutAccount{Account: Account{Name: "matriz-recife", Weight: 1}}}
	for i := range keyCount {
		changes = append(changes, GiveKey{Key: Key{ID: fmt.Sprint("k", i), Account: "matriz-recife"}})
	}
	var panel Panel
	panel.Number = 1
	for i := range processes {
		w.procs[i] = w.boot(i, 0)
		if i%(1+agentsPerDomain) == 1 {
			panel.Witnesses = append(panel.Witnesses, w.procs[i].witness())
		}
	}
	w.commits = []Commit{{Seq: 1, Changes: append(changes, AppointPanel{Panel: panel})}}
	return w
}

func (w *world) boot(id, life int) *process {
	p := &process{id: id, life: life, entry: id%(1+agentsPerDomain) == 0, pongs: make(map[int]Witness), seen: make(map[int]time.Time)}
	var options []FollowerOption
	if !p.entry {
		options = append(options, WithoutStore())
	}
	p.Follower = NewFollower(uint64(id), options...)
	p.SetReader(p.entry)
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
	if w.cut[from.id][to.id] {
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
			w.pingAll(p)
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
	for _, a := range w.procs {
		if !a.entry {
			w.ping(p, a)
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
	a := w.procs[p.domain()*(1+agentsPerDomain)+1+w.random.IntN(agentsPerDomain)]
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
	for id := range processes {
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
	w.pingAll(p)
	w.after(p, 200*time.Millisecond, func() { w.awaitAccepted(p, keyID, seq) })
}
