// Package peridotquota decides which requests of a client account are within the account's
// limit, which holds for all instances of a proxy together.
//
// Each instance keeps an estimate of what all have admitted in a sliding window: what it
// admits itself, what the others have reported, and what they are expected to have admitted
// since their last report. While enough of the limit is left, an instance admits any
// request. Below a reserve, which covers what the others may have admitted meanwhile, it
// admits only its own part, in proportion to its share of the demand, of what is left and of
// what leaves the window. The parts add up, so that the excess is bounded by the delay of
// the reports.
//
// The package has no goroutine, socket or clock: its callers pass the time since some start.
package peridotquota
