package peridotwire

import (
	"context"
	"net"
	"sync"
	"time"
)

// handshakeTimeout limits the TLS handshake of a new connection.
const handshakeTimeout = 5 * time.Second

// Server accepts connections from other processes of the system. Listener and
// Handler must be set before Serve is called.
type Server struct {
	Listener net.Listener
	Handler  Handler
	// Identity authenticates both sides of each connection. If it is nil, any
	// client is accepted.
	Identity *Identity
	// OnRefused, if set, is called with the handshake error of each client that was
	// refused, such as one without a valid certificate. It must be safe for
	// concurrent use.
	OnRefused func(err error)

	inflight inflight

	mu    sync.Mutex
	peers map[*Peer]bool
}

// Serve accepts connections until ctx is done or the listener fails. It closes all
// connections before it returns. It returns nil if ctx is done.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	defer s.closePeers()
	for {
		conn, err := s.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go s.addConn(ctx, conn)
	}
}

// AwaitAnswers waits until every request that arrived has been answered. If ctx is
// done first, it returns ctx.Err(). A process that shuts down calls it before it
// cancels the context of Serve.
func (s *Server) AwaitAnswers(ctx context.Context) error {
	return s.inflight.awaitIdle(ctx)
}

// addConn performs the handshake of a new connection and serves the connection if
// the client is authenticated.
func (s *Server) addConn(ctx context.Context, conn net.Conn) {
	authenticated, err := s.Identity.handshake(ctx, conn, handshakeTimeout)
	if err != nil {
		if s.OnRefused != nil {
			s.OnRefused(err)
		}
		return
	}
	s.addPeer(newPeer(context.WithoutCancel(ctx), idleTimeoutConn{authenticated}, s.Handler, &s.inflight))
	if ctx.Err() != nil {
		s.closePeers()
	}
}

// addPeer records a connection until it closes.
func (s *Server) addPeer(p *Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = make(map[*Peer]bool)
	}
	s.peers[p] = true
	go func() {
		<-p.Closed()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.peers, p)
	}()
}

// closePeers closes all recorded connections.
func (s *Server) closePeers() {
	s.mu.Lock()
	peers := s.peers
	s.peers = nil
	s.mu.Unlock()
	for p := range peers {
		_ = p.Close()
	}
}
