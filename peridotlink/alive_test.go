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

// beginUnframed makes the server at the other end of a connection begin an answer that ends
// with it, and returns the server's end and the answer.
func beginUnframed(t *testing.T, p *Pool, address, framing string, accepted <-chan net.Conn) (net.Conn, *Answer) {
	t.Helper()
	ctx := context.Background() // The connection outlives the test function's context.
	c, err := p.Get(ctx, address, 0)
	if err != nil {
		t.Fatal(err)
	}
	server := <-accepted
	if _, err := server.Write([]byte("HTTP/1.1 200 OK\r\n" + framing + "\r\nha")); err != nil {
		t.Fatal(err)
	}
	answer, err := c.Do(ctx, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	return server, answer
}

// TestIsAlive guards against a process that still sends answers being taken for one that has
// ended, because it listens no more, and the other way round.
func TestIsAlive(t *testing.T) {
	for _, test := range []struct {
		name    string
		listens bool
		// isLeaving is set if the server is known to leave, so that there is a sentinel.
		isLeaving bool
		// closesAfter is when the server closes its other connections, after the end of the
		// answer. They remain open if it is negative.
		closesAfter time.Duration
		want        bool
	}{
		{name: "listens", listens: true, closesAfter: -1, want: true},
		{name: "leaves", isLeaving: true, closesAfter: -1, want: true},
		{name: "not known to leave", closesAfter: -1},
		{name: "all connections end", isLeaving: true, closesAfter: 0},
		{name: "the connections end one by one", isLeaving: true, closesAfter: 20 * time.Millisecond},
		{name: "the process ends soon after the answer", isLeaving: true, closesAfter: 200 * time.Millisecond, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, accepted := acceptConns(t)
			address := listener.Addr().String()
			p := NewPool(time.Second)
			server, answer := beginUnframed(t, p, address, "", accepted)
			defer answer.Abandon()
			p.UpdateSentinels(t.Context(), func(string) bool { return test.isLeaving })
			var sentinel net.Conn
			if test.isLeaving {
				sentinel = <-accepted
				peridotawait.Until(t, "sentinel", func() bool {
					p.mu.Lock()
					defer p.mu.Unlock()
					return p.sentinels[address] != nil
				})
			}
			if !test.listens {
				listener.Close()
			}
			server.Close()
			if test.isLeaving && test.closesAfter >= 0 {
				time.AfterFunc(test.closesAfter, func() { sentinel.Close() })
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
			_, answer := beginUnframed(t, p, address, test.framing, accepted)
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
				return len(p.openCounts)+len(p.sentinels)+len(p.unframedCounts) == 0
			})
		})
	}
}
