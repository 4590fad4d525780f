// Package peridottable is the system's view of the platform's transactional
// table service: rows with versions, conditional commits and range reads.
//
// Commits are linearizable. Reads may be stale. A commit whose answer is lost
// may have taken effect: its error then carries the verdict MayHaveRun, and
// each row keeps the identifier of the commit that wrote it so that the next
// reader can tell.
package peridottable
