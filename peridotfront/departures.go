package peridotfront

import (
	"slices"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotsite"
)

const (
	// departureTTL is how long the incarnations of a backend server are remembered
	// while it is not listed. An older copy of the table service may list it again.
	departureTTL = time.Hour
	// maxIncarnations is the number of latest incarnations remembered per ID.
	maxIncarnations = 8
)

// departures tells, by ID, which incarnations of the backend servers have said that they
// leave. An incarnation never returns from that, whatever a list of
// registrations says later. Its times are values of Front.now.
type departures map[string]*incarnations

// incarnations holds the incarnations of a backend server that were listed, in the
// order in which they were first seen.
type incarnations struct {
	born []int64
	// left is the number of incarnations at the start of born that leave or have been
	// replaced by one that leaves.
	left int
	// listed is set if the last list had the backend server. Otherwise missingSince is
	// when it was first missing.
	listed       bool
	missingSince time.Duration
}

// index returns the position of an incarnation in born, or -1 if it is new. A start
// time of 0 is unknown and stands for the latest incarnation.
func (n *incarnations) index(born int64) int {
	if born == 0 {
		return len(n.born) - 1
	}
	return slices.Index(n.born, born)
}

// record returns the position of an incarnation in born, and adds it if it is new.
func (n *incarnations) record(born int64) int {
	if i := n.index(born); i >= 0 {
		return i
	}
	if len(n.born) == maxIncarnations {
		n.born = slices.Delete(n.born, 0, 1)
		n.left = max(0, n.left-1)
	}
	n.born = append(n.born, born)
	return len(n.born) - 1
}

// of returns the incarnations of a backend server, and adds it if it is new.
func (d departures) of(now time.Duration, id string) *incarnations {
	n := d[id]
	if n == nil {
		n = &incarnations{missingSince: now}
		d[id] = n
	}
	return n
}

// add records that an incarnation leaves. It reports whether that was unknown.
func (d departures) add(now time.Duration, id string, born int64) bool {
	n := d.of(now, id)
	i := n.record(born)
	if i < n.left {
		return false
	}
	n.left = i + 1
	return true
}

// leaves reports whether an incarnation is known to leave.
func (d departures) leaves(id string, born int64) bool {
	n := d[id]
	if n == nil {
		return false
	}
	i := n.index(born)
	return i >= 0 && i < n.left
}

// apply returns a copy of a list of registrations in which every incarnation that is
// known to leave is marked so. It records the incarnations of the list and those that
// the list itself marks. overruled is the number of registrations that say otherwise.
func (d departures) apply(now time.Duration, list []peridotsite.Backend) (marked []peridotsite.Backend, overruled int) {
	marked = slices.Clone(list)
	listed := make(map[string]bool, len(list))
	for i := range marked {
		b := &marked[i]
		listed[b.ID] = true
		if b.Leaving {
			d.add(now, b.ID, b.Born)
			continue
		}
		n := d.of(now, b.ID)
		if n.record(b.Born) < n.left {
			b.Leaving = true
			overruled++
		}
	}
	d.prune(now, listed)
	return marked, overruled
}

// prune forgets the backend servers that have not been listed for departureTTL.
func (d departures) prune(now time.Duration, listed map[string]bool) {
	for id, n := range d {
		switch {
		case listed[id]:
			n.listed = true
		case n.listed:
			n.listed, n.missingSince = false, now
		case now-n.missingSince > departureTTL:
			delete(d, id)
		}
	}
}

// recordLeaving records that a backend server said in an answer that it leaves, so that
// it gets no new requests. An answer of another backend server at its address says
// nothing about it.
func (x *exchange) recordLeaving(from peridotsite.Backend, head AnswerHead) {
	if !head.Leaving || head.Misdirected {
		return
	}
	f := x.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.backends.departures.add(f.now(), from.ID, from.Born) {
		return
	}
	if b, ok := f.backends.byID[from.ID]; ok && f.backends.departures.leaves(b.ID, b.Born) {
		b.Leaving = true
		f.backends.byID[b.ID] = b
		f.placer.SetLeaving(b.ID, b.Born)
	}
	log.WithFields(log.Fields{"request": x.call.ID, "backend": from.ID, "born": from.Born, "leaving": true, "source": "answer"}).Info(logPrefix + "backend server leaves")
}
