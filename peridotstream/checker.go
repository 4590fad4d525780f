package peridotstream

import (
	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotverdict"
)

// Checker verifies that a reader has received the complete answer: every chunk
// once, in order, with the digest that the writer computed. Create one with
// NewChecker. It is not safe for concurrent use.
type Checker struct {
	// Checkpoint is the number of chunks that the reader has received.
	Checkpoint int

	digest *xxhash.Digest
	// partial is set if the checker did not see the first chunks of the answer. The
	// digest then cannot be verified.
	partial bool
}

// NewChecker returns a Checker for a reader that has already received checkpoint
// chunks.
func NewChecker(checkpoint int) *Checker {
	return &Checker{Checkpoint: checkpoint, digest: xxhash.New(), partial: checkpoint > 0}
}

// Accept records received chunks, of which the first has the number first, counting
// from 0. It returns those that the reader did not have. If chunks before first are
// missing, it returns an error with the code ShortAnswer.
func (c *Checker) Accept(first int, chunks []string) ([]string, error) {
	if first > c.Checkpoint {
		return nil, shortAnswerError("chunks are missing")
	}
	skip := c.Checkpoint - first
	if skip >= len(chunks) {
		return nil, nil
	}
	fresh := chunks[skip:]
	for _, chunk := range fresh {
		c.digest.WriteString(chunk) // Writing to a Digest never fails.
	}
	c.Checkpoint += len(fresh)
	return fresh, nil
}

// Finish returns nil if the reader has received the complete answer, and otherwise
// an error with the code ShortAnswer.
func (c *Checker) Finish(end End) error {
	if c.Checkpoint != end.Chunks {
		return shortAnswerError("the answer is short")
	}
	if !c.partial && c.digest.Sum64() != end.Digest {
		return shortAnswerError("the answer does not match its digest")
	}
	return nil
}

// shortAnswerError returns an error with the code ShortAnswer and the verdict Ran.
func shortAnswerError(message string) error {
	return peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, message)
}
