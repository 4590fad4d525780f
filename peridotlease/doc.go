// Package peridotlease grants the authority over shards to at most one process
// at a time, by conditional commits to one row per shard of the platform's table
// service. It needs no consensus among the processes and no wall clock.
//
// A holder counts its lease on its own monotonic clock from before the request
// that took or renewed it, less a bound on the drift between two clocks. A
// contender takes a lease over only after it has seen the same version of the
// row for the whole lease, more the drift, counted from when its read was
// complete. Each change of holder raises the fencing token.
//
// Lease is the decision logic for one shard; Manager runs it against a table.
package peridotlease
