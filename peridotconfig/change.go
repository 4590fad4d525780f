package peridotconfig

import (
	"slices"

	"github.com/pkg/errors"

	"peridotstack/peridotverdict"
)

// Change is one change of the configuration. The set of changes is closed.
type Change interface {
	change()
}

// PutDomain adds or replaces a failure domain.
type PutDomain struct{ Domain Domain }

// PutModel adds or replaces a model.
type PutModel struct{ Model Model }

// PutService adds or replaces a plain service.
type PutService struct{ Service Service }

// PutAccount adds or replaces a client account.
type PutAccount struct{ Account Account }

// GiveKey adds a key.
type GiveKey struct{ Key Key }

// WithdrawKey withdraws a key for good.
type WithdrawKey struct{ ID string }

// PutOperator adds or replaces an operator.
type PutOperator struct{ Operator Operator }

// SetDeployments replaces what runs where and under what ceiling.
type SetDeployments struct {
	Deployments        []Deployment
	CostCeilingPerHour float64
}

func (PutDomain) change()      {}
func (PutModel) change()       {}
func (PutService) change()     {}
func (PutAccount) change()     {}
func (GiveKey) change()        {}
func (WithdrawKey) change()    {}
func (PutOperator) change()    {}
func (SetDeployments) change() {}

// Apply returns c with the changes made. It leaves c as it is and fails with
// the code BadRequest when a change does not fit.
func (c *Config) Apply(changes ...Change) (*Config, error) {
	next := *c
	for _, ch := range changes {
		if err := next.apply(ch); err != nil {
			return nil, err
		}
	}
	return &next, nil
}

func (c *Config) apply(ch Change) error {
	switch ch := ch.(type) {
	case PutDomain:
		same := func(d Domain) bool { return d.Name == ch.Domain.Name }
		c.Domains = append(slices.DeleteFunc(slices.Clone(c.Domains), same), ch.Domain)
	case PutModel:
		same := func(m Model) bool { return m.Name == ch.Model.Name }
		c.Models = append(slices.DeleteFunc(slices.Clone(c.Models), same), ch.Model)
	case PutService:
		same := func(s Service) bool { return s.Name == ch.Service.Name }
		c.Services = append(slices.DeleteFunc(slices.Clone(c.Services), same), ch.Service)
	case PutAccount:
		same := func(a Account) bool { return a.Name == ch.Account.Name }
		c.Accounts = append(slices.DeleteFunc(slices.Clone(c.Accounts), same), ch.Account)
	case GiveKey:
		return c.giveKey(ch.Key)
	case WithdrawKey:
		return c.withdrawKey(ch.ID)
	case PutOperator:
		same := func(o Operator) bool { return o.ID == ch.Operator.ID }
		c.Operators = append(slices.DeleteFunc(slices.Clone(c.Operators), same), ch.Operator)
	case SetDeployments:
		c.Deployments = ch.Deployments
		c.CostCeilingPerHour = ch.CostCeilingPerHour
	default:
		return errors.Errorf("unknown change %T", ch)
	}
	return nil
}

func (c *Config) giveKey(k Key) error {
	if _, ok := c.Account(k.Account); !ok {
		return badField("Account", "no client account "+k.Account)
	}
	if _, ok := c.Key(k.ID); ok {
		return badField("ID", "key "+k.ID+" was given before")
	}
	c.Keys = append(slices.Clone(c.Keys), k)
	return nil
}

func (c *Config) withdrawKey(id string) error {
	i := slices.IndexFunc(c.Keys, func(k Key) bool { return k.ID == id })
	if i < 0 {
		return badField("ID", "no key "+id)
	}
	c.Keys = slices.Clone(c.Keys)
	c.Keys[i].Withdrawn = true
	return nil
}

func badField(field, message string) error {
	return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, message, peridotverdict.Field(field))
}
