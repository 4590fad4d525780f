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

	"peridotstack/peridotanswer"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	dialTimeout    = 2 * time.Second
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 16 << 20
)

// Client calls the table service and the instance list of the platform. It
// implements peridottable.Store. Make one with NewClient. It is safe for concurrent
// use.
type Client struct {
	address    string
	httpClient *http.Client
}

// NewClient returns a client of the platform at an IP address and port.
func NewClient(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{address: address, httpClient: &http.Client{
		Timeout:   callTimeout,
		Transport: peridotanswer.NewTransport(&http.Transport{DialContext: dialer.DialContext}),
	}}
}

// GetRowRequest is the request for one row.
type GetRowRequest struct {
	Key string
}

// CommitAnswer is the answer to a commit.
type CommitAnswer struct {
	Version int64
}

// Get implements peridottable.Store.
func (c *Client) Get(ctx context.Context, key string) (peridottable.Row, error) {
	var row peridottable.Row
	err := c.post(ctx, "/table/get", GetRowRequest{Key: key}, &row)
	return row, err
}

// Scan implements peridottable.Store.
func (c *Client) Scan(ctx context.Context, r peridottable.Range) ([]peridottable.Row, error) {
	var rows []peridottable.Row
	err := c.post(ctx, "/table/scan", r, &rows)
	return rows, err
}

// Commit implements peridottable.Store.
func (c *Client) Commit(ctx context.Context, t peridottable.Txn) (int64, error) {
	var answer CommitAnswer
	err := c.post(ctx, "/table/commit", t, &answer)
	return answer.Version, err
}

// Role is the kind of process that an instance runs.
type Role string

const (
	// RoleEntry is the role of entry instances.
	RoleEntry Role = "Entry"
	// RoleAgent is the role of agents, the processes beside backend servers.
	RoleAgent Role = "Agent"
)

// Instance is one entry of the platform's instance list. The list may be out of
// date.
type Instance struct {
	ID     string
	Role   Role
	Domain string
	// Address is the IP address and port on which the instance accepts connections of
	// the system's other processes.
	Address string
	// Model or Service is the name of the model or plain service for which the
	// backend server was ordered.
	Model   string
	Service string
	// Leaving is set if the instance is about to be removed.
	Leaving bool
	// OrderID is the ID of the order that added the instance; empty if no order did.
	OrderID string
}

// Instances returns the platform's instance list.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.post(ctx, "/instances", struct{}{}, &list)
	return list, err
}

// post sends a request with the JSON encoding of body, and decodes the answer. An
// error has the verdict NotRun only if the request cannot have reached the
// platform, or if the platform refused it.
func (c *Client) post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode "+path)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "make request "+path)
	}
	request.GetBody = nil // Prevents the HTTP client from sending the body again.
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return unavailableError(err)
	}
	defer response.Body.Close()
	return decodeAnswer(response, answer)
}

// decodeAnswer decodes the body of the response into answer, unless answer is nil.
// If the platform refused the request, decodeAnswer returns the error in the body.
func decodeAnswer(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unavailableError(err)
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

// unavailableError returns an error for a request that got no answer.
func unavailableError(err error) error {
	return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.OfTransportError(err), "the platform did not answer", peridotverdict.Cause(err))
}
