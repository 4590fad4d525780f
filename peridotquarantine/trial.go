package peridotquarantine

import (
	"slices"
	"time"
)

const (
	// firstLoneTrialDelay is the time from the last end under a part without a rival to its
	// first trial. Each trial that ends a server multiplies the delay by
	// loneTrialDelayFactor, up to maxLoneTrialDelay.
	firstLoneTrialDelay  = 5 * time.Minute
	loneTrialDelayFactor = 6
	maxLoneTrialDelay    = 6 * time.Hour
	// trialSlot is the time for which one instance may send a request on trial. It exceeds
	// the time in which the other instances learn how the trial ended.
	trialSlot = time.Second
	// loneTrialSlot is that time for a part without a rival. Such a trial begins in the first
	// half of a slot: it most likely ends a server, and the next one must not begin before that
	// is known.
	loneTrialSlot = 10 * time.Second
)

// Trials decides when an instance may send a request on trial: of all instances that know
// each other one may in each slot, once. The zero value has sent none.
type Trials struct {
	// lastSlots contains the number, since 1970, of the slot of the last trial of each kind.
	lastSlots map[Judgment]int64
}

// Slot returns the time between two trials of requests with the given judgment.
func Slot(kind Judgment) time.Duration {
	if kind == OnLoneTrial {
		return loneTrialSlot
	}
	return trialSlot
}

// Claim reports whether a request with the judgment OnTrial or OnLoneTrial may be sent now.
// now is in true time; index is the position of the instance among count.
func (t *Trials) Claim(now time.Time, kind Judgment, index, count int) bool {
	length := Slot(kind).Nanoseconds()
	slot, elapsed := now.UnixNano()/length, now.UnixNano()%length
	if kind == OnLoneTrial && elapsed >= length/2 {
		return false
	}
	if slot%int64(count) != int64(index) || slot == t.lastSlots[kind] {
		return false
	}
	if t.lastSlots == nil {
		t.lastSlots = make(map[Judgment]int64)
	}
	t.lastSlots[kind] = slot
	return true
}

// loneTrialAt returns the time from which on a part without a rival may get a trial. ends are
// those that count; one that came firstLoneTrialDelay or more after the one before it is taken
// for that of a trial. It needs nothing else, so that all instances agree on it.
func loneTrialAt(ends []Accusation) time.Time {
	if len(ends) == 0 {
		return time.Time{}
	}
	sorted := slices.SortedFunc(slices.Values(ends), func(a, b Accusation) int { return a.Time().Compare(b.Time()) })
	delay := firstLoneTrialDelay
	for i, a := range sorted[1:] {
		if a.Time().Sub(sorted[i].Time()) >= firstLoneTrialDelay {
			delay = min(delay*loneTrialDelayFactor, maxLoneTrialDelay)
		}
	}
	return sorted[len(sorted)-1].Time().Add(delay)
}
