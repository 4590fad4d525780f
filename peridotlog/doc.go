// Package peridotlog writes structured log lines, one JSON object each, without
// ever blocking the caller: lines go through a bounded queue to a writer of
// their own, and what does not fit is dropped and counted in the log itself.
package peridotlog
