// Package peridotverdict defines the errors of the system and the verdict that
// each carries: whether the request that failed may have run.
//
// A caller repeats a request only when the verdict is NotRun or the request is
// idempotent. The zero Verdict is MayHaveRun, so that an error nobody thought
// about is treated with caution.
package peridotverdict
