package peridotstream

import (
	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotverdict"
)

// Checker proves to a reader that the chunks it got are the whole answer: each
// number once, in order, none missing, with the digest of the writer. Make one
// with NewChecker; it is not safe for concurrent use.
type Checker struct {
	// Received is the reader's checkpoint: the number of chunks it has.
	Received int

	digest *xxhash.Digest
	// partial is set when the reader began in the middle; the digest then
	// cannot be compared.
	partial bool
}

// NewChecker returns a Checker for a reader that already has the first after
// chunks.
func NewChecker(after int) *Checker {
	return &Checker{Received: after, digest: xxhash.New(), partial: after > 0}
}

// Accept takes chunks of which the first has the number first, counting from 0,
// and returns those that the reader does not have yet. A gap is an error.
func (c *Checker) Accept(first int, chunks []string) ([]string, error) {
	if first > c.Received {
		return nil, short("chunks are missing")
	}
	skip := c.Received - first
	if skip >= len(chunks) {
		return nil, nil
	}
	fresh := chunks[skip:]
	for _, chunk := range fresh {
		c.digest.WriteString(chunk) // Writing to a Digest never fails.
	}
	c.Received += len(fresh)
	return fresh, nil
}

// Finish checks that the answer is whole.
func (c *Checker) Finish(end End) error {
	if c.Received != end.Chunks {
		return short("the answer is short")
	}
	if !c.partial && c.digest.Sum64() != end.Digest {
		return short("the answer does not match its digest")
	}
	return nil
}

func short(message string) error {
	return peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, message)
}
