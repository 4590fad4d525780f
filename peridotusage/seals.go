package peridotusage

import "maps"

// maxSealBytes limits the memory of the final counts of one window: 13,000 accounts with names
// of 16 bytes.
const maxSealBytes = 1 << 20

// maxSealsFactor limits the windows of other processes, as a multiple of keepWindows: they may
// be any until the clock of the process is set.
const maxSealsFactor = 2

// Seals holds the final counts of the latest sealed windows, as sealed by this process
// or announced by others. The first counts known of a window stay. A Seals must be
// created with NewSeals and is not safe for concurrent use.
type Seals struct {
	keepWindows Window
	seals       map[Window]*seal
}

// seal is the final counts of one window. It is complete once counts has as many
// accounts as the seal.
type seal struct {
	accounts int
	counts   map[string]int64
	// bytes is about the memory of the counts.
	bytes int
}

// NewSeals returns a Seals that keeps the newest keepWindows windows.
func NewSeals(keepWindows int) *Seals {
	return &Seals{keepWindows: Window(keepWindows), seals: make(map[Window]*seal)}
}

// Merge adds a part of the final counts of a window, which has the given number of
// accounts in all. It reports false, and ignores the part, if it contradicts the
// counts known so far, is too large, or if too many windows are known.
func (s *Seals) Merge(w Window, accounts int, part map[string]int64) bool {
	known := s.seals[w]
	if known == nil {
		if len(s.seals) >= maxSealsFactor*int(s.keepWindows) {
			return false
		}
		known = &seal{accounts: accounts, counts: make(map[string]int64)}
		s.seals[w] = known
		s.deleteOld(w)
	}
	if known.accounts != accounts {
		return false
	}
	bytes := known.bytes
	for account, n := range part {
		old, ok := known.counts[account]
		if ok && old != n || !ok && len(known.counts) == accounts {
			return false
		}
		if !ok {
			bytes += countBytes + len(account)
		}
	}
	if bytes > maxSealBytes {
		return false
	}
	known.bytes = bytes
	maps.Copy(known.counts, part)
	return true
}

// Set records all final counts of a window. It replaces those known only in part.
func (s *Seals) Set(w Window, counts map[string]int64) {
	if _, ok := s.Counts(w); ok {
		return
	}
	s.seals[w] = &seal{accounts: len(counts), counts: maps.Clone(counts)}
	s.deleteOld(w)
}

// Counts returns the final counts of a window, or false unless all of them are known.
func (s *Seals) Counts(w Window) (map[string]int64, bool) {
	known := s.seals[w]
	if known == nil || len(known.counts) < known.accounts {
		return nil, false
	}
	return maps.Clone(known.counts), true
}

// All returns the final counts of all windows of which they are known.
func (s *Seals) All() map[Window]map[string]int64 {
	all := make(map[Window]map[string]int64)
	for w := range s.seals {
		if counts, ok := s.Counts(w); ok {
			all[w] = counts
		}
	}
	return all
}

// deleteOld deletes the windows that are keepWindows or more windows before w.
func (s *Seals) deleteOld(w Window) {
	for number := range s.seals {
		if number <= w-s.keepWindows {
			delete(s.seals, number)
		}
	}
}

// DeleteAfter deletes the windows after w, which can't have ended.
func (s *Seals) DeleteAfter(w Window) {
	maps.DeleteFunc(s.seals, func(number Window, _ *seal) bool { return number > w })
}
