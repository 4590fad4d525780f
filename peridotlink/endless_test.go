package peridotlink

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotverdict"
)

// readCounter counts the bytes read from a connection.
type readCounter struct {
	io.Reader
	bytes int
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytes += n
	return n, err
}

// startEndlessServer starts a server that answers each request with begin and then with
// unit without end, until the connection is closed. It returns its address and a
// channel that gets a value whenever that happens.
func startEndlessServer(t *testing.T, begin, unit string) (string, chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	closed := make(chan struct{}, 1)
	block := []byte(strings.Repeat(unit, 1+1024/len(unit)))
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = conn.Write([]byte(begin))
		for err == nil {
			_, err = conn.Write(block)
		}
		closed <- struct{}{}
	}()
	return listener.Addr().String(), closed
}

// TestEndlessAnswerIsBounded guards against memory and time spent on an answer that
// does not end: it checks the bytes read, the verdict, and that the connection is closed.
func TestEndlessAnswerIsBounded(t *testing.T) {
	const ok, bodyLimit = "HTTP/1.1 200 OK\r\n", 100_000
	tests := []struct {
		name, begin, unit string
		// limit is the number of bytes that may be read.
		limit int
		// isTooLong is set if the cause of the error must be ErrTooLong.
		isTooLong bool
	}{
		{name: "line without end", unit: "x", limit: maxHeadBytes, isTooLong: true},
		{name: "header line without end", begin: ok + "A: ", unit: "x", limit: maxHeadBytes, isTooLong: true},
		{name: "head without end", begin: ok, unit: "A: b\r\n", limit: maxHeadBytes, isTooLong: true},
		{name: "interim answers", unit: "HTTP/1.1 103 X\r\n\r\n", limit: maxHeadBytes, isTooLong: true},
		{name: "interim answers with headers", unit: "HTTP/1.1 100 X\r\nA: b\r\n\r\n", limit: maxHeadBytes, isTooLong: true},
		{name: "blank lines", unit: "\r\n", limit: readBufferBytes},
		{name: "body", begin: ok + "\r\n", unit: "x", limit: bodyLimit + 2*readBufferBytes, isTooLong: true},
		{name: "body of a stated length", begin: ok + "Content-Length: 9223372036854775807\r\n\r\n", unit: "x", limit: bodyLimit + 2*readBufferBytes, isTooLong: true},
		{name: "chunk size", begin: ok + "Transfer-Encoding: chunked\r\n\r\n", unit: "0", limit: 3 * readBufferBytes},
		{name: "chunk extension", begin: ok + "Transfer-Encoding: chunked\r\n\r\n1;", unit: "x", limit: 3 * readBufferBytes},
		{name: "chunk extensions", begin: ok + "Transfer-Encoding: chunked\r\n\r\n", unit: "1;" + strings.Repeat("x", 100) + "\r\nx\r\n", limit: 64 << 10},
		{name: "trailer", begin: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", unit: "A: b\r\n", limit: 3 * readBufferBytes},
		{name: "trailer line", begin: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", unit: "x", limit: 3 * readBufferBytes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, closed := startEndlessServer(t, test.begin, test.unit)
			p := NewPool(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			c, err := p.Get(ctx, address, 1)
			if err != nil {
				t.Fatal(err)
			}
			counter := &readCounter{Reader: c.source.reader}
			c.source.reader = counter
			a, err := c.Do(ctx, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("b")})
			if err == nil {
				_, err = a.ReadAll(bodyLimit)
			}
			if got := peridotverdict.As(err); err == nil || got.Verdict != peridotverdict.MayHaveRun || errors.Is(err, ErrTooLong) != test.isTooLong || ctx.Err() != nil {
				t.Errorf("got %v, want an error that says that it may have run, too long %v", err, test.isTooLong)
			}
			if counter.bytes > test.limit {
				t.Errorf("got %d bytes read, want at most %d", counter.bytes, test.limit)
			}
			select {
			case <-closed:
			case <-ctx.Done():
				t.Error("the connection is open, want it closed")
			}
			if _, err := p.Get(ctx, address, 1); peridotverdict.Is(err, peridotverdict.Overloaded) {
				t.Errorf("next connection: got %v, want the limit free again", err)
			}
		})
	}
}

// TestLongHeadIsRead checks that the limit of one head does not count against the body
// or the next answers on the connection.
func TestLongHeadIsRead(t *testing.T) {
	address := startServer(t, strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 60))
	p := NewPool(time.Second)
	for range 5 {
		sendRequest(t, p, address)
	}
	if got := p.DialCount(); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}
