package peridotagent

import (
	"context"
	"sync"

	"peridotstack/peridotconfig"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// entryPeers contains the connections of the entry instances that ping this agent,
// by instance. It implements peridotsync.Peers. The zero value is empty.
type entryPeers struct {
	mu    sync.Mutex
	peers map[string]*peridotwire.Peer
}

// add records the connection of an entry instance until the connection closes.
func (e *entryPeers) add(instance string, p *peridotwire.Peer) {
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
		e.remove(instance, p)
	}()
}

// remove removes the connection of an entry instance unless a newer one replaced
// it.
func (e *entryPeers) remove(instance string, p *peridotwire.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers[instance] == p {
		delete(e.peers, instance)
	}
}

// anyConnected reports whether any entry instance is connected.
func (e *entryPeers) anyConnected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) > 0
}

// Fetch implements peridotsync.Peers. It fetches the commits after the given number
// from an entry instance.
func (e *entryPeers) Fetch(ctx context.Context, instance string, after int64) (peridotconfig.Update, error) {
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

// AskWitnesses implements peridotsync.Peers. It does nothing, because agents do not ask
// witnesses.
func (e *entryPeers) AskWitnesses(context.Context, []peridotconfig.Witness) {}

// handlePing records a heartbeat and returns the answer to it.
func (a *Agent) handlePing(p *peridotwire.Peer, ping peridotwire.Ping) peridotwire.Pong {
	a.entries.add(ping.From, p)
	a.node.HandlePing(ping.From, ping.Version)
	if ping.Leaving {
		a.leaving.Store(true)
	}
	return a.newPong()
}

// checkAdmission checks again whether the key of a request may be used. The entry
// instance has checked it before, but its message may have been delayed for a long
// time.
func (a *Agent) checkAdmission(r peridotwire.Run) *peridotverdict.Error {
	if r.KeyID == "" {
		return nil
	}
	if refusal := a.node.CheckFresh(); refusal != nil {
		return refusal
	}
	if !a.node.Config().AdmitsKey(r.KeyID, r.ConfigSeq) {
		return peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, "the key was withdrawn")
	}
	return nil
}
