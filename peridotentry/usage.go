package peridotentry

import (
	"time"

	"peridotstack/peridotstream"
	"peridotstack/peridotusage"
)

// usageTarget identifies the shard and the cell in which the usage of an
// exchange is counted.
type usageTarget struct {
	shard string
	cell  peridotusage.Cell
}

// Usage returns the counter of this process. Its figures must be handed over to
// the collectors of the failure domains.
func (e *Entry) Usage() *peridotusage.Counter {
	return e.usage
}

// usageTargetFor returns the usage target of a request of the given account that
// is sent over l now.
func (e *Entry) usageTargetFor(l *link, account string) *usageTarget {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	agent := peridotusage.Process{Instance: l.instance.ID, Incarnation: l.pong.Incarnation}
	cell := peridotusage.Cell{Agent: agent, Window: peridotusage.WindowAt(time.Now()), Account: account}
	return &usageTarget{shard: l.pong.Domain, cell: cell}
}

// countUsage counts the usage of an exchange that has ended. It uses the agent's
// figures, or the chunks received where the agent reported none. A repeated answer
// to a request that is not idempotent is not counted, because the request did
// not run again.
func (e *Entry) countUsage(x *exchange, end peridotstream.End) {
	if x.usageTarget == nil || x.usageTarget.cell.Account == "" || end.Repeat {
		return
	}
	if end.Err != nil && x.receivedChunks() == 0 {
		return
	}
	e.usage.Add(x.usageTarget.shard, x.usageTarget.cell, peridotusage.FigureOf(end, x.receivedChunks(), x.request.Model != ""))
}
