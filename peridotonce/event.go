package peridotonce

import "peridotstack/peridottable"

// Event is something that happened to a Ledger. The set is closed: Asked, Ended,
// CommitAnswered, ReadAnswered and Ticked.
type Event interface{ event() }

// Asked is a request that wants to run.
type Asked struct{ Request Request }

// Ended is the end of a request that got Reply.Run.
type Ended struct {
	RequestID string
	Outcome   Outcome
}

// CommitAnswered is the answer to the Commit with the same Txn ID.
type CommitAnswered struct {
	ID      string
	Version int64
	Err     error
}

// ReadAnswered is the answer to the Read with the same ID. Rows are those of
// the Read's keys in the same order, and current.
type ReadAnswered struct {
	ID   string
	Rows []peridottable.Row
	Err  error
}

// Ticked lets time pass.
type Ticked struct{}

func (Asked) event()          {}
func (Ended) event()          {}
func (CommitAnswered) event() {}
func (ReadAnswered) event()   {}
func (Ticked) event()         {}

// Action is something a Ledger wants done. The set is closed: Commit, Read and
// Answer.
type Action interface{ action() }

// Commit asks for one transaction, to be answered by CommitAnswered.
type Commit struct{ Txn peridottable.Txn }

// Read asks for the current rows of keys, to be answered by ReadAnswered.
type Read struct {
	ID   string
	Keys []string
}

// Answer replies to a request that was Asked.
type Answer struct {
	RequestID string
	Reply     Reply
}

func (Commit) action() {}
func (Read) action()   {}
func (Answer) action() {}
