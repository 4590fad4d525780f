package peridotentry

import (
	"context"
	"sync"

	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// peers provides connections to agents. It uses the pool's connection if there
// is one. Otherwise it dials the agent and keeps that connection. It is safe for
// concurrent use.
type peers struct {
	pool *pool

	mu     sync.Mutex
	dialed map[string]*peridotwire.Peer
}

// describe asks an agent for the description of its backend server.
func (p *peers) describe(ctx context.Context, instance, address string, d peridotwire.Describe) (peridotwire.Description, error) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	var answer peridotwire.Description
	err := p.call(ctx, instance, address, peridotwire.MethodDescribe, d, &answer)
	return answer, err
}

// sendOrder sends an order to an agent and waits for the result.
func (p *peers) sendOrder(ctx context.Context, instance, address string, o peridotwire.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var answer peridotwire.OrderResult
	if err := p.call(ctx, instance, address, peridotwire.MethodOrder, o, &answer); err != nil {
		return err
	}
	if answer.Err != nil {
		return answer.Err
	}
	return nil
}

func (p *peers) call(ctx context.Context, instance, address, method string, params, answer any) error {
	peer, err := p.peerTo(ctx, instance, address)
	if err != nil {
		return err
	}
	err = peer.Call(ctx, method, params, answer)
	if peridotverdict.Is(err, peridotverdict.PeerLost) {
		p.closeDialed(instance, peer)
	}
	return err
}

// isClosed reports whether a connection has closed. Agents close connections on
// which nothing arrives for a while.
func isClosed(peer *peridotwire.Peer) bool {
	select {
	case <-peer.Closed():
		return true
	default:
		return false
	}
}

// peerTo returns a connection to an agent and dials the agent if necessary.
func (p *peers) peerTo(ctx context.Context, instance, address string) (*peridotwire.Peer, error) {
	if peer := p.pool.peerOf(instance); peer != nil {
		return peer, nil
	}
	p.mu.Lock()
	peer := p.dialed[instance]
	p.mu.Unlock()
	if peer != nil && !isClosed(peer) {
		return peer, nil
	}
	conn, err := p.pool.identity.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "the agent is out of reach", peridotverdict.Cause(err))
	}
	peer = peridotwire.NewPeer(context.WithoutCancel(ctx), conn, p.pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialed == nil {
		p.dialed = make(map[string]*peridotwire.Peer)
	}
	p.dialed[instance] = peer
	return peer, nil
}

// closeDialed closes a failed or silent connection if p dialed it.
func (p *peers) closeDialed(instance string, peer *peridotwire.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialed[instance] == peer {
		delete(p.dialed, instance)
		_ = peer.Close()
	}
}

// closeAll closes all connections that p dialed.
func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.dialed {
		_ = peer.Close()
	}
	p.dialed = nil
}
