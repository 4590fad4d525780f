package peridotlink

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Presence says whether a process listens at an address.
type Presence int

const (
	// PresenceUnknown means that nothing answered in time.
	PresenceUnknown Presence = iota
	// Listening means that a connection was accepted.
	Listening
	// NotListening means that the machine refused the connection.
	NotListening
)

// Probe dials address once to find out whether a process listens there, and closes the
// connection. It doesn't count against the limit of Get.
func (p *Pool) Probe(ctx context.Context, address string) Presence {
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		conn.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	}
	return PresenceUnknown
}
