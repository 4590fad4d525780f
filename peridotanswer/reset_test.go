package peridotanswer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// uploadBytes is the size of a request body that doesn't fit into the buffers of a connection.
const uploadBytes = 32 << 20

// startUploadServer starts a server that answers each upload at once with the given text,
// reads on for a moment, and calls end. It returns its address.
func startUploadServer(t *testing.T, answer string, end func(conn *net.TCPConn)) string {
	t.Helper()
	return startServer(t, func(conn *net.TCPConn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		_, _ = io.CopyN(io.Discard, requests, 1<<20)
		time.Sleep(30 * time.Millisecond) // A reset discards what the client has not read.
		end(conn)
	})
}

// reset closes a connection with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

// TestResetDuringUpload guards against a part of an answer that looks complete, because the
// writer of the request got the only report of the connection's reset.
func TestResetDuringUpload(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\npart"
	tests := []struct {
		name string
		end  func(conn *net.TCPConn)
		want error
	}{
		{name: "reset", end: reset, want: syscall.ECONNRESET},
		{name: "end of the answer before the reset", end: func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(30 * time.Millisecond)
			reset(conn)
		}, want: io.EOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dialed, err := net.Dial("tcp", startUploadServer(t, answer, test.end))
			if err != nil {
				t.Fatal(err)
			}
			conn := NewConn(dialed)
			defer conn.Close()
			written := make(chan error, 1)
			go func() {
				request := append([]byte("POST / HTTP/1.1\r\nHost: h\r\n\r\n"), make([]byte, uploadBytes)...)
				_, err := conn.Write(request)
				written <- err
			}()
			if _, err := io.ReadFull(conn, make([]byte, len(answer))); err != nil {
				t.Fatal(err)
			}
			if err := <-written; err == nil {
				t.Fatal("got the request written, want an error")
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// TestAnswerEndsBeforeUpload guards against answers that are held back until the server has
// read a request that it doesn't need.
func TestAnswerEndsBeforeUpload(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	address := startUploadServer(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		<-hold
	})
	client := &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "whole" {
		t.Errorf("got body %q, error %v, want the answer", body, err)
	}
}

// slowFailure is a connection whose Write fails, but returns only once it is released. Its
// Read finds an ordinary end.
type slowFailure struct {
	net.Conn
	begun, release chan struct{}
	err            error
}

func (c *slowFailure) Read([]byte) (int, error) { return 0, io.EOF }

func (c *slowFailure) Write([]byte) (int, error) {
	close(c.begun)
	<-c.release
	return 0, c.err
}

// TestReadWaitsForFailedWrite guards against an end of the answer that is read between the
// failure of a Write and its return.
func TestReadWaitsForFailedWrite(t *testing.T) {
	for _, test := range []struct {
		name      string
		err, want error
	}{
		{name: "reset", err: syscall.ECONNRESET, want: syscall.ECONNRESET},
		{name: "timeout", err: syscall.ETIMEDOUT, want: syscall.ETIMEDOUT},
		{name: "ended before", err: syscall.EPIPE, want: io.EOF},
		{name: "written", want: io.EOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			fake := &slowFailure{begun: make(chan struct{}), release: make(chan struct{}), err: test.err}
			conn := NewConn(fake)
			go func() { _, _ = conn.Write([]byte("b")) }()
			<-fake.begun
			time.AfterFunc(20*time.Millisecond, func() { close(fake.release) })
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}
