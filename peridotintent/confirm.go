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
	// planKeyPrefix is the key prefix of the rows that hold plans.
	planKeyPrefix = "plan/"
	// idBytes is the number of random bytes in an identifier.
	idBytes = 6
)

// PlanStore stores plans in the table service and commits those that are confirmed.
type PlanStore struct {
	Store peridottable.Store
}

// NewID returns a random hexadecimal identifier for a plan or for an attempt to
// commit.
func NewID() string {
	b := make([]byte, idBytes)
	rand.Read(b) // crypto/rand.Read never fails.
	return hex.EncodeToString(b)
}

// CreatePlan makes the plan that leads from config to the intent, and stores it.
func (s *PlanStore) CreatePlan(ctx context.Context, config *peridotconfig.Config, operator string, intent Intent) (Plan, error) {
	fleet, err := s.Store.Get(ctx, peridotconfig.FleetKey)
	if err != nil {
		return Plan{}, err
	}
	plan, err := NewPlan(config, intent)
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
	key := planKeyPrefix + plan.ID
	_, err = s.Store.Commit(ctx, peridottable.Txn{
		ID:     plan.ID,
		Checks: []peridottable.Check{{Key: key, Version: 0}},
		Puts:   []peridottable.Put{{Key: key, Value: body}},
	})
	return plan, err
}

// Plan returns the stored plan with the given ID.
func (s *PlanStore) Plan(ctx context.Context, id string) (Plan, error) {
	row, err := s.Store.Get(ctx, planKeyPrefix+id)
	if err != nil {
		return Plan{}, err
	}
	if row.Version == 0 {
		return Plan{}, badField("ID", "no plan "+id)
	}
	var plan Plan
	return plan, errors.Wrap(json.Unmarshal(row.Value, &plan), "decode plan")
}

// Confirm commits the changes of a plan on top of base and returns the resulting
// configuration. The error has the code PlanMoved if models or deployments have
// changed since the plan was made. The commit has the ID of the plan, so that a
// repeated confirmation finds the commit of the first one.
func (s *PlanStore) Confirm(ctx context.Context, base *peridotconfig.Config, id string) (*peridotconfig.Config, error) {
	plan, err := s.Plan(ctx, id)
	if err != nil {
		return nil, err
	}
	configLog := &peridotconfig.Log{Store: s.Store}
	check := peridottable.Check{Key: peridotconfig.FleetKey, Version: plan.FleetVersion}
	next, err := configLog.Append(ctx, base, plan.ID, plan.Operator, plan.Changes, check)
	if !peridottable.IsConflict(err) {
		return next, err
	}
	fleet, readErr := peridottable.GetCurrent(ctx, s.Store, peridotconfig.FleetKey)
	if readErr != nil {
		return nil, readErr
	}
	switch {
	case fleet.WriterID == plan.ID:
		return configLog.Load(ctx, base)
	case fleet.Version != plan.FleetVersion:
		return nil, peridotverdict.New(peridotverdict.PlanMoved, peridotverdict.NotRun, "models or deployments have changed since plan "+id+" was made")
	}
	return nil, err
}
