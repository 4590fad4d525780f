package peridotentry

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotmember"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsync"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	discoverInterval = time.Second
	pingInterval     = time.Second
	// firstPingInterval is the time between pings of an agent that has no
	// configuration yet.
	firstPingInterval = 50 * time.Millisecond
	// pingTimeout unmasks a connection that has gone silent.
	pingTimeout = 3 * time.Second
	dialTimeout = 2 * time.Second
)

// link is the connection to one agent. Its fields are guarded by the pool.
type link struct {
	instance peridotplatform.Instance
	// peer is nil while there is no connection.
	peer *peridotwire.Peer
	pong peridotwire.Pong
	// outstanding counts the requests sent and not yet answered.
	outstanding int
	stop        context.CancelFunc
}

// pool keeps one connection to each agent.
type pool struct {
	self   string
	domain string
	list   func(context.Context) ([]peridotplatform.Instance, error)
	// node is set before the pool is used.
	node *peridotsync.Node

	mu        sync.Mutex
	view      peridotmember.View
	links     map[string]*link
	exchanges map[string]*exchange
}

func newPool(self, domain string, list func(context.Context) ([]peridotplatform.Instance, error)) *pool {
	return &pool{
		self:      self,
		domain:    domain,
		list:      list,
		links:     make(map[string]*link),
		exchanges: make(map[string]*exchange),
	}
}

// Serve follows the platform's list of instances until ctx is done.
func (p *pool) Serve(ctx context.Context) error {
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

// update opens links to new agents and closes those to agents that are gone.
func (p *pool) update(ctx context.Context, instances []peridotplatform.Instance, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed(instances, asked)
	for _, instance := range instances {
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

// maintain dials an agent again and again, and pings it while connected.
func (p *pool) maintain(ctx context.Context, l *link, address string) {
	for ctx.Err() == nil {
		if err := p.connect(ctx, l, address); err != nil {
			log.Debug(logPrefix + "agent " + address + " is out of reach: " + err.Error())
		}
		wait(ctx, pingInterval)
	}
}

// connect runs one connection until it fails.
func (p *pool) connect(ctx context.Context, l *link, address string) error {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	peer := peridotwire.NewPeer(context.WithoutCancel(ctx), conn, p)
	defer peer.Close()
	defer p.setPeer(l, nil)
	for ctx.Err() == nil {
		if err := p.ping(ctx, l, peer); err != nil {
			return err
		}
		wait(ctx, p.pingPause(l))
	}
	return ctx.Err()
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
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	p.mu.Lock()
	instance := l.instance
	p.mu.Unlock()
	pong, err := p.exchangeVersions(ctx, peer, instance)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.pong = pong
	l.peer = peer
	return nil
}

func (p *pool) setPeer(l *link, peer *peridotwire.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.peer = peer
}

// acquire picks the connected agent for target with the fewest outstanding
// requests. release must be called once the request has ended.
func (p *pool) acquire(target string) (*link, *peridotwire.Peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *link
	for _, l := range p.links {
		if !p.usable(l) || !l.serves(target) {
			continue
		}
		if best == nil || l.outstanding < best.outstanding {
			best = l
		}
	}
	if best == nil {
		return nil, nil, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "no backend server for "+target, peridotverdict.RetryAfter(time.Second))
	}
	best.outstanding++
	return best, best.peer, nil
}

// serves reports whether new work for target may go over the link.
func (l *link) serves(target string) bool {
	if l.peer == nil || l.pong.Leaving || l.instance.Leaving {
		return false
	}
	return l.instance.Model == target || l.instance.Service == target
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

// Call serves an agent that is behind; agents ask for nothing else.
func (p *pool) Call(_ context.Context, _ *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	var f peridotwire.Fetch
	if method == peridotwire.MethodCommits && json.Unmarshal(params, &f) == nil {
		return p.node.Since(f.After), nil
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

// wait pauses for d or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
