package peridotfront

import (
	"slices"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotorigin"
	"peridotstack/peridotsite"
)

const (
	// entryDelay is how long a backend server that has started again under its ID may serve
	// before the table service has its new entry or has removed the one of before.
	entryDelay = 10 * time.Second
	// maxUnprovenRuns limits the memory of runs to about 5 MiB.
	maxUnprovenRuns = 1 << 14
)

// unprovenRun is a run that has sent events of a stream, by a backend server that may have
// started again before.
type unprovenRun struct {
	// server is the backend server as it was registered when the request was sent.
	server peridotsite.Backend
	// dialedAt is when the connection of the run was established. The lifetime that ran the
	// request had begun by then.
	dialedAt time.Duration
	// recordedAt is when the first event came.
	recordedAt time.Duration
	// keys are those under which the origin of the stream is recorded.
	keys []uint64
}

// unprovenRuns contains the runs that a later lifetime of their backend server than the
// registered one may have served. Its zero value is empty.
type unprovenRuns struct {
	// list contains the runs in the order of their first events, at most maxUnprovenRuns and
	// none older than peridotorigin.TTL. While the feed of backend servers answers, and their
	// entries remain, it has only those on connections that were established within entryDelay
	// and the last two answers.
	list []unprovenRun
	// provenUntil is a time before which no backend server began a lifetime later than the
	// one that its entry had at the last answer, if it had one.
	provenUntil time.Duration
	// answeredAt contains the times of the last two answers of the feed.
	answeredAt [2]time.Duration
}

// recordAnswer records an answer of the feed of backend servers, which has answered without
// interruption since steadySince. The call that read the entries known by now began after the
// last answer but one. After an outage or a restore the platform needs entryDelay to write or
// remove them.
func (u *unprovenRuns) recordAnswer(now, steadySince time.Duration) {
	if until := u.answeredAt[0] - entryDelay; until >= steadySince {
		u.provenUntil = max(u.provenUntil, until)
	}
	u.answeredAt = [2]time.Duration{u.answeredAt[1], now}
}

// isReplaced reports whether another lifetime of a server is registered, which runs another
// software version or belongs to another service.
func (b *backends) isReplaced(s peridotsite.Backend) bool {
	current, ok := b.byID[s.ID]
	return ok && current.Born != 0 && current.Born != s.Born && (current.SoftwareVersion != s.SoftwareVersion || current.Service != s.Service)
}

// isProven reports whether no later lifetime of the server than the registered one served a run.
func (b *backends) isProven(r unprovenRun) bool {
	return r.dialedAt < b.unproven.provenUntil && b.isListed(r.server.ID)
}

// recordRun records the first event of a run unless its server is replaced. It reports whether
// the server is, and whether another run was dropped.
func (b *backends) recordRun(r unprovenRun) (isReplaced, dropped bool) {
	if b.isReplaced(r.server) {
		return true, false
	}
	if b.isProven(r) {
		return false, false
	}
	u := &b.unproven
	if len(u.list) >= maxUnprovenRuns {
		u.list, dropped = u.list[1:], true
	}
	u.list = append(u.list, r)
	return false, dropped
}

// forgetProven removes the runs that are proven or expired.
func (b *backends) forgetProven(now time.Duration) {
	u := &b.unproven
	u.list = slices.DeleteFunc(u.list, func(r unprovenRun) bool {
		return now-r.recordedAt >= peridotorigin.TTL || b.isProven(r)
	})
}

// takeReplaced removes and returns the runs whose server is replaced.
func (b *backends) takeReplaced() []unprovenRun {
	var taken []unprovenRun
	u := &b.unproven
	u.list = slices.DeleteFunc(u.list, func(r unprovenRun) bool {
		isReplaced := b.isReplaced(r.server)
		if isReplaced {
			taken = append(taken, r)
		}
		return isReplaced
	})
	return taken
}

// recordReplacedRuns records the streams of runs as mixed, whose servers are replaced.
func (f *Front) recordReplacedRuns(runs []unprovenRun) {
	if len(runs) == 0 {
		return
	}
	var keys []uint64
	for _, r := range runs {
		keys = append(keys, r.keys...)
		f.metrics.Count("streams_of_replaced_servers")
	}
	f.recordMixedKeys(keys)
	log.WithFields(log.Fields{"backend": runs[0].server.ID, "software": runs[0].server.SoftwareVersion, "streams": len(runs)}).Info(logPrefix + "streams may be of another software version than the entry of their server said")
}

// recordRun records the first event of a run. It returns false if its server has started again
// as another software version since the request was sent; otherwise the stream is recorded as
// mixed if an entry that is read later says that it had.
func (x *exchange) recordRun(server peridotsite.Backend) bool {
	f := x.front
	run := unprovenRun{server: server, dialedAt: x.dialedAt, keys: append(requestKeys(x.streamIDs()), uint64(x.contentKey()))}
	f.mu.Lock()
	defer f.mu.Unlock()
	run.recordedAt = f.now()
	isReplaced, dropped := f.backends.recordRun(run)
	if dropped {
		f.metrics.Count("unproven_runs_dropped")
	}
	return !isReplaced
}
