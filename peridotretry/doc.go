// Package peridotretry decides whether a failed request is sent again.
//
// Exactly one layer of a system may retry: the one that uses a Policy. A Policy
// retries only requests that did not run or may run more than once, and only
// while no part of an answer has been passed on to the caller. Budgets per
// client account and per backend server keep retries to a small share of the
// successes, so a total failure does not multiply the load. A request that is
// not retried gets its final answer at once.
//
// A Policy has no goroutine, socket or clock and is not safe for concurrent use.
package peridotretry
