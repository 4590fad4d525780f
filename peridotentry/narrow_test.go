package peridotentry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotwire"
)

// narrowBytesPerSecond is the rate of a link of 3 Mbit/s. The request of the
// test below takes longer on it than pingTimeout.
const narrowBytesPerSecond = 375_000

// startThrottledProxy forwards connections to target, at narrowBytesPerSecond in
// that direction and without a limit in the other. It returns its address.
func startThrottledProxy(t *testing.T, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				client.Close()
				continue
			}
			go func() {
				defer client.Close()
				_, _ = io.Copy(client, server) // This returns when either side closes.
			}()
			go func() {
				defer server.Close()
				const step = 20 * time.Millisecond
				for {
					if _, err := io.CopyN(server, client, narrowBytesPerSecond*int64(step)/int64(time.Second)); err != nil {
						return
					}
					time.Sleep(step)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestLargeRequestKeepsNarrowLink sends a large request over a narrow link. The
// ping that is queued after it is late, but the link must not be considered
// lost.
func TestLargeRequestKeepsNarrowLink(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent := &scriptedAgent{instance: "a", model: testModel, onRun: echo}
	server := &peridotwire.Server{Listener: listener, Handler: agent}
	go func() { _ = server.Serve(t.Context()) }()
	e, key := entryToEndpoints(t, agentEndpoint{instance: "a", address: startThrottledProxy(t, listener.Addr().String()), model: testModel})
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":1}`, testModel, strings.Repeat("psalm", 400_000))
	lost := make(chan bool)
	go func() {
		defer close(lost)
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if !isAvailable(e, 1) {
				lost <- true
				return
			}
		}
	}()
	if got := askWithin(e, key, completionsPath, body, "60000"); got.Code != http.StatusOK {
		t.Errorf("got status %d (%s), want 200", got.Code, got.Body)
	}
	if <-lost {
		t.Error("the link was unavailable during the request, want it available")
	}
}
