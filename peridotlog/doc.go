// Package peridotlog writes structured logs, one JSON object per line, without
// blocking the caller. Lines wait in a bounded queue for a goroutine that writes
// them. Lines that do not fit into the queue are dropped, and the log itself
// reports their number. Explain finds the lines about one request in such logs.
package peridotlog
