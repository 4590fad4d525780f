package peridotusage

import (
	"maps"
	"time"
)

// Tally holds the requests of each client account that began in each window, as
// every process counted its own. The figures only grow, so that they may be
// merged in any order and any number of times. Make one with NewTally; it is not
// safe for concurrent use.
type Tally struct {
	self   Process
	length time.Duration
	keep   Window
	// counts is by window, process and account.
	counts map[Window]map[Process]map[string]int64
}

// NewTally returns the Tally of a process for windows of a length, which keeps
// the figures of the newest windows.
func NewTally(self Process, length time.Duration, keep int) *Tally {
	return &Tally{self: self, length: length, keep: Window(keep), counts: make(map[Window]map[Process]map[string]int64)}
}

// At returns the window of a time.
func (t *Tally) At(at time.Time) Window {
	return Window(at.UnixNano() / int64(t.length))
}

// End returns the time at which a window is over.
func (t *Tally) End(w Window) time.Time {
	return time.Unix(0, int64(w+1)*int64(t.length))
}

// Add counts a request of an account that began at a time.
func (t *Tally) Add(account string, at time.Time) {
	t.of(t.At(at), t.self)[account]++
}

// Own returns this process's figures of the newest n windows up to w.
func (t *Tally) Own(w Window, n int) map[Window]map[string]int64 {
	own := make(map[Window]map[string]int64)
	for i := range Window(n) {
		if counts := t.counts[w-i][t.self]; len(counts) > 0 {
			own[w-i] = maps.Clone(counts)
		}
	}
	return own
}

// Take merges another process's figures of a window.
func (t *Tally) Take(from Process, w Window, counts map[string]int64) {
	known := t.of(w, from)
	for account, n := range counts {
		known[account] = max(known[account], n)
	}
}

// Sum returns the requests of each account that began in a window, over all
// processes heard of.
func (t *Tally) Sum(w Window) map[string]int64 {
	sum := make(map[string]int64)
	for _, counts := range t.counts[w] {
		for account, n := range counts {
			sum[account] += n
		}
	}
	return sum
}

// Forget drops windows that are older than the newest ones up to w.
func (t *Tally) Forget(w Window) {
	for old := range t.counts {
		if old <= w-t.keep {
			delete(t.counts, old)
		}
	}
}

func (t *Tally) of(w Window, p Process) map[string]int64 {
	processes := t.counts[w]
	if processes == nil {
		processes = make(map[Process]map[string]int64)
		t.counts[w] = processes
	}
	counts := processes[p]
	if counts == nil {
		counts = make(map[string]int64)
		processes[p] = counts
	}
	return counts
}
