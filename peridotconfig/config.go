package peridotconfig

// Role is the part of a request that a model engine processes.
type Role string

const (
	// Mixed engines do both prefill and decode.
	Mixed Role = "Mixed"
	// Prefill engines only do prefill and transfer the KV cache to a decode engine.
	Prefill Role = "Prefill"
	// Decode engines only do decode.
	Decode Role = "Decode"
)

// Config is the shared configuration as of one commit. The zero value is the empty
// configuration. A Config is immutable once it is shared; Apply returns a modified
// copy.
type Config struct {
	// Seq is the number of the last commit applied; 0 if none was.
	Seq         int64
	Domains     []Domain
	Models      []Model
	Services    []Service
	Accounts    []Account
	Keys        []Key
	Operators   []Operator
	Deployments []Deployment
	// CostCeilingPerHour limits the total cost per hour of all running backend
	// servers, in the currency of the installation; 0 means no limit.
	CostCeilingPerHour float64
	// Panels are the sets of witnesses that acknowledge commits, in the order of
	// their appointment. The last one is the current panel, and the others have not
	// been relieved yet.
	Panels []Panel

	// index finds keys by ID and accounts by name. It is set by Apply, Replay and
	// UnmarshalJSON. If it is nil, lookups search the lists.
	index *index
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// Model is a language model.
type Model struct {
	Name string
	// CostPerHour is the cost of one backend server that runs the model.
	CostPerHour float64
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the throughput of one
	// engine.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// AwaySeconds is how long an engine is unavailable while it loads the model or
	// changes its role.
	AwaySeconds float64
}

// Service is a plain service, which runs on backend servers without a model.
type Service struct {
	Name string
	// CostPerHour is the cost of one backend server that runs the service.
	CostPerHour float64
	Routes      []Route
}

// Route is an HTTP method and path of a plain service.
type Route struct {
	Method string
	Path   string
	// Idempotent is set if requests may be retried; others run at most once.
	Idempotent bool
	// Open is set if requests require no key.
	Open bool
}

// Account is a client account.
type Account struct {
	Name string
	// Models and Services are the names of the models and plain services that the
	// account may use.
	Models   []string
	Services []string
	// Weight is the account's relative share under overload, at least 1.
	Weight int
	// TokensPerSecond limits the rate of the account's prefill and output tokens; 0
	// means that only the account's share limits it.
	TokensPerSecond float64
	// Priority is passed to the engines, which process larger values first.
	Priority int
}

// Key is a key of a client account. A withdrawn key stays listed until it is purged,
// so that a process that has applied the withdrawal can distinguish the key from one
// that it does not know yet.
type Key struct {
	ID string
	// Account is the name of the client account.
	Account string
	// Hash is the hash of the key's secret, as returned by peridotkey.Hash.
	Hash      string
	Withdrawn bool
}

// Operator is a person or program that may submit intents and confirm plans.
type Operator struct {
	Name string
	// ID is the identifier of the operator's key, and Hash the hash of its secret.
	ID   string
	Hash string
}

// Deployment is the number of backend servers that run a model or a plain service
// in one failure domain. Exactly one of Model and Service is set.
type Deployment struct {
	Domain   string
	Model    string
	Version  string
	Service  string
	Role     Role
	Replicas int
}

// Account returns the account with the given name.
func (c *Config) Account(name string) (Account, bool) {
	if i := c.accountIndex(name); i >= 0 {
		return c.Accounts[i], true
	}
	return Account{}, false
}

// Key returns the key with the given identifier.
func (c *Config) Key(id string) (Key, bool) {
	if i := c.keyIndex(id); i >= 0 {
		return c.Keys[i], true
	}
	return Key{}, false
}

// PurgeableKeys returns the IDs of all withdrawn keys, in the order of the list,
// except the last keep of them.
func (c *Config) PurgeableKeys(keep int) []string {
	var ids []string
	for _, k := range c.Keys {
		if k.Withdrawn {
			ids = append(ids, k.ID)
		}
	}
	return ids[:max(0, len(ids)-keep)]
}

// AdmitsKey reports whether c admits a request that another process has already
// admitted. That process checked the key in its own configuration, whose number is
// seq. AdmitsKey returns false if the key is withdrawn in c. It also returns false if
// the key is unknown in c and seq is not newer than c: such a key was purged after
// its withdrawal.
func (c *Config) AdmitsKey(keyID string, seq int64) bool {
	key, ok := c.Key(keyID)
	if ok {
		return !key.Withdrawn
	}
	return seq > c.Seq
}

// Model returns the model with the given name.
func (c *Config) Model(name string) (Model, bool) {
	for _, m := range c.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the plain service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Operator returns the operator whose key has the given identifier.
func (c *Config) Operator(id string) (Operator, bool) {
	for _, o := range c.Operators {
		if o.ID == id {
			return o, true
		}
	}
	return Operator{}, false
}

// Allows reports whether the account may use the model or plain service with the
// given name.
func (a Account) Allows(name string) bool {
	for _, m := range a.Models {
		if m == name {
			return true
		}
	}
	for _, s := range a.Services {
		if s == name {
			return true
		}
	}
	return false
}
