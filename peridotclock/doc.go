// Package peridotclock has the two clocks that the system decides by: one that
// never jumps and counts the time in which the machine was suspended, and true
// time, which no jump of the machine's time of day can move.
package peridotclock
