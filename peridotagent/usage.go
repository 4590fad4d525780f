package peridotagent

import (
	"peridotstack/peridotstream"
	"peridotstack/peridotusage"
	"peridotstack/peridotwire"
)

// Usage returns the figures that this process counts; they are to be handed to
// the collector of the failure domain.
func (a *Agent) Usage() *peridotusage.Counter {
	return a.usage
}

func (a *Agent) process() peridotusage.Process {
	return peridotusage.Process{Instance: a.settings.Instance, Incarnation: a.node.Incarnation}
}

// countUse counts a request that has ended, unless it broke off before any of
// its answer came.
func (a *Agent) countUse(r peridotwire.Run, t *peridotstream.Timeline) {
	end := t.Ended()
	if r.Account == "" || end.Err != nil && end.Chunks == 0 {
		return
	}
	figure := peridotusage.FigureOf(*end, end.Chunks, r.Model != "")
	cell := peridotusage.Cell{Agent: a.process(), Window: peridotusage.Window(r.UsageWindow), Account: r.Account}
	a.usage.Add(a.settings.Domain, cell, figure)
}
