// Package peridotentry implements an entry instance. It authenticates callers,
// admits their requests, routes each one to the agent beside a backend server,
// and returns the complete answer to the caller.
package peridotentry
