package peridotwire

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentPeerIsDropped checks that a connection is closed whose other side stays
// open but sends nothing.
func TestSilentPeerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer remote.Close()
		p := NewPeer(context.Background(), idleTimeoutConn{local}, echo{})
		start := time.Now()
		<-p.Closed() // Only the read deadline can close the connection.
		if got, want := time.Since(start), idleTimeout; got != want {
			t.Errorf("closed after %v, want %v", got, want)
		}
	})
}
