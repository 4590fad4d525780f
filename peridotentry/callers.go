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

// callers knows the connections of callers, or of operators. It does what nbhttp leaves out: it
// cancels a request when its caller goes away, bounds the time a caller takes
// to send a request, answers one that cannot be parsed, keeps the idle timeout
// away from long streams, and knows when every answer has been sent.
type callers struct {
	// bodyTimeout bounds the time from the first to the last byte of a request.
	bodyTimeout time.Duration
	metrics     *peridotmetric.Metrics

	mu sync.Mutex
	// conns finds a connection by what nbio calls it, and remotes by its remote
	// address. Looking it up also orders what the accepting goroutine wrote to
	// the connection before what the others read, which nbio leaves to epoll.
	conns   map[net.Conn]*callerConn
	remotes map[string]*callerConn
}

// server returns a server that has not started and whose connections c knows.
func (c *callers) server(config nbhttp.Config) *nbhttp.Server {
	config.OnRequest = c.received
	server := nbhttp.NewServer(config)
	server.OnOpen(c.opened)
	server.OnClose(c.closed)
	server.OnData(c.arrived)
	server.OnWrittenSize(c.written)
	return server
}

// get returns what belongs to nbio's connection, or nil.
func (c *callers) get(conn net.Conn) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[conn]
}

// from returns the connection from a remote address, or nil.
func (c *callers) from(remote string) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remotes[remote]
}

// watch returns a context that is canceled when the connection from the remote
// address closes. The returned function must be called when the request ended.
func (c *callers) watch(ctx context.Context, remote string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if cc := c.from(remote); cc != nil {
		go cc.watch(ctx, cancel)
	}
	return ctx, cancel
}

// opened is called by nbhttp for each new connection.
func (c *callers) opened(conn net.Conn) {
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

// closed is called by nbhttp when a connection has closed.
func (c *callers) closed(conn net.Conn, _ error) {
	cc := c.get(conn)
	if cc == nil {
		return
	}
	cc.lost()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	if c.remotes[cc.remote] == cc {
		delete(c.remotes, cc.remote)
	}
}

// written is called by nbio when bytes have gone to the network.
func (c *callers) written(conn *nbio.Conn, _ []byte, n int) {
	if cc := c.get(conn); cc != nil {
		cc.wrote(n)
	}
}

// arrived takes bytes of a request in place of nbhttp's own handler.
func (c *callers) arrived(conn *nbio.Conn, data []byte) {
	parser, ok := conn.Session().(*nbhttp.Parser)
	cc := c.get(conn)
	if !ok || cc == nil {
		_ = conn.Close()
		return
	}
	// Another write would race with the handler of the request before.
	if parser.Conn != net.Conn(cc) {
		parser.Conn = cc
	}
	if cc.isRejected() {
		return
	}
	cc.beginSending(c.bodyTimeout, func() {
		c.reject(cc, peridotverdict.New(peridotverdict.RequestTimedOut, peridotverdict.NotRun, "the request took too long to arrive"))
	})
	// A long answer must not run into the idle timeout; nbhttp sets it again
	// once the answer has been written.
	_ = conn.SetReadDeadline(time.Time{})
	if err := parser.Parse(data); err != nil {
		c.reject(cc, parseError(err))
	}
}

// received is called by nbhttp once a request has arrived whole.
func (c *callers) received(_ http.ResponseWriter, r *http.Request) {
	if cc := c.from(r.RemoteAddr); cc != nil {
		cc.beginAnswer()
	}
}

func parseError(err error) *peridotverdict.Error {
	if errors.Is(err, nbhttp.ErrTooLong) {
		return peridotverdict.New(peridotverdict.TooLarge, peridotverdict.NotRun, "the request is too large")
	}
	return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "malformed HTTP: "+err.Error())
}

// reject counts and answers a request that never became one.
func (c *callers) reject(cc *callerConn, err *peridotverdict.Error) {
	c.metrics.Refused(err.Code)
	cc.reject(err)
}

// drain waits until no connection has a request or an unsent answer, or until
// ctx is done, which is an error.
func (c *callers) drain(ctx context.Context) error {
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
