package peridotoperator

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"peridotstack/peridotconfig"
	"peridotstack/peridotintent"
	"peridotstack/peridotkey"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	bearerPrefix = "Bearer "
	// maxCommitAttempts is the maximum number of attempts to commit a change that
	// conflicts with other commits.
	maxCommitAttempts = 10
	// maxWithdrawnKeys is the number of withdrawn keys above which the next
	// withdrawal purges the excess.
	maxWithdrawnKeys = 1000
)

// Operator serves the interface for operators. All fields must be set, and its
// functions must be safe for concurrent use.
type Operator struct {
	Log *peridotconfig.Log
	// Config returns the current configuration of this instance.
	Config func() *peridotconfig.Config
	// Refresh applies the later commits in the table service to the current
	// configuration.
	Refresh func(context.Context) error
	// AwaitAccepted waits, for a limited time, until the commit with the number seq is
	// accepted, and reports whether it is.
	AwaitAccepted func(ctx context.Context, seq int64) bool
	// Versions returns the versions of the current configurations of the instances.
	Versions func() []InstanceVersion
}

// InstanceVersion is the version of the current configuration of an instance.
type InstanceVersion struct {
	Instance string
	Domain   string
	Seq      int64
	// ConfirmedMillis is the age, in milliseconds, of the instance's last proof that
	// no newer version was accepted. It is negative if there is no proof.
	ConfirmedMillis int64
	// Usable is set if the instance may start requests that require a key.
	Usable bool
}

func (o *Operator) listVersions(_ *http.Request, _ string) (any, error) {
	return o.Versions(), nil
}

// Handler serves the interface under /operator/.
func (o *Operator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /operator/plans", o.requireOperator(o.createPlan))
	mux.HandleFunc("GET /operator/plans/{id}", o.requireOperator(o.getPlan))
	mux.HandleFunc("POST /operator/plans/{id}/confirm", o.requireOperator(o.confirmPlan))
	mux.HandleFunc("POST /operator/changes", o.requireOperator(o.commitChanges))
	mux.HandleFunc("POST /operator/keys", o.requireOperator(o.giveKey))
	mux.HandleFunc("POST /operator/keys/{id}/withdraw", o.requireOperator(o.withdrawKey))
	mux.HandleFunc("GET /operator/config", o.requireOperator(o.getConfig))
	mux.HandleFunc("GET /operator/versions", o.requireOperator(o.listVersions))
	mux.HandleFunc("GET /operator/history", o.requireOperator(o.listCommits))
	return mux
}

// operatorHandler handles a request of the operator with the given name. It
// returns the answer to encode.
type operatorHandler func(r *http.Request, operator string) (any, error)

// requireOperator returns an HTTP handler that authenticates the operator, calls
// handle, and writes its answer or error as JSON.
func (o *Operator) requireOperator(handle operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		name, err := o.authenticate(r)
		var answer any
		if err == nil {
			answer, err = handle(r, name)
		}
		if err != nil {
			e := peridotverdict.As(err)
			w.WriteHeader(statusOf(e.Code))
			_ = json.NewEncoder(w).Encode(e)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// statusOf returns the HTTP status of an error code.
func statusOf(code peridotverdict.Code) int {
	switch code {
	case peridotverdict.BadRequest, peridotverdict.CostCeiling:
		return http.StatusBadRequest
	case peridotverdict.BadKey:
		return http.StatusUnauthorized
	case peridotverdict.PlanMoved, peridotverdict.Conflict:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// authenticate returns the name of the operator whose key the request contains.
func (o *Operator) authenticate(r *http.Request) (string, error) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	id, secret, ok := peridotkey.Split(key)
	if ok {
		operator, known := o.Config().Operator(id)
		if known && peridotkey.Match(secret, operator.Hash) {
			return operator.Name, nil
		}
	}
	return "", peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, "an operator's key is needed")
}

func decodeBody(r *http.Request, body any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "the body is malformed: "+err.Error())
	}
	return nil
}

func (o *Operator) createPlan(r *http.Request, operator string) (any, error) {
	var intent peridotintent.Intent
	if err := decodeBody(r, &intent); err != nil {
		return nil, err
	}
	if err := o.Refresh(r.Context()); err != nil {
		return nil, err
	}
	return o.planStore().CreatePlan(r.Context(), o.Config(), operator, intent)
}

func (o *Operator) getPlan(r *http.Request, _ string) (any, error) {
	return o.planStore().Plan(r.Context(), r.PathValue("id"))
}

// CommitResult is the answer to a change that was committed.
type CommitResult struct {
	// Seq is the number of the commit.
	Seq int64
	// Accepted is set once a majority of the witnesses has acknowledged the commit.
	// Starting 3 s later, no instance starts a request that requires a key under an
	// older configuration. If Accepted is not set, the commit is stored and takes
	// effect at each instance that has read it.
	Accepted bool
}

func (o *Operator) confirmPlan(r *http.Request, _ string) (any, error) {
	return o.commitWithRetry(r.Context(), r.PathValue("id"), func(base *peridotconfig.Config) (*peridotconfig.Config, error) {
		return o.planStore().Confirm(r.Context(), base, r.PathValue("id"))
	})
}

func (o *Operator) commitChanges(r *http.Request, operator string) (any, error) {
	var changes peridotconfig.Changes
	if err := decodeBody(r, &changes); err != nil {
		return nil, err
	}
	return o.commit(r.Context(), operator, changes)
}

// KeyRequest is the request for a new key of a client account.
type KeyRequest struct {
	Account string
}

// GivenKey is the answer to a KeyRequest. It is the only answer that contains the
// key itself; the configuration contains its hash.
type GivenKey struct {
	Key string
	ID  string
	// Seq is the number of the commit that added the key.
	Seq int64
}

func (o *Operator) giveKey(r *http.Request, operator string) (any, error) {
	var body KeyRequest
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	key, id, hash := peridotkey.New()
	change := peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: body.Account, Hash: hash}}
	result, err := o.commit(r.Context(), operator, peridotconfig.Changes{change})
	if err != nil {
		return nil, err
	}
	return GivenKey{Key: key, ID: id, Seq: result.Seq}, nil
}

func (o *Operator) withdrawKey(r *http.Request, operator string) (any, error) {
	changes := peridotconfig.Changes{peridotconfig.WithdrawKey{ID: r.PathValue("id")}}
	if ids := o.Config().PurgeableKeys(maxWithdrawnKeys); len(ids) > 0 {
		changes = append(changes, peridotconfig.PurgeKeys{IDs: ids})
	}
	return o.commit(r.Context(), operator, changes)
}

func (o *Operator) getConfig(r *http.Request, _ string) (any, error) {
	if err := o.Refresh(r.Context()); err != nil {
		return nil, err
	}
	return o.Config(), nil
}

// listCommits returns the commits after the one whose number is in the query
// parameter after, or all commits if there is no such parameter.
func (o *Operator) listCommits(r *http.Request, _ string) (any, error) {
	after := int64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil || number < 0 {
			return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "after must be the number of a commit", peridotverdict.Field("after"))
		}
		after = number
	}
	return o.Log.CommitsAfter(r.Context(), after)
}

func (o *Operator) planStore() *peridotintent.PlanStore {
	return &peridotintent.PlanStore{Store: o.Log.Store}
}

// commit commits the changes on top of the newest configuration.
func (o *Operator) commit(ctx context.Context, operator string, changes peridotconfig.Changes) (CommitResult, error) {
	id := peridotintent.NewID()
	return o.commitWithRetry(ctx, id, func(base *peridotconfig.Config) (*peridotconfig.Config, error) {
		return o.Log.Append(ctx, base, id, operator, changes)
	})
}

// commitWithRetry calls commitOn, which makes the commit with the given ID on top
// of the newest configuration, until it succeeds. Before each further attempt, it
// searches the log for the commit, because the commit may have been stored although
// its answer was lost. It returns an error after maxCommitAttempts, or if an attempt
// has the verdict NotRun and did not fail because of a conflicting commit.
func (o *Operator) commitWithRetry(ctx context.Context, id string, commitOn func(base *peridotconfig.Config) (*peridotconfig.Config, error)) (CommitResult, error) {
	var lastErr error
	startSeq := o.Config().Seq
	for range maxCommitAttempts {
		if err := o.Refresh(ctx); err != nil {
			return CommitResult{}, cmp.Or(lastErr, err)
		}
		if lastErr != nil {
			if seq := o.findCommit(ctx, startSeq, id); seq > 0 {
				return o.awaitAccepted(ctx, seq), nil
			}
		}
		next, err := commitOn(o.Config())
		if err == nil {
			return o.awaitAccepted(ctx, next.Seq), nil
		}
		lastErr = err
		if !peridottable.IsConflict(err) && peridotverdict.Of(err) == peridotverdict.NotRun {
			break
		}
	}
	return CommitResult{}, lastErr
}

// findCommit searches the commits with a number greater than after for the commit
// with the given ID. It returns the number of the commit, or 0 if there is none or
// the log cannot be read.
func (o *Operator) findCommit(ctx context.Context, after int64, id string) int64 {
	commits, err := o.Log.CommitsAfter(ctx, after)
	if err != nil {
		return 0
	}
	for _, commit := range commits {
		if commit.ID == id {
			return commit.Seq
		}
	}
	return 0
}

// awaitAccepted waits for the acknowledgements of the stored commit seq.
func (o *Operator) awaitAccepted(ctx context.Context, seq int64) CommitResult {
	if err := o.Refresh(ctx); err != nil {
		return CommitResult{Seq: seq}
	}
	return CommitResult{Seq: seq, Accepted: o.AwaitAccepted(ctx, seq)}
}
