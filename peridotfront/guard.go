package peridotfront

import (
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"peridotstack/peridotmetric"
	"peridotstack/peridotreserve"
	"peridotstack/peridotverdict"
)

const (
	// smallHeadCost is the memory of a parsed head up to which it may use the part of the pool
	// that is kept for small ones. Ordinary heads have up to 30 lines.
	smallHeadCost = 16 << 10
	// lingerTime and lingerBytes limit the reading behind a refused head. The caller would not
	// get the refusal if the connection was closed with unread data.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalWriteTimeout limits the writing of such a refusal.
	refusalWriteTimeout = 100 * time.Millisecond
	// stallCheckTime is the time between two checks whether a client takes its response.
	stallCheckTime = time.Second
)

// headLimits limits the heads of requests.
type headLimits struct {
	bytes int64
	// timeout is the time from the first byte to the end of a head, and idle the time until
	// the first byte of the next one.
	timeout, idle time.Duration
}

// guard is a listener that bounds the connections and the request heads of a server.
type guard struct {
	net.Listener
	connections int
	heads       *peridotreserve.Pool
	limits      func() headLimits
	// readTimeout limits the reading of a body if the handler sets no deadline; 0 means no
	// limit.
	readTimeout time.Duration
	metrics     *peridotmetric.Metrics
	// stallTimeout is the time without a byte taken by a client after which the writing of a
	// response fails while isPressed returns true; 0 means that the server sets the deadlines.
	// press is called if a connection is refused.
	stallTimeout time.Duration
	isPressed    func() bool
	press        func()

	// mu guards the fields below and guardedConn.place.
	mu   sync.Mutex
	open int
	// fresh contains the connections that have sent no whole head yet, and idle those that
	// wait for another one, the longest waiting first.
	fresh, idle *list.List
}

// newGuard returns a guard of a listener. The caller sets readTimeout and the metrics.
func newGuard(listener net.Listener, connections int, heads *peridotreserve.Pool, limits func() headLimits) *guard {
	return &guard{Listener: listener, connections: connections, heads: heads, limits: limits, metrics: &peridotmetric.Metrics{}, fresh: list.New(), idle: list.New()}
}

// serve runs a server on the connections of the guard. The guard sets all deadlines until the
// end of a head.
func (g *guard) serve(server *http.Server) error {
	server.ConnState = g.noteState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return server.Serve(g)
}

// Accept waits for the next connection. If there are too many, it closes the one that has
// waited longest for a request, or the new one if all have requests.
func (g *guard) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return nil, errors.Errorf("accepted a %T, want a TCP connection", conn)
		}
		if g.makeRoom() {
			return g.add(tcp), nil
		}
		g.metrics.Count("connections_refused")
		if g.press != nil {
			g.press()
		}
		_ = tcp.Close() // No request has been read.
	}
}

// makeRoom reports whether there is room for a connection after closing one.
func (g *guard) makeRoom() bool {
	g.mu.Lock()
	if g.open < g.connections {
		g.mu.Unlock()
		return true
	}
	longest := g.fresh.Front()
	if longest == nil {
		longest = g.idle.Front()
	}
	g.mu.Unlock()
	if longest == nil {
		return false
	}
	return longest.Value.(*guardedConn).evict()
}

func (g *guard) add(tcp *net.TCPConn) *guardedConn {
	c := &guardedConn{TCPConn: tcp, guard: g, head: g.heads.NewClaim()}
	g.mu.Lock()
	g.open++
	g.mu.Unlock()
	c.awaitHead(g.fresh, g.limits().idle) // Callers may keep new connections for later requests.
	return c
}

// noteState follows the states of connections. A connection is active from the end of a
// request head to the end of the answer.
func (g *guard) noteState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*guardedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.awaitHead(g.idle, g.limits().idle)
	case http.StateClosed:
		_ = c.Close() // It may be closed already.
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// headFits reserves the memory of a parsed head, as far as that has not been done while it
// arrived: the server may have read it together with the request before. It reports whether
// there is room.
func headFits(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*guardedConn)
	if !ok {
		return true
	}
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.head.Grow(peridotreserve.LinesCost(lines))
}

// guardedConn is a connection of a guard.
type guardedConn struct {
	*net.TCPConn
	guard *guard
	// place is the connection's place in a list of the guard; nil while it is active.
	place   *list.Element
	waiting *list.List

	// mu guards the fields below.
	mu sync.Mutex
	// inHead is set until a head has been read completely.
	inHead bool
	meter  peridotreserve.HeadMeter
	// head is the memory of the parsed head until the end of the answer.
	head   peridotreserve.Claim
	closed bool
}

// moveTo moves the connection to the end of a list of the guard, or to none.
func (c *guardedConn) moveTo(l *list.List) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.place != nil {
		c.waiting.Remove(c.place)
		c.place = nil
	}
	if c.waiting = l; l != nil {
		c.place = l.PushBack(c)
	}
}

// awaitHead begins the wait for a head, which must begin within the given time.
func (c *guardedConn) awaitHead(l *list.List, within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.moveTo(l)
	c.head.Release()
	c.meter, c.inHead = peridotreserve.HeadMeter{}, true
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(within)) // Fails if the connection is closed.
}

// endHead leaves the deadlines to the server and the handler.
func (c *guardedConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.moveTo(nil)
	c.inHead = false
	deadline := time.Time{}
	if c.guard.readTimeout > 0 {
		deadline = time.Now().Add(c.guard.readTimeout)
	}
	_ = c.TCPConn.SetReadDeadline(deadline) // Fails if the connection is closed.
}

// SetReadDeadline sets the deadline of an active connection. The guard sets the others.
func (c *guardedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		return nil
	}
	return c.TCPConn.SetReadDeadline(at)
}

// Read reads data. It reserves the memory of a head before the server parses it, and refuses a
// head that is too large or has no room.
func (c *guardedConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n == 0 {
		return n, err
	}
	if refusal := c.measure(data[:n]); refusal != "" {
		c.refuse(refusal, data)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errors.New("request head refused")} // The server adds no answer.
	}
	return n, err
}

// Write writes a part of a response. While memory or connections are short, it fails if the
// client has taken no byte for the stall timeout of the guard.
func (c *guardedConn) Write(data []byte) (int, error) {
	if c.guard.stallTimeout == 0 {
		return c.TCPConn.Write(data)
	}
	written, taken, takenAt := 0, uint64(0), time.Now()
	for {
		if err := c.SetWriteDeadline(time.Now().Add(stallCheckTime)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(data[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if now := c.acknowledged(); now != taken { // Also at the first check.
			taken, takenAt = now, time.Now()
		}
		if time.Since(takenAt) >= c.guard.stallTimeout && c.guard.isPressed() {
			c.guard.metrics.Count("callers_stalled")
			return written, err
		}
	}
}

// acknowledged returns the number of bytes that the client has taken, or 0 if it can't be
// read.
func (c *guardedConn) acknowledged() uint64 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var taken uint64
	_ = raw.Control(func(fd uintptr) { // Fails if the connection is closed.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			taken = info.Bytes_acked
		}
	})
	return taken
}

// measure reserves the memory for more of a head. It returns a refusal if there is none.
func (c *guardedConn) measure(data []byte) (refusal string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead || c.closed {
		return ""
	}
	limits := c.guard.limits()
	if c.meter.Bytes() == 0 {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(limits.timeout)) // Fails if the connection is closed.
	}
	c.meter.Add(data)
	if c.meter.Bytes() > limits.bytes {
		c.guard.metrics.Count("heads_too_large")
		return headRefusal(http.StatusRequestHeaderFieldsTooLarge, peridotverdict.TooLarge, "the request head is larger than "+byteCount(limits.bytes), "")
	}
	if !c.head.Grow(c.meter.Cost()) {
		c.guard.metrics.Count("heads_refused")
		return headRefusal(http.StatusServiceUnavailable, peridotverdict.Overloaded, "too many request heads are held", fmt.Sprintf("Retry-After: %.3f\r\n", memoryRetryAfter.Seconds()))
	}
	return ""
}

// headRefusal returns an answer to a request whose head has not been read completely.
func headRefusal(status int, code peridotverdict.Code, message, header string) string {
	body := fmt.Sprintf(`{"Code":%q,"Verdict":%q,"Message":%q}`, code, peridotverdict.NotRun, message)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// refuse writes a refusal and reads what is on its way into buffer.
func (c *guardedConn) refuse(refusal string, buffer []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // Fails if the connection is closed.
	if _, err := io.WriteString(c.TCPConn, refusal); err != nil {
		return
	}
	_ = c.CloseWrite() // Fails if the connection is closed.
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
	for read := 0; read < lingerBytes; {
		n, err := c.TCPConn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// evict closes the connection unless a request has arrived in the meantime. It reports
// whether it did.
func (c *guardedConn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead || c.closed {
		return c.closed
	}
	c.guard.metrics.Count("connections_evicted")
	_ = c.closeLocked() // The server notices.
	return true
}

// Close closes the connection and releases its memory. It may be called more than once.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.closeLocked()
}

// closeLocked does the same for an open connection. The caller must hold c.mu.
func (c *guardedConn) closeLocked() error {
	c.closed = true
	c.moveTo(nil)
	err := c.TCPConn.Close() // Before the guard counts one less, so that descriptors stay bounded.
	c.guard.mu.Lock()
	c.guard.open--
	c.guard.mu.Unlock()
	c.head.Release()
	return err
}
