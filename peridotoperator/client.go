package peridotoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotconfig"
	"peridotstack/peridotintent"
	"peridotstack/peridotverdict"
)

const clientTimeout = 30 * time.Second

// Client speaks to the operator's interface of an entry instance. It is safe for
// concurrent use.
type Client struct {
	// Address is the IP number and port of the interface.
	Address string
	// Key is the operator's key.
	Key string
}

// State states an intent and returns the plan for it.
func (c *Client) State(ctx context.Context, intent peridotintent.Intent) (peridotintent.Plan, error) {
	var plan peridotintent.Plan
	err := c.call(ctx, http.MethodPost, "/operator/plans", intent, &plan)
	return plan, err
}

// Plan returns a plan that was stated.
func (c *Client) Plan(ctx context.Context, id string) (peridotintent.Plan, error) {
	var plan peridotintent.Plan
	err := c.call(ctx, http.MethodGet, "/operator/plans/"+id, nil, &plan)
	return plan, err
}

// Confirm makes a plan count.
func (c *Client) Confirm(ctx context.Context, id string) (Accepted, error) {
	var accepted Accepted
	err := c.call(ctx, http.MethodPost, "/operator/plans/"+id+"/confirm", nil, &accepted)
	return accepted, err
}

// Change commits changes of models, accounts and the like.
func (c *Client) Change(ctx context.Context, changes peridotconfig.Changes) (Accepted, error) {
	var accepted Accepted
	err := c.call(ctx, http.MethodPost, "/operator/changes", changes, &accepted)
	return accepted, err
}

// GiveKey gives a client account a new key.
func (c *Client) GiveKey(ctx context.Context, account string) (GivenKey, error) {
	var given GivenKey
	err := c.call(ctx, http.MethodPost, "/operator/keys", KeyRequest{Account: account}, &given)
	return given, err
}

// WithdrawKey withdraws a key by its ID.
func (c *Client) WithdrawKey(ctx context.Context, id string) (Accepted, error) {
	var accepted Accepted
	err := c.call(ctx, http.MethodPost, "/operator/keys/"+id+"/withdraw", nil, &accepted)
	return accepted, err
}

// Config returns the configuration.
func (c *Client) Config(ctx context.Context) (*peridotconfig.Config, error) {
	var config peridotconfig.Config
	err := c.call(ctx, http.MethodGet, "/operator/config", nil, &config)
	return &config, err
}

// Versions returns what is in force at each instance.
func (c *Client) Versions(ctx context.Context) ([]InstanceVersion, error) {
	var list []InstanceVersion
	err := c.call(ctx, http.MethodGet, "/operator/versions", nil, &list)
	return list, err
}

// History returns all commits that the table service still keeps.
func (c *Client) History(ctx context.Context) ([]peridotconfig.Commit, error) {
	var commits []peridotconfig.Commit
	err := c.call(ctx, http.MethodGet, "/operator/history", nil, &commits)
	return commits, err
}

// call sends one request. An error of the other side is returned as it is.
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
	request.Header.Set("Authorization", bearer+c.Key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the entry instance did not answer", peridotverdict.Cause(err))
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return peridotverdict.New(peridotverdict.PeerLost, peridotverdict.MayHaveRun, "the answer broke off", peridotverdict.Cause(err))
	}
	if response.StatusCode != http.StatusOK {
		var refused peridotverdict.Error
		if json.Unmarshal(text, &refused) == nil && refused.Code != "" {
			return &refused
		}
		return peridotverdict.New(peridotverdict.Internal, peridotverdict.MayHaveRun, "the entry instance answered "+response.Status)
	}
	return errors.Wrap(json.Unmarshal(text, answer), "decode the answer")
}
