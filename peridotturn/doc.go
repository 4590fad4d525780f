// Package peridotturn decides which requests an engine is to serve first, what the load of
// an engine costs a request of each kind, and how fast a server is now. Requests are
// interactive, with a short prompt and a long answer whose events must not pause, or they
// are not, such as long prompts with a short answer.
//
// It has no goroutine, socket or clock: callers pass the time since some start.
package peridotturn
