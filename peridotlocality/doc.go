// Package peridotlocality decides whether a request for a plain service leaves its failure
// domain, and for which other one. Traffic between failure domains is slower and billed, so a
// request leaves only if the servers of its own domain are expected to answer it late, and
// only the fraction leaves that equalizes the expected waits.
//
// It has no goroutine, socket or clock: callers pass the time since some start.
package peridotlocality
