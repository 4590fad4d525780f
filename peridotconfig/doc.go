// Package peridotconfig holds the shared configuration: models, plain services,
// client accounts, keys and deployments, as a sequence of numbered commits in
// the table service.
//
// The sequence is a timeline: commits are only ever added at its end, each with
// the next number, and every process keeps the number of the last commit it has
// applied and fetches what follows. A process therefore never goes back to an
// older configuration, whatever a stale read returns.
package peridotconfig
