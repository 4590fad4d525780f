// Package peridotclock provides the two clocks of the system: a monotonic clock
// that includes the time in which the machine was suspended, and true time, which
// is the same at all instances and does not follow jumps of a machine's time of
// day.
package peridotclock
