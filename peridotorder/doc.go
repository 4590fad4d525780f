// Package peridotorder carries out orders so that a process without authority
// has no effect.
//
// Gate is the decision logic of the process beside an engine, the only way to
// that engine: it refuses old fencing tokens and late orders, takes one order at
// a time and each order once, and settles an order whose outcome is not known by
// what the engine says it runs. Executor runs it against an engine and the table.
//
// Ledger is for orders to the platform, which checks nothing: it records each
// order before it is sent, under the sender's lease, and finds out what became
// of an order whose answer was lost.
package peridotorder
