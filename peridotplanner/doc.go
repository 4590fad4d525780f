// Package peridotplanner decides when engines change their role or their model,
// and when backend servers are ordered or returned.
//
// A Planner receives the arriving tokens and the present fleet and returns
// actions. It has no clock, goroutine or connection, and its caller carries out
// the actions. A Planner stays within the bounds that operators have confirmed:
// it never adds a model to a failure domain, never leaves fewer servers than a
// Bound requires, and never orders servers above the cost ceiling.
package peridotplanner
