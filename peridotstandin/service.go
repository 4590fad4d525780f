package peridotstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Call is one request that a stand-in received.
type Call struct {
	Method         string
	Path           string
	Query          string
	Header         http.Header
	Body           string
	IdempotencyKey string
	// At is the time of arrival.
	At time.Time
}

// Service is the stand-in for a plain service. It runs and logs each call that it
// receives, also a repeated one. The zero value is ready to use.
type Service struct {
	// Delay is the time that a call takes.
	Delay time.Duration

	mu    sync.Mutex
	calls []Call
}

// Calls returns the calls received so far, oldest first.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// ServiceAnswer is the JSON body of the service's answers. Done is the path of
// the call, and Number counts the calls from 1.
type ServiceAnswer struct {
	Done   string
	Number int
}

// ServeHTTP runs one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.calls = append(s.calls, newCall(r, string(body)))
	number := len(s.calls)
	s.mu.Unlock()
	time.Sleep(s.Delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ServiceAnswer{Done: r.URL.Path, Number: number})
}

func newCall(r *http.Request, body string) Call {
	return Call{
		Method:         r.Method,
		Path:           r.URL.Path,
		Query:          r.URL.RawQuery,
		Header:         r.Header.Clone(),
		Body:           body,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		At:             time.Now(),
	}
}
