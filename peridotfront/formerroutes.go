package peridotfront

import (
	"slices"
	"time"

	"peridotstack/peridotsite"
)

// maxFormerConfigs limits the number of former configurations whose routes are kept.
const maxFormerConfigs = 256

// formerConfig contains the routes of a configuration that was in force until the given time.
type formerConfig struct {
	routes *peridotsite.Config
	until  time.Duration
}

// formerRoutes tells to which services streams were led within softwareMemory. Its times are
// values of Front.now.
type formerRoutes struct {
	// configs contains the former configurations that led some streams elsewhere than the next
	// one, by the time until which they were in force. No two of them lead all streams alike.
	configs []formerConfig
	// lackedUntil is the time until which a configuration is missing that was in force within
	// softwareMemory.
	lackedUntil time.Duration
}

// record records that a configuration replaces another one.
func (r *formerRoutes) record(now time.Duration, old, replacement *peridotsite.Config) {
	r.removeExpired(now)
	if leadsAlike(old, replacement) {
		return
	}
	r.configs = slices.DeleteFunc(r.configs, func(c formerConfig) bool { return leadsAlike(c.routes, old) })
	if len(r.configs) >= maxFormerConfigs {
		r.lackedUntil = r.configs[0].until + softwareMemory
		r.configs = slices.Delete(r.configs, 0, 1)
	}
	routes := (&peridotsite.Config{Routes: old.Routes}).BuildIndex() // Without accounts and keys.
	r.configs = append(r.configs, formerConfig{routes: routes, until: now})
}

// removeExpired removes the configurations that were last in force before softwareMemory.
func (r *formerRoutes) removeExpired(now time.Duration) {
	r.configs = slices.DeleteFunc(r.configs, func(c formerConfig) bool { return now-c.until > softwareMemory })
}

// services returns the services to which streams with the given host and path were led by former
// configurations. It returns false if not all of these are known.
func (r *formerRoutes) services(now time.Duration, host, path string) ([]string, bool) {
	r.removeExpired(now)
	var services []string
	for _, c := range r.configs {
		if route := c.routes.Route(host, path); route != nil && route.Kind == peridotsite.Stream {
			services = append(services, serviceNames(route)...)
		}
	}
	return services, now >= r.lackedUntil
}

// serviceNames returns the names of the services to which a route leads.
func serviceNames(r *peridotsite.Route) []string {
	names := make([]string, len(r.Targets))
	for i, t := range r.Targets {
		names[i] = t.Service
	}
	return names
}

// leadsAlike reports whether two configurations lead streams by the same routes to the same
// services.
func leadsAlike(a, b *peridotsite.Config) bool {
	return slices.EqualFunc(a.Routes, b.Routes, func(r, s peridotsite.Route) bool {
		return r.Host == s.Host && r.Prefix == s.Prefix && r.Kind == s.Kind && slices.EqualFunc(r.Targets, s.Targets, func(t, u peridotsite.Target) bool { return t.Service == u.Service })
	})
}
