package peridotorigin

import (
	"net/netip"
	"time"
)

const (
	// RepeatInterval is the time after which a front that has not answered is asked
	// again. It is well above a round trip.
	RepeatInterval = 40 * time.Millisecond
	// LookupTimeout is the time from the first question at which a look-up ends without
	// a result.
	LookupTimeout = 120 * time.Millisecond
	// FirstFrontTimeout is the time from its start at which a look-up ends if no other
	// front is known. An instance that starts reads their list within some 100 ms.
	FirstFrontTimeout = 200 * time.Millisecond
)

// LookupState is the state of a Lookup.
type LookupState int

// States of a look-up. All but Waiting are final.
const (
	Waiting LookupState = iota
	// Found means that a front has answered with the origin.
	Found
	// Unknown means that all fronts have answered that they don't know the origin.
	Unknown
	// TimedOut means that some front did not answer in time.
	TimedOut
)

// Lookup is the state of one look-up of an origin at other fronts. Create one with
// NewLookup.
type Lookup struct {
	// startedAt is when the look-up began, askedAt when the first question was sent.
	startedAt, askedAt time.Duration
	asked              map[netip.AddrPort]*askedFront
	// awaitsAll is set if the answers of all fronts count.
	awaitsAll bool
	// omitted is the number of fronts that keep copies and are not asked.
	omitted int
	found   bool
	version string
}

// askedFront is the state of the questions to one front.
type askedFront struct {
	// askedAt is when the last question was sent.
	askedAt time.Duration
	// answered is set once no other answer of the front is awaited.
	answered bool
	// final is set if an answer to the last question counts.
	final bool
}

// NewLookup returns a look-up that starts at the given time.
func NewLookup(now time.Duration) *Lookup {
	return &Lookup{startedAt: now, asked: make(map[netip.AddrPort]*askedFront)}
}

// NewContentLookup returns a look-up of a content that starts at the given time. Other
// fronts may know other versions of it, so that it ends once all have answered or in time.
func NewContentLookup(now time.Duration) *Lookup {
	l := NewLookup(now)
	l.awaitsAll = true
	return l
}

// Ask returns the fronts to send a question to now: those of fronts that were not
// asked yet, and those that have not answered for RepeatInterval. A front may be asked
// before the origin reaches it. Therefore the answer that it doesn't know the origin
// counts only if it was asked confirm or more after the start of the look-up; otherwise
// it is asked again like one that has not answered.
func (l *Lookup) Ask(now time.Duration, fronts []netip.AddrPort, confirm time.Duration) []netip.AddrPort {
	var ask []netip.AddrPort
	for _, address := range fronts {
		if l.asked[address] == nil {
			if len(l.asked) == 0 {
				l.askedAt = now
			}
			l.asked[address] = &askedFront{askedAt: now - RepeatInterval}
		}
	}
	for address, a := range l.asked {
		if !a.answered && now-a.askedAt >= RepeatInterval {
			a.askedAt, a.final = now, now-l.startedAt >= confirm
			ask = append(ask, address)
		}
	}
	return ask
}

// AnswerKnown records that the front at from knows the version that began the stream. It
// ignores answers of fronts that were not asked.
func (l *Lookup) AnswerKnown(from netip.AddrPort, version string) {
	a := l.asked[from]
	if a == nil {
		return
	}
	l.Add(version)
	if l.awaitsAll && a.final {
		a.answered = true
	}
}

// Omit records how many fronts that may keep copies are not asked, because they are silent
// anyway.
func (l *Lookup) Omit(fronts int) {
	l.omitted = fronts
}

// Add records a version that began the stream, as this front or another one knows it.
func (l *Lookup) Add(version string) {
	if l.found {
		version = Merge(l.version, version)
	}
	l.found, l.version = true, version
}

// AnswerUnknown records that the front at from doesn't know the version that began the
// stream.
func (l *Lookup) AnswerUnknown(from netip.AddrPort) {
	if a := l.asked[from]; a != nil && a.final {
		a.answered = true
	}
}

// State returns the state of the look-up.
func (l *Lookup) State(now time.Duration) LookupState {
	switch {
	case l.found && (!l.awaitsAll || l.version == Mixed):
		return Found
	case len(l.asked) == 0 && (l.omitted > 0 || now-l.startedAt >= FirstFrontTimeout):
		return l.end(TimedOut)
	case len(l.asked) == 0:
		return Waiting
	case l.allAnswered():
		return l.end(Unknown)
	case now-l.askedAt >= LookupTimeout:
		return l.end(TimedOut)
	}
	return Waiting
}

// end returns Found if a front knows the origin and so many have answered that one that keeps a
// copy of any other origin is among them, unless the datagrams of a front don't reach the others,
// and otherwise the given state.
func (l *Lookup) end(other LookupState) LookupState {
	silent := l.omitted
	for _, a := range l.asked {
		if !a.answered {
			silent++
		}
	}
	if l.found && silent < min(len(l.asked)+l.omitted, Replicas) {
		return Found
	}
	return other
}

// Version returns the version that the fronts answered with, in the state Found.
func (l *Lookup) Version() string {
	return l.version
}

// Known reports whether a front has answered with a version.
func (l *Lookup) Known() bool {
	return l.found
}

// allAnswered reports whether the answers of all fronts count.
func (l *Lookup) allAnswered() bool {
	for _, a := range l.asked {
		if !a.answered {
			return false
		}
	}
	return true
}
