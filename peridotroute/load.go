package peridotroute

import (
	"math"
	"slices"
	"time"
)

// defaultServiceTime is the estimated time of a request on a server whose token
// rates are unknown.
const defaultServiceTime = 10 * time.Millisecond

// load is an amount of work at a server: tokens to be processed, and requests.
type load struct {
	prefillTokens float64
	decodeTokens  float64
	// running is the number of requests, including those that wait for a slot.
	running float64
}

// reportTTL holds the ages at which the prefill and the decode load in a report expire.
type reportTTL struct {
	prefill time.Duration
	decode  time.Duration
}

// decayToMean interpolates linearly from reported, for a report of age 0, to mean, for
// a report of age ttl or more.
func decayToMean(reported, mean float64, age, ttl time.Duration) float64 {
	if age >= ttl {
		return mean
	}
	return mean + (reported-mean)*(1-float64(age)/float64(ttl))
}

// roleGroup holds the servers of one target and role that take new requests.
type roleGroup struct {
	servers []*server
	// reportedSum is the sum of the last reported loads of all servers.
	reportedSum load
}

// mean returns the mean reported load of the servers.
func (g *roleGroup) mean() load {
	n := float64(max(1, len(g.servers)))
	return load{prefillTokens: g.reportedSum.prefillTokens / n, decodeTokens: g.reportedSum.decodeTokens / n, running: g.reportedSum.running / n}
}

// addLoad adds l, multiplied by sign, to reportedSum.
func (g *roleGroup) addLoad(l load, sign float64) {
	g.reportedSum.prefillTokens += sign * l.prefillTokens
	g.reportedSum.decodeTokens += sign * l.decodeTokens
	g.reportedSum.running += sign * l.running
}

// server is a backend server with the data to estimate its load.
type server struct {
	Server
	id uint32
	// group is nil for a server that gets no new requests.
	group     *roleGroup
	reportTTL reportTTL

	// reported is the load in the last report, as of measuredAt; receivedAt is when
	// the report arrived.
	reported   load
	measuredAt time.Duration
	receivedAt time.Duration
	// unreported is the work that this process has sent, that has not ended and that
	// the last report does not contain: requests sent since measuredAt, and tokens of
	// requests sent since unreportedSince. The tokens expected to be processed by
	// drainedAt have been deducted. unreportedSince equals measuredAt, or is
	// math.MinInt64 if the report contains no token counts.
	unreported      load
	unreportedSince time.Duration
	drainedAt       time.Duration
	// flights are the requests that this process has sent and that have not ended,
	// oldest first.
	flights []*flight
}

// flight is a request that has not ended. prefillServer and decodeServer may be the
// same.
type flight struct {
	id            string
	sentAt        time.Duration
	prefillServer *server
	decodeServer  *server
	// prefillTokens and decodeTokens are the tokens still to be processed.
	prefillTokens float64
	decodeTokens  float64
}

// loadOn returns the load of a flight on s, which is one of its servers.
func (f *flight) loadOn(s *server) load {
	w := load{running: 1}
	if f.prefillServer == s {
		w.prefillTokens = f.prefillTokens
	}
	if f.decodeServer == s {
		w.decodeTokens = f.decodeTokens
	}
	return w
}

// observe replaces the last report, and keeps of unreported only the work that the
// new report cannot contain. It ignores a report older than the last one.
func (s *server) observe(report Report, lag time.Duration) {
	if report.At < s.receivedAt {
		return
	}
	now := max(s.drainedAt, report.At)
	measuredAt := report.At - lag
	l := s.loadFrom(report)
	if s.group != nil {
		s.group.addLoad(s.reported, -1)
		s.group.addLoad(l, 1)
	}
	s.reported, s.receivedAt, s.measuredAt = l, report.At, measuredAt
	s.unreportedSince = measuredAt
	if report.PrefillTokens+report.DecodeTokens == 0 {
		s.unreportedSince = math.MinInt64
	}
	s.recomputeUnreported(now)
}

// loadFrom returns the load in a report. If the report gives no decode tokens, loadFrom
// assumes half of defaultOutputTokens for each request of other processes; the tokens
// of this process's flights are counted in unreported.
func (s *server) loadFrom(report Report) load {
	l := load{
		prefillTokens: float64(report.PrefillTokens),
		decodeTokens:  float64(report.DecodeTokens),
		running:       float64(report.Running + report.Waiting),
	}
	if l.decodeTokens == 0 {
		l.decodeTokens = max(0, l.running-float64(len(s.flights))) * defaultOutputTokens / 2
	}
	return l
}

// recomputeUnreported computes unreported from the flights.
func (s *server) recomputeUnreported(now time.Duration) {
	s.unreported = load{}
	for _, f := range s.flights {
		if f.sentAt < s.unreportedSince {
			continue
		}
		if s.unreported == (load{}) {
			s.drainedAt = f.sentAt
		}
		s.drain(f.sentAt)
		s.addUnreported(f)
		if f.sentAt < s.measuredAt {
			// The report counts this request, but not its tokens.
			s.unreported.running--
		}
	}
	s.drain(now)
	s.drainedAt = now
}

// drain deducts from unreported the tokens that s is expected to process by now.
func (s *server) drain(now time.Duration) {
	if now <= s.drainedAt {
		return
	}
	elapsed := (now - s.drainedAt).Seconds()
	s.drainedAt = now
	s.unreported.prefillTokens = max(0, s.unreported.prefillTokens-elapsed*s.PrefillTokensPerSecond)
	s.unreported.decodeTokens = max(0, s.unreported.decodeTokens-elapsed*s.DecodeTokensPerSecond)
}

// addUnreported adds the load of a flight to unreported.
func (s *server) addUnreported(f *flight) {
	w := f.loadOn(s)
	s.unreported.prefillTokens += w.prefillTokens
	s.unreported.decodeTokens += w.decodeTokens
	s.unreported.running++
}

// addFlight records that a flight is sent to s.
func (s *server) addFlight(now time.Duration, f *flight) {
	s.drain(now)
	s.flights = append(s.flights, f)
	s.addUnreported(f)
}

// removeFlight records that a flight has ended.
func (s *server) removeFlight(now time.Duration, f *flight) {
	i := slices.Index(s.flights, f)
	if i < 0 {
		return
	}
	s.flights = slices.Delete(s.flights, i, i+1)
	s.drain(now)
	// This may make the count negative, because a flight that the report contains must
	// be deducted from the reported count.
	s.unreported.running--
	if f.sentAt < s.unreportedSince {
		return
	}
	w := f.loadOn(s)
	s.unreported.prefillTokens = max(0, s.unreported.prefillTokens-w.prefillTokens)
	s.unreported.decodeTokens = max(0, s.unreported.decodeTokens-w.decodeTokens)
}

// updateOutput updates the remaining work of a flight that has generated output. Its
// prefill is complete. If the output is longer than expected, as many tokens again are
// expected.
func (f *flight) updateOutput(now time.Duration, outputTokens float64) {
	f.prefillServer.drain(now)
	f.decodeServer.drain(now)
	if f.sentAt >= f.prefillServer.unreportedSince {
		f.prefillServer.unreported.prefillTokens = max(0, f.prefillServer.unreported.prefillTokens-f.prefillTokens)
	}
	f.prefillTokens = 0
	if f.decodeTokens < outputTokens {
		f.decodeServer.unreported.decodeTokens += outputTokens
		f.decodeTokens = 2 * outputTokens
	}
}

// estimateLoad returns the estimated load of s at now. As a report ages, its values
// decay to the mean of all reports, because every process that saw the report has sent
// requests to the servers that looked idle. The estimate is at least the part of the
// reported backlog that s cannot have processed by now.
func (s *server) estimateLoad(now time.Duration) load {
	s.drain(now)
	age := max(0, now-s.measuredAt)
	mean := s.reported
	if s.group != nil {
		mean = s.group.mean()
	}
	l := load{
		prefillTokens: decayToMean(s.reported.prefillTokens, mean.prefillTokens, age, s.reportTTL.prefill),
		decodeTokens:  decayToMean(s.reported.decodeTokens, mean.decodeTokens, age, s.reportTTL.decode),
		running:       decayToMean(s.reported.running, mean.running, age, s.reportTTL.decode),
	}
	l.prefillTokens = max(l.prefillTokens, s.reported.prefillTokens-age.Seconds()*s.PrefillTokensPerSecond) + s.unreported.prefillTokens
	l.decodeTokens = max(l.decodeTokens, s.reported.decodeTokens-age.Seconds()*s.DecodeTokensPerSecond) + s.unreported.decodeTokens
	l.running = max(l.running+s.unreported.running, float64(len(s.flights)))
	return l
}

// prefillWait estimates the time until a prompt with the given number of uncached
// tokens has been read.
func (s *server) prefillWait(l load, uncachedTokens float64) time.Duration {
	if s.PrefillTokensPerSecond == 0 {
		return s.RoundTrip + time.Duration(l.running*float64(defaultServiceTime))
	}
	return s.RoundTrip + seconds((l.prefillTokens+uncachedTokens)/s.PrefillTokensPerSecond) + s.slotWait(l)
}

// idlePrefillWait estimates prefillWait on an idle server.
func (s *server) idlePrefillWait(uncachedTokens float64) time.Duration {
	if s.PrefillTokensPerSecond == 0 {
		return s.RoundTrip
	}
	return s.RoundTrip + seconds(uncachedTokens/s.PrefillTokensPerSecond)
}

// slotWait estimates the time until enough running requests have ended for another one
// to run; it is 0 if another one can run now.
func (s *server) slotWait(l load) time.Duration {
	if s.MaxRunning == 0 || l.running < float64(s.MaxRunning) || s.DecodeTokensPerSecond == 0 {
		return 0
	}
	ahead := l.running - float64(s.MaxRunning) + 1
	return seconds(ahead * l.decodeTokens / l.running / s.DecodeTokensPerSecond)
}

// decodeTime estimates the time to generate output tokens concurrently with the running
// requests.
func (s *server) decodeTime(l load, outputTokens float64) time.Duration {
	if s.DecodeTokensPerSecond == 0 {
		return defaultServiceTime
	}
	concurrent := l.running
	if s.MaxRunning > 0 {
		concurrent = min(concurrent, float64(s.MaxRunning-1))
	}
	return seconds(outputTokens * (concurrent + 1) / s.DecodeTokensPerSecond)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
