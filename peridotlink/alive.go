package peridotlink

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"peridotstack/peridotanswer"
	"peridotstack/peridotwait"
)

// Proof says what shows that the process at an address still runs.
type Proof string

const (
	// Unproved means that nothing does. The process may run all the same.
	Unproved Proof = ""
	// Listens means that a connection was accepted.
	Listens Proof = "listens"
	// SentinelOpen means that the sentinel connection is open.
	SentinelOpen Proof = "sentinel"
	// SendsOn means that bytes of another answer arrive.
	SendsOn Proof = "sends"
)

const (
	// maxSendPause is how long ProveAlive waits for bytes of another answer.
	maxSendPause = time.Second
	// sendCheckInterval is how often it looks for them.
	sendCheckInterval = 10 * time.Millisecond
)

// sentinelRequest returns the beginning of a request that has no effect (RFC 9110, 9.3.7). While
// the server waits for its content, the connection isn't idle, so that a graceful shutdown
// keeps it open.
func sentinelRequest(host string) []byte {
	return []byte("OPTIONS * HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/octet-stream\r\nContent-Length: 1\r\n\r\n")
}

// sentinel is a connection to a server that is kept open while answers are read from it that
// end with their connections.
type sentinel struct {
	// conn is nil while it is being dialed, and once that has failed.
	conn *Conn
	// isIdle is set if conn carries no request, because the server did not keep the one that
	// carried sentinelRequest.
	isIdle bool
}

// ProveAlive reports whether the process at address still runs after it has ended one of its
// connections: it listens, its sentinel remains open, or it sends on. A process that shuts down
// in order stops to listen and closes idle connections before it has sent its last answers. An
// open connection that carries nothing tells less: of many, one may seem open because its end
// was lost on the way.
func (p *Pool) ProveAlive(ctx context.Context, address string) Proof {
	switch {
	case p.Probe(ctx, address) == Listening:
		return Listens
	case p.keepsSentinel(ctx, address):
		return SentinelOpen
	case p.sendsOn(ctx, address):
		return SendsOn
	}
	return Unproved
}

// keepsSentinel reports whether the sentinel to address is open, and remains so for longer than
// a process takes to end.
func (p *Pool) keepsSentinel(ctx context.Context, address string) bool {
	p.mu.Lock()
	var c *Conn
	if s := p.sentinels[address]; s != nil {
		c = s.conn
	}
	p.mu.Unlock()
	return c != nil && c.IsOpen() && c.staysOpen(ctx)
}

// staysOpen reports whether the connection is open after the time that a process takes to end.
func (c *Conn) staysOpen(ctx context.Context) bool {
	peridotwait.Sleep(ctx, peridotanswer.ProcessEndTime)
	return c.IsOpen()
}

// sendsOn reports whether the process at address sends bytes of another answer later than it
// would have ended, and keeps that connection open. The last bytes of a process that has ended
// may be late, but the end of the connection comes with them.
func (p *Pool) sendsOn(ctx context.Context, address string) bool {
	if len(p.receivingConns(address)) == 0 {
		return false
	}
	peridotwait.Sleep(ctx, peridotanswer.ProcessEndTime)
	before := make(map[*Conn]int64)
	for _, c := range p.receivingConns(address) {
		// Bytes that wait here may have kept back others, which a process that has ended has sent.
		if c.unreadBytes() == 0 {
			before[c] = c.source.received.Load()
		}
	}
	for end := time.Now().Add(maxSendPause); len(before) > 0 && time.Now().Before(end) && ctx.Err() == nil; {
		peridotwait.Sleep(ctx, sendCheckInterval)
		for c, received := range before {
			hasReceived := c.source.received.Load() > received
			switch {
			case hasReceived && c.staysOpen(ctx):
				return true
			case hasReceived || !c.IsOpen():
				delete(before, c)
			}
		}
	}
	return false
}

// receivingConns returns the open connections to address on which an answer is awaited or read.
func (p *Pool) receivingConns(address string) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conns []*Conn
	for c := range p.receiving[address] {
		if c.IsOpen() {
			conns = append(conns, c)
		}
	}
	return conns
}

// beginReceiving records that an answer is awaited on the connection.
func (c *Conn) beginReceiving() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.isClosed {
		c.setReceiving(true)
	}
}

// setReceiving records whether an answer is awaited or read on the connection. The caller must
// hold Pool.mu.
func (c *Conn) setReceiving(isReceiving bool) {
	conns := c.pool.receiving[c.address]
	switch {
	case isReceiving && conns == nil:
		c.pool.receiving[c.address] = map[*Conn]bool{c: true}
	case isReceiving:
		conns[c] = true
	default:
		delete(conns, c)
		if len(conns) == 0 {
			delete(c.pool.receiving, c.address)
		}
	}
}

// unreadBytes returns the number of bytes that have arrived and were not read, or -1 if that is
// unknown.
func (c *Conn) unreadBytes() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	err = raw.Control(func(fd uintptr) {
		if count, countErr := unix.IoctlGetInt(int(fd), unix.TIOCINQ); countErr == nil {
			n = count
		}
	})
	if err != nil {
		return -1
	}
	return n
}

// UpdateSentinels opens a sentinel connection to each address for which isLeaving returns
// true while answers of the server there are being read that end with their connections. A
// server that leaves may soon stop to listen; ProveAlive then needs a connection that no answer
// ends. Call UpdateSentinels periodically. It calls isLeaving with the pool locked, so isLeaving
// must not call methods of p.
func (p *Pool) UpdateSentinels(ctx context.Context, isLeaving func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.unframedCounts {
		s := p.sentinels[address]
		hasEnded := s != nil && s.conn != nil && !s.conn.IsOpen()
		if s != nil && !hasEnded {
			continue
		}
		p.closeSentinel(address)
		if isLeaving(address) {
			s = &sentinel{isIdle: hasEnded}
			p.sentinels[address] = s
			go p.dialSentinel(ctx, address, s)
		}
	}
}

// closeSentinel closes the sentinel to address, if there is one. The caller must hold p.mu.
func (p *Pool) closeSentinel(address string) {
	s := p.sentinels[address]
	delete(p.sentinels, address)
	if s != nil && s.conn != nil {
		go s.conn.Close() // Takes p.mu.
	}
}

// dialSentinel opens the connection of s to address.
func (p *Pool) dialSentinel(ctx context.Context, address string, s *sentinel) {
	c, err := p.dial(ctx, address, 0)
	if err != nil {
		return
	}
	if !s.isIdle {
		if _, err := c.Write(sentinelRequest(address)); err != nil {
			c.Close()
			return
		}
	}
	p.mu.Lock()
	isWanted := p.sentinels[address] == s
	if isWanted {
		s.conn = c
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

// recordClose records that the connection is being closed, and with it the answer that it
// carries. The sentinel is closed with the last answer that needs it: the server waits for it.
func (c *Conn) recordClose() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.isClosed = true
	c.setReceiving(false)
	if !c.isUnframed {
		return
	}
	c.isUnframed = false
	c.pool.unframedCounts[c.address]--
	if c.pool.unframedCounts[c.address] == 0 {
		delete(c.pool.unframedCounts, c.address)
		c.pool.closeSentinel(c.address)
	}
}
