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
	// At is the time of arrival at an entry instance, counted from the start of the
	// trace.
	At      time.Duration
	Account string
	// Exactly one of Model and Service is set.
	Model   string
	Service string
	// Domain is the failure domain in which the request arrives.
	Domain       string
	PromptTokens int
	// SharedTokens is the length of the prefix that the prompts of all requests of
	// the Group share.
	SharedTokens int
	Group        int
	// OutputTokens is the number of tokens that an engine generates. The system
	// doesn't know it in advance.
	OutputTokens int
	MaxTokens    int
	// Deadline is the time from arrival within which the caller wants the complete
	// answer.
	Deadline time.Duration
}

const (
	// prefixTokens is the number of tokens by which each hashed prefix of a prompt is
	// longer than the one before.
	prefixTokens = 256
	// hashFactor is 2^64 divided by the golden ratio, for multiplicative hashing.
	hashFactor = 0x9E3779B97F4A7C15
)

// prefixes returns the hashes of the prompt's prefixes, from the shortest to the
// longest. Prompts with a common prefix have the hashes of this prefix in common.
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
	encoder := json.NewEncoder(w)
	for i := range trace {
		if err := encoder.Encode(&trace[i]); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}

// ReadTrace reads records in the format of WriteTrace.
func ReadTrace(r io.Reader) ([]Record, error) {
	var trace []Record
	decoder := json.NewDecoder(bufio.NewReader(r))
	for {
		var record Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return trace, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read record %d of the trace", len(trace)+1)
		}
		trace = append(trace, record)
	}
}
