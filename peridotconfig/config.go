package peridotconfig

// Role is what a model engine does for the requests it gets.
type Role string

const (
	// Mixed engines do both prefill and decode.
	Mixed Role = "Mixed"
	// Prefill engines only read prompts and hand their KV cache on.
	Prefill Role = "Prefill"
	// Decode engines only generate tokens.
	Decode Role = "Decode"
)

// Config is the shared configuration as of one commit. A Config is never
// changed once it is shared; Apply makes a new one.
type Config struct {
	// Seq is the number of the last commit applied; 0 is the empty configuration.
	Seq         int64
	Domains     []Domain
	Models      []Model
	Services    []Service
	Accounts    []Account
	Keys        []Key
	Operators   []Operator
	Deployments []Deployment
	// CostCeilingPerHour bounds what all running backend servers may cost
	// together, in the currency of the deployment; 0 means no ceiling.
	CostCeilingPerHour float64
	// Panels are the sets of witnesses whose majorities acknowledge commits; the
	// last one is in office, those before it are not yet relieved.
	Panels []Panel

	// index finds keys and accounts by name. It is nil in a Config that was not
	// made by Apply or Replay; lookups then go through the lists.
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
	// CostPerHour is the price of one backend server that runs the model.
	CostPerHour float64
	// PrefillTokensPerSecond and DecodeTokensPerSecond are what one engine does.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// AwaySeconds is how long a load or role change takes an engine away.
	AwaySeconds float64
}

// Service is a plain service beside the model engines.
type Service struct {
	Name        string
	CostPerHour float64
	Routes      []Route
}

// Route is one call of a plain service.
type Route struct {
	Method string
	Path   string
	// Idempotent calls may be repeated; all others run at most once.
	Idempotent bool
	// Open routes need no key.
	Open bool
}

// Account is a client account.
type Account struct {
	Name string
	// Models and Services name what the account may use.
	Models   []string
	Services []string
	// Weight is the account's share under overload, at least 1.
	Weight int
	// TokensPerSecond bounds the account's prefill and output tokens; 0 means
	// that only its share bounds it.
	TokensPerSecond float64
	// Priority is handed to the engines; larger goes first.
	Priority int
}

// Key is a key of a client account. Withdrawn keys stay listed so that a
// process that knows the withdrawal cannot mistake it for a key not yet seen.
type Key struct {
	ID        string
	Account   string
	Hash      string
	Withdrawn bool
}

// Operator may state intents and confirm plans.
type Operator struct {
	Name string
	ID   string
	Hash string
}

// Deployment says how many backend servers run a model or a plain service in
// one failure domain. Exactly one of Model and Service is set.
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
	if i := c.accountAt(name); i >= 0 {
		return c.Accounts[i], true
	}
	return Account{}, false
}

// Key returns the key with the given identifier.
func (c *Config) Key(id string) (Key, bool) {
	if i := c.keyAt(id); i >= 0 {
		return c.Keys[i], true
	}
	return Key{}, false
}

// Purgeable returns the withdrawn keys beyond the number to keep.
func (c *Config) Purgeable(keep int) []string {
	var ids []string
	for _, k := range c.Keys {
		if k.Withdrawn {
			ids = append(ids, k.ID)
		}
	}
	return ids[:max(0, len(ids)-keep)]
}

// Admits is the second check of a request, at another process than the one that
// knew the caller's key and decided by the configuration seq. It refuses a key
// that is withdrawn here, and one that is unknown here although seq is not newer:
// such a key was forgotten after it had been withdrawn.
func (c *Config) Admits(keyID string, seq int64) bool {
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

// Allows reports whether the account may use the model or plain service.
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
