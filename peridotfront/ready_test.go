package peridotfront

import (
	"testing"

	"peridotstack/peridotsite"
)

// TestReadyOnceFleetIsKnown guards against fronts that get requests before they know the
// backend servers and the other fronts, and refuse them.
func TestReadyOnceFleetIsKnown(t *testing.T) {
	for _, test := range []struct {
		name                                          string
		config, backends, roster, quarantine, origins bool
		historyUnread                                 bool
		want                                          bool
	}{
		{name: "all known", config: true, backends: true, roster: true, quarantine: true, origins: true, want: true},
		{name: "no configuration", backends: true, roster: true, quarantine: true, origins: true},
		{name: "no list of servers", config: true, roster: true, quarantine: true, origins: true},
		{name: "other fronts unknown", config: true, backends: true, quarantine: true, origins: true},
		{name: "quarantine unknown", config: true, backends: true, roster: true, origins: true},
		{name: "origins unknown", config: true, backends: true, roster: true, quarantine: true},
		{name: "history unknown", config: true, backends: true, roster: true, quarantine: true, origins: true, historyUnread: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFront(t, newPlatform(), "front-0")
			if test.config {
				f.SetConfig((&peridotsite.Config{Version: 1}).BuildIndex())
			}
			if test.backends {
				f.SetBackends(nil)
			}
			f.peers.rosterRead, f.quarantine.loaded, f.origins.stored.loaded = test.roster, test.quarantine, test.origins
			if !test.historyUnread {
				f.applyHistory(0, nil)
			}
			if got := f.ready(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
