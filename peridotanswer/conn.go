package peridotanswer

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ProcessEndTime is the time in which a process that ends closes all its connections, and the
// other side learns of it. It is short, because a server that shuts down in order may end soon
// after its last answer.
const ProcessEndTime = 50 * time.Millisecond

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

	// writing is held while bytes are written.
	writing sync.Mutex
	// writeErr is the first error of a write, or nil. The holder of writing may use it.
	writeErr error
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
// head of an answer and of what follows it. It returns io.EOF only if the server ended the
// connection in order; if the connection failed, it returns the cause, also if a concurrent
// write has already got it.
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
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWriteError(err)
	return n, err
}

// WriteBuffers writes the buffers, with one system call if the underlying connection can, and
// clears the slice. It returns the number of bytes written.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.recordWriteError(err)
	return n, err
}

// recordWriteError records the result of a write. The caller must hold c.writing.
func (c *Conn) recordWriteError(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// endError returns the error of a Read that found the end of the connection: io.EOF, or the
// cause if the connection failed. The system reports a failure to one Read or Write only;
// Reads after that find an ordinary end.
func (c *Conn) endError() error {
	if !c.isDisconnected() {
		return io.EOF // The server may go on reading, so that a Write may take long.
	}
	c.writing.Lock() // Waits for a Write that has got the failure but has not returned yet.
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF // EPIPE means that the server ended its answer before the connection failed.
	}
	return c.writeErr
}

// isDisconnected reports whether no more bytes can be sent or received. It also returns true
// if that is unknown.
func (c *Conn) isDisconnected() bool {
	return c.poll(0)&unix.POLLHUP != 0
}

// IsOpen reports whether the connection has neither ended nor failed. Bytes that have not been
// read don't matter. It is safe for concurrent use.
func (c *Conn) IsOpen() bool {
	return c.poll(unix.POLLRDHUP) == 0
}

// poll returns which of events, POLLHUP and POLLERR the connection has. It returns POLLHUP if
// that is unknown.
func (c *Conn) poll(events int16) int16 {
	raw, err := c.SyscallConn()
	if err != nil {
		return unix.POLLHUP
	}
	fds := []unix.PollFd{{Events: events}}
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		for pollErr = unix.EINTR; pollErr == unix.EINTR; {
			_, pollErr = unix.Poll(fds, 0)
		}
	})
	if err != nil || pollErr != nil {
		return unix.POLLHUP
	}
	return fds[0].Revents
}

// SyscallConn implements syscall.Conn if the underlying connection does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}
