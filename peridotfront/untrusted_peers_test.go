package peridotfront

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// strangerAddress returns the n-th address of fronts that don't exist.
func strangerAddress(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.9.%d.%d:7660", n/250, n%250))
}

// TestUnlistedPeersAreBounded guards against datagrams that name fronts without end, and
// against fronts of the roster that are not known because of them.
func TestUnlistedPeersAreBounded(t *testing.T) {
	f := newFront(t, newPlatform(), "front")
	p := f.peers
	for n := range maxUnlistedPeers + 10 {
		if n%2 == 0 {
			p.addAddress(strangerAddress(n))
		} else {
			p.handleMessage(&message{From: fmt.Sprint("stranger-", n), Address: strangerAddress(n).String()})
		}
	}
	if got := p.frontCount(); got != maxUnlistedPeers+1 {
		t.Errorf("got %d fronts, want %d", got, maxUnlistedPeers+1)
	}
	listed := netip.MustParseAddrPort("10.8.0.1:7660")
	p.addListed(listed)
	p.addListed(strangerAddress(0)) // Makes room for one that is not listed.
	p.addAddress(strangerAddress(maxUnlistedPeers))
	if got := p.frontCount(); got != maxUnlistedPeers+3 {
		t.Errorf("got %d fronts with two listed ones, want %d", got, maxUnlistedPeers+3)
	}
	p.mu.Lock()
	p.forgetSilent(f.now() + peerForgetTimeout)
	p.mu.Unlock()
	if got := p.frontCount(); got != 3 {
		t.Errorf("got %d fronts after a silence, want the listed ones and this one", got)
	}
}

// TestNamesOfOneAddress guards against a sender that takes a new name with each datagram, for
// which the front would keep reports and demands.
func TestNamesOfOneAddress(t *testing.T) {
	f := newFront(t, newPlatform(), "front")
	address := strangerAddress(1)
	for _, test := range []struct {
		name, from string
		silence    time.Duration
		want       bool
	}{
		{name: "first", from: "a", want: true},
		{name: "same", from: "a", want: true},
		{name: "another beside it", from: "b", want: false},
		{name: "another after it", from: "b", silence: peerAliveTimeout, want: true},
		{name: "long name", from: strings.Repeat("c", maxInstanceBytes+1), silence: peerAliveTimeout, want: false},
	} {
		if state := f.peers.byAddress[address]; state != nil {
			state.heardAt -= test.silence
		}
		if got := f.peers.recordSender(address, &message{From: test.from}); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
