package peridotanswer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// startServer starts a server that calls serve with each connection and closes it then. It
// returns its address.
func startServer(t *testing.T, serve func(conn *net.TCPConn, requests *bufio.Reader)) string {
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
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// startAnsweringServer starts a server that answers the requests on each connection with the
// given texts in turn.
func startAnsweringServer(t *testing.T, answers ...string) string {
	t.Helper()
	return startServer(t, func(conn *net.TCPConn, requests *bufio.Reader) {
		for _, answer := range answers {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
}

// TestTransportRefusesMalformedHeads guards against malformed answers that an HTTP client
// returns, also those on a connection that is used again.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	const sound = "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 15\r\n\r\nHTTP/1.1 000 X\n"
	for _, malformed := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nbad",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nbad",
		"HTTP/1.1 999 X\r\n\r\nbad",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbad",
		"HTTP/1.1 103 X\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
		"HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 3\r\n\r\nbad",
	} {
		client := &http.Client{Transport: NewTransport(&http.Transport{})}
		address := startAnsweringServer(t, sound, sound, malformed)
		for i := range 3 {
			response, err := client.Post("http://"+address, "text/plain", strings.NewReader("b"))
			var headErr *HeadError
			if i == 2 {
				if !errors.As(err, &headErr) {
					t.Errorf("%q: got answer %v, error %v, want a HeadError", malformed, response, err)
				}
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || len(body) != 15 {
				t.Errorf("sound answer: got body %q, error %v, want the whole body", body, err)
			}
			response.Body.Close()
		}
		client.CloseIdleConnections()
	}
}
