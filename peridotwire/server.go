package peridotwire

import (
	"context"
	"net"
	"sync"
	"time"
)

// handshakeTimeout bounds how long a new connection may take to prove itself.
const handshakeTimeout = 5 * time.Second

// Server accepts connections from other processes of the system. Set Listener
// and Handler before use.
type Server struct {
	Listener net.Listener
	Handler  Handler
	// Identity proves who both sides are; nil accepts anybody.
	Identity *Identity
	// Refused, if set, is told of each peer without a valid certificate.
	Refused func(err error)

	inflight inflight

	mu    sync.Mutex
	peers map[*Peer]bool
}

// Serve accepts connections until ctx is done or the listener fails. It closes
// all connections before it returns.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	defer s.closeAll()
	for {
		conn, err := s.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go s.admit(ctx, conn)
	}
}

// AwaitAnswers returns nil once every request that arrived has been answered, or
// the error of ctx. A process that stops calls it before it ends Serve.
func (s *Server) AwaitAnswers(ctx context.Context) error {
	return s.inflight.wait(ctx)
}

// admit lets a connection in once its other side has proved who it is.
func (s *Server) admit(ctx context.Context, conn net.Conn) {
	secure, err := s.Identity.handshake(ctx, conn, handshakeTimeout)
	if err != nil {
		if s.Refused != nil {
			s.Refused(err)
		}
		return
	}
	s.keep(newPeer(context.WithoutCancel(ctx), idleConn{secure}, s.Handler, &s.inflight))
	if ctx.Err() != nil {
		s.closeAll()
	}
}

func (s *Server) keep(p *Peer) {
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

func (s *Server) closeAll() {
	s.mu.Lock()
	peers := s.peers
	s.peers = nil
	s.mu.Unlock()
	for p := range peers {
		_ = p.Close()
	}
}
