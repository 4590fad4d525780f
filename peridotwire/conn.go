package peridotwire

import (
	"context"
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"peridotstack/peridotverdict"
)

// Handler serves one process's side of a connection.
type Handler interface {
	// Call serves a request and returns its answer, which must be encodable as
	// JSON. It runs on a goroutine of its own.
	Call(ctx context.Context, p *Peer, method string, params json.RawMessage) (any, error)
	// Notice takes a notification. Notices arrive in the order in which they
	// were sent and before any later answer; Notice must not block.
	Notice(p *Peer, method string, params json.RawMessage)
}

// Peer is a connection to another process of the system. Its methods may be
// called concurrently.
type Peer struct {
	conn     *jsonrpc2.Conn
	inflight *inflight
}

// NewPeer runs the protocol on an open connection until it closes.
func NewPeer(ctx context.Context, conn net.Conn, h Handler) *Peer {
	return newPeer(ctx, conn, h, &inflight{})
}

// newPeer is NewPeer with the counter of outstanding answers given.
func newPeer(ctx context.Context, conn net.Conn, h Handler, f *inflight) *Peer {
	p := &Peer{inflight: f}
	ready := make(chan struct{})
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	p.conn = jsonrpc2.NewConn(ctx, stream, &dispatcher{peer: p, ready: ready, handler: h})
	close(ready)
	return p
}

// Call sends a request and waits for its answer. An error that is not an Error
// of the other side has the verdict MayHaveRun and the code PeerLost.
func (p *Peer) Call(ctx context.Context, method string, params, answer any) error {
	err := p.conn.Call(ctx, method, params, answer)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) && remote.Data != nil {
		var e peridotverdict.Error
		if json.Unmarshal(*remote.Data, &e) == nil && e.Code != "" {
			return &e
		}
	}
	return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the peer did not answer", peridotverdict.Cause(err))
}

// Notify sends a notification.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	return p.conn.Notify(ctx, method, params)
}

// Close closes the connection.
func (p *Peer) Close() error {
	return p.conn.Close()
}

// Closed is closed once the connection is.
func (p *Peer) Closed() <-chan struct{} {
	return p.conn.DisconnectNotify()
}

// dispatcher hands notifications over in order and each request to a goroutine.
type dispatcher struct {
	peer    *Peer
	ready   <-chan struct{}
	handler Handler
}

// Handle implements jsonrpc2.Handler.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-d.ready
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	if r.Notif {
		d.handler.Notice(d.peer, r.Method, params)
		return
	}
	d.peer.inflight.add()
	go d.answer(ctx, conn, r, params)
}

func (d *dispatcher) answer(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, params json.RawMessage) {
	defer d.peer.inflight.done()
	answer, err := d.handler.Call(ctx, d.peer, r.Method, params)
	if err == nil {
		// A failed reply means that the connection closed; the other side sees it.
		_ = conn.Reply(ctx, r.ID, answer)
		return
	}
	failure := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	failure.SetError(peridotverdict.As(err))
	_ = conn.ReplyWithError(ctx, r.ID, failure)
}
