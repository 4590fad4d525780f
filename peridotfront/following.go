package peridotfront

import "time"

// maxFollowGap is how long the backend servers may go unobserved without a gap.
const maxFollowGap = 2 * time.Second

// following tells how long a front has followed the registrations of backend servers without a
// gap: while it is frozen or its feed is lost, software versions may come and leave unseen. Its
// times are values of Front.now.
type following struct {
	// since is the end of the last gap, and at when the front followed last; zero means never.
	since, at time.Duration
	// missed is set if versions may have begun streams that this front doesn't know, and
	// missedAt is when it last became so. A loss of the feed counts however short it is.
	missed   bool
	missedAt time.Duration
}

// record records that the front follows at now.
func (w *following) record(now time.Duration) {
	gap := now-w.at > maxFollowGap
	if gap || w.at == 0 {
		w.since = now
	}
	if gap && w.at > 0 {
		w.miss(now)
	}
	w.at = now
}

// miss records that software versions may have begun streams until now unseen.
func (w *following) miss(now time.Duration) {
	w.missed, w.missedAt = true, now
}

// prove records a read of a complete history that began at the given time: the versions that
// began streams before have their rows.
func (w *following) prove(beganAt time.Duration) {
	w.missed = w.missed && beganAt <= w.missedAt
}

// hasMissed reports whether a version that has served within softwareMemory may be unknown.
func (w *following) hasMissed(now time.Duration) bool {
	return w.missed && now-w.missedAt <= softwareMemory
}

// recordFollowing records that this front follows the backend servers, unless their feed is lost.
func (f *Front) recordFollowing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lostFeeds[FeedBackends] {
		f.history.following.record(f.now())
	}
}

// hasFollowedFor reports whether this front has followed the backend servers for the given time
// until now without a gap.
func (f *Front) hasFollowedFor(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, now := f.history.following, f.now()
	return now-w.at <= maxFollowGap && w.at-w.since >= d
}
