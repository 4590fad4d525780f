package peridotwire_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"peridotstack/peridotstandin"
	"peridotstack/peridotwire"
)

func newAuthority(t *testing.T) *peridotstandin.Authority {
	t.Helper()
	a, err := peridotstandin.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newIdentity(t *testing.T, a *peridotstandin.Authority, name string) *peridotwire.Identity {
	t.Helper()
	i, err := a.Identity(name)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// echo answers every request with its method name.
type echo struct{}

func (echo) HandleRequest(_ context.Context, _ *peridotwire.Peer, method string, _ json.RawMessage) (any, error) {
	return method, nil
}

func (echo) HandleNotification(*peridotwire.Peer, string, json.RawMessage) {}

func TestServerRefusesPeersWithoutValidCertificate(t *testing.T) {
	authority, otherAuthority := newAuthority(t), newAuthority(t)
	server, client, foreign := newIdentity(t, authority, "server"), newIdentity(t, authority, "client"), newIdentity(t, otherAuthority, "client")
	foreign.AuthorityFile = server.AuthorityFile // The client accepts the certificate of the server, but not vice versa.
	tests := []struct {
		name     string
		identity *peridotwire.Identity
		admitted bool
	}{
		{"signed by our authority", client, true},
		{"signed by another authority", foreign, false},
		{"no certificate", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			refused := make(chan error, 1)
			s := &peridotwire.Server{Listener: listener, Handler: echo{}, Identity: server, OnRefused: func(err error) { refused <- err }}
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- s.Serve(ctx) }()

			got := callSucceeds(ctx, test.identity, listener.Addr().String())
			if got != test.admitted {
				t.Errorf("admitted: got %v, want %v", got, test.admitted)
			}
			if !got {
				<-refused // Every client that is not admitted must be reported.
			}
			stop()
			if err := <-served; err != nil {
				t.Errorf("Serve: got %v, want nil", err)
			}
		})
	}
}

// callSucceeds reports whether a request on a new connection is answered.
func callSucceeds(ctx context.Context, i *peridotwire.Identity, address string) bool {
	conn, err := i.Dial(ctx, address, time.Minute)
	if err != nil {
		return false
	}
	p := peridotwire.NewPeer(ctx, conn, echo{})
	defer p.Close()
	var answer string
	return p.Call(ctx, "Hello", struct{}{}, &answer) == nil && answer == "Hello"
}
