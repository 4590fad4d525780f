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

// PurgeKeys forgets keys that were withdrawn. A forgotten key is unknown, and an
// unknown key is refused just as a withdrawn one.
type PurgeKeys struct{ IDs []string }

// AppointPanel puts a new panel of witnesses in office. The panels before it
// stay listed, and must acknowledge every commit, until they are relieved.
type AppointPanel struct{ Panel Panel }

// RelievePanels drops the panels before the last one. It may be committed only
// once a majority of each of them has acknowledged the appointment of the next,
// or is gone for good.
type RelievePanels struct{ Through int64 }

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
func (PurgeKeys) change()      {}
func (AppointPanel) change()   {}
func (RelievePanels) change()  {}
func (PutOperator) change()    {}
func (SetDeployments) change() {}

// Apply returns c with the changes made. It leaves c as it is and fails with
// the code BadRequest when a change does not fit.
func (c *Config) Apply(changes ...Change) (*Config, error) {
	next := c.draft()
	for _, ch := range changes {
		if err := next.apply(ch); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// draft returns a copy of c whose accounts and keys may be changed in place.
func (c *Config) draft() *Config {
	next := *c
	next.Accounts = slices.Clone(c.Accounts)
	next.Keys = slices.Clone(c.Keys)
	next.index = c.index.clone(&next)
	return &next
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
		c.putAccount(ch.Account)
	case GiveKey:
		return c.giveKey(ch.Key)
	case WithdrawKey:
		return c.withdrawKey(ch.ID)
	case PurgeKeys:
		return c.purgeKeys(ch.IDs)
	case AppointPanel:
		return c.appoint(ch.Panel)
	case RelievePanels:
		return c.relieve(ch.Through)
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

func (c *Config) putAccount(a Account) {
	if i := c.accountAt(a.Name); i >= 0 {
		c.Accounts[i] = a
		return
	}
	c.Accounts = append(c.Accounts, a)
	c.index.accounts[a.Name] = len(c.Accounts) - 1
}

func (c *Config) giveKey(k Key) error {
	if _, ok := c.Account(k.Account); !ok {
		return badField("Account", "no client account "+k.Account)
	}
	if _, ok := c.Key(k.ID); ok {
		return badField("ID", "key "+k.ID+" was given before")
	}
	c.Keys = append(c.Keys, k)
	c.index.keys[k.ID] = len(c.Keys) - 1
	return nil
}

func (c *Config) withdrawKey(id string) error {
	i := c.keyAt(id)
	if i < 0 {
		return badField("ID", "no key "+id)
	}
	c.Keys[i].Withdrawn = true
	return nil
}

func (c *Config) purgeKeys(ids []string) error {
	for _, id := range ids {
		if k, ok := c.Key(id); ok && !k.Withdrawn {
			return badField("IDs", "key "+id+" is not withdrawn")
		}
	}
	c.Keys = slices.DeleteFunc(c.Keys, func(k Key) bool { return slices.Contains(ids, k.ID) })
	c.index = newIndex(c)
	return nil
}

func badField(field, message string) error {
	return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, message, peridotverdict.Field(field))
}
