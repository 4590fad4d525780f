package peridotbackend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"peridotstack/peridotanswer"
	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
)

// Request is a request to a backend server.
type Request struct {
	// ID is the request ID that the system assigned. Engines need it to cancel and
	// resume the request.
	ID          string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        string
	Stream      bool
	// Priority ranks the request at the engine. Larger values run first.
	Priority int
	// IdempotencyKey is sent to plain services, some of which support it, but not
	// to engines.
	IdempotencyKey string
}

// Backend is the adapter to a backend server. The set is closed: Engine and
// Service.
type Backend interface {
	backend()
}

// Run sends r to b and writes the answer to t. It always closes t.
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
	dialTimeout          = 2 * time.Second
	maxAnswerBytes       = 8 << 20
	headerRequestID      = "X-Request-Id"
	headerPriority       = "X-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	headerContentType    = "Content-Type"
)

// newClient returns an HTTP client for one backend server. It uses net/http because
// the client of nbhttp returns an answer only when it is complete, which prevents
// streaming.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: peridotanswer.NewTransport(&http.Transport{
			DialContext:        dialer.DialContext,
			DisableCompression: true,
			// Answers don't name their request: on a connection that is used again, a late copy
			// of one could pass for the next.
			DisableKeepAlives: true,
		}),
		// A redirect is an answer, too. Following it would leave the backend server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// IsListening reports whether a process accepts connections at the address of b.
func IsListening(ctx context.Context, b Backend) bool {
	switch b := b.(type) {
	case *Engine:
		return isListening(ctx, b.address)
	case *Service:
		return isListening(ctx, b.address)
	}
	return false
}

// isListening reports whether a process accepts connections at address.
func isListening(ctx context.Context, address string) bool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// nonReplayableBody is a request body that prevents net/http from sending the
// request twice. When a reused connection breaks, net/http sends a request without
// a body again if its method or an Idempotency-Key header marks it as idempotent.
// It does not send a request again whose body it cannot read a second time.
type nonReplayableBody struct {
	io.Reader
}

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// newRequest returns a request that the HTTP client sends at most once.
func newRequest(ctx context.Context, method, url, content string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nonReplayableBody{strings.NewReader(content)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(content))
	return request, nil
}

// newClientError returns an Error for err, an error of the HTTP client. Its verdict
// is NotRun if the backend server could not be dialed, and MayHaveRun otherwise.
func newClientError(err error) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.OfTransportError(err), "the backend server failed", peridotverdict.Cause(err))
}
