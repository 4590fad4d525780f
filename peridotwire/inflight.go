package peridotwire

import (
	"context"
	"sync"
)

// inflight counts the requests that have arrived and whose answers have not been
// written. The zero value has the count 0. It is safe for concurrent use.
type inflight struct {
	mu    sync.Mutex
	count int
	// idle is closed when count becomes 0. It is nil if no call of awaitIdle waits.
	idle chan struct{}
}

func (f *inflight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inflight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// awaitIdle waits until no answer is outstanding. If ctx is done first, it returns
// ctx.Err().
func (f *inflight) awaitIdle(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
