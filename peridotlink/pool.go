package peridotlink

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"peridotstack/peridotverdict"
)

const (
	// defaultIdle is how long an unused connection is kept when the backend
	// server does not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the backend server's own timeout a
	// connection is given up, so that a request does not cross the close.
	idleMargin = 500 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged.
	userTimeout = 3 * time.Second
	readBuffer  = 4 << 10
)

// Pool keeps connections by address. Make one with NewPool; it is safe for
// concurrent use.
type Pool struct {
	dialTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
	// dialed counts the connections made.
	dialed int64
}

// NewPool returns a pool that gives up on a new connection after dialTimeout.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: make(map[string][]*Conn), open: make(map[string]int)}
}

// Conn is a connection to a backend server with no request on it.
type Conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// used is set once an answer was read whole; expires is when the connection
	// may no longer be used.
	used    bool
	expires time.Time
	closed  sync.Once
}

// Dialed returns the number of connections made so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Get returns a connection to address, a kept one if possible. At most limit are
// open at a time; 0 means no bound. Its errors have the verdict NotRun.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, address, limit)
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string, limit int) (*Conn, error) {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "no connection to "+address+" is free")
	}
	p.open[address]++
	p.dialed++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: p.dialTimeout, Control: setUserTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "backend server cannot be reached", peridotverdict.Cause(err))
	}
	return &Conn{Conn: conn, pool: p, address: address, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Prune closes the idle connections that have expired or whose address is not
// kept.
func (p *Pool) Prune(now time.Time, keep func(address string) bool) {
	p.mu.Lock()
	var old []*Conn
	for address, list := range p.idle {
		var kept []*Conn
		for _, c := range list {
			if now.Before(c.expires) && keep(address) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() error {
	var err error
	c.closed.Do(func() {
		c.pool.forget(c.address)
		err = c.Conn.Close()
	})
	return err
}

// Reused reports whether an answer was read on the connection before.
func (c *Conn) Reused() bool {
	return c.used
}

// keep puts the connection back after an answer that was read whole.
func (c *Conn) keep(h http.Header) {
	idle := keepFor(h)
	if idle <= 0 || c.reader.Buffered() > 0 {
		// Bytes behind the answer belong to no request.
		c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.used = true
	c.expires = time.Now().Add(idle)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.idle[c.address] = append(c.pool.idle[c.address], c)
}

// keepFor returns how long a connection may stay unused by the Keep-Alive header
// of its last answer.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// usable reports whether the connection is open and silent: bytes that came
// while it was idle belong to no request.
func (c *Conn) usable() bool {
	if !time.Now().Before(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = readErr == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
