package peridotentry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotconfig"
	"peridotstack/peridotmember"
	"peridotstack/peridotoperator"
	"peridotstack/peridotplatform"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwait"
	"peridotstack/peridotwire"
)

const (
	// readersPerDomain is the number of entry instances per failure domain that read
	// the configuration from the table service on behalf of the others.
	readersPerDomain = 2
	// panelInterval is the time between two checks of the witness panels.
	panelInterval = 3 * time.Second
	// firstConfigTimeout bounds the time for which the requests to a new instance
	// wait for its first configuration.
	firstConfigTimeout = 2 * time.Second
	// firstConfigPollInterval is the time between two checks during that wait.
	firstConfigPollInterval = 10 * time.Millisecond
	// acceptTimeout bounds the time for which an operator's request waits until the
	// witnesses have acknowledged a commit.
	acceptTimeout = 10 * time.Second
)

// exchangeVersions pings an agent. Once the agent has answered, exchangeVersions
// sends it the proof that the configuration of this process is up to date.
func (p *pool) exchangeVersions(ctx context.Context, peer *peridotwire.Peer, instance peridotplatform.Instance) (peridotwire.Pong, error) {
	var pong peridotwire.Pong
	configAtSend, sentAt := p.node.Config(), time.Now()
	ping := peridotwire.Ping{From: p.self, Version: p.node.Version(), Leaving: p.isMarkedLeaving(instance.ID)}
	if err := peer.Call(ctx, peridotwire.MethodPing, ping, &pong); err != nil {
		return pong, err
	}
	witness := peridotconfig.Witness{Domain: pong.Domain, Instance: pong.From, Incarnation: pong.Incarnation, Address: instance.Address}
	p.node.HandlePong(configAtSend, witness, pong.Version, sentAt)
	p.mu.Lock()
	p.view.RecordAnswer(peridotmember.Answer{Instance: pong.From, Incarnation: pong.Incarnation, Leaving: pong.Leaving, Sent: sentAt})
	p.mu.Unlock()
	confirm := peridotwire.Confirm{From: p.self, Version: p.node.Version(), Stamp: pong.Stamp}
	return pong, peer.Notify(ctx, peridotwire.MethodConfirm, confirm)
}

// isMarkedLeaving reports whether the platform's list marks an agent as leaving.
func (p *pool) isMarkedLeaving(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.MarkedLeaving(instance)
}

// acceptsRequests reports whether new requests may currently be sent on a link.
// The caller must hold mu.
func (p *pool) acceptsRequests(l *link) bool {
	return l.peer != nil && !l.pong.Quiet && p.isUsable(l)
}

// isUsable reports whether an agent has a configuration, is alive and is not
// leaving. It ignores whether the agent is connected or quiet. An agent is not
// considered silent while its answers may be delayed by large requests that are
// being sent. The caller must hold mu.
func (p *pool) isUsable(l *link) bool {
	return l.pong.Version.Seq > 0 && p.view.Usable(l.instance.ID, time.Now().Add(-l.sendDelay()))
}

// applyInstanceList applies the platform's list of instances, which was
// requested at listedAt. The caller must hold mu.
func (p *pool) applyInstanceList(instances []peridotplatform.Instance, listedAt time.Time) {
	var list []peridotmember.ListedInstance
	entries := []string{p.self}
	for _, i := range instances {
		if i.Role == peridotplatform.RoleAgent {
			list = append(list, peridotmember.ListedInstance{Instance: i.ID, Leaving: i.Leaving})
		} else if i.Domain == p.domain && i.ID != p.self && !i.Leaving {
			entries = append(entries, i.ID)
		}
	}
	p.view.RecordList(listedAt, list)
	p.node.SetReader(peridotmember.IsReader(p.self, entries, readersPerDomain))
}

// isGone reports whether an agent is neither listed nor answering pings. The
// caller must hold mu.
func (p *pool) isGone(instance string) bool {
	state := p.view.State(instance, time.Now())
	return state == peridotmember.Gone || state == peridotmember.Unknown
}

// Fetch implements peridotsync.Peers. It requests the commits after the given
// sequence number from an agent.
func (p *pool) Fetch(ctx context.Context, instance string, after int64) (peridotconfig.Update, error) {
	var update peridotconfig.Update
	peer := p.peerOf(instance)
	if peer == nil {
		return update, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "agent "+instance+" is out of reach")
	}
	err := peer.Call(ctx, peridotwire.MethodCommits, peridotwire.Fetch{After: after}, &update)
	return update, err
}

// AskWitnesses implements peridotsync.Peers. It exchanges versions with each
// witness in a goroutine. It dials a witness for this purpose if there is no link
// to it.
func (p *pool) AskWitnesses(ctx context.Context, witnesses []peridotconfig.Witness) {
	for _, w := range witnesses {
		go p.askWitness(ctx, w)
	}
}

func (p *pool) askWitness(ctx context.Context, w peridotconfig.Witness) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	instance := peridotplatform.Instance{ID: w.Instance, Address: w.Address}
	peer := p.peerOf(w.Instance)
	if peer == nil {
		conn, err := p.identity.Dial(ctx, w.Address, dialTimeout)
		if err != nil {
			return
		}
		peer = peridotwire.NewPeer(ctx, conn, p)
		defer peer.Close()
	}
	if _, err := p.exchangeVersions(ctx, peer, instance); err != nil {
		log.Debug(logPrefix + "witness " + w.Instance + " is out of reach: " + err.Error())
	}
}

// witnessCandidates returns the agents that can be witnesses, sorted by
// instance.
func (p *pool) witnessCandidates() []peridotconfig.Witness {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peridotconfig.Witness
	for _, l := range p.links {
		if l.peer != nil && l.pong.Incarnation != "" && p.isUsable(l) {
			list = append(list, peridotconfig.Witness{Domain: l.pong.Domain, Instance: l.pong.From, Incarnation: l.pong.Incarnation, Address: l.instance.Address})
		}
	}
	slices.SortFunc(list, func(a, b peridotconfig.Witness) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// versions returns the configuration version of each linked agent, sorted by
// instance.
func (p *pool) versions() []peridotoperator.InstanceVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peridotoperator.InstanceVersion
	for _, l := range p.links {
		list = append(list, peridotoperator.InstanceVersion{
			Instance:        l.instance.ID,
			Domain:          l.instance.Domain,
			Seq:             l.pong.Version.Seq,
			ConfirmedMillis: l.pong.Version.ConfirmedMillis,
			Usable:          l.peer != nil && p.isUsable(l),
		})
	}
	slices.SortFunc(list, func(a, b peridotoperator.InstanceVersion) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// versions returns the configuration versions of this instance and of the linked
// agents.
func (e *Entry) versions() []peridotoperator.InstanceVersion {
	own := e.node.Version()
	self := peridotoperator.InstanceVersion{
		Instance:        e.settings.Instance,
		Domain:          e.settings.Domain,
		Seq:             own.Seq,
		ConfirmedMillis: own.ConfirmedMillis,
		Usable:          e.node.Fresh(),
	}
	return append([]peridotoperator.InstanceVersion{self}, e.pool.versions()...)
}

// awaitAccepted waits until a commit is accepted, for at most acceptTimeout, and
// reports whether it was accepted.
func (e *Entry) awaitAccepted(ctx context.Context, seq int64) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	return e.node.AwaitAccepted(ctx, seq)
}

// awaitFirstConfig waits until a new instance has a configuration that is proven
// to be up to date, for at most firstConfigTimeout after the instance was
// created. The first requests thus wait a short time instead of being refused.
func (e *Entry) awaitFirstConfig(ctx context.Context) {
	for !e.firstConfigWaitOver.Load() && ctx.Err() == nil {
		if e.node.Fresh() || time.Since(e.createdAt) > firstConfigTimeout {
			e.firstConfigWaitOver.Store(true)
			return
		}
		peridotwait.Sleep(ctx, firstConfigPollInterval)
	}
}

// maintainPanels replaces witnesses that are gone, until ctx is done.
func (e *Entry) maintainPanels(ctx context.Context) error {
	for ctx.Err() == nil {
		peridotwait.Sleep(ctx, panelInterval)
		if err := e.node.UpdatePanels(ctx, e.settings.Instance, e.pool.witnessCandidates()); err != nil {
			e.metrics.Count("config_panel_failures")
		}
	}
	return ctx.Err()
}

// checkFresh returns the refusal of a request while the current configuration
// cannot be proven to be up to date, or nil. Requests to open routes need no key
// and are never refused.
func (e *Entry) checkFresh(ctx context.Context, r *http.Request) *peridotverdict.Error {
	e.awaitFirstConfig(ctx)
	refusal := e.node.CheckFresh()
	if refusal != nil && e.isOpenRoute(r) {
		return nil
	}
	return refusal
}

// isOpenRoute reports whether a request is for a route that requires no key.
func (e *Entry) isOpenRoute(r *http.Request) bool {
	servicePath, ok := strings.CutPrefix(r.URL.Path, servicePrefix)
	if !ok {
		return false
	}
	name, path, _ := strings.Cut(servicePath, "/")
	service, ok := e.Config().Service(name)
	if !ok {
		return false
	}
	route, refusal := findRoute(service, r.Method, "/"+path)
	return refusal == nil && route.Open
}
