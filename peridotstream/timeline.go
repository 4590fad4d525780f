package peridotstream

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"peridotstack/peridotverdict"
)

// End is the end of an answer. It contains the metadata that is known only once the
// answer has ended.
type End struct {
	// Chunks is the number of chunks in the answer.
	Chunks int
	// Digest is the xxHash64 of all chunks in order.
	Digest uint64
	// Status is the HTTP status of the backend server.
	Status int
	// ContentType is the media type of the complete answer.
	ContentType string
	// PromptTokens and OutputTokens are the token counts of the engine.
	PromptTokens int
	OutputTokens int
	// Repeat is set if the answer is the recorded answer of an earlier attempt and
	// this attempt did not run.
	Repeat bool
	// Err is set if the answer is incomplete or the request failed.
	Err *peridotverdict.Error
}

// Timeline stores the chunks of one answer. The zero value is an empty answer that
// has not ended and has no size limit. It is safe for concurrent use.
type Timeline struct {
	// MaxBytes limits the total size of the chunks; 0 means no limit. It must not
	// be changed after the first use.
	MaxBytes int

	mu          sync.Mutex
	chunks      []string
	sizeBytes   int
	digest      xxhash.Digest
	digestReady bool
	end         *End
	// changed is closed at the next change. It is nil if no reader has asked for it
	// since the last change.
	changed chan struct{}
}

// Append appends a chunk. It returns an error with the code TooLarge if the answer
// would exceed MaxBytes, or with the code Canceled if the answer has ended.
func (t *Timeline) Append(chunk string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end != nil {
		return peridotverdict.New(peridotverdict.Canceled, peridotverdict.Ran, "the answer has ended")
	}
	if t.MaxBytes > 0 && t.sizeBytes+len(chunk) > t.MaxBytes {
		return peridotverdict.New(peridotverdict.TooLarge, peridotverdict.Ran, "the answer is too large")
	}
	t.initDigest()
	t.chunks = append(t.chunks, chunk)
	t.sizeBytes += len(chunk)
	t.digest.WriteString(chunk) // Writing to a Digest never fails.
	t.wakeReaders()
	return nil
}

// Close ends the answer. It sets the fields Chunks and Digest of end. Calls after
// the first have no effect.
func (t *Timeline) Close(end End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end != nil {
		return
	}
	t.initDigest()
	end.Chunks = len(t.chunks)
	end.Digest = t.digest.Sum64()
	t.end = &end
	t.wakeReaders()
}

// Next waits until the answer has more than after chunks or has ended. It returns
// the chunks from number after on, counting from 0, and the end if the answer has
// ended. If ctx is done first, it returns ctx.Err().
func (t *Timeline) Next(ctx context.Context, after int) ([]string, *End, error) {
	for {
		chunks, end, changed := t.chunksAfter(after)
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

// End returns the end of the answer, or nil if it has not ended.
func (t *Timeline) End() *End {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// chunksAfter returns the chunks from number after on, the end if the answer has
// ended, and a channel that is closed at the next change.
func (t *Timeline) chunksAfter(after int) ([]string, *End, <-chan struct{}) {
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

// initDigest initializes the digest, whose zero value cannot be used. The caller
// must hold t.mu.
func (t *Timeline) initDigest() {
	if !t.digestReady {
		t.digest.Reset()
		t.digestReady = true
	}
}

// wakeReaders wakes every call of Next that waits for a change. The caller must
// hold t.mu.
func (t *Timeline) wakeReaders() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}
