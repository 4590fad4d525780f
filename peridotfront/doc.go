// Package peridotfront is the process that stands between callers and the
// backend servers of one deployment. It authenticates callers, chooses backend
// servers, forwards requests and streams, and repeats what may be repeated. The
// processes tell each other of their work by datagrams; one of them, which holds
// a lease, reports use and orders role changes.
//
// It keeps nothing: what must last is in the platform's table service.
package peridotfront
