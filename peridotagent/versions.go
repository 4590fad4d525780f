package peridotagent

import (
	"context"
	"sync"

	"peridotstack/peridotconfig"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// entries knows the connections of the entry instances that ping this agent. The
// zero value is empty.
type entries struct {
	mu    sync.Mutex
	peers map[string]*peridotwire.Peer
}

// keep remembers a connection until it closes.
func (e *entries) keep(instance string, p *peridotwire.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers[instance] == p {
		return
	}
	if e.peers == nil {
		e.peers = make(map[string]*peridotwire.Peer)
	}
	e.peers[instance] = p
	go func() {
		<-p.Closed()
		e.forget(instance, p)
	}()
}

func (e *entries) forget(instance string, p *peridotwire.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers[instance] == p {
		delete(e.peers, instance)
	}
}

func (e *entries) connected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) > 0
}

// Fetch asks an entry instance for the commits behind a number.
func (e *entries) Fetch(ctx context.Context, instance string, after int64) (peridotconfig.Update, error) {
	e.mu.Lock()
	peer := e.peers[instance]
	e.mu.Unlock()
	var update peridotconfig.Update
	if peer == nil {
		return update, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "entry instance "+instance+" is out of reach")
	}
	err := peer.Call(ctx, peridotwire.MethodCommits, peridotwire.Fetch{After: after}, &update)
	return update, err
}

// AskWitnesses does nothing: agents do not ask witnesses.
func (e *entries) AskWitnesses(context.Context, []peridotconfig.Witness) {}

// ping takes a heartbeat and answers it.
func (a *Agent) ping(p *peridotwire.Peer, ping peridotwire.Ping) peridotwire.Pong {
	a.entries.keep(ping.From, p)
	a.node.HandlePing(ping.From, ping.Version)
	if ping.Leaving {
		a.leaving.Store(true)
	}
	return a.pong()
}

// admit is the second check of a request, after that of the entry instance, whose
// message may have been under way for long.
func (a *Agent) admit(r peridotwire.Run) *peridotverdict.Error {
	if r.KeyID == "" {
		return nil
	}
	if refused := a.node.CheckFresh(); refused != nil {
		return refused
	}
	if !a.node.Config().AdmitsKey(r.KeyID, r.ConfigSeq) {
		return peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, "the key was withdrawn")
	}
	return nil
}
