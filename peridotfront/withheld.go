package peridotfront

import (
	"slices"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotsite"
)

const (
	// removalMemory is how long the incarnation of a backend server that has left is
	// remembered. The copy from which a table service is restored is some seconds old.
	removalMemory = time.Minute
	// withholdTime is the maximum time after a restore for which an entry of a backend
	// server that had left is not used. By then the platform has removed the entry of a
	// server that sends no heartbeats.
	withholdTime = 10 * time.Second
)

// removal records that an incarnation of a backend server has left.
type removal struct {
	born int64
	at   time.Duration
	// wasLeaving is set if the backend server had said that it leaves.
	wasLeaving bool
}

// withheldBackend is a registered backend server that is not used until the given
// time, unless its entry is written again.
type withheldBackend struct {
	peridotsite.Backend
	until time.Duration
}

// lifetime is the latest incarnation of a backend server, and when it was last listed.
type lifetime struct {
	born     int64
	listedAt time.Duration
	// earlier contains the start times of those listed before, at most maxIncarnations.
	earlier []int64
}

// follows reports whether an incarnation is an earlier one. The clock of a backend server may
// have gone back before the latest one started.
func (l lifetime) follows(born int64) bool {
	return born < l.born && slices.Contains(l.earlier, born)
}

// recordLifetimes records the incarnations of a list of registrations.
func (b *backends) recordLifetimes(now time.Duration, list []peridotsite.Backend) {
	if b.latest == nil {
		b.latest = make(map[string]lifetime)
	}
	for id, l := range b.latest {
		switch {
		case b.isListed(id) && b.byID[id].Born == l.born:
			l.listedAt = now // Lists are read only when an entry changes.
			b.latest[id] = l
		case now-l.listedAt >= withholdTime:
			delete(b.latest, id)
		}
	}
	for _, s := range list {
		l, known := b.latest[s.ID]
		if s.Born == 0 || l.follows(s.Born) {
			continue
		}
		if known && s.Born != l.born {
			l.earlier = append(l.earlier, l.born)
			l.earlier = l.earlier[max(0, len(l.earlier)-maxIncarnations):]
		}
		l.born, l.listedAt = s.Born, now
		b.latest[s.ID] = l
	}
}

// isListed reports whether the last list of registrations had the entry of a backend server that
// is in use.
func (b *backends) isListed(id string) bool {
	_, isUsed := b.byID[id]
	_, isMissing := b.missingUntil[id]
	_, isWithheld := b.withheld[id]
	return isUsed && !isMissing && !isWithheld
}

// recordRestore records that the table service was restored from an older copy at
// now.
func (b *backends) recordRestore(now time.Duration) {
	b.recordOutageEnd(now)
	b.afterRestore = true
}

// withhold returns the registered backend servers without those whose entry only a
// restored copy has brought back: their incarnation had left before. An incarnation
// that had said that it leaves stays withheld. The entry of an incarnation before the
// latest one may have been written late; the latest one remains in use.
func (b *backends) withhold(now time.Duration, list []peridotsite.Backend) []peridotsite.Backend {
	var usable []peridotsite.Backend
	withheld := make(map[string]withheldBackend)
	b.recordLifetimes(now, list)
	for _, s := range list {
		if until := b.withheldUntil(now, s); now < until {
			withheld[s.ID] = withheldBackend{s, until}
			if latest := b.byID[s.ID]; latest.Born > s.Born && b.latest[s.ID].follows(s.Born) {
				usable = append(usable, latest)
			}
			continue
		}
		usable = append(usable, s)
	}
	for id, w := range withheld {
		if _, before := b.withheld[id]; !before {
			log.WithFields(log.Fields{"backend": id, "born": w.Born, "latest_born": b.latest[id].born}).Info(logPrefix + "not using a backend server that had left before")
		}
	}
	b.withheld, b.afterRestore = withheld, false
	return usable
}

// withheldUntil returns the time until which a registered backend server is withheld,
// or 0.
func (b *backends) withheldUntil(now time.Duration, s peridotsite.Backend) time.Duration {
	d, wasRemoved := b.removed[s.ID]
	w, before := b.withheld[s.ID]
	latest := b.latest[s.ID]
	switch {
	case !s.Leaving && latest.follows(s.Born):
		return latest.listedAt + withholdTime
	case !wasRemoved || d.born != s.Born || s.Born == 0 || s.Leaving:
		return 0
	case d.wasLeaving:
		return d.at + removalMemory
	case b.afterRestore:
		return now + withholdTime
	case before && w.Backend == s:
		return w.until
	}
	return 0
}

// recordRemovals remembers the backend servers that were in use before and are not
// in use any more.
func (b *backends) recordRemovals(now time.Duration, before map[string]peridotsite.Backend) {
	if b.removed == nil {
		b.removed = make(map[string]removal)
	}
	for id, s := range before {
		if current, used := b.byID[id]; !used || current.Born != s.Born {
			b.removed[id] = removal{born: s.Born, at: now, wasLeaving: s.Leaving}
		}
	}
	for id, d := range b.removed {
		s, used := b.byID[id]
		isBack := used && s.Born == d.born && !d.wasLeaving
		if isBack || now-d.at >= removalMemory {
			delete(b.removed, id)
		}
	}
}

// releaseWithheld uses the backend servers that are still registered at the end of
// the time for which they were withheld. It reports whether there were any.
func (b *backends) releaseWithheld(now time.Duration) bool {
	released := false
	for id, w := range b.withheld {
		if now >= w.until {
			delete(b.withheld, id)
			b.byID[id] = w.Backend
			b.idsByAddress[w.Address] = append(b.idsByAddress[w.Address], id)
			released = true
		}
	}
	return released
}
