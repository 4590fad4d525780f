package peridotfront

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"peridotstack/peridotorigin"
	"peridotstack/peridotwait"
)

const (
	// originBatchInterval is the time for which new origins are collected before they
	// are sent. A front that is killed loses the origins of that time.
	originBatchInterval = 20 * time.Millisecond
	// lookupPollInterval is the time between two checks of a look-up for repeats, its
	// timeout and newly known fronts.
	lookupPollInterval = 10 * time.Millisecond
	// frontSetsInterval is the time after which a silent front leaves the sets among
	// which copies are distributed. Building them takes some 0.8 ms of processor time
	// with 1,200 fronts.
	frontSetsInterval = time.Second
	// maxLookups limits the number of look-ups in progress. After the failure of a
	// front, the callers of all its streams come back at once.
	maxLookups = 4096
	// maxQuestionKeys limits the number of keys in one question, so that its answer fits
	// into a datagram.
	maxQuestionKeys = 64
	// maxQueuedDatagrams limits the number of datagrams about origins that wait to be
	// sent.
	maxQueuedDatagrams = 8192
)

// Results of look-ups in the metrics.
const (
	lookupOwn      = "own"
	lookupFound    = "found"
	lookupUnknown  = "unknown"
	lookupTimedOut = "timed_out"
	lookupCanceled = "canceled"
	lookupRejected = "rejected"
)

// originGroup is the encoded form of a peridotorigin.Group.
type originGroup struct {
	_       struct{} `cbor:",toarray"`
	Version string
	Keys    []uint64
}

// originQuestion asks which software versions began some streams.
type originQuestion struct {
	_ struct{} `cbor:",toarray"`
	// Nonce identifies the look-up.
	Nonce uint64
	Keys  []uint64
}

// originAnswer answers the question with the same nonce.
type originAnswer struct {
	_       struct{} `cbor:",toarray"`
	Nonce   uint64
	Known   []originGroup
	Unknown []uint64
}

// hasOrigins reports whether the message is about origins.
func (m *message) hasOrigins() bool {
	return len(m.Origins) > 0 || m.Question != nil || m.Answer != nil
}

// hasValidOrigins reports whether the message keeps the limits of messages about
// origins.
func (m *message) hasValidOrigins() bool {
	groups := m.Origins
	if m.Answer != nil {
		groups = append(slices.Clip(groups), m.Answer.Known...)
	}
	for _, g := range groups {
		if len(g.Version) > peridotorigin.MaxVersionBytes {
			return false
		}
	}
	return m.Question == nil || len(m.Question.Keys) <= maxQuestionKeys
}

// origins tracks which software version began each stream, and shares that with the
// other fronts. Its methods are safe for concurrent use; none but serve does I/O.
type origins struct {
	front *Front
	// added gets a value when origins wait for their batch.
	added chan struct{}
	// outbox contains the datagrams to send.
	outbox chan datagram

	mu      sync.Mutex
	table   *peridotorigin.Table
	pending peridotorigin.Pending
	// lookups contains the look-ups in progress by nonce.
	lookups map[uint64]*originLookup
	// sets contains the other fronts, as built at setsBuiltAt after setsChanges changes.
	sets        frontSets
	setsBuiltAt time.Duration
	setsChanges int
}

// originLookup is a look-up in progress. Its lookup is guarded by origins.mu.
type originLookup struct {
	nonce  uint64
	key    peridotorigin.Key
	lookup *peridotorigin.Lookup
	// changed gets a value when an answer arrives.
	changed chan struct{}
}

// datagram is an encoded message for one front.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

func newOrigins(f *Front) *origins {
	return &origins{
		front: f, added: make(chan struct{}, 1), outbox: make(chan datagram, maxQueuedDatagrams),
		table:   peridotorigin.NewTable(peridotorigin.TTL, peridotorigin.MaxOrigins),
		lookups: make(map[uint64]*originLookup),
	}
}

// recordOrigin records that the given software version brings the first event of the
// stream that the request began. The other fronts get copies. It does not block.
func (f *Front) recordOrigin(request, software string) {
	if request == "" {
		return
	}
	if len(software) > peridotorigin.MaxVersionBytes {
		f.metrics.Count("origins_dropped")
		return
	}
	o := f.origins
	key := peridotorigin.KeyOf(request)
	o.mu.Lock()
	dropped := o.table.Record(f.now(), key, software) && o.pending.Add(key, software)
	o.mu.Unlock()
	if dropped {
		f.metrics.Count("origins_dropped")
	}
	notify(o.added)
}

// endOrigin records that the stream that the request began has been sent whole: the
// other fronts need no copy that they have not been sent yet. This front keeps its own,
// for a caller that lost the end of the stream.
func (f *Front) endOrigin(request string) {
	o := f.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending.End(peridotorigin.KeyOf(request))
}

// findOrigin returns the software version that began the stream of the given request. It
// asks other fronts if this one doesn't know. It returns false if no front knows, if
// none answers within 120 ms or none is known within 200 ms, or once ctx is done.
func (f *Front) findOrigin(ctx context.Context, request string) (software string, ok bool) {
	if request == "" {
		return "", false
	}
	start := f.now()
	software, result := f.origins.find(ctx, peridotorigin.KeyOf(request))
	f.metrics.CountOriginLookup(result)
	f.metrics.RecordDuration("origin_lookup", f.now()-start)
	return software, result == lookupOwn || result == lookupFound
}

// find looks an origin up and returns its version and the result for the metrics.
func (o *origins) find(ctx context.Context, key peridotorigin.Key) (version, result string) {
	if version, ok := o.version(key); ok {
		return version, lookupOwn
	}
	l := o.openLookup(key)
	if l == nil {
		return "", lookupRejected
	}
	defer o.closeLookup(l)
	ticker := time.NewTicker(lookupPollInterval)
	defer ticker.Stop()
	for {
		switch version, state := o.advanceLookup(l); state {
		case peridotorigin.Found:
			return version, lookupFound
		case peridotorigin.Unknown:
			return "", lookupUnknown
		case peridotorigin.TimedOut:
			return "", lookupTimedOut
		}
		select {
		case <-l.changed:
		case <-ticker.C:
		case <-ctx.Done():
			return "", lookupCanceled
		}
	}
}

// version returns the version in this front's own table.
func (o *origins) version(key peridotorigin.Key) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Version(o.front.now(), key)
}

// openLookup returns a new look-up, or nil if too many are in progress.
func (o *origins) openLookup(key peridotorigin.Key) *originLookup {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.lookups) >= maxLookups {
		return nil
	}
	l := &originLookup{nonce: rand.Uint64(), key: key, lookup: peridotorigin.NewLookup(o.front.now()), changed: make(chan struct{}, 1)}
	o.lookups[l.nonce] = l
	return l
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
	o.mu.Lock()
	now := o.front.now()
	ask := l.lookup.Ask(now, targets, confirm)
	state, version = l.lookup.State(now), l.lookup.Version()
	if own, ok := o.table.Version(now, l.key); ok {
		state, version = peridotorigin.Found, own // A copy arrived meanwhile.
	}
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

// frontSets contains the other fronts among which copies are distributed.
type frontSets struct {
	// known contains all known fronts, heard those of them that have sent datagrams.
	// They differ if the roster has rows of fronts that are gone, and at a front that
	// just started.
	known, heard peridotorigin.Fronts
}

// fronts returns the other fronts. It builds the sets anew if another front has become
// known or frontSetsInterval has passed.
func (o *origins) fronts() frontSets {
	p := o.front.peers
	changes := p.changeCount()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.front.now()
	if changes != o.setsChanges || now-o.setsBuiltAt >= frontSetsInterval {
		o.sets = frontSets{known: peridotorigin.NewFronts(p.targetAddresses()), heard: peridotorigin.NewFronts(p.heardAddresses())}
		o.setsBuiltAt, o.setsChanges = now, changes
	}
	return o.sets
}

// choose returns the n fronts of each set that are responsible for a stream.
func (s frontSets) choose(key peridotorigin.Key, n int) []netip.AddrPort {
	chosen := s.known.Choose(key, n)
	if s.known.Len() == s.heard.Len() {
		return chosen
	}
	for _, address := range s.heard.Choose(key, n) {
		if !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// serve sends batches of new origins, and all other datagrams about origins, until ctx
// is done.
func (o *origins) serve(ctx context.Context, conn *net.UDPConn) {
	go o.send(ctx, conn)
	for {
		select {
		case <-o.added:
		case <-ctx.Done():
			return
		}
		peridotwait.Sleep(ctx, originBatchInterval)
		o.sendBatches()
	}
}

// send sends the datagrams in the outbox until ctx is done.
func (o *origins) send(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case d := <-o.outbox:
			if _, err := conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
				o.front.metrics.Count("datagram_failures")
			}
		case <-ctx.Done():
			return
		}
	}
}

// sendBatches sends the origins that are due to the fronts that keep copies.
func (o *origins) sendBatches() {
	sets := o.fronts()
	var batches []peridotorigin.Batch
	o.mu.Lock()
	if sets.known.Len() > 0 {
		batches = o.pending.Take(func(key peridotorigin.Key) []netip.AddrPort { return sets.choose(key, peridotorigin.Replicas) })
	}
	again := o.pending.Len() > 0
	o.mu.Unlock()
	for _, b := range batches {
		o.enqueue(&message{Origins: encodeGroups(b.Groups)}, b.To)
	}
	if again {
		notify(o.added)
	}
}

// enqueue puts a message for the fronts at the given addresses into the outbox. It
// drops datagrams that don't fit: the path is stuck.
func (o *origins) enqueue(m *message, to ...netip.AddrPort) {
	data, err := m.encode()
	if err != nil {
		o.front.metrics.Count("datagrams_not_sent")
		log.WithError(err).Warn(logPrefix + "cannot encode a datagram about origins")
		return
	}
	for _, address := range to {
		select {
		case o.outbox <- datagram{to: address, data: data}:
		default:
			o.front.metrics.Count("datagrams_not_sent")
		}
	}
}

// handleMessage applies a message about origins that came from the front at from.
func (o *origins) handleMessage(from netip.AddrPort, m *message) {
	if !m.hasValidOrigins() {
		o.front.metrics.Count("datagrams_unreadable")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.front.now()
	for _, g := range m.Origins {
		for _, key := range g.Keys {
			o.table.Record(now, peridotorigin.Key(key), g.Version)
		}
	}
	if m.Question != nil {
		o.enqueue(&message{Answer: o.answer(now, m.Question)}, from)
	}
	if m.Answer != nil {
		o.applyAnswer(now, from, m.Answer)
	}
}

// answer returns the answer to a question. The caller must hold o.mu.
func (o *origins) answer(now time.Duration, q *originQuestion) *originAnswer {
	a := &originAnswer{Nonce: q.Nonce}
	for _, key := range q.Keys {
		if version, ok := o.table.Version(now, peridotorigin.Key(key)); ok {
			a.Known = append(a.Known, originGroup{Version: version, Keys: []uint64{key}})
		} else {
			a.Unknown = append(a.Unknown, key)
		}
	}
	return a
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
	if l.lookup.State(now) == peridotorigin.Found {
		o.table.Record(now, l.key, l.lookup.Version()) // The caller may come back here again.
	}
	notify(l.changed)
}

// removeExpired removes the expired origins and returns the number of those left.
func (o *origins) removeExpired() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Expire(o.front.now())
	return o.table.Len()
}

// encodeGroups returns the encoded form of groups.
func encodeGroups(groups []peridotorigin.Group) []originGroup {
	encoded := make([]originGroup, 0, len(groups))
	for _, g := range groups {
		e := originGroup{Version: g.Version, Keys: make([]uint64, 0, len(g.Keys))}
		for _, key := range g.Keys {
			e.Keys = append(e.Keys, uint64(key))
		}
		encoded = append(encoded, e)
	}
	return encoded
}

// notify puts a value into a channel with a buffer of one unless it is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
