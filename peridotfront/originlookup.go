package peridotfront

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"peridotstack/peridotorigin"
)

const (
	// lookupPollInterval is the time between two checks of a look-up for repeats, its
	// timeout and newly known fronts. While more than manyLookups are in progress, it is
	// peridotorigin.RepeatInterval, so that they leave time for the answers.
	lookupPollInterval = 10 * time.Millisecond
	manyLookups        = 128
	// maxLookups limits the number of resumed streams whose origins are looked up. After the
	// failure of a front, the callers of all its streams come back at once.
	maxLookups = 4096
	// lookupsPerStream is the number of look-ups for a resumed stream: of the name that its
	// caller gives, and of its content.
	lookupsPerStream = 2
)

// Results of look-ups in the metrics.
const (
	lookupOwn       = "own"
	lookupFound     = "found"
	lookupStored    = "stored"
	lookupNotStored = "not_stored"
	lookupUnread    = "unread"
	lookupUnknown   = "unknown"
	lookupTimedOut  = "timed_out"
	lookupCanceled  = "canceled"
	lookupRejected  = "rejected"
)

// originLookup is a look-up in progress. Its lookup is guarded by origins.mu.
type originLookup struct {
	nonce  uint64
	key    peridotorigin.Key
	lookup *peridotorigin.Lookup
	// isBrief is set if an early answer that the origin is unknown counts. It does not wait
	// for fronts that have been silent for long.
	isBrief bool
	// isContent is set if the answers of all fronts count, but for those silent ones.
	isContent bool
	// changed gets a value when an answer arrives.
	changed chan struct{}
}

// findOrigin returns the software version that began the stream of the given request. It
// asks other fronts if this one doesn't know. It returns false if no front knows, if
// none answers within 120 ms or none is known within 200 ms, or once ctx is done.
// The result is one of those for the metrics, or empty if the request is.
func (f *Front) findOrigin(ctx context.Context, request string) (software, result string, ok bool) {
	if request == "" {
		return "", "", false
	}
	start := f.now()
	software, result = f.origins.find(ctx, peridotorigin.KeyOf(request))
	f.metrics.CountOriginLookup(result)
	f.metrics.RecordDuration("origin_lookup", f.now()-start)
	return software, result, result == lookupOwn || result == lookupFound
}

// originAge returns how long this front has known the origin of the stream of the given
// request, or 0 if it does not know it.
func (f *Front) originAge(request string) time.Duration {
	f.origins.mu.Lock()
	defer f.origins.mu.Unlock()
	return f.origins.table.Age(f.now(), peridotorigin.KeyOf(request))
}

// find looks an origin up and returns its version and the result for the metrics.
func (o *origins) find(ctx context.Context, key peridotorigin.Key) (version, result string) {
	if version, ok := o.version(key); ok {
		return version, lookupOwn
	}
	return o.ask(ctx, o.openLookup(key))
}

// ask asks the other fronts for an origin. The look-up is nil if too many are in progress.
func (o *origins) ask(ctx context.Context, l *originLookup) (version, result string) {
	if l == nil {
		return "", lookupRejected
	}
	defer o.closeLookup(l)
	timer := time.NewTimer(lookupPollInterval)
	defer timer.Stop()
	for {
		switch version, state := o.advanceLookup(l); state {
		case peridotorigin.Found:
			return version, lookupFound
		case peridotorigin.Unknown:
			return "", lookupUnknown
		case peridotorigin.TimedOut:
			return "", lookupTimedOut
		}
		timer.Reset(o.pollInterval())
		select {
		case <-l.changed:
		case <-timer.C:
		case <-ctx.Done():
			return "", lookupCanceled
		}
	}
}

// pollInterval returns the time until the next check of a look-up.
func (o *origins) pollInterval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.lookups) > manyLookups {
		return peridotorigin.RepeatInterval
	}
	return lookupPollInterval
}

// version returns the version in this front's own table.
func (o *origins) version(key peridotorigin.Key) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Version(o.front.now(), key)
}

// openLookup returns a new look-up, or nil if too many are in progress.
func (o *origins) openLookup(key peridotorigin.Key) *originLookup {
	return o.register(originLookup{key: key, lookup: peridotorigin.NewLookup(o.front.now())}, lookupsPerStream*maxLookups)
}

// register begins a look-up. It returns nil if limit of them are in progress.
func (o *origins) register(l originLookup, limit int) *originLookup {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.lookups) >= limit {
		return nil
	}
	l.nonce, l.changed = rand.Uint64(), make(chan struct{}, 1)
	o.lookups[l.nonce] = &l
	return &l
}

func (o *origins) closeLookup(l *originLookup) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.lookups, l.nonce)
}

// advanceLookup sends the questions of a look-up that are due. It returns the state of
// the look-up, and the version if that is Found.
func (o *origins) advanceLookup(l *originLookup) (version string, state peridotorigin.LookupState) {
	sets := o.fronts()
	targets := sets.choose(l.key, peridotorigin.LookupFronts)
	confirm := o.confirmTime(len(targets) < sets.known.Len())
	chosen := len(targets)
	if l.isBrief {
		confirm = 0
	}
	if l.isBrief || l.isContent {
		targets = o.front.peers.omitSilent(targets)
	}
	o.mu.Lock()
	now := o.front.now()
	if l.isContent {
		l.lookup.Omit(chosen - len(targets))
	}
	ask := l.lookup.Ask(now, targets, confirm)
	if own, ok := o.table.Version(now, l.key); ok {
		l.lookup.Add(own) // A copy may have arrived meanwhile.
	}
	state, version = l.lookup.State(now), l.lookup.Version()
	o.mu.Unlock()
	if state == peridotorigin.Waiting && len(ask) > 0 {
		o.enqueue(&message{Question: &originQuestion{Nonce: l.nonce, Keys: []uint64{uint64(l.key)}}}, ask...)
	}
	return version, state
}

// confirmTime returns the time from the start of a look-up from which on answers that
// an origin is unknown count. If all fronts are asked, the one that began the stream
// is among them. If some are not, the copies may not have reached those that are asked.
// Before the roster has been read, other fronts may exist.
func (o *origins) confirmTime(omitsFronts bool) time.Duration {
	switch {
	case !o.front.peers.hasReadRoster():
		return peridotorigin.FirstFrontTimeout + peridotorigin.LookupTimeout
	case omitsFronts:
		return peridotorigin.RepeatInterval
	}
	return 0
}

// applyAnswer passes an answer to the look-up that asked. It ignores answers to
// look-ups that have ended. The caller must hold o.mu.
func (o *origins) applyAnswer(now time.Duration, from netip.AddrPort, a *originAnswer) {
	l := o.lookups[a.Nonce]
	if l == nil {
		return
	}
	for _, g := range a.Known {
		if slices.Contains(g.Keys, uint64(l.key)) {
			l.lookup.AnswerKnown(from, g.Version)
		}
	}
	if slices.Contains(a.Unknown, uint64(l.key)) {
		l.lookup.AnswerUnknown(from)
	}
	if l.lookup.Known() {
		o.record(now, l.key, l.lookup.Version()) // The caller may come back here again.
	}
	notify(l.changed)
}
