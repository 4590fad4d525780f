package peridotroute

import (
	"slices"
	"time"
)

// unratedWait is the estimated time that a request takes on a server whose
// rates are unknown.
const unratedWait = 10 * time.Millisecond

// server is a backend server and the estimate of its load at the time at.
type server struct {
	Server
	number uint32

	at time.Duration
	// prefill is the estimated backlog in tokens; it drains with time.
	prefill float64
	// decode is the estimated number of output tokens still to come.
	decode float64
	// running counts the requests at the server, those that wait included.
	running int

	reported Report
	hasNews  bool
	// flights are what this process has sent and not seen end, oldest first.
	flights []*flight
}

// flight is one request under way.
type flight struct {
	id        string
	at        time.Duration
	prefillAt *server
	decodeAt  *server
	// prefill and decode are the tokens still to be done.
	prefill float64
	decode  float64
}

// advance drains the backlog up to now.
func (s *server) advance(now time.Duration) {
	if now <= s.at {
		return
	}
	seconds := (now - s.at).Seconds()
	s.at = now
	s.prefill = max(0, s.prefill-seconds*s.PrefillTokensPerSecond)
	s.decode = max(0, s.decode-seconds*s.DecodeTokensPerSecond)
}

// observe replaces the estimate by a report and adds what was sent since the
// moment that the report describes.
func (s *server) observe(report Report, lag time.Duration) {
	if s.hasNews && report.At < s.reported.At {
		return
	}
	now := max(s.at, report.At)
	s.hasNews = true
	s.reported = report
	s.at = report.At - lag
	s.prefill = float64(report.PrefillTokens)
	s.decode = float64(report.DecodeTokens)
	s.running = report.Running + report.Waiting
	if s.decode == 0 {
		s.decode = float64(s.running) * defaultOutput / 2
	}
	for _, f := range s.flights {
		if f.at < report.At-lag {
			continue
		}
		s.advance(f.at)
		s.count(f)
	}
	s.advance(now)
	s.running = max(s.running, len(s.flights))
}

// count adds the work of a flight to the estimate.
func (s *server) count(f *flight) {
	s.running++
	if f.prefillAt == s {
		s.prefill += f.prefill
	}
	if f.decodeAt == s {
		s.decode += f.decode
	}
}

func (s *server) send(now time.Duration, f *flight) {
	s.advance(now)
	s.flights = append(s.flights, f)
	s.count(f)
}

func (s *server) done(now time.Duration, f *flight) {
	s.advance(now)
	i := slices.Index(s.flights, f)
	if i < 0 {
		return
	}
	s.flights = slices.Delete(s.flights, i, i+1)
	s.running = max(s.running-1, len(s.flights))
	if s.running == 0 {
		s.prefill, s.decode = 0, 0
	}
}

// progress corrects the work of a flight by the output that came: the prompt
// has been read, and an output longer than expected is expected to go on.
func (f *flight) progress(now time.Duration, output float64) {
	f.prefill = 0
	f.decodeAt.advance(now)
	if f.decode < output {
		f.decodeAt.decode += output
		f.decode = 2 * output
	}
}

// waitFor estimates the time until a prompt of which uncached tokens are to be
// read has been read.
func (s *server) waitFor(uncached float64) time.Duration {
	if s.PrefillTokensPerSecond == 0 {
		return s.RoundTrip + time.Duration(s.running)*unratedWait
	}
	return s.RoundTrip + seconds((s.prefill+uncached)/s.PrefillTokensPerSecond) + s.slotWait()
}

// slotWait estimates the time until one of the running requests ends, when
// there are as many as may run.
func (s *server) slotWait() time.Duration {
	if s.MaxRunning == 0 || s.running < s.MaxRunning || s.DecodeTokensPerSecond == 0 {
		return 0
	}
	perRequest := s.decode / float64(s.running)
	before := float64(s.running - s.MaxRunning + 1)
	return seconds(before * perRequest / s.DecodeTokensPerSecond)
}

// decodeTime estimates the time to generate output tokens beside the others.
func (s *server) decodeTime(output float64) time.Duration {
	if s.DecodeTokensPerSecond == 0 {
		return unratedWait
	}
	beside := s.running
	if s.MaxRunning > 0 {
		beside = min(beside, s.MaxRunning-1)
	}
	return seconds(output * float64(beside+1) / s.DecodeTokensPerSecond)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
