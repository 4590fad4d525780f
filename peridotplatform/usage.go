package peridotplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"peridotstack/peridotanswer"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
)

// UsageReport is the body of a usage report. The platform identifies a report by
// its ReportID.
type UsageReport struct {
	ReportID string
	// WindowStart is the start of the window, in Unix seconds.
	WindowStart int64
	Lines       []UsageLine
}

// UsageLine is the usage of one client account in one window.
type UsageLine struct {
	// ID is unique among the lines of all reports.
	ID      string
	Account string
	// ForWindowStart is the start of the window of the usage, in Unix seconds. It
	// differs from WindowStart if the line corrects an earlier report; its figures
	// are then added to those reported earlier.
	ForWindowStart int64
	Requests       int64
	PromptTokens   int64
	OutputTokens   int64
}

// UsageReporter sends usage reports to the platform. It implements
// peridotusage.Reporter. Make one with NewUsageReporter. It is safe for concurrent
// use.
type UsageReporter struct {
	address    string
	httpClient *http.Client
}

// NewUsageReporter returns a reporter to the platform at an IP address and port.
func NewUsageReporter(address string) *UsageReporter {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &UsageReporter{address: address, httpClient: &http.Client{
		Timeout: callTimeout,
		Transport: peridotanswer.NewTransport(&http.Transport{
			DialContext: dialer.DialContext,
			// This is longer than Timeout, so that the body is not sent before the
			// platform asks for it.
			ExpectContinueTimeout: 2 * callTimeout,
			DisableKeepAlives:     true,
		}),
	}}
}

// Report sends the lines of a sealed window. It sends the header first, and calls
// confirm once the platform asks for the body. It sends the body only if confirm
// returns nil. The platform's receive timeout therefore limits the time between the
// call of confirm and the arrival of the body.
func (u *UsageReporter) Report(ctx context.Context, s peridotusage.SealedWindow, confirm func() error) error {
	data, err := json.Marshal(reportOf(s))
	if err != nil {
		return errors.Wrap(err, "encode the usage report")
	}
	body := &confirmedBody{data: bytes.NewReader(data), confirm: confirm}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.address+"/usage", body)
	if err != nil {
		return errors.Wrap(err, "make the usage report")
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Expect", "100-continue")
	response, err := u.httpClient.Do(request)
	if err != nil {
		return unavailableError(err)
	}
	defer response.Body.Close()
	return decodeAnswer(response, nil)
}

// reportOf returns the report of a sealed window.
func reportOf(s peridotusage.SealedWindow) UsageReport {
	r := UsageReport{ReportID: s.ReportID, WindowStart: startOfWindow(s.Window)}
	for _, line := range s.Lines {
		r.Lines = append(r.Lines, UsageLine{
			ID:             line.ID,
			Account:        line.Account,
			ForWindowStart: startOfWindow(line.For),
			Requests:       line.Requests,
			PromptTokens:   line.PromptTokens,
			OutputTokens:   line.OutputTokens,
		})
	}
	return r
}

// startOfWindow returns the start of w, in Unix seconds.
func startOfWindow(w peridotusage.Window) int64 {
	return w.End().Add(-peridotusage.WindowLength).Unix()
}

// confirmedBody is a request body that calls confirm before its first byte is read.
type confirmedBody struct {
	data          io.Reader
	confirm       func() error
	confirmCalled bool
}

// Read implements io.Reader.
func (b *confirmedBody) Read(p []byte) (int, error) {
	if !b.confirmCalled {
		b.confirmCalled = true
		if err := b.confirm(); err != nil {
			return 0, peridotverdict.As(err)
		}
	}
	return b.data.Read(p)
}
