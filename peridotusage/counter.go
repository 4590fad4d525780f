package peridotusage

import (
	"slices"
	"sync"
)

// defaultMaxCells is the default maximum number of figures in a Counter.
const defaultMaxCells = 1 << 16

// Counter keeps the figures of one process until they are sealed. A Counter must
// be created with NewCounter and is safe for concurrent use.
type Counter struct {
	self     Process
	maxCells int

	mu    sync.Mutex
	cells map[shardCell]*cellCount
	// collectorTokens holds, by shard, the fencing token of the collector that
	// HandOver sends parts to.
	collectorTokens map[string]int64
	dropped         int64
}

// shardCell is a cell and the shard whose collector receives its figure.
type shardCell struct {
	shard string
	cell  Cell
}

// cellCount is the cumulative figure of a cell.
type cellCount struct {
	figure Figure
	// acknowledged is the part of figure that the collector with the fencing token
	// collectorToken has confirmed.
	acknowledged   Figure
	collectorToken int64
}

// NewCounter returns the Counter of the process self, which keeps at most
// maxCells figures. If maxCells is zero or negative, the maximum is 65,536.
func NewCounter(self Process, maxCells int) *Counter {
	if maxCells <= 0 {
		maxCells = defaultMaxCells
	}
	return &Counter{self: self, maxCells: maxCells, cells: make(map[shardCell]*cellCount), collectorTokens: make(map[string]int64)}
}

// Add adds f to the figure of a cell, which is handed over to the collector of
// the shard. If a new cell would exceed the maximum, Add first drops all figures
// of the oldest window; Dropped counts them.
func (c *Counter) Add(shard string, cell Cell, f Figure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := shardCell{shard: shard, cell: cell}
	n, ok := c.cells[key]
	if !ok {
		if len(c.cells) >= c.maxCells {
			c.dropOldest()
		}
		n = &cellCount{}
		c.cells[key] = n
	}
	n.figure = n.figure.Add(f)
}

// dropOldest drops the figures of the oldest window of any shard. The caller must
// hold mu.
func (c *Counter) dropOldest() {
	var oldest Window
	noneFound := true
	for key := range c.cells {
		if noneFound || key.cell.Window < oldest {
			oldest, noneFound = key.cell.Window, false
		}
	}
	for key := range c.cells {
		if key.cell.Window == oldest {
			delete(c.cells, key)
			c.dropped++
		}
	}
}

// Dropped returns the number of figures dropped so far because the counter was
// full.
func (c *Counter) Dropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Len returns the number of figures that c holds.
func (c *Counter) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cells)
}

// Shards returns the shards for which c holds figures, sorted.
func (c *Counter) Shards() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var shards []string
	for key := range c.cells {
		if !slices.Contains(shards, key.shard) {
			shards = append(shards, key.shard)
		}
	}
	slices.Sort(shards)
	return shards
}

// Parts returns the figures of a shard that the collector with the given fencing
// token has not confirmed in full. It returns at most limit parts, in no
// particular order.
func (c *Counter) Parts(shard string, token int64, limit int) []Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []Part
	for key, n := range c.cells {
		if key.shard != shard || (n.collectorToken == token && n.acknowledged == n.figure) {
			continue
		}
		parts = append(parts, Part{Cell: key.cell, Counter: c.self, Figure: n.figure})
		if len(parts) == limit {
			break
		}
	}
	return parts
}

// Acknowledge records a collector's receipt for parts. The parts are not handed
// to the same collector again unless they grow, and the figures of windows before
// the receipt's floor are deleted.
func (c *Counter) Acknowledge(shard string, parts []Part, r Receipt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range parts {
		if n, ok := c.cells[shardCell{shard: shard, cell: p.Cell}]; ok {
			n.acknowledged, n.collectorToken = p.Figure, r.Token
		}
	}
	for key := range c.cells {
		if key.shard == shard && key.cell.Window < r.Floor {
			delete(c.cells, key)
		}
	}
}
