package peridotintent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"peridotstack/peridotconfig"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

const (
	planPrefix = "plan/"
	idBytes    = 6
)

// Book keeps plans in the table service until they are confirmed.
type Book struct {
	Store peridottable.Store
}

// NewID returns a random identifier of a plan or of an attempt to commit.
func NewID() string {
	b := make([]byte, idBytes)
	rand.Read(b) // crypto/rand.Read never fails.
	return hex.EncodeToString(b)
}

// State makes a plan for the intent and keeps it.
func (b *Book) State(ctx context.Context, config *peridotconfig.Config, operator string, intent Intent) (Plan, error) {
	fleet, err := b.Store.Get(ctx, peridotconfig.FleetKey)
	if err != nil {
		return Plan{}, err
	}
	plan, err := Make(config, intent)
	if err != nil {
		return Plan{}, err
	}
	plan.ID = NewID()
	plan.Operator = operator
	plan.FleetVersion = fleet.Version
	body, err := json.Marshal(plan)
	if err != nil {
		return Plan{}, errors.Wrap(err, "encode plan")
	}
	key := planPrefix + plan.ID
	_, err = b.Store.Commit(ctx, peridottable.Txn{
		ID:     plan.ID,
		Checks: []peridottable.Check{{Key: key, Version: 0}},
		Puts:   []peridottable.Put{{Key: key, Value: body}},
	})
	return plan, err
}

// Plan returns a plan that was stated.
func (b *Book) Plan(ctx context.Context, id string) (Plan, error) {
	row, err := b.Store.Get(ctx, planPrefix+id)
	if err != nil {
		return Plan{}, err
	}
	if row.Version == 0 {
		return Plan{}, bad("ID", "no plan "+id)
	}
	var plan Plan
	return plan, errors.Wrap(json.Unmarshal(row.Value, &plan), "decode plan")
}

// Confirm makes a plan count: it commits the plan's changes on top of base. It
// fails with the code PlanMoved when models or deployments have changed since
// the plan was made. The plan's ID is also that of the commit, so a repeated
// confirmation finds what the first one did.
func (b *Book) Confirm(ctx context.Context, base *peridotconfig.Config, id string) (*peridotconfig.Config, error) {
	plan, err := b.Plan(ctx, id)
	if err != nil {
		return nil, err
	}
	timeline := &peridotconfig.Log{Store: b.Store}
	check := peridottable.Check{Key: peridotconfig.FleetKey, Version: plan.FleetVersion}
	next, err := timeline.Append(ctx, base, plan.ID, plan.Operator, plan.Changes, check)
	if !peridottable.IsConflict(err) {
		return next, err
	}
	fleet, readErr := peridottable.GetCurrent(ctx, b.Store, peridotconfig.FleetKey)
	if readErr != nil {
		return nil, readErr
	}
	switch {
	case fleet.WriterID == plan.ID:
		return timeline.Load(ctx, base)
	case fleet.Version != plan.FleetVersion:
		return nil, peridotverdict.New(peridotverdict.PlanMoved, peridotverdict.NotRun, "models or deployments have changed since plan "+id+" was made")
	}
	return nil, err
}
