package peridotusage

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sealDelay is the time between the end of a window and its sealing, during
	// which late figures can arrive.
	sealDelay = 30 * time.Second
	// correctionWindows is the number of windows before the current one that still
	// accept corrections. Together they last longer than the longest request.
	correctionWindows Window = 15
)

// Ledger merges the figures of one shard and decides which windows to seal. A
// Ledger must be created with NewLedger and is not safe for concurrent use.
type Ledger struct {
	shard string
	// floor is the first window that still accepts figures.
	floor   Window
	windows map[Window]*window
	// dropped is the number of figures that arrived below the floor.
	dropped int64
}

// window holds the figures of one window.
type window struct {
	cells map[cellKey]*mergedCell
	// sealed is whether the window's sealed row exists.
	sealed bool
	// version is the version of the row that holds the sealed figures of the cells.
	version int64
}

// cellKey identifies a cell within its window.
type cellKey struct {
	Agent   Process
	Account string
}

// mergedCell holds the figures of one cell from all processes that counted it.
type mergedCell struct {
	// agent is the figure that the agent counted.
	agent Figure
	// byEntry holds the figures that the entry instances counted. Each counts only
	// the requests that it sent.
	byEntry map[Process]Figure
	// sealed is the total sealed so far, in the window's own report and in
	// corrections.
	sealed Figure
}

// figure returns the most complete figure of the cell. The agent's figure is
// complete if the agent did not fail, and the sum of the entry instances' figures
// is complete if none of them failed, so the larger count is the better one.
func (m *mergedCell) figure() Figure {
	var sum Figure
	for _, f := range m.byEntry {
		sum = sum.Add(f)
	}
	return sum.Max(m.agent)
}

// NewLedger returns an empty Ledger for a shard.
func NewLedger(shard string) *Ledger {
	return &Ledger{shard: shard, windows: make(map[Window]*window)}
}

// Floor returns the first window that still accepts figures.
func (l *Ledger) Floor() Window {
	return l.floor
}

// Dropped returns the number of figures dropped so far because they arrived too
// late even for a correction.
func (l *Ledger) Dropped() int64 {
	return l.dropped
}

// Merge merges parts. The result depends neither on their order nor on how often
// each part is merged.
func (l *Ledger) Merge(parts []Part) {
	for _, p := range parts {
		if p.Window < l.floor {
			l.dropped++
			continue
		}
		m := l.cellFor(p.Cell)
		if p.Counter == p.Agent {
			m.agent = m.agent.Max(p.Figure)
			continue
		}
		if m.byEntry == nil {
			m.byEntry = make(map[Process]Figure)
		}
		m.byEntry[p.Counter] = m.byEntry[p.Counter].Max(p.Figure)
	}
}

// windowFor returns the state of a window, which it creates if necessary.
func (l *Ledger) windowFor(number Window) *window {
	w, ok := l.windows[number]
	if !ok {
		w = &window{cells: make(map[cellKey]*mergedCell)}
		l.windows[number] = w
	}
	return w
}

// cellFor returns the state of a cell, which it creates if necessary.
func (l *Ledger) cellFor(c Cell) *mergedCell {
	w := l.windowFor(c.Window)
	key := cellKey{Agent: c.Agent, Account: c.Account}
	m, ok := w.cells[key]
	if !ok {
		m = &mergedCell{}
		w.cells[key] = m
	}
	return m
}

// Line is the usage of one client account in a report.
type Line struct {
	// ID is unique among the lines of all reports.
	ID      string
	Account string
	// For is the window to which the usage belongs. If it is not the window of the
	// report, the line is a correction, to be added to the usage already reported
	// for the window For.
	For Window
	Figure
}

// SealedWindow is the value of a sealed window's row. Its Lines never change.
type SealedWindow struct {
	// ReportID identifies the report. It stays the same when the report is sent
	// again.
	ReportID string
	Shard    string
	Window   Window
	Lines    []Line
	// Reporter is the fencing token of the process that may send the report, or 0 if
	// no process may send it yet.
	Reporter int64
	// Reported is whether the platform has confirmed the report.
	Reported bool
}

// Snapshot is the sealed figure of one cell.
type Snapshot struct {
	Agent   Process
	Account string
	Figure  Figure
}

// Seal is the content of the commit that seals a window.
type Seal struct {
	Sealed SealedWindow
	// Cells holds the new sealed figures of the window itself and of each window
	// that the seal corrects.
	Cells []WindowCells
}

// WindowCells is the value of the row that holds the sealed figures of the cells
// of one window.
type WindowCells struct {
	Window Window
	// Version is the version of the row that this value replaces or, for a value
	// read from the table, of the row itself.
	Version int64
	Cells   []Snapshot
}

// DueWindows returns the windows to seal at the wall-clock time now, oldest
// first. If no window has figures to seal but corrections are pending, it returns
// the newest window past its seal delay, so that its report includes the
// corrections, unless that window is already sealed.
func (l *Ledger) DueWindows(now time.Time) []Window {
	last := WindowAt(now.Add(-sealDelay)) - 1
	var windows []Window
	for number, w := range l.windows {
		if !w.sealed && len(w.cells) > 0 && number <= last {
			windows = append(windows, number)
		}
	}
	if len(windows) == 0 && len(l.grownWindows()) > 0 && last >= l.floor && !l.isSealed(last) {
		windows = append(windows, last)
	}
	slices.Sort(windows)
	return windows
}

// isSealed reports whether a window has been sealed.
func (l *Ledger) isSealed(number Window) bool {
	w, ok := l.windows[number]
	return ok && w.sealed
}

// grownWindows returns the sealed windows whose figures have grown since they
// were sealed, oldest first.
func (l *Ledger) grownWindows() []Window {
	var numbers []Window
	for number, w := range l.windows {
		if !w.sealed {
			continue
		}
		for _, m := range w.cells {
			if m.figure().IncreaseSince(m.sealed) != (Figure{}) {
				numbers = append(numbers, number)
				break
			}
		}
	}
	slices.Sort(numbers)
	return numbers
}

// PrepareSeal returns the seal of a window, including all pending corrections of
// windows sealed before.
func (l *Ledger) PrepareSeal(number Window) Seal {
	s := Seal{Sealed: SealedWindow{ReportID: l.shard + "/" + number.key(), Shard: l.shard, Window: number}}
	l.addWindow(&s, number)
	for _, other := range l.grownWindows() {
		l.addWindow(&s, other)
	}
	return s
}

// addWindow adds the lines and the cells of a window to a seal. A line contains
// only the usage that has not been sealed yet.
func (l *Ledger) addWindow(s *Seal, number Window) {
	w := l.windowFor(number)
	totals := make(map[string]Figure)
	cells := WindowCells{Window: number, Version: w.version}
	for key, m := range w.cells {
		f := m.figure()
		totals[key.Account] = totals[key.Account].Add(f.IncreaseSince(m.sealed))
		cells.Cells = append(cells.Cells, Snapshot{Agent: key.Agent, Account: key.Account, Figure: f.Max(m.sealed)})
	}
	sortSnapshots(cells.Cells)
	s.Cells = append(s.Cells, cells)
	accounts := make([]string, 0, len(totals))
	for account, f := range totals {
		if f != (Figure{}) {
			accounts = append(accounts, account)
		}
	}
	slices.Sort(accounts)
	for _, account := range accounts {
		id := s.Sealed.ReportID + "/" + account
		if number != s.Sealed.Window {
			id += "/" + number.key()
		}
		s.Sealed.Lines = append(s.Sealed.Lines, Line{ID: id, Account: account, For: number, Figure: totals[account]})
	}
}

// sortSnapshots sorts cells by agent and account.
func sortSnapshots(cells []Snapshot) {
	slices.SortFunc(cells, func(a, b Snapshot) int {
		return cmp.Or(
			cmp.Compare(a.Agent.Instance, b.Agent.Instance),
			cmp.Compare(a.Agent.Incarnation, b.Agent.Incarnation),
			cmp.Compare(a.Account, b.Account),
		)
	})
}

// RestoreCells sets the sealed figures of a window to those read from the table.
func (l *Ledger) RestoreCells(cells WindowCells) {
	w := l.windowFor(cells.Window)
	w.sealed = true
	w.version = cells.Version
	for _, s := range cells.Cells {
		m := l.cellFor(Cell{Agent: s.Agent, Window: cells.Window, Account: s.Account})
		m.sealed = s.Figure
		m.agent = m.agent.Max(s.Figure)
	}
}

// MarkSealed records that the commit of a seal took effect and gave its rows the
// given version.
func (l *Ledger) MarkSealed(s Seal, version int64) {
	for _, cells := range s.Cells {
		w := l.windowFor(cells.Window)
		w.sealed = true
		w.version = version
		for _, c := range cells.Cells {
			w.cells[cellKey{Agent: c.Agent, Account: c.Account}].sealed = c.Figure
		}
	}
}

// RaiseFloor raises the floor to the one read from the table. Figures below it
// are dropped, because they arrived too late.
func (l *Ledger) RaiseFloor(floor Window) {
	l.floor = max(l.floor, floor)
	for number, w := range l.windows {
		if number < l.floor {
			l.dropped += int64(len(w.cells))
			delete(l.windows, number)
		}
	}
}

// Advance raises the floor to the given window, but not beyond the first window
// with figures that is not sealed, and deletes the windows below the floor.
func (l *Ledger) Advance(floor Window) {
	for number, w := range l.windows {
		if !w.sealed && len(w.cells) > 0 {
			floor = min(floor, number)
		}
	}
	l.floor = max(l.floor, floor)
	for number := range l.windows {
		if number < l.floor {
			delete(l.windows, number)
		}
	}
}

// UnsealedParts returns the figures that are not sealed in full, in no particular
// order. Each part holds the merged figure of its cell and names the agent as the
// process that counted it.
func (l *Ledger) UnsealedParts() []Part {
	var parts []Part
	for number, w := range l.windows {
		for key, m := range w.cells {
			f := m.figure()
			if w.sealed && f.IncreaseSince(m.sealed) == (Figure{}) {
				continue
			}
			cell := Cell{Agent: key.Agent, Window: number, Account: key.Account}
			parts = append(parts, Part{Cell: cell, Counter: key.Agent, Figure: f})
		}
	}
	return parts
}
