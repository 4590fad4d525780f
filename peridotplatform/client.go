package peridotplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	dialTimeout    = 2 * time.Second
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 16 << 20
)

// Client speaks to the platform at one IP address and port. Make one with
// NewClient; it is safe for concurrent use. It implements peridottable.Store.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client.
func NewClient(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{address: address, http: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext},
	}}
}

// GetRow is the body of a read of one row.
type GetRow struct {
	Key string
}

// CommitAnswer answers a commit.
type CommitAnswer struct {
	Version int64
}

// Get reads one row.
func (c *Client) Get(ctx context.Context, key string) (peridottable.Row, error) {
	var row peridottable.Row
	err := c.post(ctx, "/table/get", GetRow{Key: key}, &row)
	return row, err
}

// Scan reads the rows of a range.
func (c *Client) Scan(ctx context.Context, r peridottable.Range) ([]peridottable.Row, error) {
	var rows []peridottable.Row
	err := c.post(ctx, "/table/scan", r, &rows)
	return rows, err
}

// Commit applies all of t or nothing.
func (c *Client) Commit(ctx context.Context, t peridottable.Txn) (int64, error) {
	var answer CommitAnswer
	err := c.post(ctx, "/table/commit", t, &answer)
	return answer.Version, err
}

// Role says what a process on an instance does.
type Role string

const (
	// RoleEntry is an entry instance.
	RoleEntry Role = "Entry"
	// RoleAgent is the process beside a backend server.
	RoleAgent Role = "Agent"
)

// Instance is one row of the platform's list, which lags.
type Instance struct {
	ID     string
	Role   Role
	Domain string
	// Address is where the system's own processes reach it: an IP number and port.
	Address string
	// Model or Service names what the backend server was ordered for.
	Model   string
	Service string
	// Leaving instances are about to go.
	Leaving bool
	// OrderID is the order that brought the instance, if any.
	OrderID string
}

// Instances reads the platform's list.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.post(ctx, "/instances", struct{}{}, &list)
	return list, err
}

// post sends a call. Only a call that surely did not reach the platform, or that
// the platform refused, has the verdict NotRun.
func (c *Client) post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode "+path)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "make request "+path)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return unavailable(err)
	}
	defer response.Body.Close()
	return decode(response, answer)
}

func decode(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unavailable(err)
	}
	if response.StatusCode != http.StatusOK {
		e := &peridotverdict.Error{}
		if json.Unmarshal(body, e) == nil && e.Code != "" {
			return e
		}
		return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.MayHaveRun, "the platform answered "+response.Status)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, answer), "decode the platform's answer")
}

func unavailable(err error) error {
	return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.OfTransport(err), "the platform did not answer", peridotverdict.Cause(err))
}
