package peridotlink

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"peridotstack/peridotverdict"
)

// orderedConn fixes which side of a connection learns first of its failure: a Read behind the
// answer waits until a Write has failed.
type orderedConn struct {
	net.Conn
	// unread is the number of bytes of the answer that have not been read.
	unread      int
	writeFailed chan struct{}
	failOnce    sync.Once
}

func (c *orderedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *orderedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failOnce.Do(func() { close(c.writeFailed) })
	}
	return n, err
}

func (c *orderedConn) Read(p []byte) (int, error) {
	if c.unread == 0 {
		<-c.writeFailed
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.unread)])
	c.unread -= n
	return n, err
}

// TestResetDuringUpload guards against a part of an answer without a length that is returned as
// the whole answer: the server resets the connection while the request is still being written,
// and the writer gets the only report of the reset.
func TestResetDuringUpload(t *testing.T) {
	for _, test := range []struct {
		name, answer string
		// isComplete is set if the answer is complete.
		isComplete bool
	}{
		{name: "no length", answer: "HTTP/1.1 200 OK\r\n\r\npart"},
		{name: "no length, no body yet", answer: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", isComplete: true},
		{name: "chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", isComplete: true},
		{name: "incomplete chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			headRead := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, test.answer)
					_, _ = io.CopyN(io.Discard, reader, 1<<20)
					<-headRead
					time.Sleep(20 * time.Millisecond) // A reset discards what the client has not read.
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}()
			dialed, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			ordered := &orderedConn{Conn: dialed, unread: len(test.answer), writeFailed: make(chan struct{})}
			c := NewPool(time.Second).newConn(listener.Addr().String(), ordered)
			a, err := c.Do(t.Context(), Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20)})
			if err != nil {
				t.Fatal(err)
			}
			close(headRead)
			body, err := a.ReadAll(100)
			if test.isComplete != (err == nil) || err == nil && string(body) != "part" {
				t.Errorf("got body %q, error %v, want it complete: %v", body, err, test.isComplete)
			}
			if err != nil && peridotverdict.Of(err) != peridotverdict.MayHaveRun {
				t.Errorf("got verdict %v, want MayHaveRun", peridotverdict.Of(err))
			}
		})
	}
}

// TestEarlyAnswerIsWhole guards against an answer without a length that is refused, since it
// comes and ends before the server has read the request, which it does later.
func TestEarlyAnswerIsWhole(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, request.Body)
	}()
	c, err := NewPool(time.Second).Get(t.Context(), listener.Addr().String(), 0)
	if err != nil {
		t.Fatal(err)
	}
	a, err := c.Do(t.Context(), Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20)})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := a.ReadAll(100); err != nil || string(body) != "whole" {
		t.Errorf("got body %q, error %v, want the whole answer", body, err)
	}
}
