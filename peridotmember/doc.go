// Package peridotmember decides which instances may be given new work, and which
// processes keep a connection to each other. It combines the platform's list of
// instances, which lags, with the answers of the instances themselves.
//
// The package has no clock, socket or goroutine: its callers pass in the lists
// and answers that they received and the time.
package peridotmember
