package peridotlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"peridotstack/peridotanswer"
	"peridotstack/peridotclock"
	"peridotstack/peridotverdict"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the backend
	// server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how long before the Keep-Alive timeout of the backend
	// server an idle connection expires, so that the server does not close it while
	// a request is being sent.
	idleTimeoutMargin = 500 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails.
	tcpUserTimeout  = 3 * time.Second
	readBufferBytes = 4 << 10
)

// Pool is a set of connections to backend servers, by address. Create one with
// NewPool. It is safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration

	mu sync.Mutex
	// idleConns contains the idle connections per address, the most recently used last.
	idleConns map[string][]*Conn
	// openCounts contains the number of open connections per address, including those
	// that are being dialed.
	openCounts map[string]int
	// unframedCounts contains the number of answers per address that are being read and
	// end with their connections.
	unframedCounts map[string]int
	// receiving contains the connections per address on which an answer is awaited or read.
	receiving map[string]map[*Conn]bool
	// sentinels contains the sentinel per address.
	sentinels map[string]*sentinel
	// dialCount is the number of dials, including failed ones.
	dialCount int64
}

// NewPool returns an empty pool. Each dial fails after dialTimeout.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{
		dialTimeout: dialTimeout, idleConns: make(map[string][]*Conn), openCounts: make(map[string]int),
		unframedCounts: make(map[string]int), receiving: make(map[string]map[*Conn]bool), sentinels: make(map[string]*sentinel),
	}
}

// Conn is a connection to a backend server. It carries one request at a time and is
// not safe for concurrent use, except that Close may be called at any time.
type Conn struct {
	*peridotanswer.Conn
	pool    *Pool
	address string
	source  *limitedReader
	reader  *bufio.Reader
	// isUnframed is set while an answer is read that ends with the connection, and isClosed
	// once Close has been called. Both are guarded by Pool.mu.
	isUnframed, isClosed bool
	// dialedAt is when the connection was established.
	dialedAt time.Time
	// reused is set once a complete answer has been read from the connection.
	reused bool
	// expiresAt is when the idle connection must no longer be used.
	expiresAt time.Time
	closeOnce sync.Once
}

// DialCount returns the number of dials so far, including failed ones.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}

// Get returns an idle connection to address, or dials a new one. At most limit
// connections to address are open at a time; 0 means no limit. If the limit is
// reached, the error has the code Overloaded; if the dial fails, it has the code
// PeerLost. The verdict is always NotRun.
func (p *Pool) Get(ctx context.Context, address string, limit int) (*Conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if c.isUsable() {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, address, limit)
}

// popIdle removes the most recently used idle connection to address from the pool
// and returns it. It returns nil if there is none.
func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idleConns[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idleConns[address] = conns[:len(conns)-1]
	return c
}

// dial opens a connection unless the limit is reached.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*Conn, error) {
	p.mu.Lock()
	if limit > 0 && p.openCounts[address] >= limit {
		p.mu.Unlock()
		return nil, peridotverdict.New(peridotverdict.Overloaded, peridotverdict.NotRun, "no connection to "+address+" is free")
	}
	p.openCounts[address]++
	p.dialCount++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: p.dialTimeout, Control: setUserTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.decrementOpen(address)
		return nil, peridotverdict.New(peridotverdict.PeerLost, peridotverdict.NotRun, "backend server cannot be reached", peridotverdict.Cause(err))
	}
	return p.newConn(address, conn), nil
}

// newConn returns the connection of the pool that reads from conn and writes to it.
func (p *Pool) newConn(address string, conn net.Conn) *Conn {
	checked := peridotanswer.NewConn(conn)
	source := &limitedReader{reader: checked, left: unlimited}
	return &Conn{Conn: checked, pool: p, address: address, dialedAt: peridotclock.BootTime(), source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// unlimited is the limit of a limitedReader that reads on without end.
const unlimited = -1

// limitedReader reads from a connection. Once its limit is used up, it returns
// ErrTooLong.
type limitedReader struct {
	reader io.Reader
	// left is the number of bytes that may still be read, or unlimited.
	left int
	// received is the number of bytes read so far. It may be read at any time.
	received atomic.Int64
}

// limit sets the number of bytes that may be read from now on, or unlimited.
func (l *limitedReader) limit(n int) { l.left = n }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, ErrTooLong
	}
	if l.left != unlimited {
		p = p[:min(len(p), l.left)]
	}
	n, err := l.reader.Read(p)
	l.received.Add(int64(n))
	if l.left != unlimited {
		l.left -= n
	}
	return n, err
}

// setUserTimeout sets the TCP_USER_TIMEOUT option of a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// decrementOpen decrements the number of open connections to address.
func (p *Pool) decrementOpen(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCounts[address]--
	if p.openCounts[address] <= 0 {
		delete(p.openCounts, address)
	}
}

// Prune closes the idle connections that have expired at now, and those to
// addresses for which keep returns false. It calls keep with the pool locked, so
// keep must not call methods of p.
func (p *Pool) Prune(now time.Time, keep func(address string) bool) {
	p.mu.Lock()
	var pruned []*Conn
	for address, conns := range p.idleConns {
		var kept []*Conn
		for _, c := range conns {
			if now.Before(c.expiresAt) && keep(address) {
				kept = append(kept, c)
			} else {
				pruned = append(pruned, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idleConns, address)
		} else {
			p.idleConns[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range pruned {
		c.Close()
	}
}

// Close closes the connection. It is safe for concurrent use; calls after the first
// have no effect and return nil.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.pool.decrementOpen(c.address)
		c.recordClose()
		err = c.Conn.Close()
	})
	return err
}

// Reused reports whether the connection has carried an earlier request, whose
// answer was read completely.
func (c *Conn) Reused() bool {
	return c.reused
}

// DialedAt returns when the connection was established, on the clock of peridotclock.BootTime.
func (c *Conn) DialedAt() time.Time {
	return c.dialedAt
}

// returnToPool makes the connection available for other requests. The caller must
// have read its last answer, which has the header h, completely.
func (c *Conn) returnToPool(h http.Header) {
	timeout := idleTimeout(h)
	if timeout <= 0 || c.reader.Buffered() > 0 {
		// Bytes after the end of the answer belong to no request.
		c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.reused = true
	c.expiresAt = time.Now().Add(timeout)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.setReceiving(false)
	c.pool.idleConns[c.address] = append(c.pool.idleConns[c.address], c)
}

// idleTimeout returns how long a connection may stay idle after an answer with the
// header h.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// isUsable reports whether the idle connection has not expired, is open and has no
// unread bytes. Bytes received while it was idle belong to no request.
func (c *Conn) isUsable() bool {
	if !time.Now().Before(c.expiresAt) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = readErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
