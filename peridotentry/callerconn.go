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
	// maxUnsentBytes is the number of unsent bytes of answers on one connection
	// above which writers wait for a slow caller.
	maxUnsentBytes = 256 << 10
	// sendTimeout bounds the time for which a caller may accept no bytes at all.
	sendTimeout = 30 * time.Second
	// lingerTimeout bounds the time that a caller may take to close the connection
	// after the last answer.
	lingerTimeout = 5 * time.Second
	// closedPollInterval is the time between two checks whether a connection with a
	// running request has closed. nbio reports a closed connection only after the
	// request's handler has returned.
	closedPollInterval = 50 * time.Millisecond
)

// callerConn is the connection that nbhttp writes to. nbio queues the bytes that
// the network does not accept at once, and discards the queue when the
// connection is closed. A callerConn therefore makes writers wait while the
// queue is long, and closes the connection only once the queue is empty. It is
// safe for concurrent use.
type callerConn struct {
	net.Conn
	// remote is the caller's address. It does not change.
	remote string

	mu sync.Mutex
	// changed is closed whenever a field below changes. It is nil while no goroutine
	// waits.
	changed chan struct{}
	// unsentBytes is the number of bytes written but not yet sent to the network.
	unsentBytes int
	// pendingAnswers is the number of requests that were received completely and
	// whose answers are not completely written.
	pendingAnswers int
	closed         bool
	// rejected is set once the connection accepts no more requests.
	rejected bool
	// receiveTimer bounds the time in which a request must be received. It is nil
	// while no request is being received.
	receiveTimer *time.Timer
}

func newCallerConn(conn net.Conn) *callerConn {
	return &callerConn{Conn: conn, remote: conn.RemoteAddr().String()}
}

// notifyWaiters makes all waiting goroutines check the fields again. The caller
// must hold mu.
func (c *callerConn) notifyWaiters() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// changeSignal returns a channel that is closed at the next change of a field.
// The caller must hold mu.
func (c *callerConn) changeSignal() <-chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Write queues bytes of an answer. It waits while too many bytes are unsent, and
// fails if the caller accepts none for sendTimeout.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.awaitUnsentAtMost(maxUnsentBytes); err != nil {
		_ = c.Conn.Close()
		return 0, err
	}
	c.mu.Lock()
	c.unsentBytes += len(b)
	c.mu.Unlock()
	// nbio may call recordWritten with the number of bytes sent before Write
	// returns.
	n, err := c.Conn.Write(b)
	if err != nil {
		c.markClosed()
	}
	return n, err
}

// Close waits until all answers have been sent and then leaves it to the caller
// to close the connection, as the answer requested. A timer closes the
// connection after lingerTimeout if the caller has not. nbio closes the file
// descriptor as soon as the caller closes the connection. Close must therefore
// not shut down or close the descriptor itself, because the number may already
// belong to a new connection.
func (c *callerConn) Close() error {
	err := c.awaitUnsentAtMost(0)
	c.endAnswer()
	if err != nil {
		return c.Conn.Close()
	}
	time.AfterFunc(lingerTimeout, func() { _ = c.Conn.Close() })
	return nil
}

// SetReadDeadline is called by nbhttp when an answer is complete and the next
// request may be received.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.endAnswer()
	return c.Conn.SetReadDeadline(t)
}

// awaitUnsentAtMost waits until at most limit bytes are unsent. It fails if the
// connection has closed or no field changes for sendTimeout.
func (c *callerConn) awaitUnsentAtMost(limit int) error {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return net.ErrClosed
		}
		if c.unsentBytes <= limit {
			c.mu.Unlock()
			return nil
		}
		changed := c.changeSignal()
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

// awaitIdle waits until every request is answered and every byte is sent, or the
// connection has closed. If ctx is done first, it returns ctx.Err().
func (c *callerConn) awaitIdle(ctx context.Context) error {
	for {
		c.mu.Lock()
		if c.closed || (c.pendingAnswers == 0 && c.unsentBytes == 0) {
			c.mu.Unlock()
			return nil
		}
		changed := c.changeSignal()
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordWritten records that n bytes have been sent to the network.
func (c *callerConn) recordWritten(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsentBytes -= n
	c.notifyWaiters()
}

// markClosed records that the connection has closed.
func (c *callerConn) markClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.notifyWaiters()
	if c.receiveTimer != nil {
		c.receiveTimer.Stop()
	}
}

// startReceiveTimer starts the timer of a request that is being received, unless
// the timer is already running. The timer calls onTimeout.
func (c *callerConn) startReceiveTimer(timeout time.Duration, onTimeout func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiveTimer == nil && timeout > 0 {
		c.receiveTimer = time.AfterFunc(timeout, onTimeout)
	}
}

// beginAnswer records that a complete request has been received and its answer
// is pending.
func (c *callerConn) beginAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingAnswers++
	if c.receiveTimer != nil {
		c.receiveTimer.Stop()
		c.receiveTimer = nil
	}
}

// endAnswer records that an answer has been written.
func (c *callerConn) endAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingAnswers > 0 {
		c.pendingAnswers--
	}
	c.notifyWaiters()
}

// watchForClose calls onClose once if the connection closes before ctx is done.
func (c *callerConn) watchForClose(ctx context.Context, onClose func()) {
	ticker := time.NewTicker(closedPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.isClosed() {
			c.markClosed()
			onClose()
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

// reject answers a request that was not received completely or cannot be parsed,
// and closes the connection. Later calls do nothing.
func (c *callerConn) reject(err *peridotverdict.Error) {
	c.mu.Lock()
	rejected := c.rejected
	c.rejected = true
	c.mu.Unlock()
	if rejected {
		return
	}
	writeRawResponse(c, err)
	_ = c.Close()
}

// isRejected reports whether the connection accepts no more requests.
func (c *callerConn) isRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// writeRawResponse writes an HTTP response to a request that has no
// http.ResponseWriter.
func writeRawResponse(w io.Writer, err *peridotverdict.Error) {
	body, encodeErr := json.Marshal(newRefusal(err, ""))
	if encodeErr != nil {
		return
	}
	status := statusOf(err)
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}
