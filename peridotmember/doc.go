// Package peridotmember tells which instances may be given new work, from the
// platform's lagging list and from first-hand signs of life, and which processes
// keep a connection to each other.
//
// It holds decisions only: it is told what was heard and when, and has no clock,
// socket or goroutine of its own.
package peridotmember
