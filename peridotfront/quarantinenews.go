package peridotfront

import (
	"slices"
	"time"

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

// soundPart is what older program versions say of a part on which an answer has begun. It
// is ignored, as an answer that begins doesn't show that the server survives it.
type soundPart struct {
	_                struct{} `cbor:",toarray"`
	Part             uint64
	Service, Version string
}

// answeredPart says when the last whole answer on a part came at a software version.
type answeredPart struct {
	_                struct{} `cbor:",toarray"`
	Part             uint64
	Service, Version string
	UnixMillis       int64
}

// quarantineReport is the part of a datagram on the quarantine of prompts.
type quarantineReport struct {
	_           struct{} `cbor:",toarray"`
	Accusations []accusation
	Sound       []soundPart
}

// quarantineDetails is what older program versions don't know of a quarantineReport.
type quarantineDetails struct {
	// Millis contains the milliseconds within UnixSeconds of each accusation of the report.
	Millis []uint16 `cbor:"1,keyasint,omitempty"`
	// HadEvents is Accusation.HadEvents of each accusation of the report.
	HadEvents []bool         `cbor:"3,keyasint,omitempty"`
	Answered  []answeredPart `cbor:"2,keyasint,omitempty"`
}

// areValid reports whether a report and its details keep the limits.
func areValid(r *quarantineReport, details *quarantineDetails) bool {
	tooLong := func(service, version string) bool { return len(service)+len(version) > maxSoftwareBytes }
	return !slices.ContainsFunc(r.Accusations, func(a accusation) bool { return tooLong(a.Service, a.Version) }) &&
		!slices.ContainsFunc(details.Answered, func(s answeredPart) bool { return tooLong(s.Service, s.Version) }) &&
		len(details.Millis) == len(details.HadEvents) && (len(details.Millis) == 0 || len(details.Millis) == len(r.Accusations))
}

// quarantineNews contains what the other fronts have to be told soon. The zero value is
// empty.
type quarantineNews struct {
	accusations []newAccusation
	answered    []newAnsweredPart
}

type newAccusation struct {
	peridotquarantine.Accusation
	roundsLeft int
}

type newAnsweredPart struct {
	answeredPart
	roundsLeft int
}

// addAccusation adds an accusation, before all others if it is urgent: each end accuses all
// parts of all prompts that ran there, and a part under which another server has ended must
// not wait for these.
func (n *quarantineNews) addAccusation(a peridotquarantine.Accusation, isUrgent bool) {
	news := newAccusation{a, newsRounds}
	switch {
	case isUrgent:
		n.accusations = slices.Insert(n.accusations, 0, news)
		n.accusations = n.accusations[:min(len(n.accusations), maxQueuedNews)]
	case len(n.accusations) < maxQueuedNews:
		n.accusations = append(n.accusations, news)
	}
}

// removeAccusation removes an accusation that was refuted.
func (n *quarantineNews) removeAccusation(a peridotquarantine.Accusation) {
	n.accusations = slices.DeleteFunc(n.accusations, func(news newAccusation) bool { return news.Part == a.Part && news.End == a.End })
}

func (n *quarantineNews) addAnswered(a peridotquarantine.Answer) {
	s := encodeAnswer(a)
	for i := range n.answered {
		if o := &n.answered[i]; o.Part == s.Part && o.Service == s.Service && o.Version == s.Version {
			*o = newAnsweredPart{s, newsRounds}
			return
		}
	}
	if len(n.answered) < maxQueuedNews {
		n.answered = append(n.answered, newAnsweredPart{s, newsRounds})
	}
}

// take returns the news of the next datagram.
func (n *quarantineNews) take() (accusations []peridotquarantine.Accusation, answered []answeredPart) {
	for i := range min(maxNewsPerDatagram, len(n.accusations)) {
		accusations = append(accusations, n.accusations[i].Accusation)
		n.accusations[i].roundsLeft--
	}
	for i := range min(maxNewsPerDatagram, len(n.answered)) {
		answered = append(answered, n.answered[i].answeredPart)
		n.answered[i].roundsLeft--
	}
	n.accusations = slices.DeleteFunc(n.accusations, func(a newAccusation) bool { return a.roundsLeft == 0 })
	n.answered = slices.DeleteFunc(n.answered, func(s newAnsweredPart) bool { return s.roundsLeft == 0 })
	return accusations, answered
}

func encodeAccusation(a peridotquarantine.Accusation) accusation {
	return accusation{Part: uint64(a.Part), End: uint64(a.End), Service: a.At.Service, Version: a.At.Version, Begun: a.Begun, UnixSeconds: a.UnixSeconds}
}

func (a accusation) decode() peridotquarantine.Accusation {
	return peridotquarantine.Accusation{Part: peridotquarantine.Part(a.Part), End: peridotquarantine.End(a.End), At: peridotquarantine.Software{Service: a.Service, Version: a.Version}, Begun: a.Begun, UnixSeconds: a.UnixSeconds}
}

func encodeAnswer(a peridotquarantine.Answer) answeredPart {
	return answeredPart{Part: uint64(a.Part), Service: a.At.Service, Version: a.At.Version, UnixMillis: a.Time().UnixMilli()}
}

func (s answeredPart) decode() peridotquarantine.Answer {
	return peridotquarantine.NewAnswer(peridotquarantine.Part(s.Part), peridotquarantine.Software{Service: s.Service, Version: s.Version}, time.UnixMilli(s.UnixMillis))
}

// report returns what the next round of datagrams tells of the quarantine, or nil. An
// announcement repeats known accusations, for fronts that missed them.
func (q *quarantine) report(announce bool) (*quarantineReport, *quarantineDetails) {
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settle()
	accusations, answered := q.news.take()
	if announce {
		announced := q.table.Announce(now, maxNewsPerDatagram-len(accusations))
		accusations = append(accusations, announced...)
		answered = append(answered, q.answersOn(announced, maxNewsPerDatagram-len(answered))...)
	}
	if len(accusations)+len(answered) == 0 {
		return nil, nil
	}
	r, details := &quarantineReport{}, &quarantineDetails{Answered: answered}
	for _, a := range accusations {
		r.Accusations = append(r.Accusations, encodeAccusation(a))
		details.Millis = append(details.Millis, uint16(a.Millis))
		details.HadEvents = append(details.HadEvents, a.HadEvents)
	}
	return r, details
}

// answersOn returns up to limit answers on the parts of accusations, which decide how many
// ends a front needs that knows nothing else of these parts. The caller must hold q.mu.
func (q *quarantine) answersOn(accusations []peridotquarantine.Accusation, limit int) []answeredPart {
	var list []answeredPart
	for _, part := range accusedParts(accusations) {
		for _, a := range q.table.LastingAnswers(part) {
			if len(list) < limit {
				list = append(list, encodeAnswer(a))
			}
		}
	}
	return list
}

// handleReport applies the report of another front; details is nil in those of older
// program versions. It answers accusations with what this front knows of later answers.
func (q *quarantine) handleReport(r *quarantineReport, details *quarantineDetails) {
	if details == nil {
		details = &quarantineDetails{}
	}
	if !areValid(r, details) {
		q.front.metrics.Count("datagrams_unreadable")
		return
	}
	now := q.front.trueTime()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range details.Answered {
		q.learnAnswer(now, s.decode())
	}
	for i, encoded := range r.Accusations {
		a := encoded.decode()
		if len(details.Millis) > 0 {
			a.Millis, a.HadEvents = int64(min(details.Millis[i], 999)), details.HadEvents[i]
		}
		isNew := q.accuse(now, a)
		if isNew || q.table.IsRefuted(a) {
			q.addAnswered(a.Part, a.At)
		}
		if isNew {
			for _, answer := range q.table.LastingAnswers(a.Part) {
				q.news.addAnswered(answer)
			}
		}
	}
}
