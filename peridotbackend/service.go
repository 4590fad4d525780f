package peridotbackend

import (
	"context"
	"io"
	"net/http"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
)

// Service is the adapter to a plain service. Create one with NewService. It is safe
// for concurrent use.
type Service struct {
	address string
	client  *http.Client
}

// NewService returns the adapter to the plain service at address, an IP address and
// port.
func NewService(address string) *Service {
	return &Service{address: address, client: newClient()}
}

func (s *Service) backend() {}

// run sends r to the service, appends the answer to t and returns its end. It does
// not close t.
func (s *Service) run(ctx context.Context, r Request, t *peridotstream.Timeline) peridotstream.End {
	url := "http://" + s.address + r.Path
	if r.Query != "" {
		url += "?" + r.Query
	}
	request, err := newRequest(ctx, r.Method, url, r.Body)
	if err != nil {
		return peridotstream.End{Err: peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "the request cannot be sent", peridotverdict.Cause(err))}
	}
	request.Header.Set(headerRequestID, r.ID)
	if r.ContentType != "" {
		request.Header.Set(headerContentType, r.ContentType)
	}
	if r.IdempotencyKey != "" {
		request.Header.Set(headerIdempotencyKey, r.IdempotencyKey)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return peridotstream.End{Err: newClientError(err)}
	}
	defer response.Body.Close()
	return readBody(ctx, s.address, response, t)
}

// readBody appends the body of an answer of the server at address that is not streamed to t
// as one chunk. If the body exceeds maxAnswerBytes, the end has an error with the code
// TooLarge.
func readBody(ctx context.Context, address string, response *http.Response, t *peridotstream.Timeline) peridotstream.End {
	var s *sentinel
	if isUnframed(response) {
		s = openSentinel(ctx, address)
		defer s.close()
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return peridotstream.End{Err: peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, "the answer broke off", peridotverdict.Cause(err))}
	}
	if s != nil && !isListening(ctx, address) && !s.staysOpen(ctx) {
		return peridotstream.End{Err: peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, "the server ended with the answer")}
	}
	if len(body) > maxAnswerBytes {
		return peridotstream.End{Err: peridotverdict.New(peridotverdict.TooLarge, peridotverdict.Ran, "the answer is too large")}
	}
	if err := t.Append(string(body)); err != nil {
		return peridotstream.End{Err: peridotverdict.As(err)}
	}
	return peridotstream.End{Status: response.StatusCode, ContentType: response.Header.Get(headerContentType)}
}
