package peridotlink

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"peridotstack/peridotverdict"
)

// inlineBody is the longest body that is written before the answer is awaited;
// it fits into the smallest send buffer.
const inlineBody = 2 << 10

// Request is one request for a backend server.
type Request struct {
	Method string
	// Target is the request line's path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the head of an answer whose body is still to be read. Exactly one of
// Finish and Abandon must be called, Finish once the body was read to its end.
type Answer struct {
	*http.Response
	conn *Conn
	// written is set once the whole request has been sent.
	written *atomic.Bool
	stop    func() bool
}

// Do sends a request and returns the head of its answer. When ctx ends, also
// while the body is read, the connection is closed. The verdict of an error is
// NotRun only if not a byte was sent.
func (c *Conn) Do(ctx context.Context, r Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	a := &Answer{conn: c, written: &atomic.Bool{}, stop: stop}
	var sent chan error
	if len(r.Body) <= inlineBody {
		if err := c.send(r, a.written); err != nil {
			return nil, a.fail(err)
		}
	} else {
		// A backend server may answer before it has read the whole body.
		sent = make(chan error, 1)
		go func() { sent <- c.send(r, a.written) }()
	}
	response, err := c.readHead(r.Method)
	if err != nil {
		c.Close()
		if sent != nil {
			if sendErr := <-sent; sendErr != nil {
				return nil, a.fail(sendErr)
			}
		}
		return nil, a.fail(peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "backend server did not answer", peridotverdict.Cause(err)))
	}
	a.Response = response
	return a, nil
}

func (a *Answer) fail(err error) error {
	a.stop()
	a.conn.Close()
	return err
}

// send writes a request. Its error has the verdict NotRun if no byte was sent.
func (c *Conn) send(r Request, written *atomic.Bool) error {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
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
	b.Write(r.Body)
	n, err := c.Write(b.Bytes())
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

// readHead reads the head of the answer, past interim ones.
func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols")
		}
	}
}

// ReadAll reads the rest of the body, at most limit bytes, and finishes the
// exchange. An incomplete body is an error with the verdict MayHaveRun.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		a.Abandon()
		return nil, peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.MayHaveRun, "the answer broke off", peridotverdict.Cause(err))
	}
	a.Finish()
	return body, nil
}

// Finish keeps the connection for another request if it may be used again.
func (a *Answer) Finish() {
	if !a.stop() || a.Close || !a.written.Load() || a.ContentLength < 0 && len(a.TransferEncoding) == 0 {
		a.conn.Close()
		return
	}
	a.conn.keep(a.Header)
}

// Abandon closes the connection.
func (a *Answer) Abandon() {
	a.stop()
	a.conn.Close()
}

// Buffered returns how many bytes of the body can be read without waiting; they
// may include framing.
func (a *Answer) Buffered() int {
	return a.conn.reader.Buffered()
}
