package peridotfront

import (
	"time"

	"github.com/apex/log"

	"peridotstack/peridotsite"
)

// Names of the platform's feeds, as passed to Watcher.FeedAnswered and
// Watcher.FeedFailed.
const (
	FeedConfig   = "configuration"
	FeedBackends = "backends"
)

// reregisterTime is how long after an outage of the table service a backend server
// may take to register again if its registration expired during the outage.
const reregisterTime = 2 * time.Second

// backends tracks the registered backend servers, and those whose registration may
// have expired only because the table service was unavailable. Its times are values
// of Front.now.
type backends struct {
	// known is set once there has been a list of backend servers.
	known bool
	// byID contains the known backend servers, by ID: those in use.
	byID map[string]peridotsite.Backend
	// idsByAddress contains the IDs of the known backend servers by address, and may contain
	// some that are not known any more.
	idsByAddress map[string][]string
	// idByHash contains the IDs of the known backend servers, by the hash that
	// identifies each of them in datagrams.
	idByHash map[uint32]string
	// serviceByHash contains the names of the configured services in the same way.
	serviceByHash map[uint32]string
	// missingUntil contains, by ID, the time until which an unregistered backend
	// server remains in use.
	missingUntil map[string]time.Duration
	// afterOutage is set from the end of an outage until the next list of registered
	// backend servers arrives.
	afterOutage bool
	// outageEnd is when the last outage ended.
	outageEnd time.Duration
	// software contains the software versions that this instance has seen registered,
	// and peerSoftware those that other instances have.
	software, peerSoftware softwareRecord
	// departures tells which incarnations have said that they leave.
	departures departures
	// removed contains the incarnations that have left within removalMemory, by ID.
	removed map[string]removal
	// withheld contains the registered backend servers that are not in use because
	// they had left before a restore, by ID.
	withheld map[string]withheldBackend
	// latest contains the latest incarnation of each backend server that was listed within
	// withholdTime, by ID.
	latest map[string]lifetime
	// unproven contains the runs that a later lifetime of their server may have served.
	unproven unprovenRuns
	// afterRestore is set from a restore of the table service until the next list of
	// registered backend servers arrives.
	afterRestore bool
}

// recordOutageEnd records that an outage of the table service ended at now.
func (b *backends) recordOutageEnd(now time.Duration) {
	b.afterOutage, b.outageEnd = true, now
}

// setRegistered replaces the backend servers with the registered ones. It keeps a
// backend server that is missing from the first list after an outage, to give it time
// to register again. A backend server that is removed from a later list has left.
func (b *backends) setRegistered(now time.Duration, list []peridotsite.Backend) {
	b.recordSoftware(now)
	byID := make(map[string]peridotsite.Backend, len(list))
	for _, s := range list {
		byID[s.ID] = s
	}
	missingUntil := make(map[string]time.Duration)
	for id, s := range b.byID {
		until, keep := b.missingUntil[id]
		if b.afterOutage {
			until, keep = b.outageEnd+reregisterTime, true
		}
		if _, ok := byID[id]; !ok && keep && now < until && !s.Leaving {
			byID[id], missingUntil[id] = s, until
		}
	}
	before := b.byID
	b.byID, b.missingUntil, b.afterOutage = byID, missingUntil, false
	b.idsByAddress = make(map[string][]string, len(byID))
	for id, s := range byID {
		b.idsByAddress[s.Address] = append(b.idsByAddress[s.Address], id)
	}
	b.recordSoftware(now)
	b.recordRemovals(now, before)
}

// removeExpired removes backend servers that did not register again in time, and uses
// those that were withheld for long enough. It reports whether there were any.
func (b *backends) removeExpired(now time.Duration) bool {
	b.recordSoftware(now)
	expired := b.releaseWithheld(now)
	for id, until := range b.missingUntil {
		if now >= until {
			s := b.byID[id]
			b.removed[id] = removal{born: s.Born, at: now, wasLeaving: s.Leaving}
			delete(b.missingUntil, id)
			delete(b.byID, id)
			expired = true
		}
	}
	return expired
}

// registeredAt returns the known backend servers with an address. The entries of those that have
// ended may still be there.
func (b *backends) registeredAt(address string) []peridotsite.Backend {
	var list []peridotsite.Backend
	for _, id := range b.idsByAddress[address] {
		if s, ok := b.byID[id]; ok && s.Address == address {
			list = append(list, s)
		}
	}
	return list
}

// addresses returns the set of addresses of the known backend servers, and that of those
// that stay.
func (b *backends) addresses() (known, staying map[string]bool) {
	known, staying = make(map[string]bool, len(b.byID)), make(map[string]bool, len(b.byID))
	for _, s := range b.byID {
		known[s.Address] = true
		if !s.Leaving {
			staying[s.Address] = true
		}
	}
	return known, staying
}

// SetConfig implements Watcher. It ignores a version that is not newer than the
// current one, so the configuration never reverts.
func (f *Front) SetConfig(c *peridotsite.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	if old != nil {
		f.formerRoutes.record(f.now(), old, c)
	}
	f.config.Store(c)
	f.updatePlacer()
	f.quota.setLimits(f.now(), c)
	for _, problem := range c.Problems {
		log.WithFields(log.Fields{"version": c.Version, "problem": problem.Text}).Warn(logPrefix + "field of the configuration cannot be understood")
	}
	f.metrics.SetGauge("config_problems", float64(len(c.Problems)))
	f.metrics.SetGauge("config_version", float64(c.Version))
	log.WithFields(log.Fields{"version": c.Version, "routes": len(c.Routes), "accounts": len(c.Accounts), "keys_needed": c.NeedsKey(&peridotsite.Route{})}).Info(logPrefix + "configuration in force")
}

// SetBackends implements Watcher.
func (f *Front) SetBackends(list []peridotsite.Backend) {
	f.recordReplacedRuns(f.replaceBackends(list))
}

// replaceBackends replaces the backend servers with the registered ones. It returns the runs whose
// servers are replaced by that.
func (f *Front) replaceBackends(list []peridotsite.Backend) []unprovenRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	list, overruled := f.backends.departures.apply(f.now(), nameSoftware(list))
	for range overruled {
		f.metrics.Count("ready_rows_overruled")
	}
	list = f.backends.withhold(f.now(), list)
	f.logBackends(list)
	f.forgetAbsent(f.now(), list)
	f.backends.setRegistered(f.now(), list)
	f.backends.known = true
	f.updatePlacer()
	f.quarantine.recordBackends(f.backends.byID)
	notify(f.backendsChanged)
	return f.backends.takeReplaced()
}

// logBackends logs each backend server that was added, changed or removed. The
// caller must hold f.mu.
func (f *Front) logBackends(list []peridotsite.Backend) {
	registered := make(map[string]bool, len(list))
	for _, s := range list {
		registered[s.ID] = true
		if old, ok := f.backends.byID[s.ID]; ok && old == s {
			continue
		}
		log.WithFields(log.Fields{"backend": s.ID, "address": s.Address, "service": s.Service, "software": s.SoftwareVersion, "leaving": s.Leaving, "role": int(s.Role), "born": s.Born}).Info(logPrefix + "backend server registered")
	}
	for id := range f.backends.byID {
		if !registered[id] {
			log.WithField("backend", id).Info(logPrefix + "backend server is no longer registered")
		}
	}
}

// updatePlacer passes the configuration and the known backend servers to the placer.
// The caller must hold f.mu.
func (f *Front) updatePlacer() {
	config := f.config.Load()
	if config == nil {
		return
	}
	list := make([]peridotsite.Backend, 0, len(f.backends.byID))
	f.backends.idByHash = make(map[uint32]string, len(f.backends.byID))
	for id, s := range f.backends.byID {
		list = append(list, s)
		f.backends.idByHash[serverHash(id)] = id
	}
	f.backends.serviceByHash = serviceHashes(config)
	f.placer.SetBackends(f.now(), list, config)
}

// RowUnreadable implements Watcher.
func (f *Front) RowUnreadable(key string, err error) {
	f.metrics.Count("unreadable_rows")
	log.WithError(err).WithField("row", key).Warn(logPrefix + "ignoring a row that cannot be decoded")
}

// FeedAnswered implements Watcher.
func (f *Front) FeedAnswered(feed string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	lastAnsweredAt, answeredBefore := f.feedAnsweredAt[feed]
	wasLost := f.lostFeeds[feed]
	f.lostFeeds[feed], f.feedAnsweredAt[feed] = false, now
	if wasLost || !answeredBefore {
		f.feedSteadySince[feed] = now
	}
	if feed == FeedBackends {
		f.backends.unproven.recordAnswer(now, f.feedSteadySince[feed])
		f.backends.forgetProven(now)
	}
	if !wasLost {
		return
	}
	if feed == FeedBackends {
		f.history.following.miss(now)
	}
	// If the table service answered another front throughout, no registration expired
	// because of an outage: a missing backend server has left.
	othersAnswered := answeredBefore && f.peers.storeAnsweredSince(lastAnsweredAt)
	if feed == FeedBackends && !othersAnswered {
		f.backends.recordOutageEnd(now)
	}
	log.WithFields(log.Fields{"feed": feed, "others_answered": othersAnswered}).Info(logPrefix + "table service answers again")
}

// FeedRestored implements Watcher. A backend server may be missing from the restored
// copy, as after an outage, until it registers again.
func (f *Front) FeedRestored(feed string, era int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.feedSteadySince[feed] = now
	if feed == FeedBackends {
		f.backends.recordRestore(now)
	}
	f.metrics.Count("feed_restores_" + feed)
	log.WithFields(log.Fields{"feed": feed, "era": era}).Warn(logPrefix + "table service was restored from an older copy")
}

// storeAnsweringFor returns how long the feed of backend servers has answered
// without interruption, or 0 if it does not answer. The caller must hold f.mu.
func (f *Front) storeAnsweringFor() time.Duration {
	since, ok := f.feedSteadySince[FeedBackends]
	if !ok || f.lostFeeds[FeedBackends] {
		return 0
	}
	return f.now() - since
}

// FeedFailed implements Watcher.
func (f *Front) FeedFailed(feed string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.Count("feed_failures")
	if f.lostFeeds[feed] {
		return
	}
	f.lostFeeds[feed] = true
	if feed == FeedBackends {
		f.history.following.miss(f.now())
	}
	log.WithError(err).WithField("feed", feed).Warn(logPrefix + "table service does not answer")
}
