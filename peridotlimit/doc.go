// Package peridotlimit shares out the limits that backend servers name: how many requests
// a second a server takes from all instances of a proxy together.
//
// A Table keeps the limit of each server and this instance's part of it, as a token
// bucket. The parts follow from the demand of each instance (Share), so that they add up
// to the whole while the instances know each other. Where a limit is small for the number
// of instances, only some of them use the server, because each one may send one request
// at any time.
//
// The package has no goroutine, socket or clock: its callers pass the time since some
// start. Its types are not safe for concurrent use.
package peridotlimit
