package peridotfront

import (
	"context"
	"slices"
	"strings"
	"time"
)

// softwareProof says what a front knew when it decided whether a stream of unknown origin may
// go on at the only software version that has served.
type softwareProof struct {
	// versions are the software versions that are known to have served, sorted.
	versions []serviceSoftware
	// hasRead is set if the history has been read for this request.
	hasRead bool
	// era is that of the table service, readEra that in which the history was read, and
	// completeEra the newest one in which it lacked no version.
	era, readEra, completeEra int64
	// unreadable is the number of rows of the history that could not be decoded.
	unreadable int
	// age is the time since the history was read.
	age time.Duration
}

// sole returns the only software version, and whether it is proved to be.
func (p softwareProof) sole() (serviceSoftware, bool) {
	if !p.hasRead || p.readEra != p.era || p.completeEra != p.era || p.unreadable > 0 || len(p.versions) != 1 {
		return serviceSoftware{}, false
	}
	return p.versions[0], true
}

// provenSoftware returns what proves that services have had one software version. This
// front's view of the servers may be late; the history is not, since no version begins a
// stream before its row is stored. So the history is read anew if it can prove anything.
func (f *Front) provenSoftware(ctx context.Context, services ...string) softwareProof {
	if _, ok := f.onlySoftware(services...); !ok {
		return f.softwareProof(false, services)
	}
	if f.history.reads.until(f.now(), f.readInterval()) > originReadTimeout {
		return f.softwareProof(false, services)
	}
	hasRead := f.history.reads.await(ctx, originReadTimeout)
	_, ok := f.onlySoftware(services...)
	return f.softwareProof(hasRead && ok, services)
}

// softwareProof returns what is known of the software versions of services.
func (f *Front) softwareProof(hasRead bool, services []string) softwareProof {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, now := &f.history, f.now()
	versions := f.backends.servedSoftware(now, services...)
	for s := range h.stored {
		if slices.Contains(services, s.service) && !slices.Contains(versions, s) {
			versions = append(versions, s)
		}
	}
	slices.SortFunc(versions, func(a, b serviceSoftware) int {
		return strings.Compare(encodeOrigin(a.service, a.version), encodeOrigin(b.service, b.version))
	})
	return softwareProof{versions: versions, hasRead: hasRead, era: f.platform.Era(), readEra: h.readEra, completeEra: h.completeEra, unreadable: len(h.unreadable), age: now - h.readAt}
}

// streamServices returns the services at which a stream like that of the request may have
// begun: those to which its route leads, and those to which it was led before. It returns false
// if not all of these are known.
func (x *exchange) streamServices() ([]string, bool) {
	f := x.front
	f.mu.Lock()
	former, ok := f.formerRoutes.services(f.now(), x.host, x.path)
	f.mu.Unlock()
	return append(append(former, x.service.Name), serviceNames(x.route)...), ok
}

// untilOriginRead returns how long it takes until the rows that tell where a stream of unknown
// origin may go on can be read again.
func (x *exchange) untilOriginRead() time.Duration {
	f := x.front
	reads := f.origins.stored.reads
	services, complete := x.streamServices()
	if _, ok := f.onlySoftware(services...); ok && complete {
		reads = f.history.reads
	}
	return reads.until(f.now(), f.readInterval())
}

// proveSoftware makes a stream of unknown origin go on at the only software version of all
// services at which it may have begun, if it is proved to be.
func (x *exchange) proveSoftware() {
	services, ok := x.streamServices()
	if !ok {
		return
	}
	proof := x.front.provenSoftware(x.ctx, services...)
	names := make([]string, len(proof.versions))
	for i, s := range proof.versions {
		names[i] = s.service + " " + s.version
	}
	x.logFields["versions"], x.logFields["history_age_ms"] = names, proof.age
	s, ok := proof.sole()
	if !ok {
		return
	}
	if s.service != x.service.Name {
		service := x.config.Service(s.service)
		if service == nil || !slices.Contains(serviceNames(x.route), s.service) {
			return
		}
		x.service = service
	}
	x.software, x.softwareFixed = s.version, true
}
