package peridotwire

import (
	"net"
	"time"
)

// idleTimeout limits the time that a read from a connection or a write to it may
// block. A heartbeat and its answer are sent every second, so a connection that reaches
// the limit has failed.
const idleTimeout = 10 * time.Second

// idleTimeoutConn is a connection whose reads and writes fail after idleTimeout,
// which makes the Peer close it. It serves the side that accepted the connection;
// the side that sends heartbeats detects a failure sooner.
type idleTimeoutConn struct {
	net.Conn
}

// Read reads from the connection with a deadline.
func (c idleTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write writes to the connection with a deadline.
func (c idleTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
