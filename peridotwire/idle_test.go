package peridotwire

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentPeerIsDropped lets a connection go silent without closing it.
func TestSilentPeerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		p := NewPeer(context.Background(), idleConn{ours}, echo{})
		began := time.Now()
		<-p.Closed() // Without a deadline nothing would ever close it.
		if got, want := time.Since(began), idleTimeout; got != want {
			t.Errorf("closed after %v, want %v", got, want)
		}
	})
}
