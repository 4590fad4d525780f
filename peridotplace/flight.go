package peridotplace

import (
	"time"

	"peridotstack/peridotsite"
)

// Flight is a request, or the reading of its prompt, under way at one server.
type Flight struct {
	server *server
	// read is the reading time in ms that is not confirmed yet.
	read     float64
	uncached int
	// wait is the time in ms that the flight was estimated to wait.
	wait float64
	// alone is set when nothing else was being read when the flight began.
	alone bool
	began time.Duration
	// started is when the first token came; zero before.
	started time.Duration
	// late flights were demoted.
	late  bool
	ended bool
}

// maxPlaced bounds the placements that wait for the next Report.
const maxPlaced = 256

// Begin notes that a plain request is sent to a server. It returns nil if the
// server is not known any more.
func (p *Placer) Begin(now time.Duration, backend string) *Flight {
	s := p.servers[backend]
	if s == nil {
		return nil
	}
	s.begin(now)
	return &Flight{server: s, began: now}
}

// Read notes that a server is sent a prompt of which uncached tokens are to be
// read.
func (p *Placer) Read(now time.Duration, backend string, parts []Part, uncached int) *Flight {
	f := p.Begin(now, backend)
	if f == nil {
		return nil
	}
	s := f.server
	reading, _, _ := p.others(now, backend)
	f.wait = s.backlog(now) + reading
	f.alone = s.unread == 0
	f.read, f.uncached = s.readTime(uncached), uncached
	s.reading += f.read
	s.unread += f.read
	p.remember(s, parts)
	return f
}

// Moved notes that a server is sent a request whose KV cache it fetches.
func (p *Placer) Moved(now time.Duration, backend string, parts []Part) *Flight {
	f := p.Begin(now, backend)
	if f != nil {
		p.remember(f.server, parts)
	}
	return f
}

func (p *Placer) remember(s *server, parts []Part) {
	if s.cache == nil || len(parts) == 0 {
		return
	}
	s.cache.add(parts)
	if len(p.placed) < maxPlaced {
		p.placed = append(p.placed, Placement{Backend: s.ID, Parts: parts})
	}
}

// Demote notes that a flight was sent with a low urgency, so that it waits behind
// all others at its server.
func (p *Placer) Demote(f *Flight) {
	if f == nil || f.late || f.ended {
		return
	}
	s := f.server
	f.late = true
	s.waiting++
	s.unread = max(0, s.unread-f.read)
	s.reading = min(s.reading, s.unread)
	s.late += f.read
}

// begun notes the first token of a flight.
func (f *Flight) begun(now time.Duration) {
	if f.started > 0 {
		return
	}
	f.started = now
	if f.late {
		f.server.waiting--
	}
}

// minLearned is the fewest tokens from whose reading time a speed is learned.
const minLearned = 1000

// HasRead notes that the prompt of a flight has been read.
func (p *Placer) HasRead(now time.Duration, f *Flight) {
	if f == nil || f.ended {
		return
	}
	s := f.server
	s.answered(now)
	f.begun(now)
	if !f.late && f.uncached > 0 {
		p.stretchAt(s).learn(f.wait, inMilliseconds(now-f.began)-s.readTime(f.uncached))
	}
	if f.read == 0 {
		return
	}
	if f.alone && f.uncached >= minLearned {
		s.learn(f, inMilliseconds(now-f.began))
	}
	s.confirm(now, f)
}

// learn adapts the slowness of the server to a flight that took a time in ms.
func (s *server) learn(f *Flight, took float64) {
	ratio := took / f.read * s.slow
	s.slow += (min(max(ratio, minSlowness), maxSlowness) - s.slow) * learnShare
}

// confirm takes a flight's reading off the server.
func (s *server) confirm(now time.Duration, f *Flight) {
	s.advance(now)
	if f.late {
		s.late = max(0, s.late-f.read)
		f.read = 0
		return
	}
	s.unread = max(0, s.unread-f.read)
	f.read = 0
	s.reading = min(s.reading, s.unread)
}

// stretchAt returns what was learned of waits at engines of a server's role.
func (p *Placer) stretchAt(s *server) *stretch {
	if s.Role == peridotsite.Prefill {
		return &p.readers
	}
	return &p.writers
}

// holdShare is the part of a new observation in the mean time that a request holds
// a slot; few requests hold one for most of the slots' time.
const holdShare = 0.02

// learnHold adapts the time in ms that a request holds a slot of an engine.
func (p *Placer) learnHold(s *server, ms float64) {
	if s.engine == nil || s.Role == peridotsite.Prefill {
		return
	}
	p.holds[s.Service] += (ms - p.holds[s.Service]) * holdShare
}

// slotWait returns the time in ms until a server with a number of requests has a
// slot for one more.
func (p *Placer) slotWait(s *server, requests int) float64 {
	if s.Role == peridotsite.Prefill || s.engine.Slots <= 0 {
		return 0
	}
	return float64(max(0, requests+1-s.engine.Slots)) * p.holds[s.Service] / float64(s.engine.Slots)
}

// Progress notes that the server of a flight has sent a part of its answer.
func (p *Placer) Progress(now time.Duration, f *Flight) {
	if f != nil {
		f.server.answered(now)
	}
}

// End is how a flight ended.
type End int

const (
	// Answered flights got a good answer.
	Answered End = iota
	// Left flights were given up by their caller; that says nothing of the server.
	Left
	// Refused flights were turned away because the server is full or leaves.
	Refused
	// Failed flights got an error or a spoiled answer.
	Failed
	// Lost flights broke off, or their server could not be reached.
	Lost
)

// Done notes the end of a flight. More calls do nothing.
func (p *Placer) Done(now time.Duration, f *Flight, end End) {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	s := f.server
	s.running--
	if f.started > 0 && end == Answered {
		p.learnHold(s, inMilliseconds(now-f.started)+s.readTime(f.uncached))
	}
	f.begun(now)
	if f.read > 0 {
		s.confirm(now, f)
	}
	switch end {
	case Answered:
		s.answered(now)
		s.outcome(false)
	case Refused:
		s.answered(now)
		s.until = now + refusedPause
	case Failed:
		s.answered(now)
		s.outcome(true)
	case Lost:
		s.unreachable(now)
		s.outcome(true)
	case Left:
	}
}
