package peridotentry_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// middlebox forwards connections until dropState makes it lose their state. The
// connections then stay open but nothing is forwarded on them, while new
// connections work.
type middlebox struct {
	mu       sync.Mutex
	silenced chan struct{}
}

// dropState stops all forwarding on the existing connections.
func (m *middlebox) dropState() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.silenced)
	m.silenced = make(chan struct{})
}

// serve returns an address at which connections to the given address are
// forwarded.
func (m *middlebox) serve(t *testing.T, to string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.proxy(conn, to)
		}
	}()
	return listener.Addr().String()
}

func (m *middlebox) proxy(conn net.Conn, to string) {
	server, err := net.Dial("tcp", to)
	if err != nil {
		conn.Close()
		return
	}
	m.mu.Lock()
	silenced := m.silenced
	m.mu.Unlock()
	go forward(server, conn, silenced)
	go forward(conn, server, silenced)
}

// forward copies bytes until silenced is closed, and discards them afterwards.
func forward(to, from net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silenced:
			// Neither side learns that the other one has closed the connection.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestSilentConnectionsInterruptNoStream makes all connections between entry
// instances and agents silent while streams are running.
func TestSilentConnectionsInterruptNoStream(t *testing.T) {
	t.Parallel()
	const n = 16
	box := &middlebox{silenced: make(chan struct{})}
	f := startFleet(t, fleetOptions{proxyAddress: func(address string) string { return box.serve(t, address) }})
	answers := f.startHeldStreams(t, n)
	box.dropState()
	f.engines[0].ReleaseStreams()
	f.engines[1].ReleaseStreams()
	checkComplete(t, answers, n)
	for i, engine := range f.engines {
		seen := make(map[string]bool)
		for _, call := range engine.Calls() {
			id := call.Header.Get("X-Request-Id")
			if seen[id] {
				t.Errorf("engine %d: request %s received twice", i, id)
			}
			seen[id] = true
		}
	}
}
