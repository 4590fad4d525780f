// Package peridotlease grants authority over each shard to at most one process
// at a time. A lease is one row per shard in the platform's table service, and
// is acquired, renewed and released by conditional commits to that row. The
// processes need neither consensus among themselves nor a wall clock.
//
// The holder measures its lease on its own monotonic clock, starting before it
// sends the request that acquires or renews the lease, and shortens it by a bound
// on clock drift. A contender acquires a held lease only after the row's version
// has stayed the same for the whole lease duration, lengthened by the drift bound
// and measured from the completion of the contender's first read of that version.
// Each change of holder increments the fencing token.
//
// Lease is the decision logic for one shard. Manager runs one Lease per shard
// against a table.
package peridotlease
