package peridotusage

import (
	"cmp"
	"slices"
	"time"
)

const (
	// settleTime is how long after its end a window waits for late figures.
	settleTime = 30 * time.Second
	// horizon is how many windows behind the newest sealed one still take
	// corrections. It outlasts the longest request.
	horizon Window = 15
)

// Ledger merges the figures of one shard. Make one with NewLedger; it is not
// safe for concurrent use.
type Ledger struct {
	shard string
	// floor is the first window that still takes figures.
	floor   Window
	windows map[Window]*window
	dropped int64
}

// window holds the figures of one window.
type window struct {
	cells map[cellKey]*merged
	// sealed is set once the window's row exists.
	sealed bool
	// version is that of the row with the sealed figures of the cells.
	version int64
}

type cellKey struct {
	Agent   Process
	Account string
}

// merged is one cell as all its counters saw it.
type merged struct {
	agent Figure
	// entries are figures of entry instances, each of which sees only the
	// requests it sent.
	entries map[Process]Figure
	// sealed is what was sealed, in the window's own row or in a correction.
	sealed Figure
}

// figure returns the best knowledge of the cell. The agent saw everything as
// long as it lived; the entry instances together saw everything as long as all
// of them lived.
func (m *merged) figure() Figure {
	var sum Figure
	for _, f := range m.entries {
		sum = sum.Add(f)
	}
	return sum.Max(m.agent)
}

// NewLedger returns the Ledger of a shard.
func NewLedger(shard string) *Ledger {
	return &Ledger{shard: shard, windows: make(map[Window]*window)}
}

// Floor returns the first window that still takes figures.
func (l *Ledger) Floor() Window {
	return l.floor
}

// Dropped returns the number of parts that came too late even for a correction.
func (l *Ledger) Dropped() int64 {
	return l.dropped
}

// Take merges parts. Their order and repeats do not matter.
func (l *Ledger) Take(parts []Part) {
	for _, p := range parts {
		if p.Window < l.floor {
			l.dropped++
			continue
		}
		m := l.cell(p.Cell)
		if p.Counter == p.Agent {
			m.agent = m.agent.Max(p.Figure)
			continue
		}
		if m.entries == nil {
			m.entries = make(map[Process]Figure)
		}
		m.entries[p.Counter] = m.entries[p.Counter].Max(p.Figure)
	}
}

func (l *Ledger) window(number Window) *window {
	w, ok := l.windows[number]
	if !ok {
		w = &window{cells: make(map[cellKey]*merged)}
		l.windows[number] = w
	}
	return w
}

func (l *Ledger) cell(c Cell) *merged {
	w := l.window(c.Window)
	key := cellKey{Agent: c.Agent, Account: c.Account}
	m, ok := w.cells[key]
	if !ok {
		m = &merged{}
		w.cells[key] = m
	}
	return m
}

// Line is one account's part of a sealed window.
type Line struct {
	// ID is unique among all lines ever reported.
	ID      string
	Account string
	// For is the window in which the use was. When it differs from that of the
	// report, the line adds to what was reported for the window For.
	For Window
	Figure
}

// Sealed is the value of a sealed window's row. Nothing changes its Lines.
type Sealed struct {
	// ReportID names the report; each repeat carries it.
	ReportID string
	Shard    string
	Window   Window
	Lines    []Line
	// Reporter is the fencing token of the process that may send the report, or 0.
	Reporter int64
	// Reported is set once the platform has confirmed the report.
	Reported bool
}

// Snapshot is what is sealed of one cell.
type Snapshot struct {
	Agent   Process
	Account string
	Figure  Figure
}

// Seal is a window that is ready to be sealed.
type Seal struct {
	Sealed Sealed
	// Cells holds the new figures of each window that the seal concerns.
	Cells []WindowCells
}

// WindowCells holds the sealed figures of the cells of one window.
type WindowCells struct {
	Window Window
	// Version is that of the row to replace.
	Version int64
	Cells   []Snapshot
}

// Due returns the windows to seal at a wall-clock time, oldest first. Without
// any, the newest window that is over carries the corrections that wait.
func (l *Ledger) Due(now time.Time) []Window {
	last := WindowAt(now.Add(-settleTime)) - 1
	var due []Window
	for number, w := range l.windows {
		if !w.sealed && len(w.cells) > 0 && number <= last {
			due = append(due, number)
		}
	}
	if len(due) == 0 && len(l.grown()) > 0 && last >= l.floor && !l.isSealed(last) {
		due = append(due, last)
	}
	slices.Sort(due)
	return due
}

func (l *Ledger) isSealed(number Window) bool {
	w, ok := l.windows[number]
	return ok && w.sealed
}

// grown returns the sealed windows whose figures have grown since, in order.
func (l *Ledger) grown() []Window {
	var grown []Window
	for number, w := range l.windows {
		if !w.sealed {
			continue
		}
		for _, m := range w.cells {
			if m.figure().Since(m.sealed) != (Figure{}) {
				grown = append(grown, number)
				break
			}
		}
	}
	slices.Sort(grown)
	return grown
}

// Prepare returns the seal of a window, with the corrections of earlier ones.
func (l *Ledger) Prepare(number Window) Seal {
	s := Seal{Sealed: Sealed{ReportID: l.shard + "/" + number.key(), Shard: l.shard, Window: number}}
	l.include(&s, number)
	for _, other := range l.grown() {
		l.include(&s, other)
	}
	return s
}

// include adds a window's lines and cells to a seal.
func (l *Ledger) include(s *Seal, number Window) {
	w := l.window(number)
	totals := make(map[string]Figure)
	cells := WindowCells{Window: number, Version: w.version}
	for key, m := range w.cells {
		f := m.figure()
		totals[key.Account] = totals[key.Account].Add(f.Since(m.sealed))
		cells.Cells = append(cells.Cells, Snapshot{Agent: key.Agent, Account: key.Account, Figure: f.Max(m.sealed)})
	}
	sortCells(cells.Cells)
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

func sortCells(cells []Snapshot) {
	slices.SortFunc(cells, func(a, b Snapshot) int {
		return cmp.Or(
			cmp.Compare(a.Agent.Instance, b.Agent.Instance),
			cmp.Compare(a.Agent.Incarnation, b.Agent.Incarnation),
			cmp.Compare(a.Account, b.Account),
		)
	})
}

// Restore takes what the table holds as sealed.
func (l *Ledger) Restore(cells WindowCells) {
	w := l.window(cells.Window)
	w.sealed = true
	w.version = cells.Version
	for _, s := range cells.Cells {
		m := l.cell(Cell{Agent: s.Agent, Window: cells.Window, Account: s.Account})
		m.sealed = s.Figure
		m.agent = m.agent.Max(s.Figure)
	}
}

// MarkSealed records that a seal took effect with the given row version.
func (l *Ledger) MarkSealed(s Seal, version int64) {
	for _, cells := range s.Cells {
		w := l.window(cells.Window)
		w.sealed = true
		w.version = version
		for _, c := range cells.Cells {
			w.cells[cellKey{Agent: c.Agent, Account: c.Account}].sealed = c.Figure
		}
	}
}

// Reopen sets the floor that the table holds. Figures below it came too late.
func (l *Ledger) Reopen(floor Window) {
	l.floor = max(l.floor, floor)
	for number, w := range l.windows {
		if number < l.floor {
			l.dropped += int64(len(w.cells))
			delete(l.windows, number)
		}
	}
}

// Advance raises the floor as far as all windows below are sealed and beyond the
// horizon, and forgets those.
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

// Open returns the figures that are not sealed, as if the agents counted them.
func (l *Ledger) Open() []Part {
	var parts []Part
	for number, w := range l.windows {
		for key, m := range w.cells {
			f := m.figure()
			if w.sealed && f.Since(m.sealed) == (Figure{}) {
				continue
			}
			cell := Cell{Agent: key.Agent, Window: number, Account: key.Account}
			parts = append(parts, Part{Cell: cell, Counter: key.Agent, Figure: f})
		}
	}
	return parts
}
