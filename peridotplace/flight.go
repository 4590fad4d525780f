package peridotplace

import (
	"time"
)

// Flight is a request, or the reading of its prompt, under way at one server.
type Flight struct {
	server *server
	// read is the reading time in ms that is not confirmed yet.
	read     float64
	uncached int
	// alone is set when nothing else was being read when the flight began.
	alone bool
	began time.Duration
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
	s.advance(now)
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

// minLearned is the fewest tokens from whose reading time a speed is learned.
const minLearned = 1000

// HasRead notes that the prompt of a flight has been read.
func (p *Placer) HasRead(now time.Duration, f *Flight) {
	if f == nil || f.ended {
		return
	}
	s := f.server
	s.answered(now)
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
	s.unread = max(0, s.unread-f.read)
	f.read = 0
	s.reading = min(s.reading, s.unread)
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
