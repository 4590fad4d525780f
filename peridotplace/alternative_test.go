package peridotplace

import (
	"testing"
	"time"

	"peridotstack/peridotsite"
)

// TestHasAlternative guards against giving up a silent server for one that cannot take
// over its requests.
func TestHasAlternative(t *testing.T) {
	const now = time.Second
	for _, test := range []struct {
		name            string
		prefillEngines  int
		decodeEngines   int
		prepare         func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config)
		plain           bool
		softwareVersion string
		want            bool
	}{
		{name: "other engine", decodeEngines: 2, want: true},
		{name: "no other engine", decodeEngines: 1},
		{name: "other engine only prefills", prefillEngines: 1, decodeEngines: 1},
		{name: "other engine leaving", decodeEngines: 2, prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
			list[1].Leaving = true
			p.SetBackends(0, list, config)
		}},
		{name: "other engine full", decodeEngines: 2, prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
			p.Done(now, p.Begin(now, "w1"), Refused)
		}},
		{name: "other engine lost", decodeEngines: 2, prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
			p.Done(now, p.Begin(now, "w1"), Unavailable)
		}},
		{name: "other engine silent, too", decodeEngines: 2, prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
			p.Begin(0, "w1")
		}},
		{name: "service removed from the configuration", decodeEngines: 2, prepare: func(p *Placer, list []peridotsite.Backend, _ *peridotsite.Config) {
			p.SetBackends(0, list, (&peridotsite.Config{Version: 2}).BuildIndex())
		}},
		{name: "other plain server", plain: true, want: true},
		{name: "other engine of the software version", decodeEngines: 2, softwareVersion: "v1", prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
			list[1].SoftwareVersion = "v1"
			p.SetBackends(0, list, config)
		}, want: true},
		{name: "other engine of another software version", decodeEngines: 2, softwareVersion: "v1", prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
			list[1].SoftwareVersion = "v2"
			p.SetBackends(0, list, config)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, list, config := newFleet(test.prefillEngines, test.decodeEngines)
			if test.plain {
				list = []peridotsite.Backend{{ID: "w0", Service: "plain"}, {ID: "w1", Service: "plain"}}
				p.SetBackends(0, list, config)
			}
			if test.prepare != nil {
				test.prepare(p, list, config)
			}
			a := Alternative{Service: list[0].Service, SoftwareVersion: test.softwareVersion, Generates: !test.plain, Exclude: []string{"w0"}}
			if got := p.HasAlternative(now, a); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
