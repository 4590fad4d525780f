// Package peridotlink keeps connections to backend servers and runs one HTTP/1.1
// request at a time on each. Unlike a general client it never sends a request
// twice by itself, and every error says whether the request may have run.
package peridotlink
