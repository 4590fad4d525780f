package peridotfront

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"peridotstack/peridottable"
	"peridotstack/peridotusage"
	"peridotstack/peridotwait"
)

const (
	// gossipInterval is the least time between two datagrams to each other front.
	// Loads are that old, which is about the time that a long prompt takes to read.
	gossipInterval = 40 * time.Millisecond
	// gossipPerPeer is the time between two datagrams for each other front, which
	// bounds the processor time that they take.
	gossipPerPeer = 5 * time.Millisecond
	// announceEvery is how many datagrams carry one with usage and addresses.
	announceEvery = 5
	// maxDatagram is the largest datagram; more would be cut into packets of which
	// each may be lost.
	maxDatagram = 8 << 10
	// maxPlacements bounds the placements of one datagram.
	maxPlacements = 24
	// usageWindows is how many windows of usage a datagram carries.
	usageWindows = 3
	// peerAlive is how long a front counts as alive without a datagram.
	peerAlive = 1500 * time.Millisecond
	// peerForgotten is when a silent front is no longer sent datagrams.
	peerForgotten = 20 * time.Second
	// rosterInterval is the time between two reads of the list of fronts.
	rosterInterval = 10 * time.Second
	// rosterRetry is the time between two tries to read or write that list.
	rosterRetry  = 500 * time.Millisecond
	rosterPrefix = "front/"
)

// peers knows the other fronts. It finds them in the table service once and then
// through each other.
type peers struct {
	front *Front

	mu sync.Mutex
	// known is by address.
	known map[netip.AddrPort]*peerState
	count int
}

type peerState struct {
	instance string
	// heard is when its last datagram came; zero means never.
	heard time.Duration
	// added is when its address became known.
	added time.Duration
	// steady is from when on the table service has answered it without a break, if
	// answered.
	steady   time.Duration
	answered bool
}

func newPeers(f *Front) *peers {
	return &peers{front: f, known: make(map[netip.AddrPort]*peerState)}
}

// serve exchanges datagrams until ctx is done.
func (p *peers) serve(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", p.front.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "PeerAddress")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrap(err, "listen for other fronts")
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	go p.receive(ctx, conn)
	go p.followRoster(ctx)
	for ctx.Err() == nil {
		peridotwait.Sleep(ctx, sendInterval(p.size()))
		p.send(conn)
	}
	return nil
}

// sendInterval is the time between two datagrams of a front to each other one.
func sendInterval(fronts int) time.Duration {
	return max(gossipInterval, time.Duration(fronts)*gossipPerPeer)
}

// send tells every other front of this one's work.
func (p *peers) send(conn *net.UDPConn) {
	to := p.targets()
	if len(to) == 0 {
		return
	}
	p.mu.Lock()
	p.count++
	announce := p.count%announceEvery == 0
	p.mu.Unlock()
	for _, m := range p.messages(announce) {
		p.tell(conn, to, m)
	}
}

// tell sends one message to all addresses.
func (p *peers) tell(conn *net.UDPConn, to []netip.AddrPort, m *message) {
	data, err := m.encode()
	if err != nil {
		p.front.metrics.Count("datagrams_not_sent")
		log.WithError(err).Warn(logPrefix + "figures for the other fronts cannot be sent")
		return
	}
	for _, address := range to {
		if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
			p.front.metrics.Count("datagram_failures")
		}
	}
}

// messages returns what the other fronts are told now: the load, and with an
// announcement this front's usage and whom it hears.
func (p *peers) messages(announce bool) []*message {
	f := p.front
	first := p.newMessage()
	f.mu.Lock()
	first.setReport(f.placer.Report(f.now(), maxPlacements))
	first.StoreMillis = uint32(f.storeSteady().Milliseconds())
	var windows map[peridotusage.Window]map[string]int64
	if announce {
		windows = f.tally.OwnCounts(f.tally.WindowAt(f.trueTime()), usageWindows)
	}
	f.mu.Unlock()
	list := []*message{first}
	if !announce {
		return list
	}
	for address := range p.alive() {
		first.Peers = append(first.Peers, address.String())
	}
	for _, u := range usageMessages(f.self.Incarnation, windows) {
		m := p.newMessage()
		m.Usage = u
		list = append(list, m)
	}
	return list
}

func (p *peers) newMessage() *message {
	return &message{From: p.front.settings.Instance, Address: p.front.settings.PeerAddress}
}

// targets returns the addresses to send to, without those long silent.
func (p *peers) targets() []netip.AddrPort {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var to []netip.AddrPort
	for address, state := range p.known {
		if now-max(state.heard, state.added) < peerForgotten {
			to = append(to, address)
		}
	}
	return to
}

// alive returns the fronts that were heard lately, by address.
func (p *peers) alive() map[netip.AddrPort]peerState {
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[netip.AddrPort]peerState)
	for address, state := range p.known {
		if state.heard > 0 && now-state.heard < peerAlive {
			list[address] = *state
		}
	}
	return list
}

// storeAnswered reports whether the table service has answered another front, heard
// lately, without a break since a time.
func (p *peers) storeAnswered(since time.Duration) bool {
	for _, state := range p.alive() {
		if state.answered && state.steady <= since {
			return true
		}
	}
	return false
}

// instances returns the names of the fronts that were heard lately.
func (p *peers) instances() []string {
	var names []string
	for _, state := range p.alive() {
		names = append(names, state.instance)
	}
	return names
}

// size returns the number of fronts that may be alive, this one included.
func (p *peers) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) + 1
}

func (p *peers) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				peridotwait.Sleep(ctx, gossipInterval) // An unreachable peer shows as an error of the socket.
			}
			continue
		}
		m, err := decodeMessage(buffer[:n])
		if err != nil {
			p.front.metrics.Count("datagrams_unreadable")
			continue
		}
		p.take(m)
	}
}

func (p *peers) take(m *message) {
	f := p.front
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil || m.From == f.settings.Instance {
		return
	}
	p.heard(address, m)
	for _, text := range m.Peers {
		if other, err := netip.ParseAddrPort(text); err == nil {
			p.add(other)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Usage != nil {
		from := peridotusage.Process{Instance: m.From, Incarnation: m.Usage.Incarnation}
		f.tally.Merge(from, peridotusage.Window(m.Usage.Window), m.Usage.Counts)
		return
	}
	f.placer.Observe(f.now(), m.From, m.report(f.backends.byHash))
}

func (p *peers) heard(address netip.AddrPort, m *message) {
	now := p.front.now()
	p.mu.Lock()
	state := p.known[address]
	if state == nil {
		state = &peerState{added: now}
		p.known[address] = state
	}
	fresh := state.heard == 0
	state.heard, state.instance = now, m.From
	if m.Usage == nil {
		state.answered = m.StoreMillis > 0
		state.steady = now - time.Duration(m.StoreMillis)*time.Millisecond
	}
	p.mu.Unlock()
	if fresh {
		log.WithFields(log.Fields{"instance": m.From, "address": address.String()}).Info(logPrefix + "heard of another front")
		p.front.shareRepeats()
	}
}

// add makes an address known.
func (p *peers) add(address netip.AddrPort) {
	if address.String() == p.front.settings.PeerAddress {
		return
	}
	now := p.front.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known[address] == nil {
		p.known[address] = &peerState{added: now}
	}
}

// followRoster writes this front into the list of fronts and reads the others.
func (p *peers) followRoster(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		pause := rosterInterval
		if !registered {
			registered = p.register(ctx)
		}
		if !p.readRoster(ctx) || !registered {
			pause = rosterRetry
		}
		peridotwait.Sleep(ctx, pause)
	}
}

func (p *peers) register(ctx context.Context) bool {
	f := p.front
	_, err := f.platform.Commit(ctx, peridottable.Txn{
		ID:   f.self.Incarnation,
		Puts: []peridottable.Put{{Key: rosterPrefix + f.settings.Instance, Value: []byte(f.settings.PeerAddress)}},
	})
	if err != nil {
		f.metrics.Count("roster_write_failures")
	}
	return err == nil
}

func (p *peers) readRoster(ctx context.Context) bool {
	rows, err := p.front.platform.Scan(ctx, peridottable.Range{Prefix: rosterPrefix})
	if err != nil {
		p.front.metrics.Count("roster_read_failures")
		return false
	}
	for _, row := range rows {
		address, err := netip.ParseAddrPort(string(row.Value))
		if err != nil {
			log.WithField("row", row.Key).Warn(logPrefix + "address of another front cannot be read")
			continue
		}
		p.add(address)
	}
	return true
}
