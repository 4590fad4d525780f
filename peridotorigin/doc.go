// Package peridotorigin decides how the instances of a proxy share the origins of
// streams: which software version began each one. A stream may be resumed only at
// that version, and the request that resumes it may reach any instance, often
// because the one that began the stream has failed.
//
// A Table keeps origins for TTL. A few instances keep a copy of each origin, chosen
// by rendezvous hashing among those known (Fronts), so that every instance finds the
// copies without a directory. Pending collects new origins into batches, and Lookup
// is the state of one question to the instances that may keep a copy.
//
// The package has no goroutine, socket or clock: its callers pass the time since some
// start, and send what it returns. Its types are not safe for concurrent use.
package peridotorigin
