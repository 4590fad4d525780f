// Package peridotentry is an entry instance: it authenticates callers, admits
// and routes their requests to the agents beside the backend servers, and
// passes the whole answer back.
package peridotentry
