// Package peridottable defines the interface to the platform's transactional table
// service, which has versioned rows, conditional commits and range reads.
//
// Commits are linearizable. Reads may be stale. A commit whose answer is lost may
// have taken effect. Its error then has the verdict MayHaveRun. Each row holds the
// ID of the transaction that wrote it, so that a later read can determine whether
// the commit took effect.
package peridottable
