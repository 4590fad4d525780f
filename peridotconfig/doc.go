// Package peridotconfig implements the shared configuration of all processes:
// models, plain services, client accounts, keys and deployments. It is stored in
// the table service as a log of numbered commits.
//
// The log is append-only and its numbers have no gaps. Each process remembers the
// number of the last commit that it has applied and fetches only later commits. A
// stale read therefore cannot return a process to an older configuration.
//
// Follower decides when a process fetches commits, and whether its configuration
// is proven recent enough for requests that require a key. A proof comes from the
// table service or from a majority of the witnesses in the current Panel.
package peridotconfig
