package peridotentry

import (
	"context"
	"net"
	"sync"
)

// callers knows the callers' connections, for nbhttp does not cancel a
// request's context when the caller goes away. The zero value is ready.
type callers struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// watch returns a context that is canceled when the connection from the remote
// address closes. The returned function must be called when the request ended.
func (c *callers) watch(ctx context.Context, remote string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancels == nil {
		c.cancels = make(map[string]context.CancelFunc)
	}
	c.cancels[remote] = cancel
	return ctx, func() {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancels, remote)
	}
}

// closed is called by nbhttp when a connection has closed.
func (c *callers) closed(conn net.Conn, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.cancels[conn.RemoteAddr().String()]; ok {
		cancel()
	}
}
