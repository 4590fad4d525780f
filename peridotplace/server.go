package peridotplace

import (
	"time"

	"peridotstack/peridotsite"
)

const (
	// learnShare is the part of a new observation in a learned mean.
	learnShare = 0.1
	// minSlowness and maxSlowness bound how much longer than expected a server is
	// taken to need.
	minSlowness = 0.2
	maxSlowness = 8.0
	// firstBackoff and maxBackoff bound how long a server that could not be
	// reached gets no requests.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 1500 * time.Millisecond
	// refusedPause is how long a server that turned a request away gets no more,
	// be it full, leaving or changing its role.
	refusedPause = 100 * time.Millisecond
	// silence is how long requests may wait at a server that answers none of
	// them before it gets no more.
	silence = 600 * time.Millisecond
	// failureLimit is the share of failed requests above which a server is used
	// only if there is no other.
	failureLimit = 0.5
)

// server is a backend server and what is known of its work.
type server struct {
	peridotsite.Backend
	engine *peridotsite.Engine
	cache  *cache

	// reading is the estimated time in ms that the prompts of flights still take
	// to read, at the time at; unread is the same without what has passed.
	reading float64
	unread  float64
	at      time.Duration
	// late is the unread time in ms of demoted flights, which wait behind all
	// others; waiting counts those of them that have not got their first token.
	late    float64
	waiting int
	// running counts this instance's requests here.
	running int
	// slow is how much longer than expected the server takes, 1 for as expected.
	slow float64
	// failures is the recent share of failed requests.
	failures float64
	// backoff is the last pause after the server could not be reached, until its
	// end; zero after a success.
	backoff time.Duration
	until   time.Duration
	// progress is when the server last answered, or got its first request.
	progress time.Duration
}

func newServer(now time.Duration) *server {
	return &server{at: now, slow: 1}
}

func (s *server) update(now time.Duration, b peridotsite.Backend, service *peridotsite.Service) {
	s.Backend = b
	s.engine = nil
	if service == nil || service.Engine == nil {
		return
	}
	s.engine = service.Engine
	if s.cache == nil {
		s.cache = newCache(s.engine.CacheTokens)
	}
	s.advance(now)
}

// advance takes off what has been read by now. A server that is slower than
// expected still has half of what it has not confirmed.
func (s *server) advance(now time.Duration) {
	if now > s.at {
		s.reading = max(s.reading-inMilliseconds(now-s.at), s.unread/2)
		s.at = now
	}
}

// backlog returns the time in ms that this instance's prompts still take.
func (s *server) backlog(now time.Duration) float64 {
	s.advance(now)
	return s.reading
}

// readTime returns the time in ms to read tokens on an idle server.
func (s *server) readTime(tokens int) float64 {
	ms := float64(tokens) / readRate * s.slow
	if s.Role != peridotsite.Prefill {
		ms *= decodeReadFactor
	}
	return ms
}

// usable reports whether the server may get a request now.
func (s *server) usable(now time.Duration) bool {
	return !s.Leaving && now >= s.until && !s.silent(now) && s.failures < failureLimit
}

// silent reports whether the server owes answers and has given none for long.
func (s *server) silent(now time.Duration) bool {
	return s.pressing() > 0 && now-s.progress > silence
}

// pressing counts the requests that hold a slot or wait for one before those that
// were demoted.
func (s *server) pressing() int {
	return s.running - s.waiting
}

func (s *server) begin(now time.Duration) {
	if s.pressing() == 0 {
		s.progress = now
	}
	s.running++
}

// answered notes that the server gave an answer or a part of one.
func (s *server) answered(now time.Duration) {
	s.progress = max(s.progress, now)
	s.backoff, s.until = 0, 0
}

// unreachable notes that the server could not be reached or broke off.
func (s *server) unreachable(now time.Duration) {
	s.backoff = min(max(2*s.backoff, firstBackoff), maxBackoff)
	s.until = now + s.backoff
}

// outcome learns from the end of a request.
func (s *server) outcome(failed bool) {
	if failed {
		s.failures += (1 - s.failures) * learnShare
	} else {
		s.failures -= s.failures * learnShare
	}
}
