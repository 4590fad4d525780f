package peridotwire

import (
	"context"
	"net"
	"sync"
)

// Server accepts connections from other processes of the system. Its zero value
// is not usable; set Listener and Handler.
type Server struct {
	Listener net.Listener
	Handler  Handler

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
		// The connection outlives ctx until closeAll, so that answers under way
		// during a graceful shutdown still get out.
		s.keep(NewPeer(context.WithoutCancel(ctx), conn, s.Handler))
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
