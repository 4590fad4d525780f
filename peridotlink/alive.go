package peridotlink

import (
	"context"

	"peridotstack/peridotanswer"
	"peridotstack/peridotwait"
)

// IsAlive reports whether the process at address still runs after it has ended one of its
// connections: it listens, or its sentinel connection remains open. A process that shuts down
// in order stops to listen before it has sent its last answers. Other connections tell less: of
// many, one may seem open because its end was lost on the way.
func (p *Pool) IsAlive(ctx context.Context, address string) bool {
	if p.Probe(ctx, address) == Listening {
		return true
	}
	p.mu.Lock()
	sentinel := p.sentinels[address]
	p.mu.Unlock()
	if sentinel == nil || !sentinel.IsOpen() {
		return false
	}
	peridotwait.Sleep(ctx, peridotanswer.ProcessEndTime)
	return sentinel.IsOpen()
}

// UpdateSentinels opens a sentinel connection to each address for which isLeaving returns
// true while answers of the server there are being read that end with their connections, and
// closes the others. A server that leaves may soon stop to listen; IsAlive then needs a
// connection that no answer ends. Call UpdateSentinels periodically. It calls isLeaving with
// the pool locked, so isLeaving must not call methods of p.
func (p *Pool) UpdateSentinels(ctx context.Context, isLeaving func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.sentinels {
		if p.unframedCounts[address] > 0 && (c == nil || c.IsOpen()) {
			continue
		}
		delete(p.sentinels, address)
		if c != nil {
			go c.Close()
		}
	}
	for address := range p.unframedCounts {
		if _, ok := p.sentinels[address]; !ok && isLeaving(address) {
			p.sentinels[address] = nil
			go p.dialSentinel(ctx, address)
		}
	}
}

// dialSentinel opens the sentinel connection to address.
func (p *Pool) dialSentinel(ctx context.Context, address string) {
	c, err := p.dial(ctx, address, 0)
	if err != nil {
		return
	}
	p.mu.Lock()
	other, isWanted := p.sentinels[address]
	isWanted = isWanted && other == nil // Another dial may have been faster.
	if isWanted {
		p.sentinels[address] = c
	}
	p.mu.Unlock()
	if !isWanted {
		c.Close()
	}
}

// countUnframed records that an answer has begun that ends with the connection.
func (c *Conn) countUnframed() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isUnframed = true
	c.pool.unframedCounts[c.address]++
}

// uncountUnframed records that the connection is being closed, and with it the answer that
// ends with it.
func (c *Conn) uncountUnframed() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.isClosed = true
	if !c.isUnframed {
		return
	}
	c.isUnframed = false
	c.pool.unframedCounts[c.address]--
	if c.pool.unframedCounts[c.address] == 0 {
		delete(c.pool.unframedCounts, c.address)
	}
}
