package peridotlink

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"peridotstack/peridotawait"
)

// acceptConns returns a listener on the loopback interface and the connections that it
// accepts.
func acceptConns(t *testing.T) (net.Listener, <-chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			conns <- conn
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return listener, conns
}

// TestIsAlive guards against a process that still sends answers being taken for one that has
// ended, because it listens no more, and the other way round.
func TestIsAlive(t *testing.T) {
	for _, test := range []struct {
		name    string
		listens bool
		// closesAfter is when the server closes its second connection, after its first one.
		// It remains open if it is negative.
		closesAfter time.Duration
		// conns is the number of connections.
		conns int
		want  bool
	}{
		{name: "listens", listens: true, closesAfter: -1, conns: 1, want: true},
		{name: "another connection is open", closesAfter: -1, conns: 2, want: true},
		{name: "no other connection", closesAfter: -1, conns: 1},
		{name: "all connections end", closesAfter: 0, conns: 2},
		{name: "the connections end one by one", closesAfter: 20 * time.Millisecond, conns: 2},
		{name: "the process ends soon after the answer", closesAfter: 200 * time.Millisecond, conns: 2, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, accepted := acceptConns(t)
			address := listener.Addr().String()
			p := NewPool(time.Second)
			var conns []net.Conn
			for range test.conns {
				if _, err := p.Get(t.Context(), address, 0); err != nil {
					t.Fatal(err)
				}
				conns = append(conns, <-accepted)
			}
			if !test.listens {
				listener.Close()
			}
			conns[0].Close()
			if test.closesAfter >= 0 {
				time.AfterFunc(test.closesAfter, func() { conns[1].Close() })
			}
			if got := p.IsAlive(t.Context(), address); got != test.want {
				t.Errorf("IsAlive: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestUpdateSentinels guards against connections to servers that are opened without need, or
// remain open.
func TestUpdateSentinels(t *testing.T) {
	ctx := context.Background()
	for _, test := range []struct {
		name, framing string
		isLeaving     bool
		want          int64
	}{
		{name: "an answer that ends with its connection", isLeaving: true, want: 1},
		{name: "an answer with a length", framing: "Content-Length: 5\r\n", isLeaving: true},
		{name: "a server that stays"},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, accepted := acceptConns(t)
			address := listener.Addr().String()
			p := NewPool(time.Second)
			c, err := p.Get(ctx, address, 0)
			if err != nil {
				t.Fatal(err)
			}
			server := <-accepted
			if _, err := server.Write([]byte("HTTP/1.1 200 OK\r\n" + test.framing + "\r\nha")); err != nil {
				t.Fatal(err)
			}
			answer, err := c.Do(ctx, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			isLeaving := func(string) bool { return test.isLeaving }
			for range 3 {
				p.UpdateSentinels(ctx, isLeaving)
				time.Sleep(20 * time.Millisecond)
			}
			if got := p.DialCount() - 1; got != test.want {
				t.Errorf("got %d sentinels, want %d", got, test.want)
			}
			answer.Abandon()
			p.UpdateSentinels(ctx, isLeaving)
			peridotawait.Until(t, "closed pool", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(p.openCounts)+len(p.conns)+len(p.sentinels)+len(p.unframedCounts) == 0
			})
		})
	}
}
