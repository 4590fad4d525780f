// Package peridotplanner decides when engines change their role or their model,
// and when backend servers are ordered or returned.
//
// A Planner is fed with the tokens that arrive and with the present fleet, and
// returns actions; it has no clock, goroutine or connection of its own, and
// carries nothing out. It moves only within the bounds that operators have
// confirmed: it never adds a model to a failure domain, never leaves fewer
// servers than a Bound demands, and never orders servers above the ceiling.
package peridotplanner
