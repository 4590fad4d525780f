package peridotplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
)

// UsageReport is the body of a usage report. The platform keys it by ReportID.
type UsageReport struct {
	ReportID string
	// WindowStart is the Unix time in seconds at which the window began.
	WindowStart int64
	Lines       []UsageLine
}

// UsageLine is the use of one client account.
type UsageLine struct {
	// ID is unique among all lines.
	ID      string
	Account string
	// ForWindowStart differs from WindowStart in a line that corrects an earlier
	// report by what it adds.
	ForWindowStart int64
	Requests       int64
	PromptTokens   int64
	OutputTokens   int64
}

// UsageReporter sends usage reports. Make one with NewUsageReporter; it is safe
// for concurrent use and implements peridotusage.Reporter.
type UsageReporter struct {
	address string
	http    *http.Client
}

// NewUsageReporter returns a reporter to the platform at an IP address and port.
func NewUsageReporter(address string) *UsageReporter {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &UsageReporter{address: address, http: &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DialContext: dialer.DialContext,
			// The body must not go out before the platform asks for it.
			ExpectContinueTimeout: 2 * callTimeout,
			DisableKeepAlives:     true,
		},
	}}
}

// Report sends the lines of a sealed window. It sends the header first and waits
// until the platform is ready; only then confirm decides whether the body goes
// out, so that no more than the platform's receive timeout lies between the two.
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
	response, err := u.http.Do(request)
	if err != nil {
		return unavailable(err)
	}
	defer response.Body.Close()
	return decode(response, nil)
}

func reportOf(s peridotusage.SealedWindow) UsageReport {
	r := UsageReport{ReportID: s.ReportID, WindowStart: startOf(s.Window)}
	for _, line := range s.Lines {
		r.Lines = append(r.Lines, UsageLine{
			ID:             line.ID,
			Account:        line.Account,
			ForWindowStart: startOf(line.For),
			Requests:       line.Requests,
			PromptTokens:   line.PromptTokens,
			OutputTokens:   line.OutputTokens,
		})
	}
	return r
}

func startOf(w peridotusage.Window) int64 {
	return w.End().Add(-peridotusage.WindowLength).Unix()
}

// confirmedBody asks for a confirmation when its first byte is read.
type confirmedBody struct {
	data    io.Reader
	confirm func() error
	asked   bool
}

// Read implements io.Reader.
func (b *confirmedBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		if err := b.confirm(); err != nil {
			return 0, peridotverdict.As(err)
		}
	}
	return b.data.Read(p)
}
