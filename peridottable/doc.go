// Package peridottable defines the interface to the platform's transactional table
// service, which has versioned rows, conditional commits and range reads.
//
// Commits are linearizable. Reads may be stale. A commit whose answer is lost may
// have taken effect. Its error then has the verdict MayHaveRun. Each row holds the
// ID of the transaction that wrote it, so that a later read can determine whether
// the commit took effect.
//
// The table may be restored from an older copy. It then loses the commits made since
// the copy and assigns their versions again, so versions are comparable only within
// an era. The era is 0 at first and rises with each restore.
package peridottable
