package peridotplatform_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"peridotstack/peridotplatform"
	"peridotstack/peridotstandin"
	"peridotstack/peridotverdict"
)

func TestOrderSenderSend(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(p *peridotstandin.Platform, server *httptest.Server)
		// authorizeErr is the error that authorize returns.
		authorizeErr error
		want         peridotverdict.Verdict
		wantOrders   int
	}{
		{"executed", func(*peridotstandin.Platform, *httptest.Server) {}, nil, peridotverdict.Ran, 1},
		{"not authorized", func(*peridotstandin.Platform, *httptest.Server) {}, peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.MayHaveRun, "lost"), peridotverdict.NotRun, 0},
		{"answer lost", func(p *peridotstandin.Platform, _ *httptest.Server) { p.LoseOrderAnswers(1) }, nil, peridotverdict.MayHaveRun, 1},
		{"platform unreachable", func(_ *peridotstandin.Platform, s *httptest.Server) { s.Close() }, nil, peridotverdict.NotRun, 0},
	}
	for _, test := range tests {
		platform := peridotstandin.NewPlatform()
		server := httptest.NewServer(platform.Handler())
		test.prepare(platform, server)
		sender := peridotplatform.NewOrderSender(server.Listener.Addr().String())
		err := sender.Send(context.Background(), peridotplatform.BackendOrder{ID: "x", Kind: peridotplatform.AddBackend}, func(context.Context) error { return test.authorizeErr })
		if got := peridotverdict.Of(err); got != test.want {
			t.Errorf("%s: got verdict %v (%v), want %v", test.name, got, err, test.want)
		}
		if got := len(platform.BackendOrders()); got != test.wantOrders {
			t.Errorf("%s: got %d orders at the platform, want %d", test.name, got, test.wantOrders)
		}
		server.Close()
	}
}

// TestMalformedAnswerToOrder guards against answers with a malformed head that let an order go
// on, or say that it was carried out.
func TestMalformedAnswerToOrder(t *testing.T) {
	const proceed, done = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	tests := []struct {
		name string
		// answers are sent after the head and after the body of the order.
		answers [2]string
		want    peridotverdict.Verdict
	}{
		{name: "sound", answers: [2]string{proceed, done}, want: peridotverdict.Ran},
		{name: "status 000 before the body", answers: [2]string{"HTTP/1.1 000 X\r\n\r\n" + proceed, done}, want: peridotverdict.NotRun},
		{name: "blank in a name before the body", answers: [2]string{"HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\n", done}, want: peridotverdict.NotRun},
		{name: "blank in a name", answers: [2]string{proceed, "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\n{}"}, want: peridotverdict.MayHaveRun},
		{name: "status 000", answers: [2]string{proceed, "HTTP/1.1 000 X\r\n\r\n" + done}, want: peridotverdict.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, test.answers[0])
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, test.answers[1])
			}()
			sender := peridotplatform.NewOrderSender(listener.Addr().String())
			err = sender.Send(t.Context(), peridotplatform.BackendOrder{ID: "x", Kind: peridotplatform.AddBackend}, func(context.Context) error { return nil })
			if got := peridotverdict.Of(err); got != test.want {
				t.Errorf("got verdict %v (%v), want %v", got, err, test.want)
			}
		})
	}
}
