package peridotstandin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotplatform"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
)

func sealedWindow() peridotusage.SealedWindow {
	return peridotusage.SealedWindow{ReportID: "s/1", Window: 1, Lines: []peridotusage.Line{
		{ID: "s/1/a", Account: "a", For: 1, Figure: peridotusage.Figure{Requests: 1, OutputTokens: 16}},
	}}
}

func TestUsageLostAnswer(t *testing.T) {
	u := &Usage{}
	server := httptest.NewServer(u)
	defer server.Close()
	reporter := peridotplatform.NewUsageReporter(strings.TrimPrefix(server.URL, "http://"))
	u.LoseAnswers(1)
	err := reporter.Report(t.Context(), sealedWindow(), func() error { return nil })
	if got := peridotverdict.Of(err); err == nil || got != peridotverdict.MayHaveRun {
		t.Errorf("got error %v, want one with the verdict MayHaveRun", err)
	}
	if err := reporter.Report(t.Context(), sealedWindow(), func() error { return nil }); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if got := len(u.Reports()); got != 2 {
		t.Errorf("got %d reports, want 2", got)
	}
}

func TestUsageUnconfirmed(t *testing.T) {
	u := &Usage{}
	server := httptest.NewServer(u)
	defer server.Close()
	reporter := peridotplatform.NewUsageReporter(strings.TrimPrefix(server.URL, "http://"))
	lost := peridotverdict.New(peridotverdict.LeaseLost, peridotverdict.NotRun, "lost")
	if err := reporter.Report(t.Context(), sealedWindow(), func() error { return lost }); err == nil {
		t.Errorf("got no error, want one")
	}
	if got := len(u.Reports()); got != 0 {
		t.Errorf("got %d reports, want 0", got)
	}
}

// TestUsageFrozenSender checks that a report is rejected if its sender pauses
// between its confirmation and the body until the receiver has timed out.
func TestUsageFrozenSender(t *testing.T) {
	u := &Usage{ReceiveTimeout: 20 * time.Millisecond}
	server := httptest.NewServer(u)
	defer server.Close()
	reporter := peridotplatform.NewUsageReporter(strings.TrimPrefix(server.URL, "http://"))
	err := reporter.Report(t.Context(), sealedWindow(), func() error {
		// The limit of 2,000 polls ends the test even if the receiver has no timeout.
		for i := 0; u.LateReports() == 0 && i < 2000; i++ {
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	if err == nil {
		t.Errorf("got no error, want one")
	}
	if got := len(u.Reports()); got != 0 {
		t.Errorf("got %d reports, want 0", got)
	}
}

// TestUsageConfirmedOnceReady checks that the sender confirms that it may send
// only after the receiver has begun to wait for the report.
func TestUsageConfirmedOnceReady(t *testing.T) {
	u := &Usage{}
	confirmed := make(chan struct{})
	early := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-confirmed:
			early <- true
		case <-time.After(100 * time.Millisecond):
			early <- false
		}
		u.ServeHTTP(w, r)
	}))
	defer server.Close()
	reporter := peridotplatform.NewUsageReporter(strings.TrimPrefix(server.URL, "http://"))
	err := reporter.Report(t.Context(), sealedWindow(), func() error {
		close(confirmed)
		return nil
	})
	if err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if <-early {
		t.Errorf("the sender confirmed before the receiver was ready")
	}
}
