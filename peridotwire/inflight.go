package peridotwire

import (
	"context"
	"sync"
)

// inflight counts the requests that have arrived and whose answers have not been
// written. The zero value counts none.
type inflight struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

func (f *inflight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

func (f *inflight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait returns nil once no answer is outstanding, or the error of ctx.
func (f *inflight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
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
