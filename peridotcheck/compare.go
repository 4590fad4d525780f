package peridotcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"peridotstack/peridotsite"
)

// Change is a difference between two configurations.
type Change struct {
	// Field is the path of the field in the newer file, or the older one if it is only there.
	Field string
	// Line is the line of the field in the newer file, from 1; 0 means unknown.
	Line int `json:",omitempty"`
	// Text says what the change is. It never contains a key.
	Text string
}

// entry is a route, service or account, or the limits.
type entry struct {
	// name identifies the entry in both configurations, and path in its own.
	name, path string
	values     []value
	// keys are the API keys of an account.
	keys []string
}

// value is a field of an entry.
type value struct{ name, text string }

// Compare returns what differs in next from current, apart from the version. source is the text
// of next. Entries are matched by name, routes without a name by host and prefix.
func Compare(current, next *peridotsite.Config, source *Source) []Change {
	var changes []Change
	add := func(field, format string, args ...any) {
		changes = append(changes, Change{Field: field, Line: source.Line(field), Text: fmt.Sprintf(format, args...)})
	}
	older := make(map[string]entry)
	for _, e := range entriesOf(current) {
		older[e.name] = e
	}
	for _, e := range entriesOf(next) {
		old, ok := older[e.name]
		delete(older, e.name)
		if !ok {
			add(e.path, "%s is new", e.name)
			continue
		}
		for i, v := range e.values {
			if was := old.values[i].text; was != v.text {
				add(e.path+"."+v.name, "%s: %s was %s, is %s", e.name, v.name, was, v.text)
			}
		}
		if added, removed := countMissing(e.keys, old.keys), countMissing(old.keys, e.keys); added+removed > 0 {
			add(e.path+".api-keys", "%s: new keys: %d, withdrawn keys: %d", e.name, added, removed)
		}
	}
	for _, e := range entriesOf(current) {
		if _, ok := older[e.name]; ok {
			changes = append(changes, Change{Field: e.path, Text: e.name + " is removed"})
		}
	}
	if current.Keyless != next.Keyless {
		add("tenants", "routes that are not public: requests need a key: was %v, is %v", !current.Keyless, !next.Keyless)
	}
	return changes
}

// countMissing returns how many of the keys are not among the others.
func countMissing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

// entriesOf returns the entries of a configuration. Each has its own name.
func entriesOf(c *peridotsite.Config) []entry {
	entries := []entry{limitsEntry(c.Limits)}
	for i := range c.Routes {
		entries = append(entries, routeEntry(i, &c.Routes[i]))
	}
	for i := range c.Services {
		entries = append(entries, serviceEntry(i, &c.Services[i]))
	}
	for i, a := range c.Accounts {
		l := a.Limit
		entries = append(entries, entry{name: fmt.Sprintf("account %q", a.Name), path: fmt.Sprintf("tenants[%d]", i), keys: a.Keys, values: []value{
			{"rate-per-s", numberText(l.Rate)}, {"burst", numberText(l.Burst)}, {"unit", unitOf(l)}, {"raw-tokens", numberText(l.RawTokens)},
		}})
	}
	seen := make(map[string]int)
	for i := range entries {
		name := entries[i].name
		if seen[name]++; seen[name] > 1 {
			entries[i].name = fmt.Sprintf("%s (number %d)", name, seen[name])
		}
	}
	return entries
}

func limitsEntry(l peridotsite.Limits) entry {
	return entry{name: "limits", path: "limits", values: []value{
		{"max-header-bytes", fmt.Sprint(l.HeaderBytes)},
		{"max-body-bytes", boundText(l.BodyBytes)},
		{"header-timeout-ms", fmt.Sprint(l.HeaderTimeout.Milliseconds())},
		{"idle-timeout-ms", fmt.Sprint(l.IdleTimeout.Milliseconds())},
	}}
}

func routeEntry(index int, r *peridotsite.Route) entry {
	var targets []string
	for _, t := range r.Targets {
		targets = append(targets, fmt.Sprintf("%s:%d", t.Service, t.Weight))
	}
	slices.Sort(targets)
	return entry{name: fmt.Sprintf("route %q", cmp.Or(r.Name, r.Host+r.Prefix)), path: fmt.Sprintf("routes[%d]", index), values: []value{
		{"host", r.Host},
		{"prefix", r.Prefix},
		{"type", [...]string{peridotsite.Mutating: "mutating", peridotsite.Safe: "safe", peridotsite.Stream: "stream"}[r.Kind]},
		{"timeout-ms", fmt.Sprint(r.Timeout.Milliseconds())},
		{"slo-ms", fmt.Sprint(r.Objective.Milliseconds())},
		{"gap-target-ms", fmt.Sprint(r.Gap.Milliseconds())},
		{"prio", fmt.Sprint(r.Rank)},
		{"attempts", fmt.Sprint(r.Attempts)},
		{"public", fmt.Sprint(r.Public)},
		{"resumable", fmt.Sprint(r.Resumable)},
		{"backends", cmp.Or(strings.Join(targets, " "), "none")},
	}}
}

func serviceEntry(index int, s *peridotsite.Service) entry {
	engine := peridotsite.Engine{}
	if s.Engine != nil {
		engine = *s.Engine
	}
	return entry{name: fmt.Sprintf("service %q", s.Name), path: fmt.Sprintf("services[%d]", index), values: []value{
		{"max-conns", boundText(s.MaxConns)},
		{"engine", map[bool]string{true: "present", false: "absent"}[s.Engine != nil]},
		{"engine.slots", fmt.Sprint(engine.Slots)},
		{"engine.kv-cap", fmt.Sprint(engine.CacheTokens)},
		{"engine.kv-token-bytes", fmt.Sprint(engine.TokenBytes)},
		{"engine.nic-mbps", numberText(engine.LinkBytesPerSecond * 8 / 1e6)},
	}}
}

func unitOf(l peridotsite.AccountLimit) string {
	if l.InTokens {
		return "tokens"
	}
	return "requests"
}

// boundText returns a bound of which 0 means that it is absent and a negative number 0.
func boundText(n int) string {
	if n == 0 {
		return "absent"
	}
	return fmt.Sprint(max(0, n))
}
