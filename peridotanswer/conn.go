package peridotanswer

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// Conn is a connection to an HTTP/1.1 server whose answers are checked as they are read. It
// carries one request at a time. Like every net.Conn it is safe for concurrent use, but only
// one goroutine at a time may call Read.
type Conn struct {
	net.Conn
	checker headChecker
	// err is the error of the last malformed head, which Read returns from then on.
	err error
	// isAnswerExpected is set when the next byte read is the first of an answer.
	isAnswerExpected atomic.Bool
}

// NewConn returns a connection that reads from conn. The first bytes must be the answer to
// the first request.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// ExpectAnswer says that a further request will be sent. The answer to the one before must
// have been read.
func (c *Conn) ExpectAnswer() {
	c.isAnswerExpected.Store(true)
}

// Read reads from the connection. It returns a HeadError instead of a malformed line in the
// head of an answer and of what follows it.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.isAnswerExpected.CompareAndSwap(true, false) {
		c.checker = headChecker{}
	}
	checked, headErr := c.checker.check(p[:n])
	if headErr != nil {
		c.err = headErr
		return checked, headErr
	}
	return n, err
}

// SyscallConn implements syscall.Conn if the underlying connection does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
