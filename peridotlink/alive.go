package peridotlink

import (
	"context"

	"peridotstack/peridotanswer"
	"peridotstack/peridotwait"
)

// IsAlive reports whether the process at address still runs after it has ended one of its
// connections: it listens, or other connections to it remain open. A process that shuts down
// in order stops to listen before it has sent its last answers.
func (p *Pool) IsAlive(ctx context.Context, address string) bool {
	if p.Probe(ctx, address) == Listening {
		return true
	}
	if !p.hasOpenConn(address) {
		return false
	}
	peridotwait.Sleep(ctx, peridotanswer.ProcessEndTime)
	return p.hasOpenConn(address)
}

// hasOpenConn reports whether the server has left a connection to address open.
func (p *Pool) hasOpenConn(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns[address] {
		if c.IsOpen() {
			return true
		}
	}
	return false
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
	_, isWanted := p.sentinels[address]
	if isWanted {
		p.sentinels[address] = c
	}
	p.mu.Unlock()
	if !isWanted {
		c.Close()
	}
}

// addConn records a connection that has been opened.
func (p *Pool) addConn(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.address] == nil {
		p.conns[c.address] = make(map[*Conn]struct{})
	}
	p.conns[c.address][c] = struct{}{}
}

// removeConn forgets a connection that is being closed.
func (p *Pool) removeConn(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
	if c.isUnframed {
		c.isUnframed = false
		p.decrementUnframed(c.address)
	}
}

// setUnframed records that an answer has begun that ends with the connection.
func (c *Conn) setUnframed() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if _, isOpen := c.pool.conns[c.address][c]; !isOpen {
		return
	}
	c.isUnframed = true
	c.pool.unframedCounts[c.address]++
}

// decrementUnframed decrements the number of answers that end with their connections to
// address. The caller must hold p.mu.
func (p *Pool) decrementUnframed(address string) {
	p.unframedCounts[address]--
	if p.unframedCounts[address] <= 0 {
		delete(p.unframedCounts, address)
	}
}
