package peridotfront

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridottable"
	"peridotstack/peridotusage"
	"peridotstack/peridotwait"
)

const (
	// gossipInterval is the minimum time between two datagrams to the same front.
	// Load reports are up to this old, which is about the prefill time of a long
	// prompt.
	gossipInterval = 40 * time.Millisecond
	// gossipIntervalPerPeer, multiplied by the number of fronts, is another lower bound
	// of that time. It limits the CPU time spent on datagrams.
	gossipIntervalPerPeer = 2 * time.Millisecond
	// gossipLinkShare is the fraction of its network link that a front uses for load
	// reports.
	gossipLinkShare = 0.2
	// roundsPerAnnouncement is the number of rounds of datagrams from one announcement
	// to the next. An announcement is a round that also carries the addresses of other
	// fronts.
	roundsPerAnnouncement = 5
	// maxDatagramBytes is the maximum size of a datagram. IP splits a larger datagram
	// into more fragments, and the loss of one fragment loses the whole datagram.
	maxDatagramBytes = 8 << 10
	// reportSmoothing is the weight of a new load report in the average size.
	reportSmoothing = 0.2
	// receiveBufferBytes is the receive buffer for datagrams; the kernel may allow less.
	receiveBufferBytes = 2 << 20
	// maxPlacementsPerDatagram limits the number of placements in one datagram.
	maxPlacementsPerDatagram = 24
	// peerAliveTimeout is the time without a datagram from another front after which
	// that front is no longer considered alive.
	peerAliveTimeout = 1500 * time.Millisecond
	// peerForgetTimeout is the time without a datagram from another front after which
	// no more datagrams are sent to that front.
	peerForgetTimeout = 20 * time.Second
	// rosterInterval is the time between two reads of the roster, the list of fronts
	// in the table service.
	rosterInterval = 10 * time.Second
	// rosterRetryInterval is the time between two checks whether the roster must be
	// read or written, also after a failure.
	rosterRetryInterval = 500 * time.Millisecond
	// rosterLoadTime is how long after its start a front is not ready if it could not read
	// the roster.
	rosterLoadTime = 2 * time.Second
	// maxUnlistedPeers limits the fronts that are known only from datagrams, which anybody
	// may send. Those in the roster are not limited. Without a roster, it exceeds the design
	// size of 1,200 fronts.
	maxUnlistedPeers = 2048
	// maxInstanceBytes limits the length of an instance's name in a datagram.
	maxInstanceBytes = 256
	// forgetInterval is the minimum time between two searches for fronts to forget if there
	// are too many.
	forgetInterval = time.Second
	// rosterPrefix is the key prefix of the rows of the roster.
	rosterPrefix = "front/"
)

// peers tracks the other fronts and exchanges datagrams with them. It discovers
// them from the roster in the table service and from the addresses that other
// fronts announce. Its methods are safe for concurrent use.
type peers struct {
	front *Front

	mu sync.Mutex
	// byAddress contains the other fronts by address.
	byAddress map[netip.AddrPort]*peerState
	// unlisted is the number of those that the roster has never shown, and forgottenAt when
	// silent ones of them were last removed.
	unlisted    int
	forgottenAt time.Duration
	// rounds counts the rounds of datagrams sent.
	rounds int
	// reportBytes is the moving average of the size of a load report.
	reportBytes float64
	// rosterRead is set once the roster has been read.
	rosterRead bool
	// changes counts the fronts that became known, and those heard for the first time.
	changes int
}

// peerState is the state of another front. Its times are values of Front.now.
type peerState struct {
	instance string
	// heardAt is when the last datagram from the front arrived; zero means never.
	heardAt time.Duration
	// addedAt is when the address of the front became known.
	addedAt time.Duration
	// isListed is set once the roster has shown the front.
	isListed bool
	// storeSteadySince is the time since which the table service has answered the front
	// without interruption. It is valid only if storeAnswering is set, which means that
	// the table service answers the front.
	storeSteadySince time.Duration
	storeAnswering   bool
	// announcedSoftware is set once the front has announced the software versions that
	// it has seen.
	announcedSoftware bool
	// announcedAt is when an announcement of the front was last received.
	announcedAt time.Duration
	// vouchedAt is when an announcement with all software versions that the front has seen was
	// last received; zero means never.
	vouchedAt time.Duration
	// heldDutiesAt is when the front said last that it holds the lease of the duties; zero
	// means never.
	heldDutiesAt time.Duration
	// knowsPast is set once it has said that it knows what had served before it started.
	knowsPast bool
}

func newPeers(f *Front) *peers {
	return &peers{front: f, byAddress: make(map[netip.AddrPort]*peerState)}
}

// serve exchanges datagrams with the other fronts until ctx is done. It returns an
// error if it cannot listen.
func (p *peers) serve(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", p.front.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "PeerAddress")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrap(err, "listen for other fronts")
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		log.WithError(err).Warn(logPrefix + "cannot enlarge the receive buffer for datagrams")
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	go p.receive(ctx, conn)
	go p.front.origins.serve(ctx, conn)
	go p.serveUsage(ctx, conn)
	go p.followRoster(ctx)
	for ctx.Err() == nil {
		peridotwait.Sleep(ctx, p.sendInterval())
		p.sendRound(conn)
	}
	return nil
}

// sendInterval returns the time between two rounds of datagrams, given the number of
// fronts, the size of a load report and the rate of the network link.
func sendInterval(fronts int, reportBytes, linkBytesPerSecond float64) time.Duration {
	interval := max(gossipInterval, time.Duration(fronts)*gossipIntervalPerPeer)
	if linkBytesPerSecond > 0 {
		seconds := float64(fronts-1) * reportBytes / (gossipLinkShare * linkBytesPerSecond)
		interval = max(interval, time.Duration(seconds*float64(time.Second)))
	}
	return interval
}

// sendInterval returns the present time between two rounds of datagrams.
func (p *peers) sendInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sendInterval(len(p.byAddress)+1, p.reportBytes, p.front.settings.LinkBytesPerSecond)
}

// announceInterval returns the present time between two announcements.
func (p *peers) announceInterval() time.Duration {
	return roundsPerAnnouncement * p.sendInterval()
}

// sendRound sends one round of datagrams to the other fronts.
func (p *peers) sendRound(conn *net.UDPConn) {
	to := p.targetAddresses()
	if len(to) == 0 {
		return
	}
	p.mu.Lock()
	p.rounds++
	announce := p.rounds%roundsPerAnnouncement == 0
	p.mu.Unlock()
	for i, m := range p.messages(announce) {
		bytes := p.broadcast(conn, to, m)
		if i == 0 {
			p.observeReport(bytes)
		}
	}
}

// observeReport updates the average size of a load report.
func (p *peers) observeReport(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportBytes += (float64(bytes) - p.reportBytes) * reportSmoothing
}

// broadcast sends one message to all addresses. It returns the size of the datagram, or 0
// if the message cannot be sent.
func (p *peers) broadcast(conn *net.UDPConn, to []netip.AddrPort, m *message) int {
	data, err := m.encode()
	if err != nil {
		p.front.metrics.Count("datagrams_not_sent")
		log.WithError(err).Warn(logPrefix + "cannot encode a datagram for the other fronts")
		return 0
	}
	for _, address := range to {
		if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
			p.front.metrics.Count("datagram_failures")
		}
	}
	return len(data)
}

// messages returns the messages of one round. The first contains the load of this
// front. An announcement adds the software versions that this front has seen, the
// addresses of the fronts that are alive, and further messages with the windows that this
// front sealed.
func (p *peers) messages(announce bool) []*message {
	f := p.front
	first := p.newMessage()
	f.mu.Lock()
	first.addReport(f.placer.Report(f.now(), maxPlacementsPerDatagram))
	first.HoldsDuties = f.holdsDuties.Load()
	first.StoreAnsweringMillis = uint32(f.storeAnsweringFor().Milliseconds())
	f.addLimits(first, announce)
	f.quota.addReport(f.now(), first, announce)
	var sealed map[peridotusage.Window]map[string]int64
	if announce {
		sealed = f.ownSeals()
		ages := f.backends.software.ages(f.now())
		first.Software = ages[:min(len(ages), maxSoftwareAges)]
		first.KnowsPast = f.vouchesForPast(ages)
	}
	f.mu.Unlock()
	messages := []*message{first}
	if r, details := f.quarantine.report(announce); r != nil {
		messages = append(messages, &message{Quarantine: r, QuarantineDetails: details})
	}
	if !announce {
		return messages
	}
	for address := range p.alivePeers() {
		first.Peers = append(first.Peers, address.String())
	}
	for _, s := range splitSeals(sealed) {
		m := p.newMessage()
		m.Seal = s
		messages = append(messages, m)
	}
	return messages
}

func (p *peers) newMessage() *message {
	return &message{From: p.front.settings.Instance, Address: p.front.settings.PeerAddress}
}

// targetAddresses returns the addresses to send datagrams to. It omits fronts that have
// been silent for peerForgetTimeout.
func (p *peers) targetAddresses() []netip.AddrPort {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var to []netip.AddrPort
	for address, state := range p.byAddress {
		if now-max(state.heardAt, state.addedAt) < peerForgetTimeout {
			to = append(to, address)
		}
	}
	return to
}

// heardAddresses returns the addresses of the other fronts that sent a datagram within
// peerForgetTimeout.
func (p *peers) heardAddresses() []netip.AddrPort {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var heard []netip.AddrPort
	for address, state := range p.byAddress {
		if state.heardAt > 0 && now-state.heardAt < peerForgetTimeout {
			heard = append(heard, address)
		}
	}
	return heard
}

// changeCount returns the number of changes of the known fronts so far. It does not
// count fronts that become silent.
func (p *peers) changeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes
}

// hasReadRoster reports whether the roster has been read.
func (p *peers) hasReadRoster() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rosterRead
}

// alivePeers returns the other fronts that are alive, by address: those that sent a
// datagram within peerAliveTimeout.
func (p *peers) alivePeers() map[netip.AddrPort]peerState {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[netip.AddrPort]peerState)
	for address, state := range p.byAddress {
		if state.heardAt > 0 && now-state.heardAt < peerAliveTimeout {
			list[address] = *state
		}
	}
	return list
}

// hasAlive reports whether another front is alive.
func (p *peers) hasAlive() bool {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.byAddress {
		if state.heardAt > 0 && now-state.heardAt < peerAliveTimeout {
			return true
		}
	}
	return false
}

// omitSilent returns the addresses without those of fronts that are silent and have been known
// for longer than peerAliveTimeout: others may just have started.
func (p *peers) omitSilent(addresses []netip.AddrPort) []netip.AddrPort {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(addresses), func(a netip.AddrPort) bool {
		state := p.byAddress[a]
		return state == nil || now-max(state.heardAt, state.addedAt) >= peerAliveTimeout
	})
}

// aliveAddresses returns the addresses of the other fronts that are alive.
func (p *peers) aliveAddresses() []netip.AddrPort {
	return slices.Collect(maps.Keys(p.alivePeers()))
}

// storeAnsweredSince reports whether the table service has answered at least one
// other front without interruption since the given time. Only fronts that are alive
// are considered.
func (p *peers) storeAnsweredSince(since time.Duration) bool {
	for _, state := range p.alivePeers() {
		if state.storeAnswering && state.storeSteadySince <= since {
			return true
		}
	}
	return false
}

// softwareAnnouncers counts the other fronts that have announced software versions.
type softwareAnnouncers struct {
	// known is the number of all other fronts that are known, announced that of those
	// that have announced the software versions that they have seen, and knowPast that of
	// those that knew then what had served before.
	known, announced, knowPast int
}

// softwareAnnouncers counts the other fronts that have announced software versions.
func (p *peers) softwareAnnouncers() softwareAnnouncers {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := softwareAnnouncers{known: len(p.byAddress)}
	for _, state := range p.byAddress {
		if state.announcedSoftware {
			a.announced++
		}
		if state.knowsPast {
			a.knowPast++
		}
	}
	return a
}

// haveAnnouncedSince reports whether all other fronts that are alive have announced the software
// versions that they have seen since the given time.
func (p *peers) haveAnnouncedSince(at time.Duration) bool {
	for _, state := range p.alivePeers() {
		if state.announcedAt < at {
			return false
		}
	}
	return true
}

// allVouchSince reports whether there are other fronts, and all that have run within
// softwareMemory are alive and have announced all software versions that they have seen since the
// given time. What a front that is gone has seen alone is lost.
func (p *peers) allVouchSince(at time.Duration) bool {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	vouched := false
	for _, state := range p.byAddress {
		if now-max(state.heardAt, state.addedAt) > softwareMemory {
			continue
		}
		if state.heardAt == 0 || now-state.heardAt >= peerAliveTimeout || state.vouchedAt == 0 || state.vouchedAt < at {
			return false
		}
		vouched = true
	}
	return vouched
}

// aliveInstances returns the names of the other fronts that are alive.
func (p *peers) aliveInstances() []string {
	var names []string
	for _, state := range p.alivePeers() {
		names = append(names, state.instance)
	}
	return names
}

// frontCount returns the number of known fronts, including this one and fronts that
// are no longer alive.
func (p *peers) frontCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byAddress) + 1
}

// position returns the number of fronts that are alive, including this one, and the
// index of this front among them in the order of their addresses.
func (p *peers) position() (index, count int) {
	count = 1
	for address := range p.alivePeers() {
		count++
		if address.String() < p.front.settings.PeerAddress {
			index++
		}
	}
	return index, count
}

// receive handles datagrams from conn until ctx is done.
func (p *peers) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes+1)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				peridotwait.Sleep(ctx, gossipInterval) // An unreachable peer makes the next read fail.
			}
			continue
		}
		m, err := decodeMessage(buffer[:n])
		if err != nil {
			p.front.metrics.Count("datagrams_unreadable")
			continue
		}
		if m.hasOrigins() {
			p.front.origins.handleMessage(from, m)
		}
		if m.Quarantine != nil {
			p.front.quarantine.handleReport(m.Quarantine, m.QuarantineDetails)
		}
		p.handleMessage(m)
	}
}

// handleMessage applies a message from another front. It ignores messages of this
// instance and those without a valid address.
func (p *peers) handleMessage(m *message) {
	f := p.front
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil || m.From == f.settings.Instance {
		return
	}
	if !p.recordSender(address, m) {
		f.metrics.Count("datagrams_refused")
		return
	}
	for _, text := range m.Peers {
		if other, err := netip.ParseAddrPort(text); err == nil {
			p.addAddress(other)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Usage != nil {
		f.handleUsage(m)
		return
	}
	if m.Seal != nil {
		f.handleSeal(m.Seal)
		return
	}
	f.handleLimits(m)
	f.quota.handleReport(f.now(), m)
	f.backends.observeSoftware(f.now(), m.Software)
	if len(m.Software) > 0 || len(m.Peers) > 0 {
		p.recordAnnouncement(address, m.KnowsPast)
	}
	report := m.report(f.backends.idByHash)
	m.Locality.addTo(&report, f.backends.idByHash, f.backends.serviceByHash)
	f.placer.Observe(f.now(), m.From, report)
}

// recordSender updates the state of the front that sent m. It returns false if the message
// must be ignored: the name is too long, there are too many fronts, or another front is
// alive at the address.
func (p *peers) recordSender(address netip.AddrPort, m *message) bool {
	if len(m.From) > maxInstanceBytes {
		return false
	}
	now := p.front.now()
	p.mu.Lock()
	state := p.stateOf(now, address)
	if state == nil || state.heardAt > 0 && state.instance != m.From && now-state.heardAt < peerAliveTimeout {
		p.mu.Unlock()
		return false
	}
	isNew := state.heardAt == 0
	if isNew {
		p.changes++
	}
	state.heardAt, state.instance = now, m.From
	if m.Usage == nil && m.Seal == nil {
		state.announcedSoftware = state.announcedSoftware || len(m.Software) > 0
		state.knowsPast = state.knowsPast || m.KnowsPast
		if m.HoldsDuties {
			state.heldDutiesAt = now
		}
		state.storeAnswering = m.StoreAnsweringMillis > 0
		state.storeSteadySince = now - time.Duration(m.StoreAnsweringMillis)*time.Millisecond
	}
	p.mu.Unlock()
	if isNew {
		log.WithFields(log.Fields{"instance": m.From, "address": address.String()}).Info(logPrefix + "received the first datagram from another front")
		p.front.updateRetryBudget()
	}
	return true
}

// recordAnnouncement records that the front at the given address has announced the software
// versions that it has seen, once these are recorded. vouches is set if it has announced all of them.
func (p *peers) recordAnnouncement(address netip.AddrPort, vouches bool) {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.byAddress[address]; state != nil {
		state.announcedAt = now
		if vouches {
			state.vouchedAt = now
		}
	}
}

// stateOf returns the state of the front at the given address. It adds the front if it is
// unknown, and returns nil if there are too many. The caller must hold p.mu.
func (p *peers) stateOf(now time.Duration, address netip.AddrPort) *peerState {
	if state := p.byAddress[address]; state != nil {
		return state
	}
	if p.unlisted >= maxUnlistedPeers && now-p.forgottenAt >= forgetInterval {
		p.forgetSilent(now)
	}
	if p.unlisted >= maxUnlistedPeers {
		return nil
	}
	state := &peerState{addedAt: now}
	p.byAddress[address] = state
	p.unlisted++
	return state
}

// forgetSilent removes the fronts that are not in the roster and have been silent for
// peerForgetTimeout. The caller must hold p.mu.
func (p *peers) forgetSilent(now time.Duration) {
	p.forgottenAt = now
	maps.DeleteFunc(p.byAddress, func(_ netip.AddrPort, state *peerState) bool {
		return !state.isListed && now-max(state.heardAt, state.addedAt) >= peerForgetTimeout
	})
	p.unlisted = 0
	for _, state := range p.byAddress {
		if !state.isListed {
			p.unlisted++
		}
	}
}

// addAddress adds the address of a front unless it is known already or is that of this
// front, or there are too many.
func (p *peers) addAddress(address netip.AddrPort) {
	if address.String() == p.front.settings.PeerAddress {
		return
	}
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddress[address] == nil && p.stateOf(now, address) != nil {
		p.changes++
	}
}

// addListed adds the address of a front in the roster, however many there are.
func (p *peers) addListed(address netip.AddrPort) {
	if address.String() == p.front.settings.PeerAddress {
		return
	}
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.byAddress[address]
	switch {
	case state == nil:
		p.byAddress[address] = &peerState{addedAt: now, isListed: true}
		p.changes++
	case !state.isListed:
		state.isListed = true
		p.unlisted--
	}
}

// followRoster adds this front to the roster, again in each new era of the table
// service, and reads the roster periodically until ctx is done.
func (p *peers) followRoster(ctx context.Context) {
	registered := false
	var registeredEra int64
	var readAt time.Duration
	for ctx.Err() == nil {
		now := p.front.now()
		if era := p.front.platform.Era(); !registered || era != registeredEra {
			registered, registeredEra = p.registerSelf(ctx), era
			readAt = 0
		}
		if readAt == 0 || now-readAt >= rosterInterval {
			readAt = 0
			if p.readRoster(ctx) && registered {
				readAt = now
			}
		}
		peridotwait.Sleep(ctx, rosterRetryInterval)
	}
}

// registerSelf writes the address of this front to the roster. The first front of all also
// begins the history of software versions: nothing has served before. It reports whether it
// succeeded.
func (p *peers) registerSelf(ctx context.Context) bool {
	f := p.front
	t := peridottable.Txn{
		ID:   f.self.Incarnation,
		Era:  peridottable.AnyEra,
		Puts: []peridottable.Put{{Key: rosterPrefix + f.settings.Instance, Value: []byte(f.settings.PeerAddress)}},
	}
	if rows, err := f.platform.Scan(ctx, peridottable.Range{Prefix: rosterPrefix, Limit: 1}); err == nil && len(rows) == 0 && f.platform.Era() == 0 {
		first := t
		first.Era, first.Checks = 0, []peridottable.Check{{Key: historyCompleteKey}}
		first.Puts = append(slices.Clip(t.Puts), historyComplete(0))
		if _, err := f.platform.Commit(ctx, first); err == nil {
			f.beginHistory()
			log.Info(logPrefix + "added this front to the roster as the first one")
			return true
		}
	}
	_, err := f.platform.Commit(ctx, t)
	if err != nil {
		f.metrics.Count("roster_write_failures")
		return false
	}
	log.WithField("era", f.platform.Era()).Info(logPrefix + "added this front to the roster")
	return true
}

// readRoster adds the fronts in the roster. It reports whether it could read the
// roster.
func (p *peers) readRoster(ctx context.Context) bool {
	rows, err := p.front.platform.Scan(ctx, peridottable.Range{Prefix: rosterPrefix})
	if err != nil {
		p.front.metrics.Count("roster_read_failures")
		return false
	}
	for _, row := range rows {
		address, err := netip.ParseAddrPort(string(row.Value))
		if err != nil {
			log.WithField("row", row.Key).Warn(logPrefix + "cannot parse the address of another front")
			continue
		}
		p.addListed(address)
	}
	now := p.front.now()
	p.mu.Lock()
	p.rosterRead = true
	before := len(p.byAddress)
	p.forgetSilent(now)
	hasForgotten := len(p.byAddress) < before
	p.mu.Unlock()
	if hasForgotten {
		p.front.updateRetryBudget()
	}
	return true
}
