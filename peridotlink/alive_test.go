package peridotlink

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"peridotstack/peridotanswer"
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

// acceptSentinel accepts the sentinel connection and waits until the pool knows it.
func acceptSentinel(t *testing.T, p *Pool, address string, accepted <-chan net.Conn) net.Conn {
	t.Helper()
	conn := <-accepted
	peridotawait.Until(t, "sentinel", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.sentinels[address] != nil && p.sentinels[address].conn != nil
	})
	return conn
}

// TestProveAlive guards against a process that still sends answers being taken for one that has
// ended, because it listens no more, and the other way round.
func TestProveAlive(t *testing.T) {
	for _, test := range []struct {
		name    string
		listens bool
		// isLeaving is set if the server is known to leave, so that there is a sentinel.
		isLeaving bool
		// closesAfter is when the server closes its other connections, after the end of the
		// answer. They remain open if it is negative.
		closesAfter time.Duration
		want        Proof
	}{
		{name: "listens", listens: true, closesAfter: -1, want: Listens},
		{name: "leaves", isLeaving: true, closesAfter: -1, want: SentinelOpen},
		{name: "not known to leave", closesAfter: -1},
		{name: "all connections end", isLeaving: true, closesAfter: 0},
		{name: "the connections end one by one", isLeaving: true, closesAfter: 20 * time.Millisecond},
		{name: "the process ends soon after the answer", isLeaving: true, closesAfter: 200 * time.Millisecond, want: SentinelOpen},
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
				sentinel = acceptSentinel(t, p, address, accepted)
			}
			if !test.listens {
				listener.Close()
			}
			server.Close()
			if test.isLeaving && test.closesAfter >= 0 {
				time.AfterFunc(test.closesAfter, func() { sentinel.Close() })
			}
			if got := p.ProveAlive(t.Context(), address); got != test.want {
				t.Errorf("ProveAlive: got %q, want %q", got, test.want)
			}
		})
	}
}

// TestProveAliveBySending guards against a process that goes on with other answers being taken
// for one that has ended, and against late bytes of one that has being taken for such answers.
func TestProveAliveBySending(t *testing.T) {
	const late = 2 * peridotanswer.ProcessEndTime
	send := func(conn net.Conn) { _, _ = conn.Write([]byte("more")) } // Fails if the connection has been closed.
	for _, test := range []struct {
		name string
		// do is what the server does with the connection of another answer, behind the end of
		// the first.
		do   func(conn net.Conn)
		want Proof
	}{
		{name: "sends on", do: func(conn net.Conn) { time.AfterFunc(late, func() { send(conn) }) }, want: SendsOn},
		{name: "sends on and ends later", do: func(conn net.Conn) {
			time.AfterFunc(late, func() { send(conn) })
			time.AfterFunc(4*late, func() { conn.Close() })
		}, want: SendsOn},
		{name: "nothing", do: func(net.Conn) {}},
		{name: "ends", do: func(conn net.Conn) { conn.Close() }},
		{name: "sends and ends", do: func(conn net.Conn) { send(conn); conn.Close() }},
		{name: "sends and ends late", do: func(conn net.Conn) {
			time.AfterFunc(late, func() { send(conn); conn.Close() })
		}},
		{name: "last bytes before the process would have ended", do: send},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, accepted := acceptConns(t)
			address := listener.Addr().String()
			p := NewPool(time.Second)
			first, answer := beginUnframed(t, p, address, "", accepted)
			defer answer.Abandon()
			second, other := beginUnframed(t, p, address, "", accepted)
			defer other.Abandon()
			go func() { _, _ = io.Copy(io.Discard, other.Body) }() // Ends with the connection.
			listener.Close()
			first.Close()
			test.do(second)
			if got := p.ProveAlive(t.Context(), address); got != test.want {
				t.Errorf("ProveAlive: got %q, want %q", got, test.want)
			}
		})
	}
}

// TestSentinelIsNotIdle guards against sentinels that a graceful shutdown closes as idle, and
// against servers without a sentinel that end the request it carries.
func TestSentinelIsNotIdle(t *testing.T) {
	t.Run("shutdown", func(t *testing.T) {
		begun, end := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nha")) // The test fails if it does.
			close(begun)
			<-end
		}))
		defer server.Close()
		p := NewPool(time.Second)
		address := server.Listener.Addr().String()
		c, err := p.Get(t.Context(), address, 0)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := c.Do(context.Background(), Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		<-begun
		p.UpdateSentinels(context.Background(), func(string) bool { return true })
		peridotawait.Until(t, "sentinel", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.sentinels[address] != nil && p.sentinels[address].conn != nil
		})
		time.Sleep(100 * time.Millisecond) // The server reads the head.
		stopped := make(chan error, 1)
		go func() { stopped <- server.Config.Shutdown(context.Background()) }()
		peridotawait.Until(t, "closed listener", func() bool { return p.Probe(t.Context(), address) == NotListening })
		close(end)
		if got := p.ProveAlive(t.Context(), address); got != SentinelOpen {
			t.Errorf("ProveAlive: got %q, want %q", got, SentinelOpen)
		}
		answer.Finish()
		select {
		case err := <-stopped:
			if err != nil {
				t.Errorf("Shutdown: got %v, want nil", err)
			}
		case <-time.After(2 * time.Second):
			t.Error("Shutdown: still waits, want an end with the last answer")
		}
	})
	t.Run("request refused", func(t *testing.T) {
		listener, accepted := acceptConns(t)
		address := listener.Addr().String()
		p := NewPool(time.Second)
		server, answer := beginUnframed(t, p, address, "", accepted)
		defer answer.Abandon()
		isLeaving := func(string) bool { return true }
		p.UpdateSentinels(t.Context(), isLeaving)
		acceptSentinel(t, p, address, accepted).Close()
		peridotawait.Until(t, "another sentinel", func() bool {
			p.UpdateSentinels(t.Context(), isLeaving)
			return p.DialCount() == 3
		})
		sentinel := acceptSentinel(t, p, address, accepted)
		if err := sentinel.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if n, err := sentinel.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("second sentinel: got %d bytes, error %v; want an idle connection", n, err)
		}
		listener.Close()
		server.Close()
		if got := p.ProveAlive(t.Context(), address); got != SentinelOpen {
			t.Errorf("ProveAlive: got %q, want %q", got, SentinelOpen)
		}
	})
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
				return len(p.openCounts)+len(p.sentinels)+len(p.unframedCounts)+len(p.receiving) == 0
			})
		})
	}
}
