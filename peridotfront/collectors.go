package peridotfront

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"peridotstack/peridotlease"
	"peridotstack/peridotusage"
	"peridotstack/peridotwait"
)

const (
	// collectorsAhead is the number of fronts beside the holder of the duties to which usage
	// counts are sent: those that should take over the duties first.
	collectorsAhead = 3
	// holderMemory is how long usage counts are sent to a front that held the duties: after
	// an outage of the table service it mostly holds them again.
	holderMemory = 30 * time.Second
	// minUsageInterval and usageIntervalPerFront, multiplied by the number of fronts, are
	// lower bounds of the time between two deliveries of usage counts. The latter limits
	// what the collectors receive.
	minUsageInterval      = 500 * time.Millisecond
	usageIntervalPerFront = 2 * time.Millisecond
)

// usageInterval returns the time between two deliveries of usage counts, given the number
// of fronts.
func usageInterval(fronts int) time.Duration {
	return max(minUsageInterval, time.Duration(fronts)*usageIntervalPerFront)
}

// serveUsage sends the usage that this front counted to the collectors until ctx is done.
func (p *peers) serveUsage(ctx context.Context, conn *net.UDPConn) {
	for ctx.Err() == nil {
		peridotwait.Sleep(ctx, usageInterval(p.frontCount()))
		p.sendUsage(conn)
	}
}

// sendUsage sends the usage that this front counted to the collectors that do not have it.
func (p *peers) sendUsage(conn *net.UDPConn) {
	f := p.front
	collectors := p.collectors()
	names := make([]string, 0, len(collectors))
	for name := range collectors {
		names = append(names, name)
	}
	f.mu.Lock()
	parcels := f.delivery.Next(f.tally.WindowAt(f.trueTime()), names)
	f.mu.Unlock()
	for name, windows := range parcels {
		for _, m := range p.usageMessages(windows) {
			p.broadcast(conn, []netip.AddrPort{collectors[name]}, m)
		}
	}
}

// usageMessages returns messages with the counts of windows.
func (p *peers) usageMessages(windows map[peridotusage.Window]map[string]int64) []*message {
	var messages []*message
	for _, u := range splitUsage(p.front.self.Incarnation, windows) {
		m := p.newMessage()
		m.Usage = u
		messages = append(messages, m)
	}
	return messages
}

// collectors returns the addresses of the other fronts to which usage counts are sent, by
// instance name: those that have held the duties within holderMemory, and those that should
// take them over first.
func (p *peers) collectors() map[string]netip.AddrPort {
	addresses := make(map[string]netip.AddrPort)
	now := p.front.now()
	var holders []string
	names := []string{p.front.settings.Instance}
	for address, state := range p.alivePeers() {
		addresses[state.instance] = address
		names = append(names, state.instance)
		if state.heldDutiesAt > 0 && now-state.heldDutiesAt < holderMemory {
			holders = append(holders, state.instance)
		}
	}
	chosen := slices.Concat(holders, peridotlease.FirstRanked(dutyShard, names, collectorsAhead))
	collectors := make(map[string]netip.AddrPort, len(chosen))
	for _, name := range chosen {
		if address, ok := addresses[name]; ok {
			collectors[name] = address
		}
	}
	return collectors
}
