// Package peridotmeasure measures the decisions of the system against
// baselines, on one trace of requests and a fake clock.
//
// It drives the real routing, admission, retry and planning code, each entry
// instance with its own, against small fakes of engines and plain services. It
// has no network and no processes, and does not try out the protocols between
// them. The same seed gives the same figures on every run.
package peridotmeasure
