// Package peridotroute chooses the backend server of a request.
//
// A Router estimates the load of each backend server. It takes the load in the last
// report, which is out of date, and corrects it by the requests that this process has
// sent since. For each request it draws two servers at random, adds those that are
// believed to hold the longest cached prefix of the prompt, and chooses the one that
// is expected to finish the request first. It may also choose one server for prefill
// and another for decode, if the KV cache transfer takes less time than it saves.
//
// A Router has no goroutine, socket or clock: its caller passes the time since
// the start of the process. It is not safe for concurrent use.
package peridotroute
