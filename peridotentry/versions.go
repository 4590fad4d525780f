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
	// readersPerDomain is how many entry instances of a failure domain check the
	// table service for the others.
	readersPerDomain = 2
	// panelInterval is the time between two looks at the panels of witnesses.
	panelInterval = 3 * time.Second
	// firstProofWait bounds how long the first callers of a new instance wait for
	// its configuration.
	firstProofWait = 2 * time.Second
	proofPoll      = 10 * time.Millisecond
	// acceptWait bounds how long an operator waits for the acknowledgements of a
	// commit.
	acceptWait = 10 * time.Second
)

// exchangeVersions pings an agent and, once it has answered, hands it the proof
// of this process.
func (p *pool) exchangeVersions(ctx context.Context, peer *peridotwire.Peer, instance peridotplatform.Instance) (peridotwire.Pong, error) {
	var pong peridotwire.Pong
	asked, sent := p.node.Config(), time.Now()
	ping := peridotwire.Ping{From: p.self, Version: p.node.Version(), Leaving: p.markedLeaving(instance.ID)}
	if err := peer.Call(ctx, peridotwire.MethodPing, ping, &pong); err != nil {
		return pong, err
	}
	witness := peridotconfig.Witness{Domain: pong.Domain, Instance: pong.From, Incarnation: pong.Incarnation, Address: instance.Address}
	p.node.HandlePong(asked, witness, pong.Version, sent)
	p.mu.Lock()
	p.view.RecordAnswer(peridotmember.Answer{Instance: pong.From, Incarnation: pong.Incarnation, Leaving: pong.Leaving, Sent: sent})
	p.mu.Unlock()
	confirm := peridotwire.Confirm{From: p.self, Version: p.node.Version(), Stamp: pong.Stamp}
	return pong, peer.Notify(ctx, peridotwire.MethodConfirm, confirm)
}

func (p *pool) markedLeaving(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.MarkedLeaving(instance)
}

// accepts reports whether new work may go over the link now. The pool is locked.
func (p *pool) accepts(l *link) bool {
	return l.peer != nil && !l.pong.Quiet && p.usable(l)
}

// usable reports whether new work may go over the link. An agent is not silent
// because its answers wait behind a large request. The pool is locked.
func (p *pool) usable(l *link) bool {
	return l.pong.Version.Seq > 0 && p.view.Usable(l.instance.ID, time.Now().Add(-l.sending()))
}

// listed takes the platform's list. The pool is locked.
func (p *pool) listed(instances []peridotplatform.Instance, asked time.Time) {
	var list []peridotmember.ListedInstance
	entries := []string{p.self}
	for _, i := range instances {
		if i.Role == peridotplatform.RoleAgent {
			list = append(list, peridotmember.ListedInstance{Instance: i.ID, Leaving: i.Leaving})
		} else if i.Domain == p.domain && i.ID != p.self && !i.Leaving {
			entries = append(entries, i.ID)
		}
	}
	p.view.RecordList(asked, list)
	p.node.SetReader(peridotmember.IsReader(p.self, entries, readersPerDomain))
}

// dropped reports whether an agent is neither listed nor answering. The pool is
// locked.
func (p *pool) dropped(instance string) bool {
	state := p.view.State(instance, time.Now())
	return state == peridotmember.Gone || state == peridotmember.Unknown
}

// Fetch asks an agent for the commits behind a number.
func (p *pool) Fetch(ctx context.Context, instance string, after int64) (peridotconfig.Update, error) {
	var update peridotconfig.Update
	peer := p.peerOf(instance)
	if peer == nil {
		return update, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "agent "+instance+" is out of reach")
	}
	err := peer.Call(ctx, peridotwire.MethodCommits, peridotwire.Fetch{After: after}, &update)
	return update, err
}

// AskWitnesses exchanges versions with the witnesses, over a connection of its own
// where there is no link.
func (p *pool) AskWitnesses(ctx context.Context, witnesses []peridotconfig.Witness) {
	for _, w := range witnesses {
		go p.ask(ctx, w)
	}
}

func (p *pool) ask(ctx context.Context, w peridotconfig.Witness) {
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

// candidates returns the agents that can be witnesses, in a fixed order.
func (p *pool) candidates() []peridotconfig.Witness {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peridotconfig.Witness
	for _, l := range p.links {
		if l.peer != nil && l.pong.Incarnation != "" && p.usable(l) {
			list = append(list, peridotconfig.Witness{Domain: l.pong.Domain, Instance: l.pong.From, Incarnation: l.pong.Incarnation, Address: l.instance.Address})
		}
	}
	slices.SortFunc(list, func(a, b peridotconfig.Witness) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// versions returns the version in force at each linked agent.
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
			Usable:          l.peer != nil && p.usable(l),
		})
	}
	slices.SortFunc(list, func(a, b peridotoperator.InstanceVersion) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// versions returns the versions in force here and at the linked agents.
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

// awaitAccepted waits a while until a commit is accepted.
func (e *Entry) awaitAccepted(ctx context.Context, seq int64) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptWait)
	defer cancel()
	return e.node.AwaitAccepted(ctx, seq)
}

// awaitFirstProof gives a new instance a moment to get its configuration, so that
// its first callers wait for it and need not be refused.
func (e *Entry) awaitFirstProof(ctx context.Context) {
	for !e.proven.Load() && ctx.Err() == nil {
		if e.node.Fresh() || time.Since(e.created) > firstProofWait {
			e.proven.Store(true)
			return
		}
		peridotwait.Sleep(ctx, proofPoll)
	}
}

// keepPanels appoints witnesses in place of those that are gone.
func (e *Entry) keepPanels(ctx context.Context) error {
	for ctx.Err() == nil {
		peridotwait.Sleep(ctx, panelInterval)
		if err := e.node.UpdatePanels(ctx, e.settings.Instance, e.pool.candidates()); err != nil {
			e.metrics.Count("config_panel_failures")
		}
	}
	return ctx.Err()
}

// stale refuses a request that needs a key while the configuration in force
// cannot be proven to be the newest.
func (e *Entry) stale(ctx context.Context, r *http.Request) *peridotverdict.Error {
	e.awaitFirstProof(ctx)
	refused := e.node.CheckFresh()
	if refused != nil && e.open(r) {
		return nil
	}
	return refused
}

// open reports whether a request goes to a route that is open to all.
func (e *Entry) open(r *http.Request) bool {
	rest, ok := strings.CutPrefix(r.URL.Path, servicePrefix)
	if !ok {
		return false
	}
	name, path, _ := strings.Cut(rest, "/")
	service, ok := e.Config().Service(name)
	if !ok {
		return false
	}
	route, refused := routeOf(service, r.Method, "/"+path)
	return refused == nil && route.Open
}
