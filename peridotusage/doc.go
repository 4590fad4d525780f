// Package peridotusage counts what client accounts use and reports it once.
//
// The agent beside a backend server counts each request, and the entry instance
// that sent it counts it too, both in the window in which the entry sent it. A
// Counter keeps such cumulative figures and hands them to the shard's Collector,
// which merges them in any order and any number of times. The Collector seals
// each window in the table service by a commit that depends on its lease, and
// reports what the sealed row says, never anything else. What comes after the
// seal is reported with a later window as a correction.
package peridotusage
