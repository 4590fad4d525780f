package peridotusage

import (
	"slices"
	"sync"
)

// defaultMaxCells bounds the figures of a Counter.
const defaultMaxCells = 1 << 16

// Counter keeps the figures of one process until they are sealed. Make one with
// NewCounter; it is safe for concurrent use.
type Counter struct {
	self     Process
	maxCells int

	mu    sync.Mutex
	cells map[address]*count
	// tokens are those of the collectors that took the last parts, by shard.
	tokens  map[string]int64
	dropped int64
}

// address is a cell and the shard whose collector it goes to.
type address struct {
	shard string
	cell  Cell
}

// count is a cumulative figure and how much of it which collector has.
type count struct {
	figure Figure
	handed Figure
	token  int64
}

// NewCounter returns a Counter of a process that keeps at most maxCells figures;
// 0 means 65,536.
func NewCounter(self Process, maxCells int) *Counter {
	if maxCells <= 0 {
		maxCells = defaultMaxCells
	}
	return &Counter{self: self, maxCells: maxCells, cells: make(map[address]*count), tokens: make(map[string]int64)}
}

// Add counts use. When the counter is full it drops the figures of its oldest
// window, which Dropped tells.
func (c *Counter) Add(shard string, cell Cell, f Figure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := address{shard: shard, cell: cell}
	n, ok := c.cells[at]
	if !ok {
		if len(c.cells) >= c.maxCells {
			c.dropOldest()
		}
		n = &count{}
		c.cells[at] = n
	}
	n.figure = n.figure.Add(f)
}

func (c *Counter) dropOldest() {
	var oldest Window
	first := true
	for at := range c.cells {
		if first || at.cell.Window < oldest {
			oldest, first = at.cell.Window, false
		}
	}
	for at := range c.cells {
		if at.cell.Window == oldest {
			delete(c.cells, at)
			c.dropped++
		}
	}
}

// Dropped returns the number of figures dropped so far.
func (c *Counter) Dropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Len returns the number of figures held.
func (c *Counter) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cells)
}

// Shards returns the shards that there are figures for, in order.
func (c *Counter) Shards() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var shards []string
	for at := range c.cells {
		if !slices.Contains(shards, at.shard) {
			shards = append(shards, at.shard)
		}
	}
	slices.Sort(shards)
	return shards
}

// Parts returns the figures that the collector with the given fencing token does
// not have yet, at most limit of them.
func (c *Counter) Parts(shard string, token int64, limit int) []Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []Part
	for at, n := range c.cells {
		if at.shard != shard || (n.token == token && n.handed == n.figure) {
			continue
		}
		parts = append(parts, Part{Cell: at.cell, Counter: c.self, Figure: n.figure})
		if len(parts) == limit {
			break
		}
	}
	return parts
}

// Handed takes the receipt for parts: they need not be handed to the same
// collector again, and what lies before the receipt's floor is forgotten.
func (c *Counter) Handed(shard string, parts []Part, r Receipt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range parts {
		if n, ok := c.cells[address{shard: shard, cell: p.Cell}]; ok {
			n.handed, n.token = p.Figure, r.Token
		}
	}
	for at := range c.cells {
		if at.shard == shard && at.cell.Window < r.Floor {
			delete(c.cells, at)
		}
	}
}
