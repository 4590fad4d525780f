package peridotfront

import (
	"context"
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
	// frontSetsInterval is the time after which a silent front leaves the sets among
	// which copies are distributed. Building them takes some 0.8 ms of processor time
	// with 1,200 fronts.
	frontSetsInterval = time.Second
	// maxQuestionKeys limits the number of keys in one question, so that its answer fits
	// into a datagram.
	maxQuestionKeys = 64
	// maxQueuedDatagrams limits the number of datagrams about origins that wait to be
	// sent.
	maxQueuedDatagrams = 32768
	// maxQueuedBytes limits the number of waiting datagrams times the size of a new one. Small
	// questions may fill the queue; all in it take 21 MiB at most, some of which are answers
	// of 8 KiB to questions of anybody.
	maxQueuedBytes = 4 << 20
	// maxJoinedDatagrams and maxJoinedBytes limit the questions and answers for one front
	// that are joined into one datagram. A receiver's buffer holds some hundred datagrams,
	// however small they are.
	maxJoinedDatagrams = 64
	maxJoinedBytes     = 6 << 10
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
	return len(m.Origins) > 0 || len(m.StoredOrigins) > 0 || len(m.questions()) > 0 || len(m.answers()) > 0
}

// questions returns all questions of the message, and answers all its answers.
func (m *message) questions() []originQuestion {
	if m.Question == nil {
		return m.Questions
	}
	return append(slices.Clip(m.Questions), *m.Question)
}

func (m *message) answers() []originAnswer {
	if m.Answer == nil {
		return m.Answers
	}
	return append(slices.Clip(m.Answers), *m.Answer)
}

// hasValidOrigins reports whether the message keeps the limits of messages about
// origins.
func (m *message) hasValidOrigins() bool {
	groups := append(slices.Clip(m.Origins), m.StoredOrigins...)
	for _, a := range m.answers() {
		groups = append(slices.Clip(groups), a.Known...)
	}
	for _, g := range groups {
		if len(g.Version) > peridotorigin.MaxVersionBytes {
			return false
		}
	}
	keys := 0
	for _, q := range m.questions() {
		keys += max(1, len(q.Keys)) // Each question is answered.
	}
	return keys <= maxQuestionKeys
}

// origins tracks which software version began each stream, and shares that with the
// other fronts. Its methods are safe for concurrent use; none but serve does I/O.
type origins struct {
	front *Front
	// added gets a value when origins wait for their batch.
	added chan struct{}
	// storedChanged gets a value when the rows of the table service may have to change.
	storedChanged chan struct{}
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
	// stored tracks what the table service keeps.
	stored originStorage
}

// datagram is an encoded message for one front.
type datagram struct {
	to   netip.AddrPort
	data []byte
	// question and answer are what the message contains, if it can be joined with others
	// for the same front; otherwise both are nil.
	question *originQuestion
	answer   *originAnswer
	// reached is closed in place of sending a datagram, if it isn't nil.
	reached chan struct{}
}

func newOrigins(f *Front) *origins {
	return &origins{
		front: f, added: make(chan struct{}, 1), outbox: make(chan datagram, maxQueuedDatagrams),
		table:         peridotorigin.NewTable(peridotorigin.TTL, peridotorigin.MaxOrigins),
		lookups:       make(map[uint64]*originLookup),
		stored:        originStorage{reads: newAwaitedReads(), isWriter: true, mixedTurn: make(chan struct{}, 1)},
		storedChanged: make(chan struct{}, 1),
	}
}

// recordOrigin records that the given software version brings the first event of the
// stream that the request began. The other fronts get copies. It does not block.
func (f *Front) recordOrigin(request, software string) {
	if request != "" {
		f.recordKeys(originGroup{Version: software, Keys: []uint64{uint64(peridotorigin.KeyOf(request))}})
	}
}

// recordStream records the same of a stream that callers may resume by the names of the given
// requests, or by its content.
func (f *Front) recordStream(requests []string, content peridotorigin.Key, software string) {
	f.recordKeys(originGroup{Version: software, Keys: requestKeys(requests)}, originGroup{Version: peridotorigin.ContentVersion(software), Keys: []uint64{uint64(content)}})
}

// recordMixed records that such a stream may have begun at several software versions.
func (f *Front) recordMixed(requests []string, content peridotorigin.Key) {
	f.recordMixedKeys(append(requestKeys(requests), uint64(content)))
}

// recordMixedKeys records the same of streams with the given keys.
func (f *Front) recordMixedKeys(keys []uint64) {
	f.recordKeys(originGroup{Version: peridotorigin.Mixed, Keys: keys})
}

// requestKeys returns the keys of the streams that the requests with the given IDs began, without
// those that have no ID.
func requestKeys(requests []string) []uint64 {
	var keys []uint64
	for _, request := range requests {
		if request != "" {
			keys = append(keys, uint64(peridotorigin.KeyOf(request)))
		}
	}
	return keys
}

// recordKeys records origins together, so that one batch contains all of them.
func (f *Front) recordKeys(groups ...originGroup) {
	o := f.origins
	dropped := 0
	o.mu.Lock()
	now := f.now()
	for _, g := range groups {
		for _, key := range g.Keys {
			if len(g.Version) > peridotorigin.MaxVersionBytes || o.recordOwn(now, peridotorigin.Key(key), g.Version) {
				dropped++
			}
		}
	}
	o.mu.Unlock()
	for range dropped {
		f.metrics.Count("origins_dropped")
	}
	notify(o.added)
}

// recordOwn records an origin for this front and for those that keep copies. It reports
// whether another one was dropped. The caller must hold o.mu.
func (o *origins) recordOwn(now time.Duration, key peridotorigin.Key, version string) (dropped bool) {
	if !o.record(now, key, version) {
		return false
	}
	version, _ = o.table.Version(now, key) // It may be mixed now.
	dropped = o.pending.Add(key, version)
	o.keep(now, key, version)
	return dropped
}

// record records an origin at this front and reports whether that is new. The caller must
// hold o.mu.
func (o *origins) record(now time.Duration, key peridotorigin.Key, version string) bool {
	before, _ := o.table.Version(now, key)
	isNew := o.table.Record(now, key, version)
	if after, _ := o.table.Version(now, key); after == peridotorigin.Mixed && before != after {
		o.front.metrics.Count("origins_mixed")
	}
	return isNew
}

// endOrigin records that the stream that the request began has been sent whole: the
// other fronts need no copy that they have not been sent yet. This front keeps its own,
// for a caller that lost the end of the stream. The origin of its content is sent: it may
// differ from that of another stream.
func (f *Front) endOrigin(request string) {
	o := f.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	key := peridotorigin.KeyOf(request)
	o.pending.End(key)
	o.stored.relayed.End(key)
	o.stored.journal.End(key)
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
		o.updateWriters(p.aliveAddresses())
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

// send sends the datagrams in the outbox until ctx is done. It joins those that have piled
// up.
func (o *origins) send(ctx context.Context, conn *net.UDPConn) {
	for {
		select {
		case d := <-o.outbox:
			queued, bytes := []datagram{d}, len(d.data)
			for len(queued) < cap(o.outbox) && len(o.outbox) > 0 && bytes < maxQueuedBytes {
				next := <-o.outbox
				queued = append(queued, next)
				bytes += len(next.data)
			}
			for _, joined := range joinDatagrams(queued) {
				if joined.reached != nil {
					close(joined.reached)
					continue
				}
				if _, err := conn.WriteToUDPAddrPort(joined.data, joined.to); err != nil {
					o.front.metrics.Count("datagram_failures")
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// joinDatagrams joins the questions and the answers for each front into few datagrams. It
// keeps the others as they are.
func joinDatagrams(list []datagram) []datagram {
	if len(list) == 1 {
		return list
	}
	var joined []datagram
	open := make(map[netip.AddrPort]*openDatagram)
	for _, d := range list {
		if d.question == nil && d.answer == nil {
			joined = append(joined, d)
			continue
		}
		at := open[d.to]
		if at != nil && (at.bytes+len(d.data) > maxJoinedBytes || at.count == maxJoinedDatagrams) {
			joined = at.close(joined)
			at = nil
		}
		if at == nil {
			at = &openDatagram{first: d}
			open[d.to] = at
		}
		at.add(d)
	}
	for _, at := range open {
		joined = at.close(joined)
	}
	return joined
}

// openDatagram collects questions and answers for one front.
type openDatagram struct {
	first        datagram
	message      message
	count, bytes int
}

func (at *openDatagram) add(d datagram) {
	at.count++
	at.bytes += len(d.data)
	if d.question != nil {
		at.message.Questions = append(at.message.Questions, *d.question)
	}
	if d.answer != nil {
		at.message.Answers = append(at.message.Answers, *d.answer)
	}
}

// close appends the joined datagram to list. A single one is sent as it is, which
// instances that can't read joined ones understand.
func (at *openDatagram) close(list []datagram) []datagram {
	if at.count == 1 {
		return append(list, at.first)
	}
	data, err := at.message.encode()
	if err != nil {
		log.WithError(err).Warn(logPrefix + "cannot encode a datagram about origins") // Its parts could be encoded.
		return list
	}
	return append(list, datagram{to: at.first.to, data: data})
}

// sendBatches sends the origins that are due to the fronts that keep copies.
func (o *origins) sendBatches() {
	sets := o.fronts()
	var batches, relayed []peridotorigin.Batch
	o.mu.Lock()
	relayed = o.stored.relayed.Take(o.writersOf)
	if sets.known.Len() > 0 {
		batches = o.pending.Take(func(key peridotorigin.Key) []netip.AddrPort { return sets.choose(key, peridotorigin.Replicas) })
	}
	again := o.pending.Len() > 0 || o.stored.relayed.Len() > 0
	o.mu.Unlock()
	for _, b := range relayed {
		o.enqueue(&message{StoredOrigins: encodeGroups(b.Groups)}, b.To)
	}
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
		if len(o.outbox)*len(data) > maxQueuedBytes {
			o.front.metrics.Count("datagrams_not_sent")
			continue
		}
		select {
		case o.outbox <- datagram{to: address, data: data, question: m.Question, answer: m.Answer}:
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
			o.record(now, peridotorigin.Key(key), g.Version)
		}
	}
	o.storeRelayed(now, m.StoredOrigins)
	for _, q := range m.questions() {
		o.enqueue(&message{Answer: o.answer(now, &q)}, from)
	}
	for _, a := range m.answers() {
		o.applyAnswer(now, from, &a)
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

// removeExpired removes the expired origins and returns the number of those left.
func (o *origins) removeExpired() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.front.now()
	o.table.Expire(now)
	o.stored.journal.Expire(now)
	o.stored.mixed.Expire(now)
	return o.table.Len()
}

// storeRelayed stores the origins that another front has sent because it writes no rows.
// The caller must hold o.mu.
func (o *origins) storeRelayed(now time.Duration, groups []originGroup) {
	for _, g := range groups {
		for _, key := range g.Keys {
			o.record(now, peridotorigin.Key(key), g.Version)
			o.stored.journal.Add(now, peridotorigin.Key(key), g.Version)
		}
	}
	if len(groups) > 0 {
		notify(o.storedChanged)
	}
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
