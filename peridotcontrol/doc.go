// Package peridotcontrol decides which orders bring a failure domain closer to the
// confirmed configuration. It does no I/O: the holder of the domain's lease passes
// in a View of the domain and executes the returned actions.
package peridotcontrol
