package peridotentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"peridotstack/peridotagent"
	"peridotstack/peridotconfig"
	"peridotstack/peridotentry"
	"peridotstack/peridotkey"
	"peridotstack/peridotoperator"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
)

// keyFleet is a platform, four agents with plain services in four failure
// domains, one agent with an engine, and two entry instances.
type keyFleet struct {
	platform *peridotstandin.Platform
	services [4]*peridotstandin.Service
	engine   *peridotstandin.Engine
	// callerAddresses and operatorAddresses are the addresses of the two entry
	// instances. The second instance reaches the platform only while platformCut is
	// not set.
	callerAddresses   [2]string
	operatorAddresses [2]string
	platformCut       atomic.Bool
	key               string
	keyID             string
	operatorKey       string
}

func startKeyFleet(t *testing.T) *keyFleet {
	t.Helper()
	f := &keyFleet{platform: peridotstandin.NewPlatform()}
	platform := serveStandIn(t, f.platform.Handler())
	f.bootstrap(t, platform)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	run := func(serve func(context.Context) error) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = serve(ctx)
		}()
		t.Cleanup(func() {
			stop()
			<-done
		})
	}
	var instances []peridotplatform.Instance
	addAgent := func(i int, domain, model string, s peridotsettings.Agent) {
		s.PeerAddress = freeAddress(t)
		s.Process = peridotsettings.Process{Instance: fmt.Sprint("agent-", i), Domain: domain, PlatformAddress: platform}
		run(peridotagent.New(s, peridotplatform.NewClient(platform)).Serve)
		instances = append(instances, peridotplatform.Instance{
			ID: s.Instance, Role: peridotplatform.RoleAgent, Domain: domain, Address: s.PeerAddress, Model: model, Service: s.Service,
		})
	}
	for i := range f.services {
		f.services[i] = &peridotstandin.Service{}
		addAgent(i, fmt.Sprint("domain-", i), "", peridotsettings.Agent{Service: "api", ServiceAddress: serveStandIn(t, f.services[i])})
	}
	f.engine = peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: "m", Version: "v1"})
	addAgent(4, "domain-0", "m", peridotsettings.Agent{EngineAddress: serveStandIn(t, f.engine.Handler())})
	f.platform.SetInstances(instances...)
	platforms := []string{platform, serveStandIn(t, f.cuttablePlatform())}
	for i, address := range platforms {
		f.callerAddresses[i], f.operatorAddresses[i] = freeAddress(t), freeAddress(t)
		entry := peridotsettings.Entry{CallerAddress: f.callerAddresses[i], MaxBodyBytes: 1 << 20}
		entry.Process = peridotsettings.Process{Instance: fmt.Sprint("entry-", i), Domain: fmt.Sprint("domain-", i), OperatorAddress: f.operatorAddresses[i], PlatformAddress: address}
		run(peridotentry.New(entry, peridotplatform.NewClient(address)).Serve)
	}
	return f
}

// cuttablePlatform returns the platform's handler for the second entry instance.
// It aborts all requests while platformCut is set.
func (f *keyFleet) cuttablePlatform() http.Handler {
	platform := f.platform.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.platformCut.Load() {
			panic(http.ErrAbortHandler)
		}
		platform.ServeHTTP(w, r)
	})
}

func (f *keyFleet) bootstrap(t *testing.T, platform string) {
	t.Helper()
	key, id, hash := peridotkey.New()
	opKey, opID, opHash := peridotkey.New()
	f.key, f.keyID, f.operatorKey = key, id, opKey
	changes := peridotconfig.Changes{
		peridotconfig.PutModel{Model: peridotconfig.Model{Name: "m"}},
		peridotconfig.PutService{Service: peridotconfig.Service{Name: "api", Routes: []peridotconfig.Route{
			{Method: http.MethodPost, Path: "/push"},
			{Method: http.MethodPost, Path: "/read", Idempotent: true},
			{Method: http.MethodPost, Path: "/open", Idempotent: true, Open: true},
		}}},
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: "a", Models: []string{"m"}, Services: []string{"api"}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: "a", Hash: hash}},
		peridotconfig.PutOperator{Operator: peridotconfig.Operator{Name: "o", ID: opID, Hash: opHash}},
		peridotconfig.SetDeployments{Deployments: []peridotconfig.Deployment{
			{Domain: "domain-0", Model: "m", Version: "v1", Replicas: 1},
			{Domain: "domain-0", Service: "api", Replicas: 1},
			{Domain: "domain-1", Service: "api", Replicas: 1},
			{Domain: "domain-2", Service: "api", Replicas: 1},
			{Domain: "domain-3", Service: "api", Replicas: 1},
		}},
	}
	configLog := &peridotconfig.Log{Store: peridotplatform.NewClient(platform)}
	if _, err := configLog.Append(context.Background(), &peridotconfig.Config{}, "bootstrap", "o", changes); err != nil {
		t.Fatal(err)
	}
}

func serveStandIn(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := peridotstandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// call is one request to an entry instance. Zero fields are omitted.
type call struct {
	entry             int
	path, query, body string
	header            http.Header
}

// do sends a call with the key and returns the status and body of the response.
func (f *keyFleet) do(t *testing.T, c call) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddresses[c.entry]+c.path+c.query, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.key)
	request.Header.Set("Idempotency-Key", "push-1")
	request.Header.Set("Content-Type", "application/json")
	for name, values := range c.header {
		request.Header[name] = values
	}
	return doRequest(t, request)
}

// doRequest sends a request and returns the status and body of the response. If
// there is no response, the status is 0 and the body is the error.
func doRequest(t *testing.T, request *http.Request) (int, string) {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(answer)
}

// awaitStatus repeats a call until the response has the wanted status.
func (f *keyFleet) awaitStatus(t *testing.T, want int, c call) {
	t.Helper()
	var got int
	var answer string
	for range 1000 {
		if got, answer = f.do(t, c); got == want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: got status %d (%s), want %d", c.path, got, answer, want)
}

// receivedByBackends returns all calls that the backend servers received, as
// text.
func (f *keyFleet) receivedByBackends() string {
	calls := f.engine.Calls()
	for _, s := range f.services {
		calls = append(calls, s.Calls()...)
	}
	return fmt.Sprintf("%+v", calls)
}

const completionBody = `{"model":"m","prompt":"x","max_tokens":1}`

// TestNoBackendReceivesKey sends the key in headers that are not passed on,
// which must not matter, and in fields that are, which must be refused.
func TestNoBackendReceivesKey(t *testing.T) {
	f := startKeyFleet(t)
	f.awaitStatus(t, http.StatusOK, call{path: "/v1/completions", body: completionBody})
	f.awaitStatus(t, http.StatusOK, call{path: "/services/api/read"})
	headers := []string{
		"X-Api-Key", "Api-Key", "X-Auth-Token", "Cookie", "Proxy-Authorization", "X-Forwarded-Authorization",
		"X-Amz-Security-Token", "Openai-Api-Key", "X-Goog-Api-Key", "Referer", "User-Agent", "X-Request-Id", "Accept",
		"Last-Event-Id", "Forwarded", "From",
	}
	for _, name := range headers {
		header := http.Header{name: {f.key}}
		f.awaitStatus(t, http.StatusOK, call{path: "/v1/completions", body: completionBody, header: header})
		f.awaitStatus(t, http.StatusOK, call{path: "/services/api/read", header: header})
	}
	noKeyHeader := http.Header{"Authorization": nil}
	leaks := []struct {
		field string
		call  call
	}{
		{"query", call{path: "/services/api/read", query: "?api_key=" + f.key}},
		{"query", call{path: "/services/api/open", query: "?api_key=" + f.key, header: noKeyHeader}},
		{"body", call{path: "/services/api/push", body: `{"Key":"` + f.key + `"}`}},
		{"body", call{path: "/v1/completions", body: `{"model":"m","prompt":"` + f.key + `"}`}},
		{"Idempotency-Key", call{path: "/services/api/push", header: http.Header{"Idempotency-Key": {f.key}}}},
		{"Content-Type", call{path: "/services/api/push", header: http.Header{"Content-Type": {"text/plain; k=" + f.key}}}},
	}
	for _, r := range leaks {
		got, answer := f.do(t, r.call)
		if got != http.StatusBadRequest || !strings.Contains(answer, `"param":"`+r.field+`"`) || !strings.Contains(answer, `"verdict":"NotRun"`) {
			t.Errorf("key in %s of %s: got status %d (%s), want %d with the name of the field", r.field, r.call.path, got, answer, http.StatusBadRequest)
		}
		if strings.Contains(answer, f.key) {
			t.Errorf("key in %s of %s: got the key in the response %s, want a response without it", r.field, r.call.path, answer)
		}
	}
	if _, secret, _ := peridotkey.Split(f.key); strings.Contains(f.receivedByBackends(), secret) {
		t.Errorf("received by the backend servers: got the key in %s, want no key", f.receivedByBackends())
	}
}

// doAsOperator sends a request with the operator's key and decodes the response
// into answer.
func (f *keyFleet) doAsOperator(t *testing.T, entry int, method, path string, answer any) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+f.operatorAddresses[entry]+"/operator/"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.operatorKey)
	status, body := doRequest(t, request)
	if status != http.StatusOK {
		t.Fatalf("%s: got status %d (%s), want %d", path, status, body, http.StatusOK)
	}
	if err := json.Unmarshal([]byte(body), answer); err != nil {
		t.Fatal(err)
	}
}

// awaitCondition waits until condition returns true.
func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: the condition did not become true in time", what)
}

// awaitPanel waits until each of the four failure domains has a witness.
func (f *keyFleet) awaitPanel(t *testing.T) {
	t.Helper()
	awaitCondition(t, "a witness in each failure domain", func() bool {
		var c peridotconfig.Config
		f.doAsOperator(t, 0, http.MethodGet, "config", &c)
		return len(c.Panel().Witnesses) == len(f.services) && len(c.Panels) == 1
	})
}

// serviceCalls returns the number of calls that the plain services received.
func (f *keyFleet) serviceCalls() int {
	n := 0
	for _, s := range f.services {
		n += len(s.Calls())
	}
	return n
}

// TestWithdrawnKeyIsRefused withdraws a key during traffic. Keep-alive
// connections to both entry instances are open, and one instance cannot reach
// the platform. Afterwards the table service fails as well. No request with the
// key may run once both instances have refused one.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	t.Parallel()
	f := startKeyFleet(t)
	read := [2]call{{entry: 0, path: "/services/api/read"}, {entry: 1, path: "/services/api/read"}}
	f.awaitStatus(t, http.StatusOK, read[0])
	f.awaitStatus(t, http.StatusOK, read[1])
	f.awaitPanel(t)
	f.platformCut.Store(true)
	f.awaitStatus(t, http.StatusOK, read[1])
	var accepted peridotoperator.CommitResult
	f.doAsOperator(t, 0, http.MethodPost, "keys/"+f.keyID+"/withdraw", &accepted)
	if !accepted.Accepted {
		t.Errorf("withdrawal: got %+v, want it accepted", accepted)
	}
	f.platform.Table.SetDown(true)
	f.awaitStatus(t, http.StatusUnauthorized, read[0])
	f.awaitStatus(t, http.StatusUnauthorized, read[1])
	before := f.serviceCalls()
	for range 20 {
		for _, c := range read {
			if got, answer := f.do(t, c); got != http.StatusUnauthorized {
				t.Fatalf("after the withdrawal: got status %d (%s), want %d", got, answer, http.StatusUnauthorized)
			}
		}
	}
	if got := f.serviceCalls(); got != before {
		t.Errorf("calls started after the key was refused: got %d, want none", got-before)
	}
}

// TestServesDuringStoreOutage waits for 12 failed reads of the table service,
// longer than a proof from before the outage stays valid. Requests must still
// run.
func TestServesDuringStoreOutage(t *testing.T) {
	t.Parallel()
	f := startKeyFleet(t)
	read := call{path: "/services/api/read"}
	f.awaitStatus(t, http.StatusOK, read)
	f.awaitPanel(t)
	f.platform.Table.SetDown(true)
	before, _ := f.platform.Table.Counts()
	awaitCondition(t, "failed checks", func() bool {
		now, _ := f.platform.Table.Counts()
		return now-before >= 12
	})
	f.awaitStatus(t, http.StatusOK, read)
	if got, answer := f.do(t, call{entry: 1, path: read.path}); got != http.StatusOK {
		t.Errorf("in the outage: got status %d (%s), want %d", got, answer, http.StatusOK)
	}
}

// TestLeavingServerGetsNoNewWork marks a backend server as leaving in the
// platform's list while one entry instance cannot read that list. The instance
// must learn of the mark from its peers and send the server no more requests.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := startKeyFleet(t)
	read := call{entry: 1, path: "/services/api/read"}
	isUsable := func() bool {
		var list []peridotoperator.InstanceVersion
		f.doAsOperator(t, 1, http.MethodGet, "versions", &list)
		for _, v := range list {
			if v.Instance == "agent-0" {
				return v.Usable
			}
		}
		return false
	}
	f.awaitStatus(t, http.StatusOK, read)
	awaitCondition(t, "agent-0 in use", isUsable)
	f.platformCut.Store(true)
	list := f.platform.Instances()
	list[0].Leaving = true
	f.platform.SetInstances(list...)
	awaitCondition(t, "agent-0 out of use", func() bool { return !isUsable() })
	before := len(f.services[0].Calls())
	for range 40 {
		f.awaitStatus(t, http.StatusOK, read)
	}
	if got, want := len(f.services[0].Calls()), before; got != want {
		t.Errorf("calls at the leaving server: got %d, want %d", got, want)
	}
}
