package peridotentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"peridotstack/peridotagent"
	"peridotstack/peridotconfig"
	"peridotstack/peridotkey"
	"peridotstack/peridotlease"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
	"peridotstack/peridottable"
	"peridotstack/peridotusage"
)

const (
	domain  = "kin-a"
	model   = "verdict"
	service = "release-register"
	account = "port-royal"
	// patience bounds the waits for an event; it decides no verdict.
	patience = 10 * time.Second
)

// path is a whole path from callers to backend servers on loopback.
type path struct {
	t        *testing.T
	platform *peridotstandin.Platform
	address  string
	service  *peridotstandin.Service
	engine   *peridotstandin.Engine
	key      string
	agents   []*peridotagent.Agent
	entries  []*Entry
	callers  []string
	holder   holder
	// stopAgents and stopEntries stop a process and wait for its end.
	stopAgents  []func()
	stopEntries []func()
}

func newPath(t *testing.T, options ...Option) *path {
	t.Helper()
	return newPathAfter(t, func(*path) {}, options...)
}

// newPathAfter is newPath with something done before any instance starts.
func newPathAfter(t *testing.T, prepare func(*path), options ...Option) *path {
	t.Helper()
	p := &path{
		t:        t,
		platform: peridotstandin.NewPlatform(),
		service:  &peridotstandin.Service{},
		engine:   peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: model, Version: "v1"}),
	}
	p.address = p.serveHTTP(p.platform.Handler())
	p.configure()
	prepare(p)
	p.platform.SetInstances(
		p.addAgent("register-1", service, p.serveHTTP(p.service)),
		p.addAgent("register-2", service, p.serveHTTP(p.service)),
		p.addAgent("engine-1", "", p.serveHTTP(p.engine.Handler())),
	)
	for i := range 2 {
		p.addEntry(fmt.Sprint("entry-", i), options...)
	}
	for i := range p.callers {
		p.until(func() bool { return p.board(i) == http.StatusOK && p.complete(i, account+"-warm") == http.StatusOK })
	}
	return p
}

func (p *path) serveHTTP(h http.Handler) string {
	server := httptest.NewServer(h)
	p.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (p *path) free() string {
	address, err := peridotstandin.FreeAddress()
	if err != nil {
		p.t.Fatal(err)
	}
	return address
}

func (p *path) configure() {
	key, id, hash := peridotkey.New()
	p.key = key
	timeline := &peridotconfig.Log{Store: peridotplatform.NewClient(p.address)}
	_, err := timeline.Append(p.t.Context(), &peridotconfig.Config{}, "first", "test", peridotconfig.Changes{
		peridotconfig.PutDomain{Domain: peridotconfig.Domain{Name: domain, Region: "kingston"}},
		peridotconfig.PutModel{Model: peridotconfig.Model{Name: model}},
		peridotconfig.PutService{Service: peridotconfig.Service{Name: service, Routes: []peridotconfig.Route{
			{Method: http.MethodPost, Path: "/stamp"},
			{Method: http.MethodGet, Path: "/board", Idempotent: true, Open: true},
		}}},
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: account, Models: []string{model}, Services: []string{service}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: account, Hash: hash}},
		peridotconfig.SetDeployments{Deployments: []peridotconfig.Deployment{
			{Domain: domain, Model: model, Version: "v1", Replicas: 1},
			{Domain: domain, Service: service, Replicas: 2},
		}},
	})
	if err != nil {
		p.t.Fatal(err)
	}
}

func (p *path) process(instance string) peridotsettings.Process {
	return peridotsettings.Process{
		Instance: instance, Domain: domain, OperatorAddress: p.free(),
		PlatformAddress: p.address, ShutdownGraceMillis: patience.Milliseconds(),
	}
}

// serve runs a process and returns what stops it and waits for its end.
func (p *path) serve(run func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	p.t.Cleanup(stop)
	return stop
}

func (p *path) addAgent(instance, serviceName, backend string) peridotplatform.Instance {
	settings := peridotsettings.Agent{Process: p.process(instance), PeerAddress: p.free(), Service: serviceName}
	listed := peridotplatform.Instance{ID: instance, Role: peridotplatform.RoleAgent, Domain: domain, Address: settings.PeerAddress, Service: serviceName}
	if serviceName == "" {
		settings.EngineAddress, listed.Model = backend, model
	} else {
		settings.ServiceAddress = backend
	}
	agent := peridotagent.New(settings, peridotplatform.NewClient(p.address))
	p.agents = append(p.agents, agent)
	p.stopAgents = append(p.stopAgents, p.serve(agent.Serve))
	return listed
}

func (p *path) addEntry(instance string, options ...Option) {
	settings := peridotsettings.Entry{Process: p.process(instance), CallerAddress: p.free(), MaxBodyBytes: 1 << 20}
	entry := New(settings, peridotplatform.NewClient(p.address), options...)
	p.entries = append(p.entries, entry)
	p.stopEntries = append(p.stopEntries, p.serve(entry.Serve))
	// Under -race, nbhttp reports races of its own on fresh connections, so the
	// callers of this test reach the handler through net/http.
	p.callers = append(p.callers, p.serveHTTP(http.HandlerFunc(entry.serveCaller)))
}

// until waits for an event.
func (p *path) until(happened func() bool) {
	p.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if happened() {
			return
		}
	}
	p.t.Fatal("waited in vain")
}

// call sends a request of a caller through an entry instance.
func (p *path) call(entry int, method, url, key, body string) (int, string) {
	request, err := http.NewRequestWithContext(p.t.Context(), method, "http://"+p.callers[entry]+url, strings.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return 0, ""
	}
	request.Header.Set("Authorization", "Bearer "+p.key)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

func (p *path) board(entry int) int {
	status, _ := p.call(entry, http.MethodGet, "/services/"+service+"/board", "", "")
	return status
}

func (p *path) complete(entry int, prompt string) int {
	status, _ := p.call(entry, http.MethodPost, "/v1/completions", "", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":4,"stream":true}`, model, prompt))
	return status
}

// TestStampRunsOnceThroughAnyEntry lets callers repeat each stamp at the same
// time through both entry instances, until they have the answer.
func TestStampRunsOnceThroughAnyEntry(t *testing.T) {
	p := newPath(t)
	const stamps, repeats = 5, 6
	answers := make([][]string, stamps)
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range stamps * repeats {
		stamp, entry := i%stamps, i%2
		group.Go(func() {
			key := fmt.Sprint("stamp-", stamp)
			for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				status, answer := p.call(entry, http.MethodPost, "/services/"+service+"/stamp", key, "lot "+key)
				if status != http.StatusOK {
					continue
				}
				mu.Lock()
				answers[stamp] = append(answers[stamp], answer)
				mu.Unlock()
				return
			}
		})
	}
	group.Wait()
	runs := make(map[string]int)
	for _, c := range p.service.Calls() {
		if c.Path == "/stamp" {
			runs[c.IdempotencyKey]++
		}
	}
	for stamp, got := range answers {
		if n := runs[fmt.Sprint("stamp-", stamp)]; n != 1 {
			t.Errorf("stamp %d ran %d times, want 1", stamp, n)
		}
		if len(got) != repeats {
			t.Errorf("stamp %d: got %d answers, want %d", stamp, len(got), repeats)
		}
		for _, answer := range got {
			if answer != got[0] {
				t.Errorf("stamp %d: got answers %q and %q, want the same", stamp, answer, got[0])
			}
		}
	}
}

// holderToken is no token of the entry instances' own collectors.
const holderToken = 1 << 40

// holder is a lease that the test holds. version is that of its row.
type holder struct{ version int64 }

// holdLease takes the lease for the whole test, so that the entry instances do not
// collect usage beside it.
func (p *path) holdLease() {
	p.t.Helper()
	row, err := json.Marshal(peridotlease.Row{Holder: "test", Token: holderToken, TTLMillis: time.Hour.Milliseconds()})
	if err != nil {
		p.t.Fatal(err)
	}
	txn := peridottable.Txn{ID: "test", Puts: []peridottable.Put{{Key: peridotlease.Key(domain), Value: row}}}
	if p.holder.version, err = peridotplatform.NewClient(p.address).Commit(p.t.Context(), txn); err != nil {
		p.t.Fatal(err)
	}
}

func (holder) Grant(string) (peridotusage.Grant, bool) {
	return peridotusage.Grant{Token: holderToken, CanReport: true}, true
}

func (h holder) Fence(context.Context, string, int64) (peridottable.Check, error) {
	return peridottable.Check{Key: peridotlease.Key(domain), Version: h.version}, nil
}

// TestReportsMatchTheEngine compares what the platform took with what the engine
// ran, also when the figures of the agents or of the entry instances are lost.
func TestReportsMatchTheEngine(t *testing.T) {
	for _, c := range []struct {
		name            string
		agents, entries bool
	}{
		{"all alive", true, true},
		{"agents killed", false, true},
		{"entry instances killed", true, false},
	} {
		p := newPathAfter(t, (*path).holdLease)
		p.platform.Usage.LoseAnswers(1)
		const prompt, requests = "dossier of a lot of lotion", 6
		for i := range requests {
			if status := p.complete(i%2, prompt); status != http.StatusOK {
				t.Errorf("%s: got status %d, want 200", c.name, status)
			}
		}
		var want peridotusage.Figure
		for _, call := range p.engine.Calls() {
			prompted := strings.Split(call.Body, `"`)[7]
			want = want.Add(peridotusage.Figure{Requests: 1, PromptTokens: int64(len(prompted)/4 + 1), OutputTokens: 4})
		}
		// An agent counts once the answer is out.
		p.until(func() bool { return total(p.agents[2].Usage()).Requests >= want.Requests })
		want = want.Add(servicesOf(p.agents[:2]))
		if got := p.report(c.agents, c.entries); got != want {
			t.Errorf("%s: got reports of %v, want %v", c.name, got, want)
		}
	}
}

// TestBrokenStreamsCountWhatRan lets the engine break every stream off.
func TestBrokenStreamsCountWhatRan(t *testing.T) {
	p := newPath(t)
	// An agent counts once the answer is out.
	p.until(func() bool { return total(p.agents[2].Usage()).Requests == int64(len(p.engine.Calls())) })
	before, entryBefore := total(p.agents[2].Usage()), total(p.entries[0].Usage())
	p.engine.CutAfter(2)
	p.complete(0, "dossier")
	want := peridotusage.Figure{Requests: 1, OutputTokens: 2}
	p.until(func() bool { return total(p.agents[2].Usage()) != before })
	if got := total(p.agents[2].Usage()).IncreaseSince(before); got != want {
		t.Errorf("the agent counted %v, want %v", got, want)
	}
	if got := total(p.entries[0].Usage()).IncreaseSince(entryBefore); got != want {
		t.Errorf("the entry instance counted %v, want %v", got, want)
	}
}

func total(c *peridotusage.Counter) peridotusage.Figure {
	var sum peridotusage.Figure
	for _, part := range c.Parts(domain, holderToken, 1000) {
		sum = sum.Add(part.Figure)
	}
	return sum
}

func servicesOf(agents []*peridotagent.Agent) peridotusage.Figure {
	var sum peridotusage.Figure
	for _, a := range agents {
		sum = sum.Add(total(a.Usage()))
	}
	return sum
}

// report lets a collector seal and report what the counters that live hand over,
// and returns the sum of what the platform took, each report once.
func (p *path) report(agents, entries bool) peridotusage.Figure {
	p.t.Helper()
	c := &peridotusage.Collector{
		Shard:     domain,
		Store:     peridotplatform.NewClient(p.address),
		Authority: p.holder,
		Reporter:  peridotplatform.NewUsageReporter(p.address),
	}
	now := time.Now()
	if err := c.Step(p.t.Context(), now); err != nil {
		p.t.Fatal(err)
	}
	var counters []*peridotusage.Counter
	for _, a := range p.agents {
		if agents {
			counters = append(counters, a.Usage())
		}
	}
	for _, e := range p.entries {
		if entries {
			counters = append(counters, e.Usage())
		}
	}
	for _, counter := range counters {
		if _, err := c.Merge(counter.Parts(domain, holderToken, 1000)); err != nil {
			p.t.Fatal(err)
		}
	}
	// The first report loses its answer, which is an error of that step.
	later := now.Add(3 * peridotusage.WindowLength)
	p.until(func() bool {
		err := c.Step(p.t.Context(), later)
		if err != nil {
			p.t.Logf("step of the collector: %v", err)
		}
		return err == nil
	})
	reports := make(map[string]peridotusage.Figure)
	for _, r := range p.platform.Usage.Reports() {
		var sum peridotusage.Figure
		for _, line := range r.Lines {
			sum = sum.Add(peridotusage.Figure{Requests: line.Requests, PromptTokens: line.PromptTokens, OutputTokens: line.OutputTokens})
		}
		if first, ok := reports[r.ReportID]; ok && first != sum {
			p.t.Errorf("report %s came with %v and %v", r.ReportID, first, sum)
		}
		reports[r.ReportID] = sum
	}
	if got := len(p.platform.Usage.Reports()); got <= len(reports) {
		p.t.Errorf("got %d reports of %d windows, want a repeat", got, len(reports))
	}
	var sum peridotusage.Figure
	for _, f := range reports {
		sum = sum.Add(f)
	}
	return sum
}
