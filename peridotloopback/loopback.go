// Package peridotloopback gives the servers of a test loopback addresses of their own.
package peridotloopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

const (
	// claimPort is the TCP port that is kept open on an address while it is in use. It
	// lies below the range of ports that the kernel gives to outgoing connections.
	claimPort = 8404
	// hosts is the number of addresses: those of 127.1.0.0/16 to 127.9.0.0/16 whose last
	// byte is neither 0 nor 255. The fault soak uses 127.10.0.0/16 and above.
	hosts = 9 * 256 * 254
	// hostsPerProcess is the distance between the first addresses of two processes with
	// consecutive IDs.
	hostsPerProcess = 997
)

// claimed is the number of addresses that this process has tried to claim.
var claimed atomic.Int64

// Host returns a loopback address on which the servers of t can listen at any port
// except claimPort, for TCP and for UDP, as long as they listen below the range of ports
// of outgoing connections. No other test on this machine gets the address before t ends,
// and none of this process gets it afterwards. Host is safe for concurrent use.
func Host(t testing.TB) string {
	t.Helper()
	first := int64(os.Getpid()) * hostsPerProcess
	for n := claimed.Add(1); n <= hosts; n = claimed.Add(1) {
		host := address((first + n) % hosts)
		claim, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, claimPort))
		if err == nil {
			t.Cleanup(func() { claim.Close() })
			return host
		}
	}
	t.Fatal("got no free loopback address, want one")
	return ""
}

// address returns the address with number n, from 0 to hosts-1.
func address(n int64) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+n/(256*254), n/254%256, 1+n%254)
}
