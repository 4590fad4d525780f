// Package peridotonce makes a request that is not idempotent run at most once
// per client account, service and idempotency key.
//
// A process claims the key in the table service before it runs the request, and
// records the answer afterwards. A repeat, through whatever process, gets the
// recorded answer or an error whose verdict says what is known; it never runs
// the request again. Claims and records of concurrent requests share commits.
//
// Ledger is the decision logic: it takes events and the time and returns
// actions. Keeper runs a Ledger against a table service. Sweeper removes records
// whose lifetime has passed.
package peridotonce
