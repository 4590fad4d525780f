package peridotcheck

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"

	"peridotstack/peridotsite"
)

// checkRoutes reports routes that never match, that serve nothing, and whose times contradict
// each other.
func (c *checker) checkRoutes() {
	for i := range c.config.Routes {
		r, path := &c.config.Routes[i], fmt.Sprintf("routes[%d]", i)
		c.checkHost(path+".host", r.Host)
		c.checkPrefix(path+".prefix", r)
		c.checkTimes(path, r)
		c.checkTargets(path, r)
		c.checkSourceOfRoute(path, r)
	}
}

// checkHost reports hosts that no request has: fronts compare the host of a request in lower
// case and without its port.
func (c *checker) checkHost(field, host string) {
	_, _, err := net.SplitHostPort(host)
	switch {
	case host == "":
		c.warn(field, "the route matches only requests that name no host")
	case strings.ContainsAny(host, "/ "):
		c.warn(field, "host %q never matches: it is not the name of a host", host)
	case err == nil:
		c.warn(field, "host %q never matches: the port of a request's host is not compared", host)
	case strings.ToLower(host) != host:
		c.warn(field, "host %q never matches: a request's host is compared in lower case", host)
	case strings.Contains(host, "*"):
		c.warn(field, "host %q matches only itself, because there are no wildcards", host)
	}
}

// checkPrefix reports prefixes that no path has, and routes that are always preceded by another.
func (c *checker) checkPrefix(field string, r *peridotsite.Route) {
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		c.warn(field, "prefix %q never matches: each path begins with a slash", r.Prefix)
		return
	}
	// A prefix that can't be parsed may still be one of a path, as it may end within an escape.
	if u, err := url.ParseRequestURI(r.Prefix); err == nil && (u.RawQuery != "" || u.ForceQuery || u.EscapedPath() != r.Prefix) {
		c.warn(field, "prefix %q never matches: it is compared with the escaped path without the query", r.Prefix)
		return
	}
	// A route that doesn't get the requests for its own prefix gets none: the one that does
	// comes earlier and has the same prefix. Each path has the empty prefix and the prefix "/".
	first := c.config.Route(r.Host, r.Prefix)
	if r.Prefix == "" {
		first = c.config.Route(r.Host, "/")
	}
	for i := range c.config.Routes {
		if first != r && first == &c.config.Routes[i] {
			c.warn(field, "the route never matches: routes[%d] has the same host and precedes it for each path", i)
		}
	}
}

// checkTimes reports times that contradict each other.
func (c *checker) checkTimes(path string, r *peridotsite.Route) {
	timeout, objective, gap := r.Timeout.Milliseconds(), r.Objective.Milliseconds(), r.Gap.Milliseconds()
	c.warnIfNegative(path+".timeout-ms", float64(timeout), "absent")
	c.warnIfNegative(path+".slo-ms", float64(objective), "absent")
	c.warnIfNegative(path+".gap-target-ms", float64(gap), "absent")
	if timeout <= 0 {
		return
	}
	if objective > timeout {
		c.warn(path+".slo-ms", "the timeout of %d ms ends requests before the objective of %d ms has passed", timeout, objective)
	}
	if r.Kind == peridotsite.Stream && gap > timeout {
		c.warn(path+".gap-target-ms", "the timeout of %d ms ends streams before a gap of %d ms has passed", timeout, gap)
	}
}

// checkTargets reports routes without servers.
func (c *checker) checkTargets(path string, r *peridotsite.Route) {
	if len(r.Targets) == 0 {
		c.warn(path, "requests on the route are refused, because no service has a weight above 0")
	}
	for _, t := range r.Targets {
		switch s := c.config.Service(t.Service); {
		case s == nil:
			c.warn(c.fieldOfTarget(path, t.Service), "requests for service %q are refused, because it is not in the list of services", t.Service)
		case s.MaxConns < 0:
			c.warn(c.fieldOfTarget(path, t.Service), "the route sends requests to service %q, whose servers accept no connections (max-conns)", t.Service)
		}
	}
}

// fieldOfTarget returns the path of the field of a route that names the service.
func (c *checker) fieldOfTarget(path, service string) string {
	for i := range c.source.Len(path + ".backends") {
		field := fmt.Sprintf("%s.backends[%d].service", path, i)
		if c.source.Text(field) == service {
			return field
		}
	}
	return path + ".service"
}

// checkSourceOfRoute reports values that the decoded route doesn't have.
func (c *checker) checkSourceOfRoute(path string, r *peridotsite.Route) {
	kind := c.source.Text(path + ".type")
	if r.Kind == peridotsite.Mutating && kind != "" && kind != "mutating" {
		c.warn(path+".type", "type %q is unknown and taken as mutating", kind)
	}
	if attempts := c.source.Text(path + ".attempts"); strings.HasPrefix(attempts, "-") {
		c.warn(path+".attempts", "%s is negative and taken as 1", attempts)
	}
	backends := c.source.Len(path + ".backends")
	var named []string
	for i := range backends {
		field := fmt.Sprintf("%s.backends[%d]", path, i)
		named = append(named, c.source.Text(field+".service"))
		if weight := c.source.Text(field + ".weight"); strings.HasPrefix(weight, "-") {
			c.warn(field+".weight", "%s is negative and taken as 0", weight)
		}
	}
	if service := c.source.Text(path + ".service"); backends > 0 && service != "" && !slices.Contains(named, service) {
		c.warn(path+".service", "service %q gets no requests, because the route has backends, which count instead", service)
	}
}
