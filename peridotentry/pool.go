package peridotentry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotmember"
	"peridotstack/peridotplatform"
	"peridotstack/peridotroute"
	"peridotstack/peridotsync"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
	"peridotstack/peridotwire"
)

const (
	discoverInterval = time.Second
	pingInterval     = time.Second
	// firstPingInterval is the time between pings of an agent that has no
	// configuration yet.
	firstPingInterval = 50 * time.Millisecond
	// pingTimeout unmasks a connection that has gone silent. A ping waits behind the
	// requests that are being sent, which narrowLink bytes a second allow for.
	pingTimeout = 3 * time.Second
	narrowLink  = 250_000
	dialTimeout = 2 * time.Second
	// redialPause is the first pause before an agent is dialed again; it doubles
	// up to pingInterval until a connection has lasted for steadyTime.
	redialPause = 50 * time.Millisecond
	steadyTime  = 5 * time.Second
)

// link is the connection to one agent. Its fields are guarded by the pool.
type link struct {
	instance peridotplatform.Instance
	// peer is nil while there is no connection.
	peer *peridotwire.Peer
	pong peridotwire.Pong
	// outstanding counts the requests sent and not yet answered, bytes is the size of
	// those that have not surely arrived.
	outstanding int
	bytes       int
	stop        context.CancelFunc
}

// pool keeps one connection to each agent.
type pool struct {
	self   string
	domain string
	// identity proves who this process is to the agents; nil on loopback.
	identity *peridotwire.Identity
	list     func(context.Context) ([]peridotplatform.Instance, error)
	// node is set before the pool is used.
	node *peridotsync.Node
	// observe is told the load of an agent that answered a heartbeat.
	observe func(instance string, l peridotwire.Load)
	// collectors take the figures that agents hand over.
	collectors collectors

	mu        sync.Mutex
	view      peridotmember.View
	links     map[string]*link
	exchanges map[string]*exchange
	// changes counts the changes of what servers and entries return.
	changes uint64
	entries int
}

func newPool(self, domain string, list func(context.Context) ([]peridotplatform.Instance, error)) *pool {
	return &pool{
		self:      self,
		domain:    domain,
		list:      list,
		observe:   func(string, peridotwire.Load) {},
		links:     make(map[string]*link),
		exchanges: make(map[string]*exchange),
	}
}

// Serve follows the platform's list of instances until ctx is done. Its links end
// with it, so that a supervisor can start it anew.
func (p *pool) Serve(ctx context.Context) error {
	defer p.closeLinks()
	ticker := time.NewTicker(discoverInterval)
	defer ticker.Stop()
	for {
		asked := time.Now()
		if instances, err := p.list(ctx); err == nil {
			p.update(ctx, instances, asked)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *pool) closeLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.links {
		l.stop()
		delete(p.links, id)
	}
	p.changes++
}

// update opens links to new agents and closes those to agents that are gone.
func (p *pool) update(ctx context.Context, instances []peridotplatform.Instance, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes++
	p.entries = 0
	p.listed(instances, asked)
	for _, instance := range instances {
		if instance.Role == peridotplatform.RoleEntry && !instance.Leaving {
			p.entries++
		}
		if instance.Role != peridotplatform.RoleAgent {
			continue
		}
		if l, ok := p.links[instance.ID]; ok {
			l.instance = instance
			continue
		}
		linkCtx, stop := context.WithCancel(ctx)
		l := &link{instance: instance, stop: stop}
		p.links[instance.ID] = l
		go p.maintain(linkCtx, l, instance.Address)
	}
	for id, l := range p.links {
		if p.dropped(id) && l.outstanding == 0 {
			l.stop()
			delete(p.links, id)
		}
	}
}

// maintain dials an agent again and again, and pings it while connected. A
// connection that broke is replaced soon, for answers wait to be resumed; the
// pauses grow while connections fail or do not last.
func (p *pool) maintain(ctx context.Context, l *link, address string) {
	pause := redialPause
	for ctx.Err() == nil {
		dialed := time.Now()
		if peer, err := p.connect(ctx, l, address); err == nil {
			p.keepAlive(ctx, l, peer)
		} else {
			log.Debug(logPrefix + "agent " + address + " is out of reach: " + err.Error())
		}
		if time.Since(dialed) >= steadyTime {
			pause = redialPause
		}
		peridotwait.Sleep(ctx, pause)
		pause = min(2*pause, pingInterval)
	}
}

// connect dials an agent and returns once it has answered a heartbeat.
func (p *pool) connect(ctx context.Context, l *link, address string) (*peridotwire.Peer, error) {
	conn, err := p.identity.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	peer := peridotwire.NewPeer(context.WithoutCancel(ctx), conn, p)
	if err := p.ping(ctx, l, peer); err != nil {
		_ = peer.Close()
		return nil, err
	}
	return peer, nil
}

// keepAlive pings an agent until its connection is lost.
func (p *pool) keepAlive(ctx context.Context, l *link, peer *peridotwire.Peer) {
	defer peer.Close()
	defer p.setPeer(l, nil)
	for {
		select {
		case <-time.After(p.pingPause(l)):
		case <-peer.Closed():
			return
		case <-ctx.Done():
			return
		}
		if p.ping(ctx, l, peer) != nil {
			return
		}
	}
}

// pingPause returns the time from one ping of an agent to the next.
func (p *pool) pingPause(l *link) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.pong.Version.Seq == 0 {
		return firstPingInterval
	}
	return pingInterval
}

func (p *pool) ping(ctx context.Context, l *link, peer *peridotwire.Peer) error {
	p.mu.Lock()
	instance := l.instance
	timeout := pingTimeout + l.sending()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pong, err := p.exchangeVersions(ctx, peer, instance)
	if err != nil {
		return err
	}
	p.observe(p.answered(l, peer, pong), pong.Load)
	return nil
}

// answered keeps what an agent answered to a heartbeat and returns its instance.
func (p *pool) answered(l *link, peer *peridotwire.Peer, pong peridotwire.Pong) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	same := (l.pong.Version.Seq > 0) == (pong.Version.Seq > 0)
	if l.peer != peer || l.pong.Leaving != pong.Leaving || l.pong.Quiet != pong.Quiet || !same {
		p.changes++
	}
	l.pong = pong
	l.peer = peer
	return l.instance.ID
}

func (p *pool) setPeer(l *link, peer *peridotwire.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes++
	l.peer = peer
}

// sending is how long the requests on the way may keep others waiting. The pool is
// locked.
func (l *link) sending() time.Duration {
	return time.Duration(l.bytes) * time.Second / narrowLink
}

// acquire returns the connection to an agent for a request of some bytes. arrived
// must be called once the agent has got it, release once it has ended.
func (p *pool) acquire(instance string, bytes int) (*link, *peridotwire.Peer, *peridotverdict.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[instance]
	if !ok || !p.accepts(l) {
		return nil, nil, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the backend server "+instance+" is out of reach", peridotverdict.RetryAfter(time.Second))
	}
	l.outstanding++
	l.bytes += bytes
	return l, l.peer, nil
}

// change returns a number that grows when servers or entryCount may return
// something new.
func (p *pool) change() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes
}

// servers returns the backend servers that the agents stand beside.
func (p *pool) servers() []peridotroute.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]peridotroute.Server, 0, len(p.links))
	for _, l := range p.links {
		list = append(list, peridotroute.Server{
			Instance: l.instance.ID,
			Domain:   l.instance.Domain,
			Model:    l.instance.Model,
			Service:  l.instance.Service,
			Leaving:  p.view.MarkedLeaving(l.instance.ID),
			Down:     !p.accepts(l),
		})
	}
	// The order decides which servers a random draw hits.
	slices.SortFunc(list, func(a, b peridotroute.Server) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// entryCount returns how many entry instances callers are spread over.
func (p *pool) entryCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, p.entries)
}

// arrived notes that an agent has got a request of some bytes, or never will.
func (p *pool) arrived(l *link, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.bytes -= bytes
}

// heard notes that an agent has begun to answer a request.
func (p *pool) heard(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.RecordAnswer(peridotmember.Answer{Instance: l.instance.ID, Incarnation: l.pong.Incarnation, Leaving: l.pong.Leaving, Sent: time.Now()})
}

// release ends a request on a link.
func (p *pool) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.outstanding--
}

// peerOf returns the present connection to an agent, or nil.
func (p *pool) peerOf(instance string) *peridotwire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[instance]; ok {
		return l.peer
	}
	return nil
}

// Call serves an agent that is behind or hands figures of use over; agents ask
// for nothing else.
func (p *pool) Call(_ context.Context, _ *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	var f peridotwire.Fetch
	if method == peridotwire.MethodUsage {
		return p.collectors.receive(params)
	}
	if method == peridotwire.MethodCommits && json.Unmarshal(params, &f) == nil {
		return p.node.UpdateSince(f.After), nil
	}
	return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "an entry instance takes no requests here")
}

// Notice hands chunks to the exchange they belong to.
func (p *pool) Notice(_ *peridotwire.Peer, method string, params json.RawMessage) {
	if method != peridotwire.MethodChunks {
		return
	}
	var c peridotwire.Chunks
	if json.Unmarshal(params, &c) != nil {
		return
	}
	p.mu.Lock()
	x := p.exchanges[c.RequestID]
	p.mu.Unlock()
	if x != nil {
		x.take(c)
	}
}

// open registers an exchange so that its chunks find it.
func (p *pool) open(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exchanges[x.request.RequestID] = x
}

// close forgets an exchange.
func (p *pool) close(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.exchanges, x.request.RequestID)
}
