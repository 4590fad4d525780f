package peridotentry_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// middlebox passes connections on until it loses track of those it has: they
// stay open and bring nothing any more, while new ones work.
type middlebox struct {
	mu   sync.Mutex
	lost chan struct{}
}

// loseTrack makes all present connections go silent.
func (m *middlebox) loseTrack() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.lost)
	m.lost = make(chan struct{})
}

// serve returns an address that leads to the given one.
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
			m.pass(conn, to)
		}
	}()
	return listener.Addr().String()
}

func (m *middlebox) pass(conn net.Conn, to string) {
	server, err := net.Dial("tcp", to)
	if err != nil {
		conn.Close()
		return
	}
	m.mu.Lock()
	lost := m.lost
	m.mu.Unlock()
	go forward(server, conn, lost)
	go forward(conn, server, lost)
}

// forward copies bytes until the box loses track; then it swallows them.
func forward(to, from net.Conn, lost <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-lost:
			// Neither end learns that the other one has gone.
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

// TestSilentConnectionsCutNothing lets all connections between entries and
// agents go silent while streams are under way.
func TestSilentConnectionsCutNothing(t *testing.T) {
	t.Parallel()
	const n = 16
	box := &middlebox{lost: make(chan struct{})}
	f := startFleet(t, fleetOptions{through: func(address string) string { return box.serve(t, address) }})
	answers := f.streams(t, n)
	box.loseTrack()
	f.engines[0].Release()
	f.engines[1].Release()
	checkWhole(t, answers, n)
	for i, engine := range f.engines {
		seen := make(map[string]bool)
		for _, call := range engine.Calls() {
			id := call.Header.Get("X-Request-Id")
			if seen[id] {
				t.Errorf("engine %d: request %s came twice", i, id)
			}
			seen[id] = true
		}
	}
}
