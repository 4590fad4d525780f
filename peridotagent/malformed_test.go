package peridotagent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/apex/log"

	"peridotstack/peridotawait"
	"peridotstack/peridotverdict"
)

// logLines receives the log lines of all tests, as long as it has room.
var logLines = make(lineChannel, 1000)

// lineChannel is a log handler.
type lineChannel chan *log.Entry

// HandleLog implements log.Handler.
func (c lineChannel) HandleLog(e *log.Entry) error {
	select {
	case c <- e:
	default:
	}
	return nil
}

func TestMain(m *testing.M) {
	log.SetHandler(logLines)
	os.Exit(m.Run())
}

// TestMalformedAnswerIsNoOutcome guards against an answer with a malformed head that reaches an
// entry instance, that is recorded for the idempotency key, or that no log line names.
func TestMalformedAnswerIsNoOutcome(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nbad")
			}
			conn.Close()
		}
	}()
	s := newFixture(t)
	p := s.startAgent("agent-1", listener.Addr().String())
	for range 2 {
		body, result := s.send(p, "stamp-1", "lot 7")
		if code, verdict := codeAndVerdict(result); verdict != peridotverdict.MayHaveRun || body != "" {
			t.Errorf("got body %q, code %q, verdict %v, want an error that says that it may have run", body, code, verdict)
		}
	}
	peridotawait.Until(t, "log line that names the answer", func() bool {
		for len(logLines) > 0 {
			line := <-logLines
			if line.Fields["request"] == "request-1" && line.Fields["error"] == `malformed status line "HTTP/1.1 000 X"` {
				return true
			}
		}
		return false
	})
}
