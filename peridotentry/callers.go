package peridotentry

import (
	"context"
	"encoding/json"
	"fmt"
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

// callers knows the callers' connections. It does what nbhttp leaves out: it
// cancels a request when its caller goes away, bounds the time a caller takes
// to send a request, answers one that cannot be parsed, and keeps the idle
// timeout away from long streams.
type callers struct {
	// bodyTimeout bounds the time from the first to the last byte of a request.
	bodyTimeout time.Duration
	metrics     *peridotmetric.Metrics

	mu    sync.Mutex
	conns map[string]*callerConn
}

// callerConn is the state of one connection, guarded by callers.
type callerConn struct {
	// open is false for a connection that closed before its request was served.
	open bool
	// sending runs while a request is arriving.
	sending *time.Timer
	// cancel ends the request under way, or is nil.
	cancel context.CancelFunc
}

// conn returns the state of a connection; the caller holds the mutex.
func (c *callers) conn(remote string) *callerConn {
	if c.conns == nil {
		c.conns = make(map[string]*callerConn)
	}
	cc, ok := c.conns[remote]
	if !ok {
		cc = &callerConn{}
		c.conns[remote] = cc
	}
	return cc
}

// watch returns a context that is canceled when the connection from the remote
// address closes. The returned function must be called when the request ended.
func (c *callers) watch(ctx context.Context, remote string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.conn(remote)
	cc.cancel = cancel
	return ctx, func() {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		cc.cancel = nil
		if !cc.open {
			delete(c.conns, remote)
		}
	}
}

// opened is called by nbhttp for each new connection.
func (c *callers) opened(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn(conn.RemoteAddr().String()).open = true
}

// closed is called by nbhttp when a connection has closed.
func (c *callers) closed(conn net.Conn, _ error) {
	remote := conn.RemoteAddr().String()
	c.mu.Lock()
	defer c.mu.Unlock()
	cc, ok := c.conns[remote]
	if !ok {
		return
	}
	delete(c.conns, remote)
	if cc.sending != nil {
		cc.sending.Stop()
	}
	if cc.cancel != nil {
		cc.cancel()
	}
}

// arrived takes bytes of a request in place of nbhttp's own handler.
func (c *callers) arrived(conn *nbio.Conn, data []byte) {
	parser, ok := conn.Session().(nbhttp.ParserCloser)
	if !ok {
		_ = conn.Close()
		return
	}
	c.beginSending(conn)
	// A long answer must not run into the idle timeout; nbhttp sets it again
	// once the answer has been written.
	_ = conn.SetReadDeadline(time.Time{})
	if err := parser.Parse(data); err != nil {
		c.reject(conn, parseError(err))
	}
}

// received is called by nbhttp once a request has arrived whole.
func (c *callers) received(_ http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.conn(r.RemoteAddr)
	if cc.sending != nil {
		cc.sending.Stop()
		cc.sending = nil
	}
}

func (c *callers) beginSending(conn *nbio.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.conn(conn.RemoteAddr().String())
	if cc.sending == nil && c.bodyTimeout > 0 {
		cc.sending = time.AfterFunc(c.bodyTimeout, func() {
			c.reject(conn, peridotverdict.New(peridotverdict.RequestTimedOut, peridotverdict.NotRun, "the request took too long to arrive"))
		})
	}
}

func parseError(err error) *peridotverdict.Error {
	if errors.Is(err, nbhttp.ErrTooLong) {
		return peridotverdict.New(peridotverdict.TooLarge, peridotverdict.NotRun, "the request is too large")
	}
	return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "malformed HTTP: "+err.Error())
}

// reject answers a request that never became one, and closes the connection.
func (c *callers) reject(conn *nbio.Conn, err *peridotverdict.Error) {
	c.metrics.Refused(err.Code)
	body, encodeErr := json.Marshal(refusal(err, ""))
	if encodeErr == nil {
		status := statusOf(err.Code)
		fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	}
	_ = conn.CloseWithError(err)
}
