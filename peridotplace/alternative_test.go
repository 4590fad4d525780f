package peridotplace

import (
	"testing"
	"time"

	"peridotstack/peridotsite"
)

// TestHasAlternative guards against giving up a silent server for one that cannot take
// over its requests.
func TestHasAlternative(t *testing.T) {
	const (
		now        = time.Second
		longPrompt = 60000 // tokens, which take 0.4 s
	)
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
		{name: "other engine in a long prefill", decodeEngines: 2, prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
			p.BeginPrefill(0, "w1", nil, longPrompt)
		}, want: true},
		{name: "other engine in a long prefill after an answer", decodeEngines: 2, prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
			p.BeginPrefill(0, "w1", nil, longPrompt)
			p.Progress(0, p.Begin(0, "w1"))
		}},
		{name: "other engine overdue with a prefill", decodeEngines: 2, prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
			p.BeginPrefill(0, "w1", nil, longPrompt/5)
		}},
		{name: "other engine silent since a prefill", decodeEngines: 2, prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
			p.Done(0, p.BeginPrefill(0, "w1", nil, longPrompt), Canceled)
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

// TestBusyPlainServerIsAlternative guards against keeping a request at a dark server
// because the only other one has been working on a long request for a while.
func TestBusyPlainServerIsAlternative(t *testing.T) {
	p, list, config := newFleet(0, 2)
	list[0].Service, list[1].Service = "plain", "plain"
	p.SetBackends(0, list, config)
	p.Begin(0, "w1")
	if !p.HasAlternative(time.Second, Alternative{Service: "plain", Exclude: []string{"w0"}}) {
		t.Error("got no alternative, want the busy server")
	}
}
