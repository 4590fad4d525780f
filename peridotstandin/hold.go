package peridotstandin

import "context"

// maxHeld is how many held streams can be announced and not yet noticed.
const maxHeld = 1024

// hold makes streams wait in the middle, so that a test can bring about a
// failure at a known point. The zero value holds nothing.
type hold struct {
	after    int
	held     chan string
	released chan struct{}
}

// Hold makes every later stream wait after n tokens until Release is called.
// The ids of the waiting requests come over the returned channel.
func (e *Engine) Hold(n int) <-chan string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = hold{after: n, held: make(chan string, maxHeld), released: make(chan struct{})}
	return e.hold.held
}

// Release lets held streams go on.
func (e *Engine) Release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.hold.released)
	e.hold = hold{}
}

// waitHeld waits before token n of a request if streams are held there. It
// reports whether ctx is still alive.
func (e *Engine) waitHeld(ctx context.Context, id string, n int) bool {
	e.mu.Lock()
	h := e.hold
	e.mu.Unlock()
	if h.held == nil || n != h.after {
		return true
	}
	h.held <- id
	select {
	case <-h.released:
		return true
	case <-ctx.Done():
		return false
	}
}
