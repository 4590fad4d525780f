package peridotfront

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotorigin"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// softwareMemory is how long a software version counts as serving after its last
	// server has left. It exceeds the time for which callers resume streams.
	softwareMemory = 5 * time.Minute
	// softwareGatherTime is how long a front that has just started waits for the
	// announcements of all other fronts before those of some must do. An announcement
	// comes about every 200 ms.
	softwareGatherTime = 2 * time.Second
	// maxSoftwareAges limits the number of software versions in one datagram. One takes
	// about 20 bytes.
	maxSoftwareAges = 32
	// maxAnnouncedBytes limits the length of a software version in a datagram.
	maxAnnouncedBytes = 64
	// maxHeardSoftware limits the software versions that are known only from datagrams.
	maxHeardSoftware = 1024
	// unstatedSoftware stands for the software version of servers that state none.
	unstatedSoftware = "unstated"
	// softwareRetryAfter is the Retry-After if the software version of a resumed stream
	// is unknown. By then other fronts have sent several datagrams.
	softwareRetryAfter = 300 * time.Millisecond
	// hurriedBatchDelay is a lower bound of the time between two reads of the servers while
	// resumed streams lack one of their software version.
	hurriedBatchDelay = 200 * time.Millisecond
)

// serviceSoftware is a software version of a service.
type serviceSoftware struct {
	service, version string
}

// softwareRecord contains, for each software version, the value of Front.now when a
// server of it was last registered.
type softwareRecord map[serviceSoftware]time.Duration

// softwareAge says how long ago a server of a software version was last registered.
type softwareAge struct {
	_                struct{} `cbor:",toarray"`
	Service, Version string
	Millis           uint32
}

// ages returns the entries of the record, the oldest first: a front knows the software
// versions that are registered itself. It omits versions that are too long to be sent.
func (r softwareRecord) ages(now time.Duration) []softwareAge {
	var list []softwareAge
	for s, at := range r {
		if len(s.version) > maxAnnouncedBytes {
			continue
		}
		list = append(list, softwareAge{Service: s.service, Version: s.version, Millis: uint32((now - at).Milliseconds())})
	}
	slices.SortFunc(list, func(a, b softwareAge) int { return cmp.Compare(b.Millis, a.Millis) })
	return list
}

// removeExpired removes the entries older than softwareMemory.
func (r softwareRecord) removeExpired(now time.Duration) {
	for s, at := range r {
		if now-at > softwareMemory {
			delete(r, s)
		}
	}
}

// nameSoftware returns the backend servers with a software version for those that state
// none: an empty version means any version where servers are chosen.
func nameSoftware(list []peridotsite.Backend) []peridotsite.Backend {
	named := slices.Clone(list)
	for i := range named {
		named[i].SoftwareVersion = cmp.Or(named[i].SoftwareVersion, unstatedSoftware)
	}
	return named
}

// recordSoftware records the software versions of the known backend servers.
func (b *backends) recordSoftware(now time.Duration) {
	if b.software == nil {
		b.software, b.peerSoftware = make(softwareRecord), make(softwareRecord)
	}
	for _, s := range b.byID {
		b.software[serviceSoftware{s.Service, s.SoftwareVersion}] = now
	}
	b.software.removeExpired(now)
	b.peerSoftware.removeExpired(now)
}

// observeSoftware records the software versions that another front has seen. They are
// not passed on: the ages would grow by less than the time that passes.
func (b *backends) observeSoftware(now time.Duration, list []softwareAge) {
	if len(list) == 0 {
		return
	}
	b.recordSoftware(now)
	for _, a := range list {
		s, at := serviceSoftware{a.Service, a.Version}, now-time.Duration(a.Millis)*time.Millisecond
		last, ok := b.peerSoftware[s]
		if !ok && (len(b.peerSoftware) >= maxHeardSoftware || len(a.Service)+len(a.Version) > maxSoftwareBytes) {
			continue
		}
		if !ok || at > last {
			b.peerSoftware[s] = at
		}
	}
	b.peerSoftware.removeExpired(now)
}

// servedSoftware returns the software versions of services that have served within
// softwareMemory.
func (b *backends) servedSoftware(now time.Duration, services ...string) []serviceSoftware {
	b.recordSoftware(now)
	var served []serviceSoftware
	for _, record := range []softwareRecord{b.software, b.peerSoftware} {
		for s := range record {
			if slices.Contains(services, s.service) && !slices.Contains(served, s) {
				served = append(served, s)
			}
		}
	}
	return served
}

// soleSoftware returns the software version of services if just one of one service has
// served within softwareMemory.
func (b *backends) soleSoftware(now time.Duration, services ...string) (version string, ok bool) {
	served := b.servedSoftware(now, services...)
	if len(served) != 1 {
		return "", false
	}
	return served[0].version, true
}

// onlySoftware returns the software version of services if just one of one service is known
// to have served lately. It returns false while the table service does not answer, since a
// server of another version may have registered, and until this front has learned which
// versions had left before it started. It proves nothing: see provenSoftware.
func (f *Front) onlySoftware(services ...string) (version string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostFeeds[FeedBackends] || !f.knowsPastSoftware() {
		return "", false
	}
	return f.backends.soleSoftware(f.now(), services...)
}

// knowsPastSoftware reports whether this front knows which software versions have served
// within softwareMemory: it has run for that time, has read a complete history, or has heard
// from another front that knows. What fronts have seen that don't know the past themselves
// proves nothing. The caller must hold f.mu.
func (f *Front) knowsPastSoftware() bool {
	h := &f.history
	if !h.knowsPast && f.now() > softwareMemory {
		h.knowsPast = true
	}
	if !h.knowsPast && f.hasHeardPast() {
		h.knowsPast = true
		h.following.miss(f.now()) // The other front may have.
	}
	return h.knowsPast
}

// hasHeardPast reports whether all other fronts, or after softwareGatherTime some, have
// announced the software versions that they have seen, one of them from the past on.
func (f *Front) hasHeardPast() bool {
	if !f.peers.hasReadRoster() {
		return false // Other fronts may exist.
	}
	a := f.peers.softwareAnnouncers()
	return a.knowPast > 0 && (a.announced == a.known || f.now() > softwareGatherTime)
}

// resumption is the result of a request that resumes a stream, in metrics and logs.
type resumption string

const (
	// resumedKnown streams go on at the software version that began them.
	resumedKnown resumption = "known"
	// resumedSingle streams have an unknown origin and go on at the only software
	// version of their service.
	resumedSingle resumption = "single"
	// resumptionUnknown streams have an unknown origin and are refused.
	resumptionUnknown resumption = "refused_unknown"
	// resumptionMixed streams may have begun at several software versions and are refused:
	// streams that are alike did, or the caller names a request of another one.
	resumptionMixed resumption = "refused_mixed"
	// resumptionNoServer streams are refused because no server of their software
	// version takes requests.
	resumptionNoServer resumption = "refused_no_server"
)

// resumesStream reports whether the caller goes on with a stream that an earlier
// request began.
func (x *exchange) resumesStream() bool {
	return x.call.LastEventID != "" && x.route.Kind == peridotsite.Stream
}

// findSoftware sets the software version at which a resumed stream must go on. If it is
// unknown, findSoftware returns an error: what two versions write must not be joined.
func (x *exchange) findSoftware() *peridotverdict.Error {
	if !x.resumesStream() {
		x.findEarlier()
		return nil
	}
	f := x.front
	found := x.findOrigins()
	origin, agreement := found.agree()
	if agreement == peridotorigin.Unproven {
		x.proveSoftware()
		x.softwareFixed = x.softwareFixed && found.allow(x.service.Name, x.software)
	}
	if agreement == peridotorigin.Unproven && !x.softwareFixed && found.mayBeStored() {
		x.findStoredOrigins(&found)
		origin, agreement = found.agree()
	}
	x.logOrigins(found)
	switch {
	case agreement == peridotorigin.Conflicting:
		x.countResumption(resumptionMixed)
		return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the stream may have begun at several software versions", peridotverdict.RetryAfter(softwareRetryAfter))
	case agreement == peridotorigin.Agreed:
		x.resumption = resumedKnown
		x.logFields["origin_age_ms"] = f.originAge(x.call.Resumes)
		f.recordOrigin(x.call.ID, origin) // The caller may name this request next, also if it is refused.
		if err := x.resumeAt(decodeOrigin(origin)); err != nil {
			x.countResumption(resumptionNoServer)
			return err
		}
	case x.softwareFixed:
		x.resumption = resumedSingle
	default:
		x.countResumption(resumptionUnknown)
		return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the software version of the stream is unknown", peridotverdict.RetryAfter(softwareRetryAfter))
	}
	x.logFields["resumption"] = string(x.resumption)
	x.logFields["origin_software"] = x.software
	return nil
}

// logOrigins sets the log fields that say what is known of the origin of a resumed stream.
func (x *exchange) logOrigins(found streamOrigins) {
	x.logFields["origin"] = ""
	if found.name != nil {
		x.logFields["origin"] = found.name.result
		x.logFields["origin_software"] = found.name.software()
	}
	x.logFields["content_origin"] = found.content.result
	x.logFields["content_software"] = found.content.software()
}

// resumeAt makes the request go on at the service and the software version that began
// the stream. The service is empty if it is unknown. It returns an error if the route
// does not lead to the service any more.
func (x *exchange) resumeAt(service, software string) *peridotverdict.Error {
	x.software, x.softwareFixed = software, true
	x.logFields["origin_software"] = software
	if service == "" || service == x.service.Name {
		return nil
	}
	isTarget := slices.ContainsFunc(x.route.Targets, func(t peridotsite.Target) bool { return t.Service == service })
	if s := x.config.Service(service); isTarget && s != nil {
		x.service = s
		return nil
	}
	return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the route does not lead to the service of the stream any more", peridotverdict.RetryAfter(noBackendRetryAfter))
}

// encodeOrigin returns the text that is recorded for a stream.
func encodeOrigin(service, software string) string {
	return service + "\n" + software
}

// decodeOrigin returns the service, or an empty string if the text has none, and the
// software version.
func decodeOrigin(text string) (service, software string) {
	service, software, ok := strings.Cut(text, "\n")
	if !ok {
		return "", text
	}
	return service, software
}

// fixSoftware is called before an event of a server of the given software version is
// sent to the caller. All further events must have that version.
func (x *exchange) fixSoftware(software string) {
	if x.answerStarted {
		return
	}
	x.software, x.softwareFixed = software, true
	if x.resumesStream() {
		x.countResumption(x.resumption)
		x.logResumed()
	}
	if x.hasOrigin() {
		x.front.recordStream(x.streamIDs(), x.contentKey(), encodeOrigin(x.service.Name, software))
	}
}

// hasOrigin reports whether the origin of the stream is recorded.
func (x *exchange) hasOrigin() bool {
	return x.route.Idempotent() || x.resumesStream()
}

// streamIDs returns the IDs of the requests that a caller may name when it resumes the stream:
// this one, and the one that this one names.
func (x *exchange) streamIDs() []string {
	if x.resumesStream() && x.call.Resumes != x.call.ID {
		return []string{x.call.Resumes, x.call.ID}
	}
	return []string{x.call.ID}
}

// softwareFits reports whether a server may serve the request: its software version must
// be that of the stream, and that of the KV cache if source is not nil. The KV cache of a
// replaced engine may be of either version, and its handle may name another one at its successor.
func (x *exchange) softwareFits(to peridotsite.Backend, source *kvSource) bool {
	if x.softwareFixed && to.SoftwareVersion != x.software {
		return false
	}
	return source == nil || to.SoftwareVersion == source.backend.SoftwareVersion && !x.front.isReplaced(source.backend) && !x.front.hasSuccessor(source.backend)
}

// isReplaced reports whether another lifetime of a server is registered, which runs another
// software version or belongs to another service.
func (f *Front) isReplaced(s peridotsite.Backend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends.isReplaced(s)
}

// recordReplaced records a started answer as one of several software versions if the server that
// brought its last events is replaced: its caller may resume it.
func (x *exchange) recordReplaced() {
	if x.answerStarted && x.front.isReplaced(x.lastServer) {
		x.front.recordMixed(x.streamIDs(), x.contentKey())
	}
}

// replacedError returns the error of a try if a server's events, of this run or the last one, may
// be of either software version.
func replacedError(code peridotverdict.Code, verdict peridotverdict.Verdict) *peridotverdict.Error {
	return peridotverdict.New(code, verdict, "the server has started again as another software version")
}

// softwareChangedError returns the error of a try at a server that was chosen with
// another software version than it has now.
func softwareChangedError(to peridotsite.Backend) *peridotverdict.Error {
	return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the server has another software version now: "+to.SoftwareVersion)
}

// countNoServer counts a resumed stream if no server has taken it. If no server of its software
// version is known, one may have registered since the last read.
func (x *exchange) countNoServer() {
	if !x.resumesStream() || x.runs > 0 {
		return
	}
	x.countResumption(resumptionNoServer)
	if x.softwareFixed && !x.hasServer() {
		x.front.platform.HurryBackends(max(hurriedBatchDelay, x.front.readInterval()))
	}
}

// logResumed logs that a stream goes on. The line at the end of a request that went well is
// sampled, and would not show what a joined stream was taken for.
func (x *exchange) logResumed() {
	fields := log.Fields{"request": x.call.ID, "resumes": x.call.Resumes, "after_event": x.call.LastEventID, "identity": x.identity, "software": x.software}
	for _, name := range []string{"route", "account", "resumption", "origin", "origin_age_ms", "origin_software", "content_origin", "content_software", "versions", "history_age_ms"} {
		if value, ok := x.logFields[name]; ok {
			fields[name] = value
		}
	}
	log.WithFields(fields).Info(logPrefix + "stream resumed")
}

// countResumption counts and logs the result of a request that resumes a stream.
func (x *exchange) countResumption(result resumption) {
	x.logFields["resumption"] = string(result)
	x.front.metrics.CountResumption(string(result))
}
