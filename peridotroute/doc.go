// Package peridotroute chooses the backend server of a request.
//
// A Router holds an estimate of the load of each backend server: its last
// report, which is old, corrected by what this process has sent since. For each
// request it draws two servers at random, adds those that are believed to hold
// the longest cached prefix of the prompt, and takes the one that is expected to
// end the request first. It may also choose one server for prefill and another
// for decode, when moving the KV cache takes less time than it saves.
//
// A Router has no goroutine, socket or clock: its caller passes the time since
// the start of the process. It is not safe for concurrent use.
package peridotroute
