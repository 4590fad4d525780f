package peridotfront

import (
	"slices"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotplace"
	"peridotstack/peridotsite"
	"peridotstack/peridotverdict"
)

const (
	// unstoredTolerance is how long a software version that is not stored yet gets no new
	// streams, if no other takes them. It leaves time for an answer within the shortest
	// timeouts of routes.
	unstoredTolerance = 500 * time.Millisecond
	// unstoredReadDelay is how long a front leaves it to others to store a version before it
	// looks for the row.
	unstoredReadDelay = 25 * time.Millisecond
)

// unstoredVersion says since when a front has known a software version to lack its row, and
// whether the front has logged that streams began there.
type unstoredVersion struct {
	since    time.Duration
	isLogged bool
}

// isStored reports whether the table service is known to have the row of a software version
// in an era.
func (h *softwareHistory) isStored(era int64, s serviceSoftware) bool {
	_, ok := h.stored[s]
	return ok && h.readEra == era
}

// unstoredSince returns since when a software version is known to lack its row.
func (h *softwareHistory) unstoredSince(now time.Duration, s serviceSoftware) time.Duration {
	if h.unstored[s] == nil {
		h.unstored[s] = &unstoredVersion{since: now}
	}
	return h.unstored[s].since
}

// updateUnstored records which of the given software versions lack their rows in an era.
func (h *softwareHistory) updateUnstored(now time.Duration, era int64, registered []serviceSoftware) {
	for s := range h.unstored {
		if !slices.Contains(registered, s) || h.isStored(era, s) {
			delete(h.unstored, s)
		}
	}
	for _, s := range registered {
		if !h.isStored(era, s) {
			h.unstoredSince(now, s)
		}
	}
}

// announceChange lets requests that wait for rows look again.
func (h *softwareHistory) announceChange() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// registeredSoftware returns the software versions of the known backend servers.
func (b *backends) registeredSoftware() []serviceSoftware {
	var list []serviceSoftware
	for _, server := range b.byID {
		if s := softwareOfServer(server); !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

func softwareOfServer(b peridotsite.Backend) serviceSoftware {
	return serviceSoftware{b.Service, b.SoftwareVersion}
}

// returnedVersion says which version in which era the row of a software version had when the
// software version came back.
type returnedVersion struct {
	era, rowVersion int64
}

// forgetAbsent makes this front put the rows of software versions anew that come back after
// half of softwareMemory: the holder of the duties may delete those that it has read.
func (f *Front) forgetAbsent(now time.Duration, list []peridotsite.Backend) {
	f.backends.recordSoftware(now)
	h := &f.history
	for _, b := range list {
		s := softwareOfServer(b)
		rowVersion, ok := h.stored[s]
		if at, known := f.backends.software[s]; ok && (!known || now-at > softwareMemory/2) {
			h.returned[s] = returnedVersion{era: h.readEra, rowVersion: rowVersion}
			delete(h.stored, s)
		}
	}
}

// awaitsNewRow reports whether a software version has come back and its row, of the given
// version, has not been put since: a delete that checks the version may still take effect.
func (h *softwareHistory) awaitsNewRow(era int64, s serviceSoftware, rowVersion int64) bool {
	r, ok := h.returned[s]
	if !ok {
		return false
	}
	if r.era != era { // Versions of two eras cannot be compared.
		r = returnedVersion{era: era, rowVersion: rowVersion}
		h.returned[s] = r
	}
	return rowVersion <= r.rowVersion
}

// beginsStream reports whether the request may begin a stream. Its route may become resumable
// while the stream runs.
func (x *exchange) beginsStream() bool {
	return x.route.Kind == peridotsite.Stream && !x.softwareFixed
}

// mayBegin reports whether the request may be sent to a backend server: a stream must not begin
// at a software version that fronts would not know after a restart. The caller must hold
// Front.mu.
func (x *exchange) mayBegin(to peridotsite.Backend) bool {
	return !x.beginsStream() || x.toleratesUnstored || x.front.history.isStored(x.front.platform.Era(), softwareOfServer(to))
}

// excludeUnstored excludes the software versions that are not stored yet if a server of one of
// them was chosen. It reports whether it excluded any. The caller must hold Front.mu.
func (x *exchange) excludeUnstored(c peridotplace.Choice) bool {
	f := x.front
	chosen := []string{c.Backend, c.PrefillBackend}
	if !slices.ContainsFunc(chosen, func(id string) bool {
		b, ok := f.backends.byID[id]
		return ok && !x.mayBegin(b)
	}) {
		return false
	}
	now, before := f.now(), len(x.unstoredSoftware)
	for _, b := range f.backends.byID {
		s := softwareOfServer(b)
		if s.service != x.service.Name || slices.Contains(x.unstoredSoftware, s) || x.mayBegin(b) {
			continue
		}
		until := f.history.unstoredSince(now, s) + unstoredTolerance
		if len(x.unstoredSoftware) == 0 || until < x.unstoredUntil {
			x.unstoredUntil = until
		}
		x.unstoredSoftware = append(x.unstoredSoftware, s)
	}
	return len(x.unstoredSoftware) > before
}

// excludedVersions returns the software versions of the request's service whose servers must
// not be chosen.
func (x *exchange) excludedVersions() []string {
	var versions []string
	for _, s := range x.unstoredSoftware {
		if s.service == x.service.Name {
			versions = append(versions, s.version)
		}
	}
	return versions
}

// awaitStored waits until the rows have changed, if software versions were excluded because they
// are not stored yet, or else until the request may be sent there all the same. It returns false
// if none were, or once the request has ended.
func (x *exchange) awaitStored() bool {
	if len(x.unstoredSoftware) == 0 {
		return false
	}
	f := x.front
	f.mu.Lock()
	changed, wait := f.history.changed, x.unstoredUntil-f.now()
	f.mu.Unlock()
	f.metrics.Count("streams_awaiting_history")
	read := time.AfterFunc(unstoredReadDelay, func() {
		f.history.reads.want()
		notify(f.history.reads.wanted)
	})
	defer read.Stop()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
		x.tolerateUnstored()
	case <-x.ctx.Done():
		return false
	}
	return true
}

// tolerateUnstored lets the request begin a stream at software versions that are not stored:
// what cannot be stored must not stop all streams.
func (x *exchange) tolerateUnstored() {
	x.toleratesUnstored = true
	x.logFields["unstored"] = true
	f := x.front
	f.metrics.Count("streams_of_unstored_versions")
	f.mu.Lock()
	defer f.mu.Unlock()
	for s, u := range f.history.unstored {
		if s.service == x.service.Name && !u.isLogged {
			u.isLogged = true
			log.WithFields(log.Fields{"service": s.service, "software": s.version, "unstored_ms": f.now() - u.since}).Warn(logPrefix + "streams begin at a software version that could not be stored")
		}
	}
}

// refuseUnstored returns an error if the request must not be sent to a backend server, whose
// software version may have changed since it was chosen.
func (x *exchange) refuseUnstored(to peridotsite.Backend) *peridotverdict.Error {
	x.front.mu.Lock()
	defer x.front.mu.Unlock()
	if x.mayBegin(to) {
		return nil
	}
	return peridotverdict.New(peridotverdict.NoBackend, peridotverdict.NotRun, "the software version of the server is not stored yet", peridotverdict.RetryAfter(noBackendRetryAfter))
}
