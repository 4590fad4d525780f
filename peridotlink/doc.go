// Package peridotlink implements an HTTP/1.1 client with a pool of connections to
// backend servers. A connection carries one request at a time. Unlike net/http, the
// client never sends a request a second time by itself, and the verdict of every error
// says whether the request may have run.
package peridotlink
