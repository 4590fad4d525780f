package peridotusage

import (
	"maps"
	"time"
)

const (
	// defaultMergedBytes limits the memory of the counts of other processes if no option sets
	// it. At 80 bytes per count it holds 8 windows of 100 accounts from 260 processes.
	defaultMergedBytes = 16 << 20
	// countBytes is about the memory of a count without the account's name, and processBytes
	// that of the counts of a process without its name.
	countBytes, processBytes = 64, 256
)

// Tally holds the number of requests that each client account started in each
// window, as counted by each process. The counts only grow, so they can be merged
// in any order and any number of times. A Tally must be created with NewTally and
// is not safe for concurrent use.
type Tally struct {
	self         Process
	windowLength time.Duration
	keepWindows  Window
	// counts holds the number of requests by window, process and account.
	counts map[Window]map[Process]map[string]int64
	// mergedBytes is about the memory of the counts of other processes by window.
	mergedBytes map[Window]int
	// maxMerged limits their sum.
	maxMerged int
}

// TallyOption sets an optional part of a Tally.
type TallyOption func(*Tally)

// WithMergedLimit limits the memory of the counts of other processes to about the given number
// of bytes. Sums of the counts take as much again.
func WithMergedLimit(bytes int) TallyOption {
	return func(t *Tally) { t.maxMerged = bytes }
}

// NewTally returns the Tally of the process self. Its windows have the given
// length and are numbered from the Unix epoch. DeleteOld keeps the counts of the
// newest keepWindows windows.
func NewTally(self Process, windowLength time.Duration, keepWindows int, options ...TallyOption) *Tally {
	t := &Tally{maxMerged: defaultMergedBytes, self: self, windowLength: windowLength, keepWindows: Window(keepWindows), counts: make(map[Window]map[Process]map[string]int64), mergedBytes: make(map[Window]int)}
	for _, option := range options {
		option(t)
	}
	return t
}

// WindowAt returns the window that contains the wall-clock time at.
func (t *Tally) WindowAt(at time.Time) Window {
	return Window(at.UnixNano() / int64(t.windowLength))
}

// WindowEnd returns the wall-clock time at which a window ends.
func (t *Tally) WindowEnd(w Window) time.Time {
	return time.Unix(0, int64(w+1)*int64(t.windowLength))
}

// Add counts a request of an account that this process started at the given time.
func (t *Tally) Add(account string, at time.Time) {
	t.countsOf(t.WindowAt(at), t.self)[account]++
}

// OwnCounts returns a copy of this process's counts for the n windows up to and
// including w, by window and account. Windows without requests are left out.
func (t *Tally) OwnCounts(w Window, n int) map[Window]map[string]int64 {
	own := make(map[Window]map[string]int64)
	for i := range Window(n) {
		if counts := t.counts[w-i][t.self]; len(counts) > 0 {
			own[w-i] = maps.Clone(counts)
		}
	}
	return own
}

// Merge merges another process's counts for a window. It keeps the larger count of
// each account. It returns false, and changes nothing, if there is no memory for them.
func (t *Tally) Merge(from Process, w Window, counts map[string]int64) bool {
	known, ok := t.counts[w][from]
	more := 0
	if !ok {
		more = processBytes + len(from.Instance) + len(from.Incarnation)
	}
	for account := range counts {
		if _, ok := known[account]; !ok {
			more += countBytes + len(account)
		}
	}
	all := more
	for _, bytes := range t.mergedBytes {
		all += bytes
	}
	if more > 0 && all > t.maxMerged {
		return false
	}
	if more > 0 {
		t.mergedBytes[w] += more
	}
	merged := t.countsOf(w, from)
	for account, n := range counts {
		merged[account] = max(merged[account], n)
	}
	return true
}

// Sum returns the number of requests that each account started in a window,
// summed over all processes whose counts are known.
func (t *Tally) Sum(w Window) map[string]int64 {
	sum := make(map[string]int64)
	for _, counts := range t.counts[w] {
		for account, n := range counts {
			sum[account] += n
		}
	}
	return sum
}

// DeleteOld deletes the counts of the windows that are keepWindows or more windows
// before w, and those of other processes of windows that are as far after it, which they
// can't have.
func (t *Tally) DeleteOld(w Window) {
	for number := range t.counts {
		switch {
		case number <= w-t.keepWindows:
			delete(t.counts, number)
			delete(t.mergedBytes, number)
		case number >= w+t.keepWindows && t.mergedBytes[number] > 0:
			maps.DeleteFunc(t.counts[number], func(p Process, _ map[string]int64) bool { return p != t.self })
			delete(t.mergedBytes, number)
		}
	}
}

// countsOf returns the counts of a process for a window by account. It creates
// the map if necessary.
func (t *Tally) countsOf(w Window, p Process) map[string]int64 {
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
