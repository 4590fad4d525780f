// Package peridotmeasure compares the scheduling decisions of the system with
// those of baseline policies by discrete-event simulation. All policies serve
// the same trace of requests on a fake clock.
//
// The simulation runs the real routing, admission, retry and planning code
// against small fakes of engines and plain services. Each entry instance routes,
// admits and retries by its own state. The simulation has no network and no
// processes, and doesn't exercise the protocols between them. The same seed
// gives the same figures on every run.
package peridotmeasure
