package peridotbackend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
)

// Request is one request to a backend server.
type Request struct {
	// ID is the system's own; an engine needs it to cancel and resume.
	ID          string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        string
	Stream      bool
	Priority    int
	// IdempotencyKey is handed on to plain services that know what to do with it.
	IdempotencyKey string
}

// Backend is one backend server. The set of backends is closed: Engine and
// Service.
type Backend interface {
	backend()
}

// Run runs r on b and writes the answer to t, which it always closes.
func Run(ctx context.Context, b Backend, r Request, t *peridotstream.Timeline) {
	switch b := b.(type) {
	case *Engine:
		t.Close(b.run(ctx, r, t))
	case *Service:
		t.Close(b.run(ctx, r, t))
	default:
		t.Close(peridotstream.End{Err: peridotverdict.New(peridotverdict.Internal, peridotverdict.NotRun, "unknown kind of backend server")})
	}
}

const (
	idleConnections  = 512
	dialTimeout      = 2 * time.Second
	maxAnswerBytes   = 8 << 20
	headerRequestID  = "X-Request-Id"
	headerPriority   = "X-Priority"
	headerIdempotent = "Idempotency-Key"
	headerType       = "Content-Type"
)

// newClient returns the HTTP client towards one backend server. nbhttp's client
// hands an answer over only when it has ended, so streams need net/http's.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}
}

// body is the body of a request that the HTTP client must not send twice. On a
// connection that broke, net/http repeats a request without a body on its own
// if the method or an Idempotency-Key header tells it that this does no harm;
// it does not repeat one whose body it cannot read again.
type body struct {
	io.Reader
}

// Close implements io.Closer.
func (body) Close() error { return nil }

// newRequest returns a request that is sent at most once.
func newRequest(ctx context.Context, method, url, text string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, body{strings.NewReader(text)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(text))
	return request, nil
}

// failed turns an error of the HTTP client into one with a verdict: a server
// that could not be dialed has run nothing.
func failed(err error) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.OfTransport(err), "the backend server failed", peridotverdict.Cause(err))
}
