package peridotonce

import "peridotstack/peridottable"

// Event is an input of a Ledger. The set is closed: RequestReceived, RequestEnded,
// CommitAnswered, ReadAnswered and TimePassed.
type Event interface{ event() }

// RequestReceived reports the arrival of a request.
type RequestReceived struct{ Request Request }

// RequestEnded reports the outcome of a request whose Reply had MustRun set.
type RequestEnded struct {
	RequestID string
	Outcome   Outcome
}

// CommitAnswered reports the result of the Commit whose transaction has the same
// ID.
type CommitAnswered struct {
	ID      string
	Version int64
	Err     error
}

// ReadAnswered reports the result of the Read with the same ID.
type ReadAnswered struct {
	ID string
	// Rows are the current rows of the Read's keys, in the same order.
	Rows []peridottable.Row
	Err  error
}

// TimePassed reports that time has passed, so that deadlines and retries may be due.
type TimePassed struct{}

func (RequestReceived) event() {}
func (RequestEnded) event()    {}
func (CommitAnswered) event()  {}
func (ReadAnswered) event()    {}
func (TimePassed) event()      {}

// Action is an output of a Ledger that its caller must execute. The set is closed:
// Commit, Read and Answer.
type Action interface{ action() }

// Commit asks the caller to commit Txn and to report the result as CommitAnswered.
type Commit struct{ Txn peridottable.Txn }

// Read asks the caller to read the current rows of Keys and to report the result as
// ReadAnswered.
type Read struct {
	ID   string
	Keys []string
}

// Answer is the reply to the request of a RequestReceived event.
type Answer struct {
	RequestID string
	Reply     Reply
}

func (Commit) action() {}
func (Read) action()   {}
func (Answer) action() {}
