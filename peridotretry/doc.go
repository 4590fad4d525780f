// Package peridotretry decides whether a failed request is sent again.
//
// Exactly one layer of a system may retry, the one that uses a Policy. It
// retries only what did not run, or may run more than once, and only while
// nothing of an answer was passed on. Budgets per client account and per backend
// server keep retries a small share of the successes, so that a total failure
// does not multiply the load. A request that is given up on gets its final
// answer at once.
//
// A Policy has no goroutine, socket or clock and is not safe for concurrent use.
package peridotretry
