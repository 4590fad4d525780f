package peridotbackend

import (
	"context"
	"net"
	"net/http"

	"peridotstack/peridotanswer"
	"peridotstack/peridotwait"
)

// isUnframed reports whether an answer has neither a length nor chunks. Its end is then that
// of the connection, also if the server has ended.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// sentinel is a connection without requests that is open while an unframed answer is read. A
// server that shuts down in order stops to listen before it has sent its last answers; that
// another connection to it remains open shows then that it has not ended with an answer.
type sentinel struct {
	// conn gets the connection, or nil if the server refuses it.
	conn chan *peridotanswer.Conn
}

// openSentinel begins to open a sentinel to the server at address.
func openSentinel(ctx context.Context, address string) *sentinel {
	s := &sentinel{conn: make(chan *peridotanswer.Conn, 1)}
	go func() {
		dialer := &net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			s.conn <- nil
			return
		}
		s.conn <- peridotanswer.NewConn(conn)
	}()
	return s
}

// staysOpen reports whether the sentinel is open, and remains so for longer than a process
// takes to end.
func (s *sentinel) staysOpen(ctx context.Context) bool {
	conn := <-s.conn
	s.conn <- conn
	if conn == nil || !conn.IsOpen() {
		return false
	}
	peridotwait.Sleep(ctx, peridotanswer.ProcessEndTime)
	return conn.IsOpen()
}

// close closes the sentinel.
func (s *sentinel) close() {
	go func() {
		if conn := <-s.conn; conn != nil {
			conn.Close()
		}
	}()
}
