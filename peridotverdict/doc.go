// Package peridotverdict defines the errors of the system. Each error carries a
// verdict that says whether the failed request may have run.
//
// A caller may repeat a request only if the verdict is NotRun or the request is
// idempotent. The zero Verdict is MayHaveRun, the safe default for an error without a
// verdict.
package peridotverdict
