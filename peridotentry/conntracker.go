package peridotentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"peridotstack/peridotmetric"
	"peridotstack/peridotverdict"
)

// connTracker tracks the connections of callers, or of operators. It adds what
// nbhttp lacks: it cancels a request when its caller disconnects, bounds the
// time in which a request must be received, answers requests that cannot be
// parsed, suspends the idle timeout during long answers, and waits until all
// answers have been sent.
type connTracker struct {
	// bodyTimeout bounds the time from the first to the last byte of a request. 0
	// means no bound.
	bodyTimeout time.Duration
	metrics     *peridotmetric.Metrics

	mu sync.Mutex
	// conns contains the tracked connections by nbio's connection, and remotes by
	// remote address. The lookup under mu also makes the accepting goroutine's
	// writes to the connection visible to other goroutines. nbio itself relies on
	// epoll to order these memory accesses.
	conns   map[net.Conn]*callerConn
	remotes map[string]*callerConn
}

// newServer returns a server that has not been started and whose connections c
// tracks.
func (c *connTracker) newServer(config nbhttp.Config) *nbhttp.Server {
	config.OnRequest = c.handleRequest
	server := nbhttp.NewServer(config)
	server.OnOpen(c.handleOpen)
	server.OnClose(c.handleClose)
	server.OnData(c.handleData)
	server.OnWrittenSize(c.handleWritten)
	return server
}

// byConn returns the tracked connection of an nbio connection, or nil.
func (c *connTracker) byConn(conn net.Conn) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[conn]
}

// byRemote returns the tracked connection from a remote address, or nil.
func (c *connTracker) byRemote(remote string) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remotes[remote]
}

// withCancelOnClose returns a copy of ctx that is canceled when the connection
// from the remote address closes. The caller must call the returned function
// once the request has ended.
func (c *connTracker) withCancelOnClose(ctx context.Context, remote string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if cc := c.byRemote(remote); cc != nil {
		go cc.watchForClose(ctx, cancel)
	}
	return ctx, cancel
}

// handleOpen is called by nbhttp for each new connection.
func (c *connTracker) handleOpen(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[net.Conn]*callerConn)
		c.remotes = make(map[string]*callerConn)
	}
	cc := newCallerConn(conn)
	c.conns[conn] = cc
	c.remotes[cc.remote] = cc
}

// handleClose is called by nbhttp when a connection has closed.
func (c *connTracker) handleClose(conn net.Conn, _ error) {
	cc := c.byConn(conn)
	if cc == nil {
		return
	}
	cc.markClosed()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	if c.remotes[cc.remote] == cc {
		delete(c.remotes, cc.remote)
	}
}

// handleWritten is called by nbio when bytes have been written to the network.
func (c *connTracker) handleWritten(conn *nbio.Conn, _ []byte, n int) {
	if cc := c.byConn(conn); cc != nil {
		cc.recordWritten(n)
	}
}

// handleData replaces nbhttp's own handler for received bytes.
func (c *connTracker) handleData(conn *nbio.Conn, data []byte) {
	parser, ok := conn.Session().(*nbhttp.Parser)
	cc := c.byConn(conn)
	if !ok || cc == nil {
		_ = conn.Close()
		return
	}
	// An unconditional write would race with the handler of the previous request.
	if parser.Conn != net.Conn(cc) {
		parser.Conn = cc
	}
	if cc.isRejected() {
		return
	}
	cc.startReceiveTimer(c.bodyTimeout, func() {
		c.reject(cc, peridotverdict.New(peridotverdict.RequestTimedOut, peridotverdict.NotRun, "the request took too long to arrive"))
	})
	// The idle timeout must not interrupt a long answer. nbhttp sets the deadline
	// again once the answer has been written.
	_ = conn.SetReadDeadline(time.Time{})
	if err := parser.Parse(data); err != nil {
		c.reject(cc, parseError(err))
	}
}

// handleRequest is called by nbhttp once a complete request has been received.
func (c *connTracker) handleRequest(_ http.ResponseWriter, r *http.Request) {
	if cc := c.byRemote(r.RemoteAddr); cc != nil {
		cc.beginAnswer()
	}
}

func parseError(err error) *peridotverdict.Error {
	if errors.Is(err, nbhttp.ErrTooLong) {
		return peridotverdict.New(peridotverdict.TooLarge, peridotverdict.NotRun, "the request is too large")
	}
	return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "malformed HTTP: "+err.Error())
}

// reject counts and answers a request that was not received completely or cannot
// be parsed.
func (c *connTracker) reject(cc *callerConn, err *peridotverdict.Error) {
	c.metrics.CountRefusal(err.Code)
	cc.reject(err)
}

// drain waits until no connection has an unanswered request or unsent bytes. If
// ctx is done first, it returns ctx.Err().
func (c *connTracker) drain(ctx context.Context) error {
	c.mu.Lock()
	conns := make([]*callerConn, 0, len(c.conns))
	for _, cc := range c.conns {
		conns = append(conns, cc)
	}
	c.mu.Unlock()
	for _, cc := range conns {
		if err := cc.awaitIdle(ctx); err != nil {
			return err
		}
	}
	return nil
}
