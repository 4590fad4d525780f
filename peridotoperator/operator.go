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
	bearer = "Bearer "
	// maxRounds bounds how often a change is tried anew after another came first.
	maxRounds = 10
	// maxWithdrawn bounds the withdrawn keys that stay listed.
	maxWithdrawn = 1000
)

// Operator serves the operator's interface. All fields must be set.
type Operator struct {
	Log *peridotconfig.Log
	// Config returns the configuration in force at this instance.
	Config func() *peridotconfig.Config
	// Refresh applies the commits that the table service has by now.
	Refresh func(context.Context) error
	// Await waits a while until a commit is accepted, and reports whether it is.
	Await func(ctx context.Context, seq int64) bool
	// Version returns the versions in force at the instances.
	Version func() []InstanceVersion
}

// InstanceVersion is the version of the configuration in force at an instance.
type InstanceVersion struct {
	Instance string
	Domain   string
	Seq      int64
	// ConfirmedMillis is the age of the last proof that no newer version was
	// accepted; negative when there is none.
	ConfirmedMillis int64
	// Usable instances may start keyed work.
	Usable bool
}

func (o *Operator) versions(_ *http.Request, _ string) (any, error) {
	return o.Version(), nil
}

// Handler serves the interface under /operator/.
func (o *Operator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /operator/plans", o.as(o.state))
	mux.HandleFunc("GET /operator/plans/{id}", o.as(o.plan))
	mux.HandleFunc("POST /operator/plans/{id}/confirm", o.as(o.confirm))
	mux.HandleFunc("POST /operator/changes", o.as(o.change))
	mux.HandleFunc("POST /operator/keys", o.as(o.giveKey))
	mux.HandleFunc("POST /operator/keys/{id}/withdraw", o.as(o.withdrawKey))
	mux.HandleFunc("GET /operator/config", o.as(o.config))
	mux.HandleFunc("GET /operator/versions", o.as(o.versions))
	mux.HandleFunc("GET /operator/history", o.as(o.history))
	return mux
}

// action handles one request of an authenticated operator.
type action func(r *http.Request, operator string) (any, error)

// as authenticates the operator and writes the answer of the action.
func (o *Operator) as(run action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		name, err := o.authenticate(r)
		var answer any
		if err == nil {
			answer, err = run(r, name)
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

func (o *Operator) authenticate(r *http.Request) (string, error) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	id, secret, ok := peridotkey.Split(key)
	if ok {
		operator, known := o.Config().Operator(id)
		if known && peridotkey.Match(secret, operator.Hash) {
			return operator.Name, nil
		}
	}
	return "", peridotverdict.New(peridotverdict.BadKey, peridotverdict.NotRun, "an operator's key is needed")
}

func decode(r *http.Request, body any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "the body is malformed: "+err.Error())
	}
	return nil
}

func (o *Operator) state(r *http.Request, operator string) (any, error) {
	var intent peridotintent.Intent
	if err := decode(r, &intent); err != nil {
		return nil, err
	}
	if err := o.Refresh(r.Context()); err != nil {
		return nil, err
	}
	return o.book().State(r.Context(), o.Config(), operator, intent)
}

func (o *Operator) plan(r *http.Request, _ string) (any, error) {
	return o.book().Plan(r.Context(), r.PathValue("id"))
}

// Accepted answers a change that was committed.
type Accepted struct {
	// Seq is the number of the commit.
	Seq int64
	// Accepted is set when a majority of the witnesses has acknowledged the commit:
	// no keyed work starts by an older configuration 3 s from then on. While it is
	// not set, the commit is stored and takes effect wherever it is known.
	Accepted bool
}

func (o *Operator) confirm(r *http.Request, _ string) (any, error) {
	return o.retry(r.Context(), r.PathValue("id"), func(base *peridotconfig.Config) (*peridotconfig.Config, error) {
		return o.book().Confirm(r.Context(), base, r.PathValue("id"))
	})
}

func (o *Operator) change(r *http.Request, operator string) (any, error) {
	var changes peridotconfig.Changes
	if err := decode(r, &changes); err != nil {
		return nil, err
	}
	return o.commit(r.Context(), operator, changes)
}

// KeyRequest asks for a key of a client account.
type KeyRequest struct {
	Account string
}

// GivenKey is the only time a key is shown.
type GivenKey struct {
	Key string
	ID  string
	Seq int64
}

func (o *Operator) giveKey(r *http.Request, operator string) (any, error) {
	var body KeyRequest
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	key, id, hash := peridotkey.New()
	change := peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: body.Account, Hash: hash}}
	accepted, err := o.commit(r.Context(), operator, peridotconfig.Changes{change})
	if err != nil {
		return nil, err
	}
	return GivenKey{Key: key, ID: id, Seq: accepted.Seq}, nil
}

func (o *Operator) withdrawKey(r *http.Request, operator string) (any, error) {
	changes := peridotconfig.Changes{peridotconfig.WithdrawKey{ID: r.PathValue("id")}}
	if ids := o.Config().PurgeableKeys(maxWithdrawn); len(ids) > 0 {
		changes = append(changes, peridotconfig.PurgeKeys{IDs: ids})
	}
	return o.commit(r.Context(), operator, changes)
}

func (o *Operator) config(r *http.Request, _ string) (any, error) {
	if err := o.Refresh(r.Context()); err != nil {
		return nil, err
	}
	return o.Config(), nil
}

// history returns the commits behind the number in the query parameter after.
func (o *Operator) history(r *http.Request, _ string) (any, error) {
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

func (o *Operator) book() *peridotintent.Book {
	return &peridotintent.Book{Store: o.Log.Store}
}

func (o *Operator) commit(ctx context.Context, operator string, changes peridotconfig.Changes) (Accepted, error) {
	id := peridotintent.NewID()
	return o.retry(ctx, id, func(base *peridotconfig.Config) (*peridotconfig.Config, error) {
		return o.Log.Append(ctx, base, id, operator, changes)
	})
}

// retry tries the commit with the given id on top of ever newer configurations
// until none came between. One whose answer was lost is looked for in the
// timeline before it is tried again.
func (o *Operator) retry(ctx context.Context, id string, try func(base *peridotconfig.Config) (*peridotconfig.Config, error)) (Accepted, error) {
	var last error
	began := o.Config().Seq
	for range maxRounds {
		if err := o.Refresh(ctx); err != nil {
			return Accepted{}, cmp.Or(last, err)
		}
		if last != nil {
			if seq := o.find(ctx, began, id); seq > 0 {
				return o.accepted(ctx, seq), nil
			}
		}
		next, err := try(o.Config())
		if err == nil {
			return o.accepted(ctx, next.Seq), nil
		}
		last = err
		if !peridottable.IsConflict(err) && peridotverdict.Of(err) == peridotverdict.NotRun {
			break
		}
	}
	return Accepted{}, last
}

// find returns the number of the commit with the given id behind a number, or 0.
func (o *Operator) find(ctx context.Context, after int64, id string) int64 {
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

// accepted waits for the acknowledgements of a commit that is stored.
func (o *Operator) accepted(ctx context.Context, seq int64) Accepted {
	if err := o.Refresh(ctx); err != nil {
		return Accepted{Seq: seq}
	}
	return Accepted{Seq: seq, Accepted: o.Await(ctx, seq)}
}
