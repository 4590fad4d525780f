package peridotplace

import (
	"testing"
	"time"

	"peridotstack/peridotsite"
)

// TestPlaceSoftwareVersion guards against prompts that go to another software version
// than their own, and against pairs of engines of two versions.
func TestPlaceSoftwareVersion(t *testing.T) {
	long, short := Prompt{Tokens: 9000, Parts: parts(1, 2, 3)}, Prompt{Tokens: 200, Parts: parts(1)}
	pinned := func(prompt Prompt, version string) Prompt {
		prompt.SoftwareVersion = version
		return prompt
	}
	tests := []struct {
		name   string
		prompt Prompt
		// prefillVersions and decodeVersions are the software versions of r0 and up and
		// of w0 and up.
		prefillVersions, decodeVersions []string
		// prepare changes the fleet before the prompt is placed, at one second.
		prepare     func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config)
		wantPrefill string
		wantBackend string
		wantNone    bool
	}{
		{name: "any version", prompt: short, decodeVersions: []string{"v1", "v2"}, wantBackend: "w0"},
		{name: "own version", prompt: pinned(short, "v2"), decodeVersions: []string{"v1", "v2"}, wantBackend: "w1"},
		{
			name: "own version is busy", prompt: pinned(short, "v2"), decodeVersions: []string{"v1", "v2"},
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				for range 70 {
					p.Begin(time.Second, "w1")
				}
			},
			wantBackend: "w1",
		},
		{
			name: "own version is in backoff", prompt: pinned(short, "v2"), decodeVersions: []string{"v1", "v2"},
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				p.Done(time.Second, p.Begin(time.Second, "w1"), Unavailable)
			},
			wantBackend: "w1",
		},
		{name: "no engine of the version", prompt: pinned(short, "v3"), decodeVersions: []string{"v1", "v2"}, wantNone: true},
		{
			name: "only engine of the version leaves", prompt: pinned(short, "v2"), decodeVersions: []string{"v1", "v2"},
			prepare: func(p *Placer, list []peridotsite.Backend, config *peridotsite.Config) {
				list[1].Leaving = true
				p.SetBackends(0, list, config)
			},
			wantNone: true,
		},
		{name: "pair of one version", prompt: long, prefillVersions: []string{"v1"}, decodeVersions: []string{"v2", "v1"}, wantPrefill: "r0", wantBackend: "w1"},
		{name: "single engine", prompt: Prompt{Tokens: 9000, Parts: parts(1, 2, 3), Single: true}, prefillVersions: []string{"v1"}, decodeVersions: []string{"v2", "v1"}, wantBackend: "w0"},
		{name: "no pair of one version", prompt: long, prefillVersions: []string{"v1"}, decodeVersions: []string{"v2", "v2"}, wantBackend: "w0"},
		{name: "no pair of the own version", prompt: pinned(long, "v2"), prefillVersions: []string{"v1"}, decodeVersions: []string{"v1", "v2"}, wantBackend: "w1"},
		{name: "pair of the own version", prompt: pinned(long, "v2"), prefillVersions: []string{"v1", "v2"}, decodeVersions: []string{"v1", "v2"}, wantPrefill: "r1", wantBackend: "w1"},
		{
			name: "cheapest decode engine of the domain has another version", prompt: long, prefillVersions: []string{"v1"}, decodeVersions: []string{"v2", "v1", "v1"},
			prepare: func(p *Placer, _ []peridotsite.Backend, _ *peridotsite.Config) {
				for range 2 {
					p.Begin(time.Second, "w1")
				}
				p.Begin(time.Second, "w2")
			},
			wantPrefill: "r0", wantBackend: "w2",
		},
		{name: "servers without a version form one", prompt: long, prefillVersions: []string{""}, decodeVersions: []string{"v1", ""}, wantPrefill: "r0", wantBackend: "w1"},
	}
	for _, test := range tests {
		p, list, config := newFleet(len(test.prefillVersions), len(test.decodeVersions))
		for i, version := range append(test.prefillVersions, test.decodeVersions...) {
			list[i].SoftwareVersion = version
		}
		p.SetBackends(0, list, config)
		if test.prepare != nil {
			test.prepare(p, list, config)
		}
		test.prompt.Service = service
		got, ok := p.Place(time.Second, test.prompt)
		if ok == test.wantNone || got.PrefillBackend != test.wantPrefill || got.Backend != test.wantBackend {
			t.Errorf("%s: got %+v (%v), want prefill engine %q and backend %q", test.name, got, ok, test.wantPrefill, test.wantBackend)
		}
	}
}

// TestRareSoftwareVersionIsFound guards against prompts without an engine because none
// of their software version is among the candidates of a large service.
func TestRareSoftwareVersionIsFound(t *testing.T) {
	p, list, config := newFleet(100, 300)
	for i := range list {
		list[i].SoftwareVersion = "v1"
	}
	list[7].SoftwareVersion, list[250].SoftwareVersion = "v2", "v2"
	p.SetBackends(0, list, config)
	for session := range 200 {
		prompt := Prompt{Service: service, SoftwareVersion: "v2", Tokens: 9000, Parts: parts(1, uint32(1000+session))}
		got, ok := p.Place(0, prompt)
		if !ok || got.PrefillBackend != list[7].ID || got.Backend != list[250].ID {
			t.Fatalf("session %d: got %+v (%v), want prefill engine %s and backend %s", session, got, ok, list[7].ID, list[250].ID)
		}
		prompt.SoftwareVersion = "v1"
		if got, ok := p.Place(0, prompt); !ok || p.servers[got.Backend].SoftwareVersion != "v1" || got.PrefillBackend != "" && p.servers[got.PrefillBackend].SoftwareVersion != "v1" {
			t.Fatalf("session %d: got %+v (%v), want engines of v1", session, got, ok)
		}
	}
}

// TestNewSoftwareVersionStartsIdle guards against a KV cache that is expected at a
// server which runs another software version by now.
func TestNewSoftwareVersionStartsIdle(t *testing.T) {
	p, list, config := newFleet(0, 1)
	p.BeginPrefill(0, "w0", parts(1), 90_000)
	list[0].SoftwareVersion = "v2"
	p.SetBackends(0, list, config)
	got, _ := p.Place(0, Prompt{Service: service, Tokens: 3000, Parts: parts(1)})
	if got.UncachedTokens != 3000 || got.Wait > 25*time.Millisecond {
		t.Errorf("got %+v, want an idle server without cached parts", got)
	}
}
