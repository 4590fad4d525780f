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
	"peridotstack/peridotquarantine"
	"peridotstack/peridotroute"
	"peridotstack/peridotsync"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
	"peridotstack/peridotwire"
)

const (
	// discoverInterval is the time between two reads of the platform's list of
	// instances.
	discoverInterval = time.Second
	pingInterval     = time.Second
	// startupPingInterval is the time between two pings of an agent that has no
	// configuration yet.
	startupPingInterval = 50 * time.Millisecond
	// pingTimeout detects a connection on which nothing arrives any more. A ping is
	// queued after the requests that are being sent, so the timeout is extended by
	// the time that those need at minLinkBytesPerSecond.
	pingTimeout           = 3 * time.Second
	minLinkBytesPerSecond = 250_000
	dialTimeout           = 2 * time.Second
	// initialRedialDelay is the first delay before an agent is dialed again. The
	// delay doubles up to pingInterval and is reset once a connection has lasted for
	// redialResetTime.
	initialRedialDelay = 50 * time.Millisecond
	redialResetTime    = 5 * time.Second
)

// link is the connection to one agent. Its fields are guarded by the pool's mu.
type link struct {
	instance peridotplatform.Instance
	// peer is nil while there is no connection.
	peer *peridotwire.Peer
	pong peridotwire.Pong
	// outstanding is the number of requests sent and not yet answered, and
	// inFlightBytes the total size of those that the agent may not have received
	// yet.
	outstanding   int
	inFlightBytes int
	// unsentCancels lists the runs to cancel once there is a connection. A run whose
	// cancel is lost ends when the agent has missed its reader for long enough.
	unsentCancels []string
	stop          context.CancelFunc
}

// pool keeps one connection to each agent. Its methods are safe for concurrent
// use, unless their comments require that mu is held.
type pool struct {
	self   string
	domain string
	// identity authenticates this process to the agents. It is nil on loopback.
	identity      *peridotwire.Identity
	listInstances func(context.Context) ([]peridotplatform.Instance, error)
	// node must be set before the pool is used.
	node *peridotsync.Node
	// observeLoad is called with the load that an agent reported in its answer to a
	// ping.
	observeLoad func(instance string, l peridotwire.Load)
	// observeEnds is called with the requests under which, by that answer, the agent's
	// backend server ended.
	observeEnds func([]peridotquarantine.Accusation)
	// collectors receive the usage figures that agents hand over.
	collectors collectors

	mu        sync.Mutex
	view      peridotmember.View
	links     map[string]*link
	exchanges map[string]*exchange
	// generation is incremented whenever the results of servers and entryCount may
	// have changed.
	generation uint64
	// listedEntries is the number of entry instances in the platform's list that are
	// not leaving.
	listedEntries int
}

func newPool(self, domain string, list func(context.Context) ([]peridotplatform.Instance, error)) *pool {
	return &pool{
		self:          self,
		domain:        domain,
		listInstances: list,
		observeLoad:   func(string, peridotwire.Load) {},
		observeEnds:   func([]peridotquarantine.Accusation) {},
		links:         make(map[string]*link),
		exchanges:     make(map[string]*exchange),
	}
}

// Serve follows the platform's list of instances until ctx is done. It closes
// all links before it returns, so that a supervisor can call it again.
func (p *pool) Serve(ctx context.Context) error {
	defer p.closeLinks()
	ticker := time.NewTicker(discoverInterval)
	defer ticker.Stop()
	for {
		listedAt := time.Now()
		if instances, err := p.listInstances(ctx); err == nil {
			p.updateLinks(ctx, instances, listedAt)
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
	p.generation++
}

// updateLinks opens links to new agents and closes the links to agents that are
// gone. A link with outstanding requests stays open.
func (p *pool) updateLinks(ctx context.Context, instances []peridotplatform.Instance, listedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	p.listedEntries = 0
	p.applyInstanceList(instances, listedAt)
	for _, instance := range instances {
		if instance.Role == peridotplatform.RoleEntry && !instance.Leaving {
			p.listedEntries++
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
		go p.maintainLink(linkCtx, l, instance.Address)
	}
	for id, l := range p.links {
		if p.isGone(id) && l.outstanding == 0 {
			l.stop()
			delete(p.links, id)
		}
	}
}

// maintainLink dials an agent, pings it until the connection is lost, and dials
// again until ctx is done. The first delay is short because callers may be
// waiting for answers to be resumed. The delay grows while dialing fails or
// connections are short-lived.
func (p *pool) maintainLink(ctx context.Context, l *link, address string) {
	delay := initialRedialDelay
	for ctx.Err() == nil {
		dialedAt := time.Now()
		if peer, err := p.connect(ctx, l, address); err == nil {
			p.keepAlive(ctx, l, peer)
		} else {
			log.Debug(logPrefix + "agent " + address + " is out of reach: " + err.Error())
		}
		if time.Since(dialedAt) >= redialResetTime {
			delay = initialRedialDelay
		}
		peridotwait.Sleep(ctx, delay)
		delay = min(2*delay, pingInterval)
	}
}

// connect dials an agent and returns the connection once the agent has answered
// a ping.
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
	p.sendCancels(l)
	return peer, nil
}

// sendCancels cancels the runs whose cancels could not be sent before.
func (p *pool) sendCancels(l *link) {
	p.mu.Lock()
	runs := l.unsentCancels
	l.unsentCancels = nil
	p.mu.Unlock()
	for _, requestID := range runs {
		p.cancelRun(requestID)
	}
}

// cancelRun notifies the agent that no caller waits for a run. If the agent is out of
// reach, it does so on the next connection.
func (p *pool) cancelRun(requestID string) {
	instance, _ := agentOf(requestID)
	if peer := p.peerOf(instance); peer != nil && peer.Notify(context.Background(), peridotwire.MethodCancel, peridotwire.Cancel{RequestID: requestID}) == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[instance]; ok {
		l.unsentCancels = append(l.unsentCancels, requestID)
	}
}

// keepAlive pings an agent until the connection is lost, a ping fails or ctx is
// done, and then closes the connection.
func (p *pool) keepAlive(ctx context.Context, l *link, peer *peridotwire.Peer) {
	defer peer.Close()
	defer p.setPeer(l, nil)
	for {
		select {
		case <-time.After(p.pingIntervalOf(l)):
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

// pingIntervalOf returns the time between two pings of an agent.
func (p *pool) pingIntervalOf(l *link) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.pong.Version.Seq == 0 {
		return startupPingInterval
	}
	return pingInterval
}

func (p *pool) ping(ctx context.Context, l *link, peer *peridotwire.Peer) error {
	p.mu.Lock()
	instance := l.instance
	timeout := pingTimeout + l.sendDelay()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pong, err := p.exchangeVersions(ctx, peer, instance)
	if err != nil {
		return err
	}
	p.observeLoad(p.recordPong(l, peer, pong), pong.Load)
	p.observeEnds(pong.Ended)
	return nil
}

// recordPong records an agent's answer to a ping, and the connection on which it
// arrived. It returns the agent's instance.
func (p *pool) recordPong(l *link, peer *peridotwire.Peer, pong peridotwire.Pong) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	configuredUnchanged := (l.pong.Version.Seq > 0) == (pong.Version.Seq > 0)
	if l.peer != peer || l.pong.Leaving != pong.Leaving || l.pong.Quiet != pong.Quiet || !configuredUnchanged {
		p.generation++
	}
	l.pong = pong
	l.peer = peer
	return l.instance.ID
}

func (p *pool) setPeer(l *link, peer *peridotwire.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	l.peer = peer
}

// sendDelay returns an upper bound on the time for which the requests that are
// being sent delay later messages on a link of minLinkBytesPerSecond. The caller
// must hold the pool's mu.
func (l *link) sendDelay() time.Duration {
	return time.Duration(l.inFlightBytes) * time.Second / minLinkBytesPerSecond
}

// acquire returns the connection to an agent for a request of the given size in
// bytes. The caller must call recordDelivered once the agent has received the
// request or will never receive it, and release once the request has ended.
func (p *pool) acquire(instance string, bytes int) (*link, *peridotwire.Peer, *peridotverdict.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[instance]
	if !ok || !p.acceptsRequests(l) {
		return nil, nil, peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the backend server "+instance+" is out of reach", peridotverdict.RetryAfter(time.Second))
	}
	l.outstanding++
	l.inFlightBytes += bytes
	return l, l.peer, nil
}

// currentGeneration returns a number that increases whenever servers or
// entryCount may return a new result.
func (p *pool) currentGeneration() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// servers returns the backend servers of all linked agents, sorted by instance.
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
			Down:     !p.acceptsRequests(l),
		})
	}
	// The router's random draws select servers by their position in the list.
	slices.SortFunc(list, func(a, b peridotroute.Server) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// entryCount returns the number of entry instances among which the load balancer
// distributes callers. It is at least 1.
func (p *pool) entryCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, p.listedEntries)
}

// recordDelivered records that an agent has received a request of the given size
// in bytes, or that the request will never be delivered.
func (p *pool) recordDelivered(l *link, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.inFlightBytes -= bytes
}

// recordResponding records that an agent has started to answer a request, as
// evidence that the agent is alive.
func (p *pool) recordResponding(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.RecordAnswer(peridotmember.Answer{Instance: l.instance.ID, Incarnation: l.pong.Incarnation, Leaving: l.pong.Leaving, Sent: time.Now()})
}

// release records that a request on a link has ended.
func (p *pool) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.outstanding--
}

// peerOf returns the current connection to an agent, or nil.
func (p *pool) peerOf(instance string) *peridotwire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[instance]; ok {
		return l.peer
	}
	return nil
}

// HandleRequest implements peridotwire.Handler. Agents only fetch commits that
// they lack and hand over usage figures.
func (p *pool) HandleRequest(_ context.Context, _ *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	var f peridotwire.Fetch
	if method == peridotwire.MethodUsage {
		return p.collectors.handleUsage(params)
	}
	if method == peridotwire.MethodCommits && json.Unmarshal(params, &f) == nil {
		return p.node.UpdateSince(f.After), nil
	}
	return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "an entry instance takes no requests here")
}

// HandleNotification implements peridotwire.Handler. It passes chunks to the
// exchange that they belong to and ignores all other notifications.
func (p *pool) HandleNotification(_ *peridotwire.Peer, method string, params json.RawMessage) {
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
		x.receiveChunks(c)
	}
}

// addExchange registers an exchange, so that HandleNotification can pass it the
// chunks of its request.
func (p *pool) addExchange(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exchanges[x.request.RequestID] = x
}

// removeExchange removes an exchange. Later chunks of its request are ignored.
func (p *pool) removeExchange(x *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.exchanges, x.request.RequestID)
}
