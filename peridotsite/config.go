package peridotsite

import (
	"sort"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

const (
	// Mutating requests run at most once per attempt of the client. It is the
	// zero value, so that an unknown kind is never repeated.
	Mutating Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered with server-sent events; they are mutating
	// unless the route is resumable.
	Stream
)

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another backend server behind the last event.
	Resumable bool
	// Public routes need no key.
	Public bool
	// Timeout bounds a request from arrival to its last byte; 0 means no bound.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// within which a request earns its full worth; 0 means none.
	Objective time.Duration
	// Gap is the longest pause between the events of a stream that is on time; 0
	// means that none is set.
	Gap time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Attempts bounds the backend servers on which one request may run; at least 1.
	Attempts int
	// Targets share the requests by weight; there is at least one.
	Targets []Target
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Target is a service and its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Pick returns the service for a point between 0 and 1 of the route's weights.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := point * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of equal backend servers.
type Service struct {
	Name string
	// MaxConns is how many connections one backend server takes from all
	// instances together; 0 means unknown.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// CacheTokens is the KV cache memory of one engine, in tokens.
	CacheTokens int
	// TokenBytes is the KV cache of one token.
	TokenBytes int
	// LinkBytesPerSecond is how fast an engine moves KV cache to another.
	LinkBytesPerSecond float64
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time that a request's header takes to arrive.
	HeaderTimeout time.Duration
}

// Config is one version of the configuration. Make it complete with Index.
type Config struct {
	// Version grows with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]string
}

// Index prepares the look-ups; nothing may change afterwards.
func (c *Config) Index() *Config {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	c.services = make(map[string]*Service)
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.keys = make(map[string]string)
	for _, a := range c.Accounts {
		for _, key := range a.Keys {
			c.keys[key] = a.Name
		}
	}
	return c
}

// Route returns the route with the longest prefix of path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service {
	return c.services[name]
}

// NeedsKey reports whether requests on a route must carry a key.
func (c *Config) NeedsKey(r *Route) bool {
	return len(c.Accounts) > 0 && !r.Public
}

// AccountOf returns the client account that holds a key.
func (c *Config) AccountOf(key string) (string, bool) {
	name, ok := c.keys[key]
	return name, ok
}
