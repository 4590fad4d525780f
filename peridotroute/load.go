package peridotroute

import (
	"math"
	"slices"
	"time"
)

// unratedWait is the estimated time that a request takes on a server whose
// rates are unknown.
const unratedWait = 10 * time.Millisecond

// load is an amount of work at a server, in tokens and requests.
type load struct {
	prefill float64
	decode  float64
	running float64
}

// trust holds the ages at which a report has lost its value.
type trust struct {
	prefill time.Duration
	decode  time.Duration
}

// weigh returns reported for a fresh report, mean for one older than life, and
// what lies between for the others.
func weigh(reported, mean float64, age, life time.Duration) float64 {
	if age >= life {
		return mean
	}
	return mean + (reported-mean)*(1-float64(age)/float64(life))
}

// roleGroup holds the servers of one target and role that take new requests.
type roleGroup struct {
	servers []*server
	// sum is what all of them reported last.
	sum load
}

// mean returns what a server of the group reported on average.
func (g *roleGroup) mean() load {
	n := float64(max(1, len(g.servers)))
	return load{prefill: g.sum.prefill / n, decode: g.sum.decode / n, running: g.sum.running / n}
}

func (g *roleGroup) count(l load, sign float64) {
	g.sum.prefill += sign * l.prefill
	g.sum.decode += sign * l.decode
	g.sum.running += sign * l.running
}

// server is a backend server and what is known of its load.
type server struct {
	Server
	number uint32
	// group is nil for a server that takes no new requests.
	group *roleGroup
	trust trust

	// reported is the load at the time described, as the last report told it.
	reported  load
	described time.Duration
	received  time.Duration
	// mine is what this process has sent and the report does not contain, as far
	// as it has not ended: requests since described, and tokens since a time that
	// lies before all if the report tells no tokens. The tokens are drained up to
	// the time at.
	mine  load
	since time.Duration
	at    time.Duration
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

// work returns what a flight adds to s.
func (f *flight) work(s *server) load {
	w := load{running: 1}
	if f.prefillAt == s {
		w.prefill = f.prefill
	}
	if f.decodeAt == s {
		w.decode = f.decode
	}
	return w
}

// observe replaces the report and keeps of mine only what the new one cannot
// contain.
func (s *server) observe(report Report, lag time.Duration) {
	if report.At < s.received {
		return
	}
	now := max(s.at, report.At)
	described := report.At - lag
	l := s.told(report)
	if s.group != nil {
		s.group.count(s.reported, -1)
		s.group.count(l, 1)
	}
	s.reported, s.received, s.described = l, report.At, described
	s.since = described
	if report.PrefillTokens+report.DecodeTokens == 0 {
		s.since = math.MinInt64
	}
	s.recount(now)
}

// told returns the load that a report tells. Of requests of which it does not
// tell the tokens, only those of other processes are guessed.
func (s *server) told(report Report) load {
	l := load{
		prefill: float64(report.PrefillTokens),
		decode:  float64(report.DecodeTokens),
		running: float64(report.Running + report.Waiting),
	}
	if l.decode == 0 {
		l.decode = max(0, l.running-float64(len(s.flights))) * defaultOutput / 2
	}
	return l
}

// recount makes mine anew from what this process has sent.
func (s *server) recount(now time.Duration) {
	s.mine = load{}
	for _, f := range s.flights {
		if f.at < s.since {
			continue
		}
		if s.mine == (load{}) {
			s.at = f.at
		}
		s.drain(f.at)
		s.count(f)
		if f.at < s.described {
			s.mine.running--
		}
	}
	s.drain(now)
	s.at = now
}

// drain takes off what s has done of mine by now.
func (s *server) drain(now time.Duration) {
	if now <= s.at {
		return
	}
	elapsed := (now - s.at).Seconds()
	s.at = now
	s.mine.prefill = max(0, s.mine.prefill-elapsed*s.PrefillTokensPerSecond)
	s.mine.decode = max(0, s.mine.decode-elapsed*s.DecodeTokensPerSecond)
}

// count adds a flight to mine.
func (s *server) count(f *flight) {
	w := f.work(s)
	s.mine.prefill += w.prefill
	s.mine.decode += w.decode
	s.mine.running++
}

func (s *server) send(now time.Duration, f *flight) {
	s.drain(now)
	s.flights = append(s.flights, f)
	s.count(f)
}

func (s *server) done(now time.Duration, f *flight) {
	i := slices.Index(s.flights, f)
	if i < 0 {
		return
	}
	s.flights = slices.Delete(s.flights, i, i+1)
	s.drain(now)
	// A flight that the report contains makes mine negative, which is right.
	s.mine.running--
	if f.at < s.since {
		return
	}
	w := f.work(s)
	s.mine.prefill = max(0, s.mine.prefill-w.prefill)
	s.mine.decode = max(0, s.mine.decode-w.decode)
}

// progress corrects the work of a flight by the output that came: the prompt
// has been read, and an output longer than expected is expected to go on.
func (f *flight) progress(now time.Duration, output float64) {
	f.prefillAt.drain(now)
	f.decodeAt.drain(now)
	if f.at >= f.prefillAt.since {
		f.prefillAt.mine.prefill = max(0, f.prefillAt.mine.prefill-f.prefill)
	}
	f.prefill = 0
	if f.decode < output {
		f.decodeAt.mine.decode += output
		f.decode = 2 * output
	}
}

// estimate returns the load of s now. The older a report, the less it tells
// beyond the mean of all reports, for every process that saw it has gone to the
// servers that looked empty. Only a backlog that cannot have drained by now is
// certain.
func (s *server) estimate(now time.Duration) load {
	s.drain(now)
	age := max(0, now-s.described)
	mean := s.reported
	if s.group != nil {
		mean = s.group.mean()
	}
	l := load{
		prefill: weigh(s.reported.prefill, mean.prefill, age, s.trust.prefill),
		decode:  weigh(s.reported.decode, mean.decode, age, s.trust.decode),
		running: weigh(s.reported.running, mean.running, age, s.trust.decode),
	}
	l.prefill = max(l.prefill, s.reported.prefill-age.Seconds()*s.PrefillTokensPerSecond) + s.mine.prefill
	l.decode = max(l.decode, s.reported.decode-age.Seconds()*s.DecodeTokensPerSecond) + s.mine.decode
	l.running = max(l.running+s.mine.running, float64(len(s.flights)))
	return l
}

// waitFor estimates the time until a prompt of which uncached tokens are to be
// read has been read.
func (s *server) waitFor(l load, uncached float64) time.Duration {
	if s.PrefillTokensPerSecond == 0 {
		return s.RoundTrip + time.Duration(l.running*float64(unratedWait))
	}
	return s.RoundTrip + seconds((l.prefill+uncached)/s.PrefillTokensPerSecond) + s.slotWait(l)
}

// aloneFor estimates the same on an idle server.
func (s *server) aloneFor(uncached float64) time.Duration {
	if s.PrefillTokensPerSecond == 0 {
		return s.RoundTrip
	}
	return s.RoundTrip + seconds(uncached/s.PrefillTokensPerSecond)
}

// slotWait estimates the time until one of the running requests ends, when
// there are as many as may run.
func (s *server) slotWait(l load) time.Duration {
	if s.MaxRunning == 0 || l.running < float64(s.MaxRunning) || s.DecodeTokensPerSecond == 0 {
		return 0
	}
	before := l.running - float64(s.MaxRunning) + 1
	return seconds(before * l.decode / l.running / s.DecodeTokensPerSecond)
}

// decodeTime estimates the time to generate output tokens beside the others.
func (s *server) decodeTime(l load, output float64) time.Duration {
	if s.DecodeTokensPerSecond == 0 {
		return unratedWait
	}
	beside := l.running
	if s.MaxRunning > 0 {
		beside = min(beside, float64(s.MaxRunning-1))
	}
	return seconds(output * (beside + 1) / s.DecodeTokensPerSecond)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
