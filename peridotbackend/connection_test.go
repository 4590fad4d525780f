package peridotbackend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"peridotstack/peridotverdict"
)

// serveConns calls serve with each connection that is accepted, until the test ends.
func serveConns(t *testing.T, serve func(conn net.Conn, requests *bufio.Reader)) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	stop = sync.OnceFunc(func() { listener.Close() })
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			})
		}
	})
	return listener.Addr().String(), stop
}

// readRequest reads a request to its end, so that the connection is not reset when it is
// closed, and reports whether there is one.
func readRequest(requests *bufio.Reader) bool {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// TestLateCopyOfAnswer guards against a second copy of an answer, which comes late on a
// connection that is in use again, that is taken for the answer to the next request.
func TestLateCopyOfAnswer(t *testing.T) {
	address, _ := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		last := ""
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			id := request.Header.Get(headerRequestID)
			for _, text := range []string{last, id} {
				if text != "" {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				}
			}
			last = id
		}
	})
	s := NewService(address)
	for _, id := range []string{"first", "second", "third"} {
		if end, got := runRequest(t, s, Request{ID: id, Method: http.MethodPost, Path: "/x", Body: id}); end.Err != nil || got != id {
			t.Errorf("request %q: got answer %q, error %v; want its own", id, got, end.Err)
		}
	}
}

// TestRedirectIsNotFollowed guards against requests that leave the backend server because
// it answers with a redirect: another server's answer would reach the caller.
func TestRedirectIsNotFollowed(t *testing.T) {
	other, _ := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		if readRequest(requests) {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nother")
		}
	})
	for _, status := range []int{301, 302, 303, 307, 308} {
		address, _ := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
			if readRequest(requests) {
				fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nLocation: http://%s/y\r\nContent-Length: 4\r\nConnection: close\r\n\r\nhere", status, other)
			}
		})
		if end, got := runRequest(t, NewService(address), Request{Method: http.MethodPost, Path: "/x"}); end.Err != nil || got != "here" || end.Status != status {
			t.Errorf("status %d: got status %d, answer %q, error %v; want the redirect itself", status, end.Status, got, end.Err)
		}
	}
}

// TestUnframedAnswerOfEndedService guards against half an answer that looks complete,
// because it has neither a length nor chunks and the service ended, and against whole answers
// of a service that has only stopped to listen that look cut.
func TestUnframedAnswerOfEndedService(t *testing.T) {
	for _, test := range []struct {
		name string
		// stopped is set if the service stops to listen before the end of its answer, and
		// ended if its other connections end with it, too.
		stopped, ended bool
		want           peridotverdict.Code
	}{
		{name: "still listening"},
		{name: "shuts down in order", stopped: true},
		{name: "ended", stopped: true, ended: true, want: peridotverdict.ShortAnswer},
	} {
		t.Run(test.name, func(t *testing.T) {
			var stop func()
			var address string
			ready, ended, sentinel := make(chan struct{}), make(chan struct{}), make(chan struct{}, 9)
			var conns atomic.Int32
			address, stop = serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
				<-ready
				if conns.Add(1) > 1 {
					sentinel <- struct{}{}
					<-ended
					return
				}
				if !readRequest(requests) {
					return
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nha")
				select {
				case <-sentinel:
				case <-time.After(time.Second):
				}
				if test.stopped {
					stop()
				}
				if test.ended {
					close(ended)
				}
			})
			if !test.ended {
				t.Cleanup(func() { close(ended) })
			}
			close(ready)
			end, got := runRequest(t, NewService(address), Request{Method: http.MethodPost, Path: "/x"})
			code := peridotverdict.Code("")
			if end.Err != nil {
				code = end.Err.Code
			}
			if code != test.want || code == "" && got != "ha" {
				t.Errorf("got answer %q, code %q; want code %q", got, code, test.want)
			}
		})
	}
}
