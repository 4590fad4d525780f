package peridotfront

import (
	"slices"

	"peridotstack/peridotquarantine"
)

const (
	// newsRounds is the number of rounds of datagrams that carry each news of the
	// quarantine, because datagrams may be lost.
	newsRounds = 3
	// maxNewsPerDatagram limits the accusations, and the sound parts, in one datagram. Each
	// takes about 40 bytes, and maxSoftwareBytes more at most.
	maxNewsPerDatagram = 24
	// maxQueuedNews limits the news of each kind that wait; further ones are left to the
	// announcements.
	maxQueuedNews = 1024
	// maxSoftwareBytes limits the name of a service and its software version together.
	maxSoftwareBytes = 264
)

// accusation is the encoded form of a peridotquarantine.Accusation.
type accusation struct {
	_                struct{} `cbor:",toarray"`
	Part, End        uint64
	Service, Version string
	Begun            bool
	UnixSeconds      int64
}

// soundPart says that an answer has begun on a part at a software version.
type soundPart struct {
	_                struct{} `cbor:",toarray"`
	Part             uint64
	Service, Version string
}

// quarantineReport is the part of a datagram on the quarantine of prompts.
type quarantineReport struct {
	_           struct{} `cbor:",toarray"`
	Accusations []accusation
	Sound       []soundPart
}

// isValid reports whether the report keeps the limits.
func (r *quarantineReport) isValid() bool {
	tooLong := func(service, version string) bool { return len(service)+len(version) > maxSoftwareBytes }
	return !slices.ContainsFunc(r.Accusations, func(a accusation) bool { return tooLong(a.Service, a.Version) }) &&
		!slices.ContainsFunc(r.Sound, func(s soundPart) bool { return tooLong(s.Service, s.Version) })
}

// quarantineNews contains what the other fronts have to be told soon. The zero value is
// empty.
type quarantineNews struct {
	accusations []newAccusation
	sound       []newSoundPart
}

type newAccusation struct {
	accusation
	roundsLeft int
}

type newSoundPart struct {
	soundPart
	roundsLeft int
}

func (n *quarantineNews) addAccusation(a peridotquarantine.Accusation) {
	if len(n.accusations) < maxQueuedNews {
		n.accusations = append(n.accusations, newAccusation{encodeAccusation(a), newsRounds})
	}
}

func (n *quarantineNews) addSound(part peridotquarantine.Part, at peridotquarantine.Software) {
	s := soundPart{Part: uint64(part), Service: at.Service, Version: at.Version}
	for i := range n.sound {
		if n.sound[i].soundPart == s {
			n.sound[i].roundsLeft = newsRounds
			return
		}
	}
	if len(n.sound) < maxQueuedNews {
		n.sound = append(n.sound, newSoundPart{s, newsRounds})
	}
}

// take returns the news of the next datagram.
func (n *quarantineNews) take() (r quarantineReport) {
	for i := range min(maxNewsPerDatagram, len(n.accusations)) {
		r.Accusations = append(r.Accusations, n.accusations[i].accusation)
		n.accusations[i].roundsLeft--
	}
	for i := range min(maxNewsPerDatagram, len(n.sound)) {
		r.Sound = append(r.Sound, n.sound[i].soundPart)
		n.sound[i].roundsLeft--
	}
	n.accusations = slices.DeleteFunc(n.accusations, func(a newAccusation) bool { return a.roundsLeft == 0 })
	n.sound = slices.DeleteFunc(n.sound, func(s newSoundPart) bool { return s.roundsLeft == 0 })
	return r
}

func encodeAccusation(a peridotquarantine.Accusation) accusation {
	return accusation{Part: uint64(a.Part), End: uint64(a.End), Service: a.At.Service, Version: a.At.Version, Begun: a.Begun, UnixSeconds: a.UnixSeconds}
}

func (a accusation) decode() peridotquarantine.Accusation {
	return peridotquarantine.Accusation{Part: peridotquarantine.Part(a.Part), End: peridotquarantine.End(a.End), At: peridotquarantine.Software{Service: a.Service, Version: a.Version}, Begun: a.Begun, UnixSeconds: a.UnixSeconds}
}

// report returns what the next round of datagrams tells of the quarantine, or nil. An
// announcement repeats known accusations, for fronts that missed them.
func (q *quarantine) report(announce bool) *quarantineReport {
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.news.take()
	if announce {
		room := maxNewsPerDatagram - len(r.Accusations)
		for _, a := range q.table.Announce(now, room) {
			r.Accusations = append(r.Accusations, encodeAccusation(a))
		}
	}
	if len(r.Accusations)+len(r.Sound) == 0 {
		return nil
	}
	return &r
}

// handleReport applies the report of another front. It answers accusations of parts that
// this front knows to be sound.
func (q *quarantine) handleReport(r *quarantineReport) {
	if !r.isValid() {
		q.front.metrics.Count("datagrams_unreadable")
		return
	}
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range r.Sound {
		q.table.RecordBegun([]peridotquarantine.Part{peridotquarantine.Part(s.Part)}, peridotquarantine.Software{Service: s.Service, Version: s.Version})
	}
	for _, encoded := range r.Accusations {
		a := encoded.decode()
		if q.table.IsSound(a.Part, a.At) {
			q.news.addSound(a.Part, a.At)
			continue
		}
		q.accuse(now, a)
	}
}
