package peridotstream

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotverdict"
)

// End is how an answer ended.
type End struct {
	// Chunks is the number of chunks of the whole answer.
	Chunks int
	// Digest is the hash of all chunks in their order.
	Digest uint64
	// Status is the HTTP status that the backend server gave.
	Status int
	// ContentType is that of the whole answer.
	ContentType string
	// PromptTokens and OutputTokens are what the engine counted.
	PromptTokens int
	OutputTokens int
	// Repeat is set when the answer is that of an earlier attempt and nothing ran.
	Repeat bool
	// Err is set when the answer broke off; the chunks are then not whole.
	Err *peridotverdict.Error
}

// Timeline holds one answer. The zero value is an empty answer that has not
// ended, without a bound. It is safe for concurrent use.
type Timeline struct {
	// MaxBytes bounds the kept chunks; 0 means no bound. It must not change.
	MaxBytes int

	mu      sync.Mutex
	chunks  []string
	bytes   int
	digest  xxhash.Digest
	started bool
	end     *End
	changed chan struct{}
}

// Append adds a chunk. It fails with the code TooLarge when the answer
// outgrows MaxBytes, and with the code Canceled after the end.
func (t *Timeline) Append(chunk string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end != nil {
		return peridotverdict.New(peridotverdict.Canceled, peridotverdict.Ran, "the answer has ended")
	}
	if t.MaxBytes > 0 && t.bytes+len(chunk) > t.MaxBytes {
		return peridotverdict.New(peridotverdict.TooLarge, peridotverdict.Ran, "the answer is too large")
	}
	t.start()
	t.chunks = append(t.chunks, chunk)
	t.bytes += len(chunk)
	t.digest.WriteString(chunk) // Writing to a Digest never fails.
	t.wake()
	return nil
}

// Close ends the answer. It fills in the Chunks and Digest of end. Only the
// first call counts.
func (t *Timeline) Close(end End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end != nil {
		return
	}
	t.start()
	end.Chunks = len(t.chunks)
	end.Digest = t.digest.Sum64()
	t.end = &end
	t.wake()
}

// Next waits until there are chunks behind the checkpoint after, or the answer
// has ended, and returns them. The end is returned together with the last
// chunks or alone.
func (t *Timeline) Next(ctx context.Context, after int) ([]string, *End, error) {
	for {
		chunks, end, changed := t.peek(after)
		if len(chunks) > 0 || end != nil {
			return chunks, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// Ended returns the end of the answer, or nil.
func (t *Timeline) Ended() *End {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

func (t *Timeline) peek(after int) ([]string, *End, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	if after < 0 || after > len(t.chunks) {
		after = len(t.chunks)
	}
	return t.chunks[after:len(t.chunks):len(t.chunks)], t.end, t.changed
}

// start readies the digest, whose zero value is not usable.
func (t *Timeline) start() {
	if !t.started {
		t.digest.Reset()
		t.started = true
	}
}

// wake lets every waiting reader look again.
func (t *Timeline) wake() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}
