package peridotwire

import (
	"context"
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"peridotstack/peridotverdict"
)

// Handler handles the requests and notifications that arrive on a connection.
type Handler interface {
	// HandleRequest handles a request and returns its answer, which must be
	// encodable as JSON. It runs in its own goroutine.
	HandleRequest(ctx context.Context, p *Peer, method string, params json.RawMessage) (any, error)
	// HandleNotification handles a notification. Notifications are handled in the
	// order in which they were sent, and before Peer.Call returns an answer that
	// was sent after them. HandleNotification must not block.
	HandleNotification(p *Peer, method string, params json.RawMessage)
}

// Peer is a connection to another process of the system. Its methods are safe for
// concurrent use.
type Peer struct {
	conn     *jsonrpc2.Conn
	inflight *inflight
}

// NewPeer starts the protocol on an open connection and returns the Peer. The
// protocol runs until the connection closes.
func NewPeer(ctx context.Context, conn net.Conn, h Handler) *Peer {
	return newPeer(ctx, conn, h, &inflight{})
}

// newPeer is like NewPeer, but counts the outstanding answers in f.
func newPeer(ctx context.Context, conn net.Conn, h Handler, f *inflight) *Peer {
	p := &Peer{inflight: f}
	ready := make(chan struct{})
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	p.conn = jsonrpc2.NewConn(ctx, stream, &dispatcher{peer: p, ready: ready, handler: h})
	close(ready)
	return p
}

// Call sends a request and decodes the answer into answer. If the other side
// answered with an Error, Call returns that. Any other error has the code PeerLost
// and the verdict MayHaveRun.
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

// Notify sends a notification. A nil error does not mean that the other side
// received it.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	return p.conn.Notify(ctx, method, params)
}

// Close closes the connection.
func (p *Peer) Close() error {
	return p.conn.Close()
}

// Closed returns a channel that is closed when the connection closes.
func (p *Peer) Closed() <-chan struct{} {
	return p.conn.DisconnectNotify()
}

// dispatcher calls the handler: for notifications one after another, and for each
// request in a new goroutine.
type dispatcher struct {
	peer *Peer
	// ready is closed once the conn of peer is set.
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
		d.handler.HandleNotification(d.peer, r.Method, params)
		return
	}
	d.peer.inflight.add()
	go d.answerRequest(ctx, conn, r, params)
}

// answerRequest handles a request and sends its answer.
func (d *dispatcher) answerRequest(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, params json.RawMessage) {
	defer d.peer.inflight.done()
	answer, err := d.handler.HandleRequest(ctx, d.peer, r.Method, params)
	if err == nil {
		// Reply fails only if the connection has closed, which the other side notices.
		_ = conn.Reply(ctx, r.ID, answer)
		return
	}
	failure := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	failure.SetError(peridotverdict.As(err))
	_ = conn.ReplyWithError(ctx, r.ID, failure)
}
