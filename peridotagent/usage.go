package peridotagent

import (
	"peridotstack/peridotstream"
	"peridotstack/peridotusage"
	"peridotstack/peridotwire"
)

// Usage returns the usage figures that this process counts. They must be handed
// over to the collector of the failure domain.
func (a *Agent) Usage() *peridotusage.Counter {
	return a.usage
}

// process returns the identity of this process in usage figures.
func (a *Agent) process() peridotusage.Process {
	return peridotusage.Process{Instance: a.settings.Instance, Incarnation: a.node.Incarnation}
}

// countUsage counts the usage of a request that has ended. It does not count a
// request that failed before the first chunk of its answer, or one without a client
// account.
func (a *Agent) countUsage(r peridotwire.Run, t *peridotstream.Timeline) {
	end := t.End()
	if r.Account == "" || end.Err != nil && end.Chunks == 0 {
		return
	}
	figure := peridotusage.FigureOf(*end, end.Chunks, r.Model != "")
	cell := peridotusage.Cell{Agent: a.process(), Window: peridotusage.Window(r.UsageWindow), Account: r.Account}
	a.usage.Add(a.settings.Domain, cell, figure)
}
