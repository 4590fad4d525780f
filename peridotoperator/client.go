package peridotoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotanswer"
	"peridotstack/peridotconfig"
	"peridotstack/peridotintent"
	"peridotstack/peridotverdict"
)

// clientTimeout is the maximum duration of a call.
const clientTimeout = 30 * time.Second

// httpClient is shared by all clients.
var httpClient = &http.Client{Transport: peridotanswer.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// Client calls the operator interface of an entry instance. It is safe for
// concurrent use.
type Client struct {
	// Address is the IP address and port of the interface.
	Address string
	// Key is the API key of the operator.
	Key string
}

// CreatePlan submits an intent and returns the plan for it. Nothing changes until the
// plan is confirmed.
func (c *Client) CreatePlan(ctx context.Context, intent peridotintent.Intent) (peridotintent.Plan, error) {
	var plan peridotintent.Plan
	err := c.call(ctx, http.MethodPost, "/operator/plans", intent, &plan)
	return plan, err
}

// Plan returns the stored plan with the given ID.
func (c *Client) Plan(ctx context.Context, id string) (peridotintent.Plan, error) {
	var plan peridotintent.Plan
	err := c.call(ctx, http.MethodGet, "/operator/plans/"+id, nil, &plan)
	return plan, err
}

// ConfirmPlan commits the changes of the plan with the given ID.
func (c *Client) ConfirmPlan(ctx context.Context, id string) (CommitResult, error) {
	var result CommitResult
	err := c.call(ctx, http.MethodPost, "/operator/plans/"+id+"/confirm", nil, &result)
	return result, err
}

// CommitChanges commits changes without a plan, such as those of models and accounts.
func (c *Client) CommitChanges(ctx context.Context, changes peridotconfig.Changes) (CommitResult, error) {
	var result CommitResult
	err := c.call(ctx, http.MethodPost, "/operator/changes", changes, &result)
	return result, err
}

// GiveKey creates a key for a client account.
func (c *Client) GiveKey(ctx context.Context, account string) (GivenKey, error) {
	var given GivenKey
	err := c.call(ctx, http.MethodPost, "/operator/keys", KeyRequest{Account: account}, &given)
	return given, err
}

// WithdrawKey withdraws the key with the given ID permanently.
func (c *Client) WithdrawKey(ctx context.Context, id string) (CommitResult, error) {
	var result CommitResult
	err := c.call(ctx, http.MethodPost, "/operator/keys/"+id+"/withdraw", nil, &result)
	return result, err
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (*peridotconfig.Config, error) {
	var config peridotconfig.Config
	err := c.call(ctx, http.MethodGet, "/operator/config", nil, &config)
	return &config, err
}

// Versions returns the version of the current configuration of each instance.
func (c *Client) Versions(ctx context.Context) ([]InstanceVersion, error) {
	var list []InstanceVersion
	err := c.call(ctx, http.MethodGet, "/operator/versions", nil, &list)
	return list, err
}

// History returns the commits that are still in the table service.
func (c *Client) History(ctx context.Context) ([]peridotconfig.Commit, error) {
	var commits []peridotconfig.Commit
	err := c.call(ctx, http.MethodGet, "/operator/history", nil, &commits)
	return commits, err
}

// call sends one request with the JSON encoding of body, and decodes the answer.
// If the server answers with a peridotverdict.Error, call returns that error
// unchanged.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode "+path)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "make request "+path)
	}
	request.Header.Set("Authorization", bearerPrefix+c.Key)
	response, err := httpClient.Do(request)
	if err != nil {
		return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the entry instance did not answer", peridotverdict.Cause(err))
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the answer broke off", peridotverdict.Cause(err))
	}
	if response.StatusCode != http.StatusOK {
		var serverErr peridotverdict.Error
		if json.Unmarshal(responseBody, &serverErr) == nil && serverErr.Code != "" {
			return &serverErr
		}
		return peridotverdict.New(peridotverdict.Internal, peridotverdict.MayHaveRun, "the entry instance answered "+response.Status)
	}
	return errors.Wrap(json.Unmarshal(responseBody, answer), "decode the answer")
}
