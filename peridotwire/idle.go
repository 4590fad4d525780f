package peridotwire

import (
	"net"
	"time"
)

// idleTimeout is how long a connection may bring nothing, or take nothing,
// before it is closed. Heartbeats come every second both ways, so a connection
// that reaches it has gone silent.
const idleTimeout = 10 * time.Second

// idleConn closes itself once it has been silent for too long. The side that
// sends heartbeats finds out sooner; this is for the other side.
type idleConn struct {
	net.Conn
}

// Read reads with a deadline.
func (c idleConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes with a deadline.
func (c idleConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
