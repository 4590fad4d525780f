package peridotstandin

import "context"

// maxHeldStreams is the capacity of the channel of held request IDs.
const maxHeldStreams = 1024

// streamHold makes streams pause after a number of tokens, so that a test can
// cause a failure at a known point. The zero value pauses no stream.
type streamHold struct {
	afterTokens int
	heldIDs     chan string
	released    chan struct{}
}

// HoldStreams makes streams pause after n tokens until ReleaseStreams is called.
// The returned channel receives the request IDs of the paused streams.
func (e *Engine) HoldStreams(n int) <-chan string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streamHold = streamHold{afterTokens: n, heldIDs: make(chan string, maxHeldStreams), released: make(chan struct{})}
	return e.streamHold.heldIDs
}

// ReleaseStreams continues the paused streams, and later streams no longer pause.
// It panics if no HoldStreams call is in effect.
func (e *Engine) ReleaseStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.streamHold.released)
	e.streamHold = streamHold{}
}

// waitHeld pauses before token n of a request if streams are held there. It
// returns false if ctx was done before the release.
func (e *Engine) waitHeld(ctx context.Context, id string, n int) bool {
	e.mu.Lock()
	hold := e.streamHold
	e.mu.Unlock()
	if hold.heldIDs == nil || n != hold.afterTokens {
		return true
	}
	hold.heldIDs <- id
	select {
	case <-hold.released:
		return true
	case <-ctx.Done():
		return false
	}
}
