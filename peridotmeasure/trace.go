package peridotmeasure

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Record is one request of a trace. A trace is a file of JSON lines, one record
// each, in the order of At.
type Record struct {
	// ID is unique within the trace, and starts at 1.
	ID int
	// At is the time of arrival at an entry instance since the start.
	At      time.Duration
	Account string
	// Exactly one of Model and Service is set.
	Model   string
	Service string
	// Domain is where the request arrives.
	Domain       string
	PromptTokens int
	// SharedTokens at the start of the prompt are the same for all requests of
	// the Group.
	SharedTokens int
	Group        int
	// OutputTokens is what an engine generates; the system does not know it.
	OutputTokens int
	MaxTokens    int
	// Deadline is the time from arrival within which the whole answer is wanted.
	Deadline time.Duration
}

const (
	// prefixTokens is the length of the pieces of a prompt that are hashed.
	prefixTokens = 256
	hashFactor   = 0x9E3779B97F4A7C15
)

// prefixes returns the hashes of the prompt's prefixes, the longest last.
func (r *Record) prefixes() []uint64 {
	hashes := make([]uint64, 0, r.PromptTokens/prefixTokens)
	hash := uint64(r.Group)
	for end := prefixTokens; end <= r.PromptTokens; end += prefixTokens {
		if end > r.SharedTokens {
			hash ^= uint64(r.ID) << 32
		}
		hash = (hash + uint64(end)) * hashFactor
		hash ^= hash >> 29
		hashes = append(hashes, hash)
	}
	return hashes
}

// WriteTrace writes records as JSON lines.
func WriteTrace(w io.Writer, trace []Record) error {
	lines := json.NewEncoder(w)
	for i := range trace {
		if err := lines.Encode(&trace[i]); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}

// ReadTrace reads what WriteTrace wrote.
func ReadTrace(r io.Reader) ([]Record, error) {
	var trace []Record
	lines := json.NewDecoder(bufio.NewReader(r))
	for {
		var record Record
		err := lines.Decode(&record)
		if errors.Is(err, io.EOF) {
			return trace, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read record %d of the trace", len(trace)+1)
		}
		trace = append(trace, record)
	}
}
