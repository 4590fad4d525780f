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

// narrowRate is that of a link of 3 Mbit/s, on which the request below takes longer
// than a heartbeat may.
const narrowRate = 375_000

// throttle forwards connections to target at narrowRate, one way.
func throttle(t *testing.T, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				near.Close()
				continue
			}
			go func() {
				defer near.Close()
				_, _ = io.Copy(near, far) // It ends when either side closes.
			}()
			go func() {
				defer far.Close()
				const step = 20 * time.Millisecond
				for {
					if _, err := io.CopyN(far, near, narrowRate*int64(step)/int64(time.Second)); err != nil {
						return
					}
					time.Sleep(step)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestHeartbeatsWaitBehindLargeRequests sends a request over a narrow link. The
// heartbeat behind it comes late, but the link is not lost.
func TestHeartbeatsWaitBehindLargeRequests(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent := &scripted{instance: "a", model: testModel, onRun: echo}
	server := &peridotwire.Server{Listener: listener, Handler: agent}
	go func() { _ = server.Serve(t.Context()) }()
	e, key := entryTo(t, place{instance: "a", address: throttle(t, listener.Addr().String()), model: testModel})
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":1}`, testModel, strings.Repeat("psalm", 400_000))
	lost := make(chan bool)
	go func() {
		defer close(lost)
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if !allUp(e, 1) {
				lost <- true
				return
			}
		}
	}()
	if got := askWithin(e, key, completions, body, "60000"); got.Code != http.StatusOK {
		t.Errorf("got status %d (%s), want 200", got.Code, got.Body)
	}
	if <-lost {
		t.Error("the link was given up, want it kept")
	}
}
