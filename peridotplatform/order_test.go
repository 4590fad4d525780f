package peridotplatform_test

import (
	"context"
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
