package peridotplace

import (
	"slices"
	"time"

	"peridotstack/peridotsite"
)

// Alternative describes the servers that can take over a request from another server.
type Alternative struct {
	Service string
	// SoftwareVersion is the only software version that the server may have; empty means
	// any.
	SoftwareVersion string
	// Generates is set if the server must be an engine that generates answers.
	Generates bool
	// Exclude holds the IDs of servers that must not be chosen, and ExcludeVersions the
	// software versions of such servers.
	Exclude, ExcludeVersions []string
}

// excludes reports whether a server must not be chosen.
func (a *Alternative) excludes(s *server) bool {
	return slices.Contains(a.Exclude, s.ID) || slices.Contains(a.ExcludeVersions, s.SoftwareVersion)
}

// HasAlternative reports whether a server fulfills a that may get requests and has not
// failed often. In contrast to Place, it accepts neither other servers nor trials, but it
// accepts a busy server that has no reason to send anything yet.
func (p *Placer) HasAlternative(now time.Duration, a Alternative) bool {
	return slices.ContainsFunc(p.groups[groupKey{a.Service, a.SoftwareVersion}], func(s *server) bool {
		return s.canReplace(now) && !a.excludes(s) && (!a.Generates || s.generates())
	})
}

// HasRegistered reports whether a registered server that is not leaving fulfills a,
// even if it must not get a request now.
func (p *Placer) HasRegistered(a Alternative) bool {
	return slices.ContainsFunc(p.groups[groupKey{a.Service, a.SoftwareVersion}], func(s *server) bool {
		return !s.Leaving && !a.excludes(s) && (!a.Generates || s.generates())
	})
}

// Failing returns the IDs of the servers of a service at which most of the recent
// requests failed.
func (p *Placer) Failing(service string) []string {
	var ids []string
	for _, s := range p.groups[groupKey{service: service}] {
		if s.failing() {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Usable reports whether a server is registered and may get a request now.
func (p *Placer) Usable(now time.Duration, id string) bool {
	s := p.servers[id]
	return s != nil && s.usable(now)
}

// canReplace reports whether the server can replace another one now. A plain server may send
// nothing before the end of a request, so its silence says nothing.
func (s *server) canReplace(now time.Duration) bool {
	return s.reachable(now) && !s.failing() && (s.engine == nil || !s.unresponsive(now) || s.firstTokenPending(now))
}

// generates reports whether the server is an engine that generates answers.
func (s *server) generates() bool {
	return s.engine != nil && s.Role != peridotsite.Prefill
}
