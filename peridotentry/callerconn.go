package peridotentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"peridotstack/peridotverdict"
)

const (
	// maxUnsent is how many bytes of answers may wait for a slow caller before
	// the writer is held up.
	maxUnsent = 256 << 10
	// sendTimeout bounds how long a caller may take no bytes at all.
	sendTimeout = 30 * time.Second
	// lingerTimeout is how long a caller may take to close its side.
	lingerTimeout = 5 * time.Second
	// closedPoll is how often a connection with a request is looked at; nbio
	// reports that it has closed only after the request's handler has returned.
	closedPoll = 50 * time.Millisecond
)

// callerConn is a caller's connection as nbhttp writes to it. nbio queues what
// the network does not take at once, and drops the queue when the connection is
// closed; a callerConn holds up writers of a long queue, and closes only once
// the queue is empty.
type callerConn struct {
	net.Conn
	// remote is the caller's address; it does not change.
	remote string

	mu sync.Mutex
	// changed is closed whenever a field below changes; nil while nobody waits.
	changed chan struct{}
	// unsent counts the bytes written and not yet gone to the network.
	unsent int
	// answers counts the requests that arrived whole and are not fully answered.
	answers int
	closed  bool
	// rejected connections take no more requests.
	rejected bool
	// sending runs while a request is arriving.
	sending *time.Timer
}

func newCallerConn(conn net.Conn) *callerConn {
	return &callerConn{Conn: conn, remote: conn.RemoteAddr().String()}
}

// wake lets every waiter look again; the mutex is held.
func (c *callerConn) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// change returns what is closed at the next change; the mutex is held.
func (c *callerConn) change() <-chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Write queues bytes of an answer. It waits while too many are unsent, and
// fails when the caller takes none for too long.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.awaitUnsent(maxUnsent); err != nil {
		_ = c.Conn.Close()
		return 0, err
	}
	c.mu.Lock()
	c.unsent += len(b)
	c.mu.Unlock()
	// nbio reports what it has sent to wrote, also from within this call.
	n, err := c.Conn.Write(b)
	if err != nil {
		c.lost()
	}
	return n, err
}

// Close ends the connection once all answers have been sent. The answer has told
// the caller to close, so this leaves it to the caller, and to a timer: a
// descriptor that is shut down or closed here may have become that of a new
// connection meanwhile, for nbio closes it whenever the caller does.
func (c *callerConn) Close() error {
	err := c.awaitUnsent(0)
	c.endAnswer()
	if err != nil {
		return c.Conn.Close()
	}
	time.AfterFunc(lingerTimeout, func() { _ = c.Conn.Close() })
	return nil
}

// SetReadDeadline is what nbhttp calls when an answer is complete and the next
// request may come.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.endAnswer()
	return c.Conn.SetReadDeadline(t)
}

// awaitUnsent waits until at most limit bytes are unsent.
func (c *callerConn) awaitUnsent(limit int) error {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return net.ErrClosed
		}
		if c.unsent <= limit {
			c.mu.Unlock()
			return nil
		}
		changed := c.change()
		c.mu.Unlock()
		timer := time.NewTimer(sendTimeout)
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return peridotverdict.New(peridotverdict.Canceled, peridotverdict.Ran, "the caller takes no bytes")
		}
	}
}

// awaitIdle waits until every request is answered and every byte sent.
func (c *callerConn) awaitIdle(ctx context.Context) error {
	for {
		c.mu.Lock()
		if c.closed || (c.answers == 0 && c.unsent == 0) {
			c.mu.Unlock()
			return nil
		}
		changed := c.change()
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wrote notes that n bytes have gone to the network.
func (c *callerConn) wrote(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent -= n
	c.wake()
}

// lost notes that the connection has closed.
func (c *callerConn) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.wake()
	if c.sending != nil {
		c.sending.Stop()
	}
}

// beginSending starts the clock of a request that arrives, unless it runs.
func (c *callerConn) beginSending(timeout time.Duration, late func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sending == nil && timeout > 0 {
		c.sending = time.AfterFunc(timeout, late)
	}
}

// beginAnswer notes that a request has arrived whole.
func (c *callerConn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	if c.sending != nil {
		c.sending.Stop()
		c.sending = nil
	}
}

// endAnswer notes that an answer has been written.
func (c *callerConn) endAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers > 0 {
		c.answers--
	}
	c.wake()
}

// watch calls gone once when the connection closes before ctx is done.
func (c *callerConn) watch(ctx context.Context, gone func()) {
	ticker := time.NewTicker(closedPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.isClosed() {
			c.lost()
			gone()
			return
		}
	}
}

func (c *callerConn) isClosed() bool {
	conn, ok := c.Conn.(*nbio.Conn)
	if !ok {
		return false
	}
	closed, _ := conn.IsClosed()
	return closed
}

// reject answers a request that never became one, and ends the connection.
func (c *callerConn) reject(err *peridotverdict.Error) {
	c.mu.Lock()
	rejected := c.rejected
	c.rejected = true
	c.mu.Unlock()
	if rejected {
		return
	}
	writeRaw(c, err)
	_ = c.Close()
}

// isRejected reports whether the connection takes no more requests.
func (c *callerConn) isRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// writeRaw writes a whole HTTP response for a request that has no writer.
func writeRaw(w io.Writer, err *peridotverdict.Error) {
	body, encodeErr := json.Marshal(refusal(err, ""))
	if encodeErr != nil {
		return
	}
	status := statusOf(err.Code)
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}
