package peridotloopback

import (
	"net"
	"testing"
)

// TestHostsAreDistinct guards against two tests of a process that listen on the same
// address: each host is new, also after the test that used the previous ones has ended,
// and its ports are free for TCP and UDP.
func TestHostsAreDistinct(t *testing.T) {
	seen := make(map[string]bool)
	for range 3 {
		t.Run("test", func(t *testing.T) {
			for range 50 {
				host := Host(t)
				if seen[host] {
					t.Errorf("got %s twice, want it once", host)
				}
				seen[host] = true
				listener, err := net.Listen("tcp", host+":7660")
				if err != nil {
					t.Fatal(err)
				}
				defer listener.Close()
				conn, err := net.ListenPacket("udp4", host+":7660")
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
			}
		})
	}
}

// TestAddress checks the first and the last address.
func TestAddress(t *testing.T) {
	for _, test := range []struct {
		n    int64
		want string
	}{{0, "127.1.0.1"}, {253, "127.1.0.254"}, {254, "127.1.1.1"}, {hosts - 1, "127.9.255.254"}} {
		if got := address(test.n); got != test.want {
			t.Errorf("%d: got %s, want %s", test.n, got, test.want)
		}
	}
}
