package peridotquota

import "time"

// window is the use of one account in the last slots+1 to slots+2 slots.
type window struct {
	// slot is the length of a slot.
	slot time.Duration
	// used is the use in each slot that counts, current the number of the slot in use since
	// time 0, and sum the use in all of them.
	used [slots + 2]float64
	// discounted is the use in each slot that scale has taken away.
	discounted [slots + 2]float64
	current    int64
	sum        float64
}

// fill sets the use in each slot before the current one, and that in the current one, whose
// number it returns.
func (w *window) fill(now time.Duration, before, current float64) int64 {
	w.current = int64(now / w.slot)
	for i := range w.used {
		w.used[i] = before
	}
	w.used[w.current%int64(len(w.used))] = current
	w.sum = before*float64(len(w.used)-1) + current
	return w.current
}

// at returns the use in the slot of the given age; 0 is the current one.
func (w *window) at(age int64) float64 {
	n := int64(len(w.used))
	return w.used[((w.current-age)%n+n)%n]
}

// change adds a use, which may be negative, to a slot if that is still in the window.
func (w *window) change(slot int64, use float64) {
	if w.current-slot < int64(len(w.used)) {
		w.used[slot%int64(len(w.used))] += use
		w.sum += use
	}
}

// advance drops the slots that have left the window.
func (w *window) advance(now time.Duration) {
	next := int64(now / w.slot)
	if next <= w.current {
		return
	}
	for n := max(w.current+1, next-int64(len(w.used))+1); n <= next; n++ {
		w.used[n%int64(len(w.used))], w.discounted[n%int64(len(w.used))] = 0, 0
	}
	w.current = next
	w.sum = 0 // Added up anew, so that rounding errors don't accumulate.
	for _, use := range w.used {
		w.sum += use
	}
}

// add counts a use, which may be negative, in the slot in use.
func (w *window) add(use float64) {
	w.change(w.current, use)
}

// spread adds a use, which may be negative, evenly to the slots of a time that has passed,
// without those that have left the window.
func (w *window) spread(from, to time.Duration, use float64) {
	for n := max(int64(from/w.slot), w.current-int64(len(w.used))+1); n <= min(int64(to/w.slot), w.current); n++ {
		slot := time.Duration(n) * w.slot
		if part := min(to, slot+w.slot) - max(from, slot); part > 0 {
			w.change(n, use*part.Seconds()/(to-from).Seconds())
		}
	}
}

// scale sets the use in all slots to the given share, from 0 to 1, of what it was before any
// earlier scale.
func (w *window) scale(share float64) {
	w.sum = 0
	for i := range w.used {
		all := w.used[i] + w.discounted[i]
		w.used[i] = all * share
		w.discounted[i] = all - w.used[i]
		w.sum += w.used[i]
	}
}

// expiring returns the use that leaves the window in the given time.
func (w *window) expiring(in time.Duration) float64 {
	use := 0.0
	for i := range min(int64(in/w.slot), int64(len(w.used))-1) {
		use += w.used[(w.current+1+i)%int64(len(w.used))]
	}
	return use
}

// untilFree returns the time until the given use has left the window, at most its length.
func (w *window) untilFree(use float64) time.Duration {
	n := int64(0)
	for ; use > 0 && n < int64(len(w.used)); n++ {
		use -= w.used[(w.current+1+n)%int64(len(w.used))]
	}
	return time.Duration(n) * w.slot
}
