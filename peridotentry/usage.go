package peridotentry

import (
	"time"

	"peridotstack/peridotstream"
	"peridotstack/peridotusage"
)

// use says where the use of an exchange counts.
type use struct {
	shard string
	cell  peridotusage.Cell
}

// Usage returns the figures that this process counts; they are to be handed to
// the collectors of the failure domains.
func (e *Entry) Usage() *peridotusage.Counter {
	return e.usage
}

// useOf returns where a request sent over a link counts.
func (e *Entry) useOf(l *link, account string) *use {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	agent := peridotusage.Process{Instance: l.instance.ID, Incarnation: l.pong.Incarnation}
	cell := peridotusage.Cell{Agent: agent, Window: peridotusage.WindowAt(time.Now()), Account: account}
	return &use{shard: l.pong.Domain, cell: cell}
}

// countUse counts an exchange that has ended: what the agent said, or else what
// arrived. A repeat of a request that is not idempotent did not run again.
func (e *Entry) countUse(x *exchange, end peridotstream.End) {
	if x.use == nil || x.use.cell.Account == "" || end.Repeat {
		return
	}
	if end.Err != nil && x.received() == 0 {
		return
	}
	e.usage.Add(x.use.shard, x.use.cell, peridotusage.FigureOf(end, x.received(), x.request.Model != ""))
}
