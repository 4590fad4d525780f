// Package peridotorder applies orders to engines and to the platform. Orders from a
// process whose lease has ended have no effect.
//
// Gate is the decision logic of the process beside an engine; every order to the
// engine passes through that process. The gate refuses stale fencing tokens and
// orders that arrive after the sender's lease has ended. It accepts one order at a
// time and applies each order at most once. If the outcome of an order is unknown,
// the gate determines it from the state that the engine reports. Executor runs a
// Gate against an engine and the table service.
//
// Dispatcher sends orders to the platform, which does not check fencing tokens. It
// records each order before sending it, in a commit that checks the sender's lease,
// and determines the outcome of an order whose answer was lost.
package peridotorder
