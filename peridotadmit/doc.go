// Package peridotadmit decides whether a request may start. The decision is
// immediate: no request is ever held back.
//
// A request costs tokens: those of its prompt and the output tokens that it is
// expected to generate. The expected number is learned per client account and
// corrected while the answer streams. Weighted fair queueing divides the
// capacity: each account has a virtual queue that drains at the account's share,
// and the share of an idle account goes to the others. A request is admitted
// while its own account's queue is short, so a flood fills only the queue of the
// account that it comes from. A refusal carries the delay after which that queue
// will be short enough at present rates.
//
// An Admitter has no goroutine, socket or clock: its caller passes the time
// since the start of the process. It is not safe for concurrent use.
package peridotadmit
