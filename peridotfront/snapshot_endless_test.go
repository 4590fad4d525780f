package peridotfront

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"peridotstack/peridotanswer"
	"peridotstack/peridottable"
)

// maxBufferedBytes bounds the bytes that the buffers of a client read beyond a limit.
const maxBufferedBytes = 16 << 10

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countReads makes a client count the bytes that it reads from all connections.
func countReads(c *http.Client) *atomic.Int64 {
	bytes := &atomic.Int64{}
	transport := c.Transport.(*peridotanswer.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return countingConn{conn, bytes}, err
	}
	return bytes
}

// TestEndlessSnapshotIsRejected guards against a process at the address of another front
// that answers with bytes without end: they must not be applied, nor be held whole.
func TestEndlessSnapshotIsRejected(t *testing.T) {
	const ok, snapshot, stopAt = "HTTP/1.1 200 OK\r\n", `{"Config":{"Version":7},"Backends":null}`, 96 << 20
	for _, test := range []struct {
		name, begin, unit string
		limit             int
	}{
		{name: "header line", begin: ok + "A: ", unit: "x", limit: maxHeaderBytes},
		{name: "header lines", begin: ok, unit: "A: b\r\n", limit: maxHeaderBytes},
		{name: "interim answers", unit: "HTTP/1.1 103 X\r\n\r\n", limit: maxHeaderBytes},
		{name: "blanks", begin: ok + "\r\n", unit: " ", limit: maxSnapshotBytes},
		{name: "blanks behind a snapshot", begin: ok + "\r\n" + snapshot, unit: " ", limit: maxSnapshotBytes},
		{name: "snapshots", begin: ok + "\r\n", unit: snapshot, limit: maxSnapshotBytes},
		{name: "backend servers", begin: ok + "\r\n" + `{"Config":{"Version":7},"Backends":[{}`, unit: ", {}", limit: maxSnapshotBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			closed := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				block := []byte(strings.Repeat(test.unit, 1+(4<<10)/len(test.unit)))
				total, err := conn.Write([]byte(test.begin))
				for err == nil && total < stopAt {
					var n int
					n, err = conn.Write(block)
					total += n
				}
				close(closed)
			}()
			f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-0")
			client := newSnapshotClient()
			read := countReads(client)
			start := time.Now()
			if f.copyStateFrom(t.Context(), client, listener.Addr().String(), "x") || f.ready() {
				t.Error("got it applied, want it rejected")
			}
			if took := time.Since(start); took > 2*snapshotTimeout {
				t.Errorf("got it rejected after %v, want at most %v", took, snapshotTimeout)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection is open, want it closed")
			}
			if got, limit := read.Load(), int64(test.limit+maxBufferedBytes); got > limit {
				t.Errorf("got %d bytes read, want at most %d", got, limit)
			}
		})
	}
}
