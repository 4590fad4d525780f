// Package peridotadmit decides at once whether a request may start.
//
// A request costs tokens: those of its prompt and those it is expected to put
// out, a figure that is learned per client account and corrected while the
// answer streams. The capacity is shared out by weighted fair queueing: each
// account has a virtual queue that drains at the account's share, where the
// share that an account leaves idle goes to the others. A request is admitted
// while its own account's queue is short, so that a flood fills only the queue
// of the account it comes from. A refusal tells when that queue will be short
// enough at present rates. No request is ever held back.
//
// An Admitter has no goroutine, socket or clock: its caller passes the time
// since the start of the process. It is not safe for concurrent use.
package peridotadmit
