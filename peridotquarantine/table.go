package peridotquarantine

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// minBegunEnds is the number of servers that must have ended after they had begun to
	// write on a part, for the part to be quarantined; minEnds is that number if it is not
	// known of all of them whether they had begun.
	minBegunEnds = 3
	minEnds      = 4
	// minRequestEnds is that number for a whole request, begun or not: other requests
	// don't have it in common by chance.
	minRequestEnds = 3
	// minAnyEnds is that number for a part whose runs had sent events, and for one that was
	// answered at the software version before: ends since the last whole answer. Parts that
	// many prompts share run at most servers that end, for whatever reason.
	minAnyEnds = 5
	// minStoredRequestEnds is the number of ends from which on accusations of a whole
	// request must last. Each end accuses all requests that ran at the server.
	minStoredRequestEnds = 2
	// loneRequestTTL is how long accusations of a whole request count that need not last,
	// and loneRequestAnnounced how long they are announced.
	loneRequestTTL       = 10 * time.Minute
	loneRequestAnnounced = time.Minute
	// soundRivalDelay is the time since its last end after which a part that was never
	// answered may get a trial although every rival was. A part that was answered before
	// is less likely to be the cause, and each trial of the one that is costs a server.
	soundRivalDelay = time.Minute
	// maxEndsPerPart limits the accusations kept of one part.
	maxEndsPerPart = 8
	// maxAccusedParts limits the parts that are accused.
	maxAccusedParts = 4096
	// maxAnsweredParts limits the pairs of part and software with a known answer. One takes
	// about 170 bytes.
	maxAnsweredParts = 1 << 15
	// maxAnsweredRequests limits the pairs of whole request and software in the same way.
	maxAnsweredRequests = 1 << 13
	// maxBegunEnds limits the ends of which a begun run is remembered.
	maxBegunEnds = 4096
	// maxSoftware limits the software versions with known answers.
	maxSoftware = 256
	// minStoredEnds is the number of ends from which on the answers on a part must last as
	// long as its accusations. With fewer ends a part is not quarantined.
	minStoredEnds = min(minBegunEnds, minRequestEnds)
)

// Table adds up accusations. Create one with NewTable.
type Table struct {
	// accused contains the accusations of each part, at most one for each end.
	accused map[Part][]Accusation
	// begunEnds contains the ends that a begun run without events has seen: runs beside it that had not
	// begun say little.
	begunEnds *simplelru.LRU[End, struct{}]
	// answered contains when the last whole answer came on parts of prompts, in true time,
	// and answeredRequests the same of whole requests, which are so many that parts would
	// not be remembered beside them.
	answered, answeredRequests *simplelru.LRU[partAt, time.Time]
	// software contains the software versions of the answers.
	software *simplelru.LRU[Software, struct{}]
	// announced is the part up to which Announce has returned the accusations.
	announced Part
}

// partAt is a part at a software version.
type partAt struct {
	part Part
	at   Software
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{accused: make(map[Part][]Accusation)}
	t.begunEnds, _ = simplelru.NewLRU[End, struct{}](maxBegunEnds, nil) // Fails only without a size.
	t.answered, _ = simplelru.NewLRU[partAt, time.Time](maxAnsweredParts, nil)
	t.answeredRequests, _ = simplelru.NewLRU[partAt, time.Time](maxAnsweredRequests, nil)
	t.software, _ = simplelru.NewLRU[Software, struct{}](maxSoftware, nil)
	return t
}

// Accuse adds an accusation, unless an answer refutes it. It reports whether that is new.
func (t *Table) Accuse(now time.Time, a Accusation) bool {
	if a.Expired(now) || t.IsRefuted(a) {
		return false
	}
	if a.Begun && !a.HadEvents {
		t.begunEnds.Add(a.End, struct{}{})
	}
	list := t.accused[a.Part]
	i := slices.IndexFunc(list, func(other Accusation) bool { return other.End == a.End })
	switch {
	case i >= 0 && list[i].strength() >= a.strength():
		return false
	case i >= 0:
		list[i] = a
		return true
	case len(list) == 0:
		t.makeRoom(now)
	case len(list) == maxEndsPerPart:
		if list = t.dropUncounted(list); len(list) < maxEndsPerPart {
			break
		}
		oldest := earliest(list)
		if !list[oldest].Time().Before(a.Time()) {
			return false
		}
		list = slices.Delete(list, oldest, oldest+1)
	}
	t.accused[a.Part] = append(list, a)
	return true
}

// dropUncounted removes the first accusation that doesn't count.
func (t *Table) dropUncounted(list []Accusation) []Accusation {
	i := slices.IndexFunc(list, func(a Accusation) bool { return !t.counts(a) })
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// earliest returns the index of the accusation with the earliest end.
func earliest(list []Accusation) int {
	earliest := 0
	for i, a := range list {
		if a.Time().Before(list[earliest].Time()) {
			earliest = i
		}
	}
	return earliest
}

// makeRoom removes expired accusations and, if the table is full, a part: the one with the
// fewest ends.
func (t *Table) makeRoom(now time.Time) {
	if len(t.accused) < maxAccusedParts {
		return
	}
	t.Expire(now)
	if len(t.accused) < maxAccusedParts {
		return
	}
	var least Part
	leastEnds := maxEndsPerPart + 1
	for part, list := range t.accused {
		if len(list) < leastEnds {
			least, leastEnds = part, len(list)
		}
	}
	delete(t.accused, least)
}

// counts reports whether an accusation counts: a run that had not begun says nothing if
// another one had begun at the same end.
func (t *Table) counts(a Accusation) bool {
	return a.Begun || !t.begunEnds.Contains(a.End)
}

// RecordAnswered records that a whole answer on the parts came at a time, from a server of
// a software version. It returns the accusations that this refutes.
func (t *Table) RecordAnswered(parts []Part, at Software, answeredAt time.Time) (refuted []Accusation) {
	t.software.Add(at, struct{}{})
	for _, part := range parts {
		if last, ok := t.AnsweredAt(part, at); ok && last.After(answeredAt) {
			continue
		}
		t.answeredOf(part).Add(partAt{part, at}, answeredAt)
		list := t.accused[part]
		if len(list) == 0 {
			continue
		}
		for _, a := range list {
			if t.IsRefuted(a) {
				refuted = append(refuted, a)
			}
		}
		if list = slices.DeleteFunc(list, t.IsRefuted); len(list) > 0 {
			t.accused[part] = list
		} else {
			delete(t.accused, part)
		}
	}
	return refuted
}

// IsAccused reports whether servers have ended under a part.
func (t *Table) IsAccused(part Part) bool {
	return len(t.accused[part]) > 0
}

// AnsweredAt returns when the last whole answer on a part came from a server of a software
// version. It returns false if none is known.
func (t *Table) AnsweredAt(part Part, at Software) (time.Time, bool) {
	return t.answeredOf(part).Peek(partAt{part, at})
}

// Answers returns the last whole answers on a part, one for each software version.
func (t *Table) Answers(part Part) []Answer {
	var list []Answer
	for _, at := range t.software.Keys() {
		if answeredAt, ok := t.AnsweredAt(part, at); ok {
			list = append(list, NewAnswer(part, at, answeredAt))
		}
	}
	return list
}

// LastingAnswers returns the last whole answers on a part that must outlive all instances:
// without them, accusations at one software version would count at all others.
func (t *Table) LastingAnswers(part Part) []Answer {
	if len(t.accused[part]) < minStoredEnds {
		return nil
	}
	return t.Answers(part)
}

// IsRefuted reports whether a whole answer on the part is known that is not older than the
// end.
func (t *Table) IsRefuted(a Accusation) bool {
	answeredAt, ok := t.AnsweredAt(a.Part, a.At)
	return ok && !a.Time().After(answeredAt)
}

// answeredOf returns the answers on parts of the same kind.
func (t *Table) answeredOf(part Part) *simplelru.LRU[partAt, time.Time] {
	if part.IsRequest() {
		return t.answeredRequests
	}
	return t.answered
}

// MustLast reports whether the accusations of a part must outlive all instances.
func (t *Table) MustLast(part Part) bool {
	return !part.IsRequest() || len(t.accused[part]) >= minStoredRequestEnds
}

// isLone reports whether the accusations of a part need not last and are as old as age.
func (t *Table) isLone(now time.Time, part Part, age time.Duration) bool {
	return !t.MustLast(part) && now.Sub(t.lastEnd(part)) >= age
}

// Of returns the accusations of a part.
func (t *Table) Of(part Part) []Accusation {
	return slices.Clone(t.accused[part])
}

// Judgment says what becomes of a request.
type Judgment int

const (
	// Allowed requests may be sent.
	Allowed Judgment = iota
	// OnTrial requests have a part that may have ended servers, but another part that this
	// one lacks may have done so as well. The answer to one such request tells.
	OnTrial
	// OnLoneTrial requests have a part that is the only one that may have ended servers, but
	// none has ended under it for some time. The answer to one such request tells; more than
	// one at a time must not be sent.
	OnLoneTrial
	// Refused requests must not be sent.
	Refused
)

// Judge returns what becomes of a request with the given parts at servers of a software
// version, and the part that is the reason unless that is Allowed.
func (t *Table) Judge(now time.Time, parts []Part, at Software) (Judgment, Part) {
	judgment, reason := Allowed, Part(0)
	for _, part := range parts {
		if !t.IsQuarantined(now, part, at) {
			continue
		}
		if j := t.judgePart(now, part, at, parts); j > judgment {
			judgment, reason = j, part
		}
		if judgment == Refused {
			break
		}
	}
	return judgment, reason
}

// judgePart returns what becomes of a request because of one of its parts, which is
// quarantined.
func (t *Table) judgePart(now time.Time, part Part, at Software, request []Part) Judgment {
	ends := t.countedEnds(now, part, at)
	switch {
	case t.hasRival(now, ends, part, at, request):
		return OnTrial
	case !now.Before(loneTrialAt(ends)):
		return OnLoneTrial
	}
	return Refused
}

// IsQuarantined reports whether enough servers have ended under a part to keep it from
// servers of a software version. Without a known answer at that version the ends at all
// versions add up; with one, only those at that version since then count.
func (t *Table) IsQuarantined(now time.Time, part Part, at Software) bool {
	ends := t.countedEnds(now, part, at)
	if _, ok := t.AnsweredAt(part, at); ok {
		return len(ends) >= minAnyEnds
	}
	begun, strong := 0, 0
	for _, a := range ends {
		if a.HadEvents {
			continue
		}
		strong++
		if a.Begun {
			begun++
		}
	}
	return begun >= minBegunEnds || strong >= minEnds || len(ends) >= minAnyEnds || part.IsRequest() && len(ends) >= minRequestEnds
}

// countedEnds returns the accusations of a part that count for servers of a software
// version, one for each end.
func (t *Table) countedEnds(now time.Time, part Part, at Software) []Accusation {
	_, isAnswered := t.AnsweredAt(part, at)
	var list []Accusation
	for _, a := range t.accused[part] {
		if !a.Expired(now) && t.counts(a) && (a.At == at || !isAnswered) {
			list = append(list, a)
		}
	}
	return list
}

// hasRival reports whether there is another part, not among those of the request, that
// every server had to answer which ended under the given part. Either may be the cause.
func (t *Table) hasRival(now time.Time, ends []Accusation, part Part, at Software, request []Part) bool {
	_, isAnswered := t.AnsweredAt(part, at)
	mayBeSound := isAnswered || now.Sub(t.lastEnd(part)) >= soundRivalDelay
	for rival, list := range t.accused {
		if rival == part || len(list) < len(ends) || slices.Contains(request, rival) {
			continue
		}
		if _, ok := t.AnsweredAt(rival, at); ok && !mayBeSound {
			continue
		}
		missing := slices.ContainsFunc(ends, func(a Accusation) bool {
			return !slices.ContainsFunc(list, func(other Accusation) bool { return other.End == a.End })
		})
		if !missing {
			return true
		}
	}
	return false
}

// Until returns the time until which a request must wait at least that has the given judgment
// because of a part, at servers of a software version: that of the next trial.
func (t *Table) Until(now time.Time, j Judgment, part Part, at Software) time.Time {
	if j == Refused {
		return loneTrialAt(t.countedEnds(now, part, at))
	}
	return now.Add(Slot(j))
}

// lastEnd returns the time of the last accusation of a part.
func (t *Table) lastEnd(part Part) time.Time {
	last := int64(0)
	for _, a := range t.accused[part] {
		last = max(last, a.UnixSeconds)
	}
	return time.Unix(last, 0)
}

// Announce returns accusations of at least limit ends, if there are so many, and those of
// whole parts. Consecutive calls go round all parts. It leaves out those that need not last
// after some time.
func (t *Table) Announce(now time.Time, limit int) []Accusation {
	parts := slices.DeleteFunc(t.sortedParts(), func(part Part) bool { return t.isLone(now, part, loneRequestAnnounced) })
	if len(parts) == 0 {
		return nil
	}
	start, _ := slices.BinarySearch(parts, t.announced+1)
	var list []Accusation
	for i := range parts {
		part := parts[(start+i)%len(parts)]
		if len(list) >= limit {
			break
		}
		list = append(list, t.accused[part]...)
		t.announced = part
	}
	return list
}

// Len returns the number of accusations.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.accused {
		n += len(list)
	}
	return n
}

// All returns all accusations.
func (t *Table) All() []Accusation {
	return t.Some(t.Len())
}

// Some returns up to limit accusations.
func (t *Table) Some(limit int) []Accusation {
	var list []Accusation
	for _, part := range t.sortedParts() {
		accused := t.accused[part]
		list = append(list, accused[:min(len(accused), limit-len(list))]...)
	}
	return list
}

func (t *Table) sortedParts() []Part {
	parts := make([]Part, 0, len(t.accused))
	for part := range t.accused {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

// Expire removes the accusations that don't count any more.
func (t *Table) Expire(now time.Time) {
	for part, list := range t.accused {
		list = slices.DeleteFunc(list, func(a Accusation) bool { return a.Expired(now) })
		t.accused[part] = list
		if len(list) == 0 || t.isLone(now, part, loneRequestTTL) {
			delete(t.accused, part)
		}
	}
}

// Counts contains numbers of parts of one kind.
type Counts struct {
	// Accused is the number of parts under which servers ended, and Quarantined that of
	// those that are quarantined at software versions at which they aren't sound.
	Accused, Quarantined int
}

// Counts returns the numbers of whole requests and of parts of prompts.
func (t *Table) Counts(now time.Time) (requests, parts Counts) {
	for part, list := range t.accused {
		kind := &parts
		if part.IsRequest() {
			kind = &requests
		}
		kind.Accused++
		if t.IsQuarantined(now, part, list[0].At) {
			kind.Quarantined++
		}
	}
	return requests, parts
}
