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

// GiveKey adds a key of a client account.
type GiveKey struct{ Key Key }

// WithdrawKey withdraws a key permanently.
type WithdrawKey struct{ ID string }

// PurgeKeys removes withdrawn keys from the configuration. The keys are then unknown,
// and unknown keys are refused in the same way as withdrawn ones.
type PurgeKeys struct{ IDs []string }

// AppointPanel makes a new panel of witnesses the current one. Earlier panels stay
// listed until they are relieved, and until then a majority of each must
// acknowledge every commit.
type AppointPanel struct{ Panel Panel }

// RelievePanels removes the panels with numbers up to Through, which must be less
// than the number of the current panel. It may be committed only after a majority
// of the witnesses of each removed panel have either acknowledged the appointment of
// a later panel or ended.
type RelievePanels struct{ Through int64 }

// PutOperator adds or replaces an operator.
type PutOperator struct{ Operator Operator }

// SetDeployments replaces all deployments and the cost ceiling.
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

// Apply returns a copy of c with the changes applied in order. It returns an error
// with the code BadRequest if a change is invalid in the configuration that it is
// applied to. The Seq of the copy is that of c.
func (c *Config) Apply(changes ...Change) (*Config, error) {
	next := c.mutableCopy()
	for _, ch := range changes {
		if err := next.apply(ch); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// mutableCopy returns a copy of c whose accounts, keys and index may be changed in
// place.
func (c *Config) mutableCopy() *Config {
	next := *c
	next.Accounts = slices.Clone(c.Accounts)
	next.Keys = slices.Clone(c.Keys)
	next.index = c.index.clone(&next)
	return &next
}

// apply applies a change to c, which must have been returned by mutableCopy.
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
		return c.appointPanel(ch.Panel)
	case RelievePanels:
		return c.relievePanels(ch.Through)
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
	if i := c.accountIndex(a.Name); i >= 0 {
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
	i := c.keyIndex(id)
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

// badField returns an error with the code BadRequest about a field of a change.
func badField(field, message string) error {
	return peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, message, peridotverdict.Field(field))
}
