package peridotsite

import (
	"sort"
	"strings"
	"time"
)

// Kind determines how often a request may run.
type Kind int

const (
	// Mutating requests run at most once per attempt of the client. Mutating is the
	// zero value, so that a request of unknown kind is never repeated.
	Mutating Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered with server-sent events; they are mutating
	// unless the route is resumable.
	Stream
)

// Route determines where requests with a given host and path prefix are sent.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable is set if another backend server can continue a stream after the last
	// event that was received.
	Resumable bool
	// Public is set if requests need no key.
	Public bool
	// Timeout is the maximum time from the arrival of a request to the last byte of
	// its answer; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: a request has its full value only if its
	// answer, or the first event of its stream, is sent within this time. 0 means
	// that there is no objective.
	Objective time.Duration
	// Gap is the maximum time between two events of a stream that is on time; 0 means
	// no limit.
	Gap time.Duration
	// Patience is the time without an event, also before the first one, after which callers
	// abandon a stream; 0 means that they wait until Timeout.
	Patience time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Attempts is the maximum number of backend servers on which one request may run;
	// at least 1.
	Attempts int
	// Targets are the services that share the requests by weight. Without any, no request
	// is served.
	Targets []Target
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Target is a service that gets a share of the requests of a route.
type Target struct {
	Service string
	// Weight is the share of the service, relative to the sum of the route's weights.
	Weight int
}

// PickService divides the interval from 0 to 1 among the targets in proportion to
// their weights, and returns the service of the target whose part contains point. It
// returns an empty string if there are no targets.
func (r *Route) PickService(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := point * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that one backend server accepts
	// from all instances together; 0 means unknown, and a negative number none.
	MaxConns int
	// Engine describes the model engines. It is nil for a plain service.
	Engine *Engine
	// Scarce is set if a request that is placed badly can't be placed again in time, so
	// that placement must be exact. Config.BuildIndex sets it.
	Scarce bool
}

const (
	// maxScarceSlots is the number of slots of an engine up to which engines are scarce. With
	// many slots, request priority costs long prompts more than interactive ones gain, also
	// if the KV cache is small.
	maxScarceSlots = 8
	// maxScarceObjectives is the number of objectives in a timeout up to which plain
	// servers are scarce.
	maxScarceObjectives = 5
)

// isScarce reports whether the engines have few slots.
func (e *Engine) isScarce() bool {
	return e.Slots > 0 && e.Slots <= maxScarceSlots
}

// isTight reports whether requests on the route have little time beyond their objective.
func (r *Route) isTight() bool {
	return r.Objective > 0 && r.Timeout > 0 && r.Timeout <= maxScarceObjectives*r.Objective
}

// updateScarce sets Service.Scarce. Plain servers are scarce if most routes to them are
// tight.
func (c *Config) updateScarce() {
	routes, tight := make(map[string]int), make(map[string]int)
	for i := range c.Routes {
		for _, target := range c.Routes[i].Targets {
			routes[target.Service]++
			if c.Routes[i].isTight() {
				tight[target.Service]++
			}
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Scarce = 2*tight[s.Name] > routes[s.Name]; s.Engine != nil {
			s.Scarce = s.Engine.isScarce()
		}
	}
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests that one engine runs at the same time.
	Slots int
	// CacheTokens is the capacity of one engine's KV cache, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token in the KV cache, in bytes.
	TokenBytes int
	// LinkBytesPerSecond is the rate at which an engine transfers KV cache to another
	// engine.
	LinkBytesPerSecond float64
}

// Account is a client account.
type Account struct {
	Name string
	// Keys are the API keys of the account.
	Keys []string
	// Limit is the limit of the account.
	Limit AccountLimit
}

// AccountLimit limits what a client account uses over all instances together.
type AccountLimit struct {
	// Rate is what it may use in a second, in tokens or requests; 0 means no limit.
	Rate float64
	// Burst is what it may use at once beyond Rate.
	Burst float64
	// InTokens is set if Rate and Burst are in tokens. A request then costs its prompt
	// tokens and its maximum number of output tokens, or RawTokens if it states neither.
	InTokens  bool
	RawTokens float64
}

// Limits contains limits on the requests of callers.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and of the body, in
	// bytes; 0 means unknown, and a negative BodyBytes that no body is allowed.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the maximum time that the header may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which idle connections of callers are kept; 0 means unknown.
	IdleTimeout time.Duration
}

// Problem describes a field of the configuration that could not be understood, in the
// configuration's own format.
type Problem struct {
	// Field is the path of the field, such as "tenants[2].burst"; empty means the whole
	// configuration.
	Field string
	// Offset is the number of bytes of the value of Field that had been read when the problem
	// was found; 0 means that the problem concerns the whole value.
	Offset int64
	// Text names the field and says what is wrong with it, for people.
	Text string
}

// Config is one version of the configuration. Call BuildIndex before its
// look-up methods.
type Config struct {
	// Version increases with each change, not always by the same amount.
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts are the client accounts; none may remain once all have been withdrawn.
	Accounts []Account
	// Keyless is set if the deployment has no client accounts, so that requests need no
	// key. It is false if there are accounts, and if all of them have been withdrawn.
	Keyless bool
	Limits  Limits
	// Problems are fields that could not be understood, for people; the rest holds.
	Problems []Problem

	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	accountsByKey  map[string]string
	limitsByName   map[string]AccountLimit
}

// BuildIndex builds the look-up tables of c and returns c. The fields of c must not
// change afterwards.
func (c *Config) BuildIndex() *Config {
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	c.servicesByName = make(map[string]*Service)
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	c.updateScarce()
	c.accountsByKey = make(map[string]string)
	c.limitsByName = make(map[string]AccountLimit)
	for _, a := range c.Accounts {
		if _, taken := c.limitsByName[a.Name]; !taken {
			c.limitsByName[a.Name] = a.Limit
		}
		for _, key := range a.Keys {
			if _, taken := c.accountsByKey[key]; !taken && key != "" && a.Name != "" {
				c.accountsByKey[key] = a.Name
			}
		}
	}
	return c
}

// Route returns the route of the host with the longest prefix of path, or nil if
// there is none.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (c *Config) Service(name string) *Service {
	return c.servicesByName[name]
}

// NeedsKey reports whether requests on a route must carry a key.
func (c *Config) NeedsKey(r *Route) bool {
	return !c.Keyless && !r.Public
}

// LimitOf returns the limit of the client account with the given name. Of several accounts
// with one name it is the first one's.
func (c *Config) LimitOf(account string) AccountLimit {
	return c.limitsByName[account]
}

// AccountOf returns the name of the client account that has the given key, or false
// if the key is unknown. Of several accounts with one key it is the first. An empty key,
// and one of an account without a name, is unknown.
func (c *Config) AccountOf(key string) (string, bool) {
	name, ok := c.accountsByKey[key]
	return name, ok
}
