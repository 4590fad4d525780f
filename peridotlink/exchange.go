package peridotlink

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"peridotstack/peridotanswer"
	"peridotstack/peridotverdict"
)

// maxInlineBodyBytes is the size of the largest body that Do writes before it reads
// the answer. Such a body fits into the smallest send buffer, so the write does not
// block.
const maxInlineBodyBytes = 2 << 10

// maxHeadBytes limits the heads of the interim answers and the final answer together.
const maxHeadBytes = 64 << 10

// ErrTooLong is the cause of the error for an answer whose head or body is longer than
// its limit.
var ErrTooLong = errors.New("the answer is too long")

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query for the request line, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the head of an answer whose body has not been read. The caller must
// call either Finish, after it has read the body to its end, or Abandon. ReadAll
// calls one of them itself.
type Answer struct {
	*http.Response
	conn *Conn
	// requestWritten is set once the whole request has been written.
	requestWritten *atomic.Bool
	// stopAfterFunc stops the function that closes the connection when the context
	// of the request is done. It returns false if the context is already done.
	stopAfterFunc func() bool
}

// Do sends a request and returns the head of the answer. If ctx is done before
// Finish or Abandon is called, the connection is closed. An error has the verdict
// NotRun only if no byte of the request was sent. After an error the connection is
// closed.
func (c *Conn) Do(ctx context.Context, r Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	a := &Answer{conn: c, requestWritten: &atomic.Bool{}, stopAfterFunc: stop}
	c.ExpectAnswer()
	c.beginReceiving()
	var writeErr chan error
	if len(r.Body) <= maxInlineBodyBytes {
		if err := c.writeRequest(r, a.requestWritten); err != nil {
			return nil, a.closeWithError(err)
		}
	} else {
		// Write in the background, because the backend server may answer before it has
		// read the whole body.
		writeErr = make(chan error, 1)
		go func() { writeErr <- c.writeRequest(r, a.requestWritten) }()
	}
	response, err := c.readHead(r.Method)
	if err != nil {
		c.Close()
		var sendErr error
		if writeErr != nil {
			sendErr = <-writeErr
		}
		return nil, a.closeWithError(answerError(err, sendErr))
	}
	a.Response = response
	if a.EndsWithConnection() {
		c.countUnframed()
	}
	return a, nil
}

// answerError returns the error of a request without a valid answer. sendErr is that of its
// writer, or nil.
func answerError(err, sendErr error) error {
	var malformed *peridotanswer.HeadError
	switch {
	case errors.As(err, &malformed):
		// The writer may have failed only because the connection was closed after the answer.
		return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "backend server sent no valid answer", peridotverdict.Cause(err))
	case sendErr != nil:
		return sendErr
	}
	return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "backend server did not answer", peridotverdict.Cause(err))
}

// closeWithError closes the connection and returns err.
func (a *Answer) closeWithError(err error) error {
	a.stopAfterFunc()
	a.conn.Close()
	return err
}

// writeRequest writes a request and sets written once it is complete. Its error has
// the verdict NotRun if no byte was written.
func (c *Conn) writeRequest(r Request, written *atomic.Bool) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxInlineBodyBytes))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	data := net.Buffers{b.Bytes(), r.Body} // A copy of a large body would take as much memory again.
	if len(r.Body) <= maxInlineBodyBytes {
		b.Write(r.Body)
		data = net.Buffers{b.Bytes()}
	}
	n, err := c.WriteBuffers(data)
	if err != nil {
		verdict := peridotverdict.MayHaveRun
		if n == 0 {
			verdict = peridotverdict.NotRun
		}
		return peridotverdict.New(peridotverdict.PeerLost, verdict, "backend server took no request", peridotverdict.Cause(err))
	}
	written.Store(true)
	return nil
}

// readHead reads the head of the final answer. It skips interim answers (status
// 1xx). It returns ErrTooLong if the heads are longer than maxHeadBytes.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.source.limit(maxHeadBytes)
	defer c.source.limit(unlimited)
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.source.left == 0 {
			return nil, ErrTooLong // Otherwise the error is about the line that was cut.
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// ReadAll reads the remaining body and calls Finish. If the body is incomplete or
// longer than limit bytes, ReadAll calls Abandon and returns an error with the code
// ShortAnswer and the verdict MayHaveRun. Its cause is ErrTooLong for a long body.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = ErrTooLong
	}
	if err != nil {
		a.Abandon()
		return nil, peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the answer broke off", peridotverdict.Cause(err))
	}
	a.Finish()
	return body, nil
}

// Finish returns the connection to the pool if it can carry another request, and
// closes it otherwise. The body must have been read to its end.
func (a *Answer) Finish() {
	if !a.stopAfterFunc() || a.Close || !a.requestWritten.Load() || a.EndsWithConnection() {
		a.conn.Close()
		return
	}
	a.conn.returnToPool(a.Header)
}

// EndsWithConnection reports whether the body has neither a length nor chunks. Its end is
// then that of the connection, also if the backend server has ended.
func (a *Answer) EndsWithConnection() bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// Abandon closes the connection.
func (a *Answer) Abandon() {
	a.stopAfterFunc()
	a.conn.Close()
}

// Buffered returns the number of bytes that can be read without blocking. They may
// include chunked framing.
func (a *Answer) Buffered() int {
	return a.conn.reader.Buffered()
}
