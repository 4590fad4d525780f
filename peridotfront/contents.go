package peridotfront

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"peridotstack/peridotorigin"
	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
)

// earlierLookupTime is how long a new stream waits for what other fronts know of an
// earlier attempt of its caller.
const earlierLookupTime = 20 * time.Millisecond

// mixedSoftware stands in logs for the software versions of a content of which streams
// began at several.
const mixedSoftware = "mixed"

// contentKey returns the key of the streams that requests like this one begin.
func (x *exchange) contentKey() peridotorigin.Key {
	return peridotorigin.ContentKeyOf(fmt.Sprintf("%x %q %d %d", uint64(x.identity), x.call.Model, x.promptTokens(), x.call.MaxTokens))
}

// foundOrigin is the result of one look-up, as in the metrics, and what it found.
type foundOrigin struct {
	peridotorigin.Finding
	result string
}

// mayBeStored reports whether no front knows the origin, so that only the table service may.
func (o *foundOrigin) mayBeStored() bool {
	return o.result == lookupUnknown || o.result == lookupTimedOut
}

// software returns the software version of a found origin for the logs.
func (o *foundOrigin) software() string {
	if o.Version == peridotorigin.Mixed {
		return mixedSoftware
	}
	_, software := decodeOrigin(strings.TrimPrefix(o.Version, peridotorigin.Mixed))
	return software
}

// streamOrigins contains what is known of the origin of a stream that a caller resumes. Its
// name is nil if the caller names no request.
type streamOrigins struct {
	content foundOrigin
	name    *foundOrigin
}

// findOrigins asks what fronts know of the stream that the request resumes.
func (x *exchange) findOrigins() streamOrigins {
	f := x.front
	var found streamOrigins
	named := make(chan foundOrigin, 1)
	if x.call.Resumes != "" {
		go func() {
			origin, result, ok := f.findOrigin(x.ctx, x.call.Resumes)
			named <- foundOrigin{Finding: peridotorigin.Finding{Version: origin, Known: ok}, result: result}
		}()
	}
	found.content = f.findContent(x.ctx, x.contentKey())
	if x.call.Resumes != "" {
		name := <-named
		found.name = &name
	}
	return found
}

// findStoredOrigins reads the table service for what no front knows of the stream.
func (x *exchange) findStoredOrigins(found *streamOrigins) {
	f := x.front
	isRead := f.origins.stored.reads.await(x.ctx, originReadTimeout)
	if found.name != nil && found.name.mayBeStored() {
		*found.name = f.origins.storedOrigin(peridotorigin.KeyOf(x.call.Resumes), isRead)
		f.metrics.CountOriginLookup(found.name.result)
	}
	stored := f.origins.storedOrigin(x.contentKey(), isRead)
	switch {
	case found.content.mayBeStored():
		found.content = stored
		f.metrics.CountContentLookup(stored.result)
	case found.content.Known && stored.Known:
		found.content.Version = peridotorigin.Merge(found.content.Version, stored.Version)
	}
}

// storedOrigin returns what this front knows of a key once the rows were to be read.
func (o *origins) storedOrigin(key peridotorigin.Key, isRead bool) foundOrigin {
	if !isRead {
		return foundOrigin{result: lookupUnread}
	}
	version, ok := o.version(key)
	switch {
	case !ok && !o.hasReadAll():
		return foundOrigin{result: lookupUnread}
	case !ok:
		return foundOrigin{result: lookupNotStored}
	}
	return foundOrigin{Finding: peridotorigin.Finding{Version: version, Known: true}, result: lookupStored}
}

// mayBeStored reports whether the table service may know what the fronts don't, and it would
// decide.
func (s *streamOrigins) mayBeStored() bool {
	return s.name != nil && (s.content.mayBeStored() || s.name.mayBeStored())
}

// agree returns the origin at which the stream goes on.
func (s *streamOrigins) agree() (origin string, agreement peridotorigin.Agreement) {
	if s.name == nil {
		return peridotorigin.Agree(s.content.Finding, nil)
	}
	return peridotorigin.Agree(s.content.Finding, &s.name.Finding)
}

// allow reports whether nothing that is known contradicts that the stream began at the given
// service and software version.
func (s *streamOrigins) allow(service, software string) bool {
	findings := []peridotorigin.Finding{s.content.Finding}
	if s.name != nil {
		findings = append(findings, s.name.Finding)
	}
	return !slices.ContainsFunc(findings, func(f peridotorigin.Finding) bool {
		knownService, knownSoftware := decodeOrigin(strings.TrimPrefix(f.Version, peridotorigin.Mixed))
		return f.Known && (knownSoftware != software || knownService != "" && knownService != service)
	})
}

// findContent returns where the streams with a content began. It asks the other fronts also
// if this one knows, since they may know another origin.
func (f *Front) findContent(ctx context.Context, key peridotorigin.Key) foundOrigin {
	start := f.now()
	version, result := f.origins.findContent(ctx, key)
	f.metrics.CountContentLookup(result)
	f.metrics.RecordDuration("content_lookup", f.now()-start)
	known := result == lookupOwn || result == lookupFound
	return foundOrigin{Finding: peridotorigin.Finding{Version: version, Known: known}, result: result}
}

func (o *origins) findContent(ctx context.Context, key peridotorigin.Key) (version, result string) {
	own, ok := o.version(key)
	isAlone := o.front.peers.hasReadRoster() && o.fronts().known.Len() == 0
	switch {
	case ok && (own == peridotorigin.Mixed || isAlone):
		return own, lookupOwn
	case isAlone:
		return "", lookupUnknown
	}
	return o.ask(ctx, o.register(originLookup{key: key, lookup: peridotorigin.NewContentLookup(o.front.now()), isContent: true}, lookupsPerStream*maxLookups))
}

// findBriefly returns where the streams with a content began, if this front knows or another
// one answers within earlierLookupTime.
func (o *origins) findBriefly(ctx context.Context, key peridotorigin.Key) peridotorigin.Finding {
	version, ok := o.version(key)
	if !ok && o.front.peers.hasAlive() {
		ctx, cancel := context.WithTimeout(ctx, earlierLookupTime)
		defer cancel()
		var result string
		// Half of the look-ups are left for resumed streams.
		version, result = o.ask(ctx, o.register(originLookup{key: key, lookup: peridotorigin.NewLookup(o.front.now()), isBrief: true}, maxLookups))
		ok = result == lookupFound
	}
	return peridotorigin.Finding{Version: version, Known: ok}
}

// earlierAttempt says where an earlier attempt of a new stream began.
type earlierAttempt struct {
	service  *peridotsite.Service
	software string
	// drawn is the service that the route drew for the request.
	drawn *peridotsite.Service
	// counted is set once the request was placed there.
	counted bool
}

// findEarlier finds out where a new stream began before if its caller repeats the request.
// Streams that are alike but began at two software versions can't be resumed.
func (x *exchange) findEarlier() {
	f := x.front
	if x.route.Kind != peridotsite.Stream || !x.route.Idempotent() || !f.servesSeveral(x.route) {
		return
	}
	x.alike = f.origins.findBriefly(x.ctx, x.contentKey())
	origin, ok := peridotorigin.Single(x.alike)
	if !ok {
		return
	}
	name, software := decodeOrigin(origin)
	isTarget := slices.ContainsFunc(x.route.Targets, func(t peridotsite.Target) bool { return t.Service == name })
	if s := x.config.Service(name); isTarget && s != nil {
		x.earlier = &earlierAttempt{service: s, software: software, drawn: x.service}
		x.logFields["earlier_software"] = software
	}
}

// servesSeveral reports whether a route leads to servers of several software versions or
// services, by what is known without asking.
func (f *Front) servesSeveral(route *peridotsite.Route) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var first serviceSoftware
	for _, record := range []softwareRecord{f.backends.software, f.backends.peerSoftware} {
		for s := range record {
			if !slices.ContainsFunc(route.Targets, func(t peridotsite.Target) bool { return t.Service == s.service }) {
				continue
			}
			if first != (serviceSoftware{}) && s != first {
				return true
			}
			first = s
		}
	}
	return false
}

// placeAsEarlier chooses servers for a new stream where an earlier attempt of its caller
// began. It returns false if there was none, or if no server takes the request there in
// time; the stream then begins anywhere.
func (x *exchange) placeAsEarlier() (peridotplace.Choice, bool) {
	if x.earlier == nil || x.softwareFixed {
		return peridotplace.Choice{}, false
	}
	x.service = x.earlier.service
	choice, ok := x.place(x.earlier.software)
	if !ok || len(x.refusedBackends) > 0 || x.service.Engine != nil && x.isLate(choice) {
		x.service, x.earlier = x.earlier.drawn, nil
		return peridotplace.Choice{}, false
	}
	if !x.earlier.counted {
		x.earlier.counted = true
		x.front.metrics.Count("streams_placed_as_earlier")
	}
	return choice, true
}
