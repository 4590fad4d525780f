// Package peridotplace chooses backend servers by the work that the instances
// have sent to each: the requests of this instance that have not ended, and the
// loads that the other instances reported some milliseconds ago. It places whole
// requests on plain services, and prompts on model engines, where one engine may
// do the prefill and another the decode. It records which parts of prompts were
// sent to each engine, and estimates when a prompt will have been read, so that
// its caller can refuse requests that would be late.
//
// Unlike peridotroute, which estimates loads from the delayed reports of the
// backend servers and hashes a prompt in blocks of equal size, it uses no reports
// of the backend servers.
//
// A Placer has no goroutine, socket or clock: its caller passes the time since
// some start. It is not safe for concurrent use.
package peridotplace
