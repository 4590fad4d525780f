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
	// conditionTimeout bounds the waits for a condition and is the shutdown grace. No
	// check depends on its value.
	conditionTimeout = 10 * time.Second
)

// testSystem is a system on loopback: a platform, backend servers, agents and
// entry instances.
type testSystem struct {
	t               *testing.T
	platform        *peridotstandin.Platform
	platformAddress string
	service         *peridotstandin.Service
	engine          *peridotstandin.Engine
	key             string
	agents          []*peridotagent.Agent
	entries         []*Entry
	callerAddresses []string
	holder          testHolder
	// stopAgents and stopEntries stop one process each and wait until it has ended.
	stopAgents  []func()
	stopEntries []func()
}

func newTestSystem(t *testing.T, options ...Option) *testSystem {
	t.Helper()
	return newTestSystemAfter(t, func(*testSystem) {}, options...)
}

// newTestSystemAfter is like newTestSystem, but calls prepare before any
// instance starts.
func newTestSystemAfter(t *testing.T, prepare func(*testSystem), options ...Option) *testSystem {
	t.Helper()
	p := &testSystem{
		t:        t,
		platform: peridotstandin.NewPlatform(),
		service:  &peridotstandin.Service{},
		engine:   peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: model, Version: "v1"}),
	}
	p.platformAddress = p.serveHTTP(p.platform.Handler())
	p.commitConfig()
	prepare(p)
	p.platform.SetInstances(
		p.addAgent("register-1", service, p.serveHTTP(p.service)),
		p.addAgent("register-2", service, p.serveHTTP(p.service)),
		p.addAgent("engine-1", "", p.serveHTTP(p.engine.Handler())),
	)
	for i := range 2 {
		p.addEntry(fmt.Sprint("entry-", i), options...)
	}
	for i := range p.callerAddresses {
		p.awaitCondition(func() bool {
			return p.getBoard(i) == http.StatusOK && p.postCompletion(i, account+"-warm") == http.StatusOK
		})
	}
	return p
}

func (p *testSystem) serveHTTP(h http.Handler) string {
	server := httptest.NewServer(h)
	p.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (p *testSystem) freeAddress() string {
	address, err := peridotstandin.FreeAddress()
	if err != nil {
		p.t.Fatal(err)
	}
	return address
}

func (p *testSystem) commitConfig() {
	key, id, hash := peridotkey.New()
	p.key = key
	configLog := &peridotconfig.Log{Store: peridotplatform.NewClient(p.platformAddress)}
	_, err := configLog.Append(p.t.Context(), &peridotconfig.Config{}, "first", "test", peridotconfig.Changes{
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

func (p *testSystem) process(instance string) peridotsettings.Process {
	return peridotsettings.Process{
		Instance: instance, Domain: domain, OperatorAddress: p.freeAddress(),
		PlatformAddress: p.platformAddress, ShutdownGraceMillis: conditionTimeout.Milliseconds(),
	}
}

// serve runs a process and returns a function that stops it and waits until it
// has ended.
func (p *testSystem) serve(run func(context.Context) error) func() {
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

func (p *testSystem) addAgent(instance, serviceName, backend string) peridotplatform.Instance {
	settings := peridotsettings.Agent{Process: p.process(instance), PeerAddress: p.freeAddress(), Service: serviceName}
	listed := peridotplatform.Instance{ID: instance, Role: peridotplatform.RoleAgent, Domain: domain, Address: settings.PeerAddress, Service: serviceName}
	if serviceName == "" {
		settings.EngineAddress, listed.Model = backend, model
	} else {
		settings.ServiceAddress = backend
	}
	agent := peridotagent.New(settings, peridotplatform.NewClient(p.platformAddress))
	p.agents = append(p.agents, agent)
	p.stopAgents = append(p.stopAgents, p.serve(agent.Serve))
	return listed
}

func (p *testSystem) addEntry(instance string, options ...Option) {
	settings := peridotsettings.Entry{Process: p.process(instance), CallerAddress: p.freeAddress(), MaxBodyBytes: 1 << 20}
	entry := New(settings, peridotplatform.NewClient(p.platformAddress), options...)
	p.entries = append(p.entries, entry)
	p.stopEntries = append(p.stopEntries, p.serve(entry.Serve))
	// Under -race, nbhttp reports races of its own on new connections, so the
	// callers of this test reach the handler through net/http.
	p.callerAddresses = append(p.callerAddresses, p.serveHTTP(http.HandlerFunc(entry.serveCaller)))
}

// awaitCondition waits until condition returns true, for at most
// conditionTimeout.
func (p *testSystem) awaitCondition(condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	p.t.Fatal("got no such event in time")
}

// sendRequest sends a caller's request through an entry instance and returns the
// status and body of the response.
func (p *testSystem) sendRequest(entry int, method, url, key, body string) (int, string) {
	request, err := http.NewRequestWithContext(p.t.Context(), method, "http://"+p.callerAddresses[entry]+url, strings.NewReader(body))
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

func (p *testSystem) getBoard(entry int) int {
	status, _ := p.sendRequest(entry, http.MethodGet, "/services/"+service+"/board", "", "")
	return status
}

func (p *testSystem) postCompletion(entry int, prompt string) int {
	status, _ := p.sendRequest(entry, http.MethodPost, "/v1/completions", "", fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":4,"stream":true}`, model, prompt))
	return status
}

// TestStampRunsOnceThroughAnyEntry makes callers repeat each stamp concurrently
// through both entry instances until they have the answer. Each stamp must run
// exactly once.
func TestStampRunsOnceThroughAnyEntry(t *testing.T) {
	p := newTestSystem(t)
	const stamps, repeats = 5, 6
	answers := make([][]string, stamps)
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range stamps * repeats {
		stamp, entry := i%stamps, i%2
		group.Go(func() {
			key := fmt.Sprint("stamp-", stamp)
			for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				status, answer := p.sendRequest(entry, http.MethodPost, "/services/"+service+"/stamp", key, "lot "+key)
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

// holderToken is a fencing token that no collector of the entry instances uses.
const holderToken = 1 << 40

// testHolder is a lease that the test holds. version is the version of the lease
// row.
type testHolder struct{ version int64 }

// holdLease acquires the lease for the whole test, so that the entry instances
// do not collect usage at the same time.
func (p *testSystem) holdLease() {
	p.t.Helper()
	row, err := json.Marshal(peridotlease.Row{Holder: "test", Token: holderToken, TTLMillis: time.Hour.Milliseconds()})
	if err != nil {
		p.t.Fatal(err)
	}
	txn := peridottable.Txn{ID: "test", Puts: []peridottable.Put{{Key: peridotlease.RowKey(domain), Value: row}}}
	if p.holder.version, err = peridotplatform.NewClient(p.platformAddress).Commit(p.t.Context(), txn); err != nil {
		p.t.Fatal(err)
	}
}

func (testHolder) Grant(string) (peridotusage.Grant, bool) {
	return peridotusage.Grant{Token: holderToken, CanReport: true}, true
}

func (h testHolder) Fence(context.Context, string, int64) (peridottable.Check, error) {
	return peridottable.Check{Key: peridotlease.RowKey(domain), Version: h.version}, nil
}

// TestReportsMatchEngineWithoutSomeCounters compares the platform's usage
// reports with the requests that the engine ran. In some cases the figures of
// all agents or of all entry instances are lost.
func TestReportsMatchEngineWithoutSomeCounters(t *testing.T) {
	for _, test := range []struct {
		name                    string
		withAgents, withEntries bool
	}{
		{"all alive", true, true},
		{"agents killed", false, true},
		{"entry instances killed", true, false},
	} {
		p := newTestSystemAfter(t, (*testSystem).holdLease)
		p.platform.Usage.LoseAnswers(1)
		const prompt, requests = "dossier of a lot of lotion", 6
		for i := range requests {
			if status := p.postCompletion(i%2, prompt); status != http.StatusOK {
				t.Errorf("%s: got status %d, want 200", test.name, status)
			}
		}
		var want peridotusage.Figure
		for _, call := range p.engine.Calls() {
			sentPrompt := strings.Split(call.Body, `"`)[7]
			want = want.Add(peridotusage.Figure{Requests: 1, PromptTokens: int64(len(sentPrompt)/4 + 1), OutputTokens: 4})
		}
		// An agent counts a request only after the answer has been sent.
		p.awaitCondition(func() bool { return totalFigure(p.agents[2].Usage()).Requests >= want.Requests })
		want = want.Add(totalOfAgents(p.agents[:2]))
		if got := p.collectAndReport(test.withAgents, test.withEntries); got != want {
			t.Errorf("%s: got reports of %v, want %v", test.name, got, want)
		}
	}
}

// TestBrokenStreamsAreCounted makes the engine end a stream early. The agent and
// the entry instance must count the tokens that were sent.
func TestBrokenStreamsAreCounted(t *testing.T) {
	p := newTestSystem(t)
	// An agent counts a request only after the answer has been sent.
	p.awaitCondition(func() bool { return totalFigure(p.agents[2].Usage()).Requests == int64(len(p.engine.Calls())) })
	before, entryBefore := totalFigure(p.agents[2].Usage()), totalFigure(p.entries[0].Usage())
	p.engine.CutStreamsAfter(2)
	p.postCompletion(0, "dossier")
	want := peridotusage.Figure{Requests: 1, OutputTokens: 2}
	p.awaitCondition(func() bool { return totalFigure(p.agents[2].Usage()) != before })
	if got := totalFigure(p.agents[2].Usage()).IncreaseSince(before); got != want {
		t.Errorf("the agent counted %v, want %v", got, want)
	}
	if got := totalFigure(p.entries[0].Usage()).IncreaseSince(entryBefore); got != want {
		t.Errorf("the entry instance counted %v, want %v", got, want)
	}
}

func totalFigure(c *peridotusage.Counter) peridotusage.Figure {
	var sum peridotusage.Figure
	for _, part := range c.Parts(domain, holderToken, 1000) {
		sum = sum.Add(part.Figure)
	}
	return sum
}

func totalOfAgents(agents []*peridotagent.Agent) peridotusage.Figure {
	var sum peridotusage.Figure
	for _, a := range agents {
		sum = sum.Add(totalFigure(a.Usage()))
	}
	return sum
}

// collectAndReport merges the figures of the selected counters into a collector,
// which seals and reports them. It returns the sum of the reports that the
// platform received, each report counted once.
func (p *testSystem) collectAndReport(withAgents, withEntries bool) peridotusage.Figure {
	p.t.Helper()
	c := &peridotusage.Collector{
		Shard:    domain,
		Store:    peridotplatform.NewClient(p.platformAddress),
		Leases:   p.holder,
		Reporter: peridotplatform.NewUsageReporter(p.platformAddress),
	}
	now := time.Now()
	if err := c.Step(p.t.Context(), now); err != nil {
		p.t.Fatal(err)
	}
	var counters []*peridotusage.Counter
	for _, a := range p.agents {
		if withAgents {
			counters = append(counters, a.Usage())
		}
	}
	for _, e := range p.entries {
		if withEntries {
			counters = append(counters, e.Usage())
		}
	}
	for _, counter := range counters {
		if _, err := c.Merge(counter.Parts(domain, holderToken, 1000)); err != nil {
			p.t.Fatal(err)
		}
	}
	// The platform's answer to the first report is lost, so that Step returns an
	// error.
	later := now.Add(3 * peridotusage.WindowLength)
	p.awaitCondition(func() bool {
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
			p.t.Errorf("report %s received with %v and %v", r.ReportID, first, sum)
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
