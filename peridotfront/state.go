package peridotfront

import (
	"time"

	"github.com/apex/log"

	"peridotstack/peridotsite"
)

// Feeds of the platform, as a Watcher is told of them.
const (
	FeedConfig   = "configuration"
	FeedBackends = "backends"
)

// returnTime is how long after an outage of the table service a backend server
// whose registration lapsed meanwhile may take to register again.
const returnTime = 2 * time.Second

// backends merges the registered backend servers with those whose registration
// may only have lapsed because the table service was away.
type backends struct {
	known map[string]peridotsite.Backend
	// byHash holds the IDs of the known ones by the hash that datagrams name.
	byHash map[uint32]string
	// missing tells until when an unregistered one is still used.
	missing map[string]time.Duration
	// fresh is set from the end of an outage, at the time reached, to the first
	// registrations behind it.
	fresh   bool
	reached time.Duration
}

// returned notes the end of an outage.
func (b *backends) returned(now time.Duration) {
	b.fresh, b.reached = true, now
}

// register takes the registered backend servers. Only one that is missing at the
// first look after an outage may come back; one that is removed later has left.
func (b *backends) register(now time.Duration, list []peridotsite.Backend) {
	registered := make(map[string]peridotsite.Backend, len(list))
	for _, s := range list {
		registered[s.ID] = s
	}
	missing := make(map[string]time.Duration)
	for id, s := range b.known {
		until, waited := b.missing[id]
		if b.fresh {
			until, waited = b.reached+returnTime, true
		}
		if _, ok := registered[id]; !ok && waited && now < until && !s.Leaving {
			registered[id], missing[id] = s, until
		}
	}
	b.known, b.missing, b.fresh = registered, missing, false
}

// expire drops backend servers that did not register again in time, and reports
// whether there were any.
func (b *backends) expire(now time.Duration) bool {
	expired := false
	for id, until := range b.missing {
		if now >= until {
			delete(b.missing, id)
			delete(b.known, id)
			expired = true
		}
	}
	return expired
}

func (b *backends) addresses() map[string]bool {
	addresses := make(map[string]bool, len(b.known))
	for _, s := range b.known {
		addresses[s.Address] = true
	}
	return addresses
}

// Configured implements Watcher. An older version than the one in force is
// ignored, so that the configuration never goes back.
func (f *Front) Configured(c *peridotsite.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	f.config.Store(c)
	f.placeBackends()
	f.metrics.Gauge("config_version", float64(c.Version))
	log.WithFields(log.Fields{"version": c.Version, "routes": len(c.Routes), "accounts": len(c.Accounts)}).Info(logPrefix + "configuration in force")
}

// Registered implements Watcher.
func (f *Front) Registered(list []peridotsite.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logBackends(list)
	f.backends.register(f.now(), list)
	f.placeBackends()
}

// logBackends writes a line for each backend server that came, left or changed.
// The mutex is held.
func (f *Front) logBackends(list []peridotsite.Backend) {
	registered := make(map[string]bool, len(list))
	for _, s := range list {
		registered[s.ID] = true
		if old, ok := f.backends.known[s.ID]; ok && old == s {
			continue
		}
		log.WithFields(log.Fields{"backend": s.ID, "address": s.Address, "service": s.Service, "leaving": s.Leaving, "role": int(s.Role), "born": s.Born}).Info(logPrefix + "backend server registered")
	}
	for id := range f.backends.known {
		if !registered[id] {
			log.WithField("backend", id).Info(logPrefix + "backend server is not registered any more")
		}
	}
}

// placeBackends tells the placer which backend servers there are. The mutex is
// held.
func (f *Front) placeBackends() {
	config := f.config.Load()
	if config == nil {
		return
	}
	list := make([]peridotsite.Backend, 0, len(f.backends.known))
	f.backends.byHash = make(map[uint32]string, len(f.backends.known))
	for id, s := range f.backends.known {
		list = append(list, s)
		f.backends.byHash[serverHash(id)] = id
	}
	f.placer.SetBackends(f.now(), list, config)
}

// Unreadable implements Watcher.
func (f *Front) Unreadable(key string, err error) {
	f.metrics.Count("unreadable_rows")
	log.WithError(err).WithField("row", key).Warn(logPrefix + "row cannot be read and is not used")
}

// Reached implements Watcher.
func (f *Front) Reached(feed string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	last, known := f.reached[feed]
	away := f.feeds[feed]
	f.feeds[feed], f.reached[feed] = false, now
	if away || !known {
		f.since[feed] = now
	}
	if !away {
		return
	}
	// While others were answered all the time, no registration lapsed: what is
	// missing has left.
	local := known && f.peers.storeAnswered(last)
	if feed == FeedBackends && !local {
		f.backends.returned(now)
	}
	log.WithFields(log.Fields{"feed": feed, "others_answered": local}).Info(logPrefix + "table service answers again")
}

// storeSteady is for how long the registrations' feed has answered without a
// break. The mutex is held.
func (f *Front) storeSteady() time.Duration {
	since, ok := f.since[FeedBackends]
	if !ok || f.feeds[FeedBackends] {
		return 0
	}
	return f.now() - since
}

// Lost implements Watcher.
func (f *Front) Lost(feed string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.Count("feed_failures")
	if f.feeds[feed] {
		return
	}
	f.feeds[feed] = true
	log.WithError(err).WithField("feed", feed).Warn(logPrefix + "table service does not answer")
}
