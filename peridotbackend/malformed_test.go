package peridotbackend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"peridotstack/peridotanswer"
	"peridotstack/peridotverdict"
)

// malformedHeads are answers that http.ReadResponse accepts, though their heads are malformed.
var malformedHeads = []struct {
	name, text string
}{
	{name: "status 000", text: "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nbad"},
	{name: "status 099 without a length", text: "HTTP/1.1 099 X\r\n\r\nbad"},
	{name: "status 999", text: "HTTP/1.1 999 X\r\nContent-Length: 3\r\n\r\nbad"},
	{name: "status 000 of a stream", text: "HTTP/1.1 000 X\r\nContent-Type: text/event-stream\r\n\r\ndata: bad\n\ndata: [DONE]\n\n"},
	{name: "blank before the colon", text: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nbad"},
	{name: "folded line", text: "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 1\r\n\r\nbad"},
	{name: "blank in a name of an interim answer", text: "HTTP/1.1 103 X\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"},
	{name: "blank in a name of a stream", text: "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Type: text/event-stream\r\n\r\ndata: bad\n\ndata: [DONE]\n\n"},
	{name: "chunks in HTTP/1.0", text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
	{name: "status 101", text: "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbad"},
	{name: "status 101 without a protocol", text: "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"},
	{name: "status 000 behind an interim answer", text: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nbad"},
}

// TestMalformedHeadIsNoAnswer guards against answers with a malformed head that are passed on,
// and against a claim that their request did not run.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for _, test := range malformedHeads {
		t.Run(test.name, func(t *testing.T) {
			address, _ := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
				if readRequest(requests) {
					_, _ = io.WriteString(conn, test.text)
				}
			})
			for _, b := range []Backend{NewService(address), NewEngine(address)} {
				end, got := runRequest(t, b, Request{Method: http.MethodPost, Path: "/x", Body: "b"})
				var headErr *peridotanswer.HeadError
				if end.Err == nil || !errors.As(end.Err, &headErr) || end.Err.Verdict != peridotverdict.MayHaveRun || got != "" {
					t.Errorf("%T: got status %d, body %q, error %v, want a HeadError that says that it may have run", b, end.Status, got, end.Err)
				}
			}
		})
	}
}

// TestResetDuringUpload guards against a part of an answer without a length that is passed on
// as a whole one, because its server resets the connection during the upload.
func TestResetDuringUpload(t *testing.T) {
	address, _ := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_, _ = io.CopyN(io.Discard, request.Body, 1<<20)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	body := strings.Repeat("b", 4<<20)
	for range 20 {
		if end, got := runRequest(t, NewService(address), Request{Method: http.MethodPost, Path: "/x", Body: body}); end.Err == nil {
			t.Errorf("got body %q as a whole answer, want an error", got)
		}
	}
}
