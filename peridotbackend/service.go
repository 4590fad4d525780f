package peridotbackend

import (
	"context"
	"io"
	"net/http"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
)

// Service is a plain service. Make one with NewService.
type Service struct {
	address string
	client  *http.Client
}

// NewService returns the adapter to the plain service at an IP address and port.
func NewService(address string) *Service {
	return &Service{address: address, client: newClient()}
}

func (s *Service) backend() {}

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
		request.Header.Set(headerType, r.ContentType)
	}
	if r.IdempotencyKey != "" {
		request.Header.Set(headerIdempotent, r.IdempotencyKey)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return peridotstream.End{Err: failed(err)}
	}
	defer response.Body.Close()
	return readWhole(response, t)
}

// readWhole reads an answer that comes in one piece.
func readWhole(response *http.Response, t *peridotstream.Timeline) peridotstream.End {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return peridotstream.End{Err: peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, "the answer broke off", peridotverdict.Cause(err))}
	}
	if len(body) > maxAnswerBytes {
		return peridotstream.End{Err: peridotverdict.New(peridotverdict.TooLarge, peridotverdict.Ran, "the answer is too large")}
	}
	if err := t.Append(string(body)); err != nil {
		return peridotstream.End{Err: peridotverdict.As(err)}
	}
	return peridotstream.End{Status: response.StatusCode, ContentType: response.Header.Get(headerType)}
}
