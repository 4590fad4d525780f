// Package peridotonce runs a request that is not idempotent at most once per client
// account, service and idempotency key.
//
// A process claims the key in the table service before it runs the request, and
// records the answer afterwards. A repeat of the request, through any process, gets
// the recorded answer or an error whose verdict says whether the request may have
// run; it never runs the request a second time. Claims and answers of concurrent
// requests share commits.
//
// Ledger is the decision logic: it takes events and the time and returns actions.
// Keeper runs a Ledger against a table service. Sweeper deletes expired records.
package peridotonce
