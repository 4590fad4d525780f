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

// keyFleet is one entry instance, four agents with plain services in four
// failure domains, one agent with an engine, and the platform.
type keyFleet struct {
	platform *peridotstandin.Platform
	services [4]*peridotstandin.Service
	engine   *peridotstandin.Engine
	// caller and operator are the addresses of two entry instances; the second
	// one reaches the platform only while cut is not set.
	caller   [2]string
	operator [2]string
	cut      atomic.Bool
	key      string
	keyID    string
	opKey    string
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
	agent := func(i int, domain, model string, s peridotsettings.Agent) {
		s.PeerAddress = freeAddress(t)
		s.Process = peridotsettings.Process{Instance: fmt.Sprint("agent-", i), Domain: domain, PlatformAddress: platform}
		run(peridotagent.New(s, peridotplatform.NewClient(platform)).Serve)
		instances = append(instances, peridotplatform.Instance{
			ID: s.Instance, Role: peridotplatform.RoleAgent, Domain: domain, Address: s.PeerAddress, Model: model, Service: s.Service,
		})
	}
	for i := range f.services {
		f.services[i] = &peridotstandin.Service{}
		agent(i, fmt.Sprint("domain-", i), "", peridotsettings.Agent{Service: "api", ServiceAddress: serveStandIn(t, f.services[i])})
	}
	f.engine = peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: "m", Version: "v1"})
	agent(4, "domain-0", "m", peridotsettings.Agent{EngineAddress: serveStandIn(t, f.engine.Handler())})
	f.platform.SetInstances(instances...)
	platforms := []string{platform, serveStandIn(t, f.cuttable())}
	for i, address := range platforms {
		f.caller[i], f.operator[i] = freeAddress(t), freeAddress(t)
		entry := peridotsettings.Entry{CallerAddress: f.caller[i], MaxBodyBytes: 1 << 20}
		entry.Process = peridotsettings.Process{Instance: fmt.Sprint("entry-", i), Domain: fmt.Sprint("domain-", i), OperatorAddress: f.operator[i], PlatformAddress: address}
		run(peridotentry.New(entry, peridotplatform.NewClient(address)).Serve)
	}
	return f
}

// cuttable serves the platform to the second entry instance.
func (f *keyFleet) cuttable() http.Handler {
	platform := f.platform.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		platform.ServeHTTP(w, r)
	})
}

func (f *keyFleet) bootstrap(t *testing.T, platform string) {
	t.Helper()
	key, id, hash := peridotkey.New()
	opKey, opID, opHash := peridotkey.New()
	f.key, f.keyID, f.opKey = key, id, opKey
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
	timeline := &peridotconfig.Log{Store: peridotplatform.NewClient(platform)}
	if _, err := timeline.Append(context.Background(), &peridotconfig.Config{}, "bootstrap", "o", changes); err != nil {
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

// call is one request; empty fields are left out.
type call struct {
	entry             int
	path, query, body string
	header            http.Header
}

// do sends a call with the key and returns the status and the answer.
func (f *keyFleet) do(t *testing.T, c call) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.caller[c.entry]+c.path+c.query, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.key)
	request.Header.Set("Idempotency-Key", "push-1")
	request.Header.Set("Content-Type", "application/json")
	for name, values := range c.header {
		request.Header[name] = values
	}
	return send(t, request)
}

// send returns the status 0 when there is no answer.
func send(t *testing.T, request *http.Request) (int, string) {
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

// until repeats a call until it has the wanted status.
func (f *keyFleet) until(t *testing.T, want int, c call) {
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

// received returns everything the backend servers got, as text.
func (f *keyFleet) received() string {
	calls := f.engine.Calls()
	for _, s := range f.services {
		calls = append(calls, s.Calls()...)
	}
	return fmt.Sprintf("%+v", calls)
}

const completionBody = `{"model":"m","prompt":"x","max_tokens":1}`

func TestNoBackendSeesTheKey(t *testing.T) {
	f := startKeyFleet(t)
	f.until(t, http.StatusOK, call{path: "/v1/completions", body: completionBody})
	f.until(t, http.StatusOK, call{path: "/services/api/read"})
	headers := []string{
		"X-Api-Key", "Api-Key", "X-Auth-Token", "Cookie", "Proxy-Authorization", "X-Forwarded-Authorization",
		"X-Amz-Security-Token", "Openai-Api-Key", "X-Goog-Api-Key", "Referer", "User-Agent", "X-Request-Id", "Accept",
		"Last-Event-Id", "Forwarded", "From",
	}
	for _, name := range headers {
		header := http.Header{name: {f.key}}
		f.until(t, http.StatusOK, call{path: "/v1/completions", body: completionBody, header: header})
		f.until(t, http.StatusOK, call{path: "/services/api/read", header: header})
	}
	none := http.Header{"Authorization": nil}
	refused := []struct {
		field string
		call  call
	}{
		{"query", call{path: "/services/api/read", query: "?api_key=" + f.key}},
		{"query", call{path: "/services/api/open", query: "?api_key=" + f.key, header: none}},
		{"body", call{path: "/services/api/push", body: `{"Key":"` + f.key + `"}`}},
		{"body", call{path: "/v1/completions", body: `{"model":"m","prompt":"` + f.key + `"}`}},
		{"Idempotency-Key", call{path: "/services/api/push", header: http.Header{"Idempotency-Key": {f.key}}}},
		{"Content-Type", call{path: "/services/api/push", header: http.Header{"Content-Type": {"text/plain; k=" + f.key}}}},
	}
	for _, r := range refused {
		got, answer := f.do(t, r.call)
		if got != http.StatusBadRequest || !strings.Contains(answer, `"param":"`+r.field+`"`) || !strings.Contains(answer, `"verdict":"NotRun"`) {
			t.Errorf("key in %s of %s: got status %d (%s), want %d that names the field", r.field, r.call.path, got, answer, http.StatusBadRequest)
		}
		if strings.Contains(answer, f.key) {
			t.Errorf("key in %s of %s: got it echoed in %s, want it left out", r.field, r.call.path, answer)
		}
	}
	if _, secret, _ := peridotkey.Split(f.key); strings.Contains(f.received(), secret) {
		t.Errorf("received by the backend servers: got the key in %s, want it nowhere", f.received())
	}
}

// operate sends a request of the operator and decodes the answer.
func (f *keyFleet) operate(t *testing.T, entry int, method, path string, answer any) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+f.operator[entry]+"/operator/"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.opKey)
	status, body := send(t, request)
	if status != http.StatusOK {
		t.Fatalf("%s: got status %d (%s), want %d", path, status, body, http.StatusOK)
	}
	if err := json.Unmarshal([]byte(body), answer); err != nil {
		t.Fatal(err)
	}
}

// event waits until something has happened.
func event(t *testing.T, what string, happened func() bool) {
	t.Helper()
	for range 3000 {
		if happened() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: did not happen", what)
}

// panel waits until all four failure domains have a witness.
func (f *keyFleet) panel(t *testing.T) {
	t.Helper()
	event(t, "a witness in each failure domain", func() bool {
		var c peridotconfig.Config
		f.operate(t, 0, http.MethodGet, "config", &c)
		return len(c.Panel().Witnesses) == len(f.services) && len(c.Panels) == 1
	})
}

// started returns how many calls the plain services got.
func (f *keyFleet) started() int {
	n := 0
	for _, s := range f.services {
		n += len(s.Calls())
	}
	return n
}

// TestWithdrawnKeyStops withdraws a key in mid-traffic, with keep-alive
// connections to both entry instances open and one of them cut off from the
// platform, and then takes the table service away altogether.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	f := startKeyFleet(t)
	read := [2]call{{entry: 0, path: "/services/api/read"}, {entry: 1, path: "/services/api/read"}}
	f.until(t, http.StatusOK, read[0])
	f.until(t, http.StatusOK, read[1])
	f.panel(t)
	f.cut.Store(true)
	f.until(t, http.StatusOK, read[1])
	var accepted peridotoperator.Accepted
	f.operate(t, 0, http.MethodPost, "keys/"+f.keyID+"/withdraw", &accepted)
	if !accepted.Accepted {
		t.Errorf("withdrawal: got %+v, want it accepted", accepted)
	}
	f.platform.Table.SetDown(true)
	f.until(t, http.StatusUnauthorized, read[0])
	f.until(t, http.StatusUnauthorized, read[1])
	before := f.started()
	for range 20 {
		for _, c := range read {
			if got, answer := f.do(t, c); got != http.StatusUnauthorized {
				t.Fatalf("after the withdrawal: got status %d (%s), want %d", got, answer, http.StatusUnauthorized)
			}
		}
	}
	if got := f.started(); got != before {
		t.Errorf("calls started after the key was refused: got %d, want none", got-before)
	}
}

// TestServesWithTheStoreDown waits for many failed checks, more than a proof from
// before the outage can outlive.
func TestServesWithTheStoreDown(t *testing.T) {
	t.Parallel()
	f := startKeyFleet(t)
	read := call{path: "/services/api/read"}
	f.until(t, http.StatusOK, read)
	f.panel(t)
	f.platform.Table.SetDown(true)
	before, _ := f.platform.Table.Counts()
	event(t, "failed checks", func() bool {
		now, _ := f.platform.Table.Counts()
		return now-before >= 12
	})
	f.until(t, http.StatusOK, read)
	if got, answer := f.do(t, call{entry: 1, path: read.path}); got != http.StatusOK {
		t.Errorf("in the outage: got status %d (%s), want %d", got, answer, http.StatusOK)
	}
}

// TestLeavingServerGetsNoNewWork marks a backend server in the list that one
// entry instance can no longer read.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := startKeyFleet(t)
	read := call{entry: 1, path: "/services/api/read"}
	usable := func() bool {
		var list []peridotoperator.InstanceVersion
		f.operate(t, 1, http.MethodGet, "versions", &list)
		for _, v := range list {
			if v.Instance == "agent-0" {
				return v.Usable
			}
		}
		return false
	}
	f.until(t, http.StatusOK, read)
	event(t, "agent-0 in use", usable)
	f.cut.Store(true)
	list := f.platform.Instances()
	list[0].Leaving = true
	f.platform.SetInstances(list...)
	event(t, "agent-0 out of use", func() bool { return !usable() })
	before := len(f.services[0].Calls())
	for range 40 {
		f.until(t, http.StatusOK, read)
	}
	if got, want := len(f.services[0].Calls()), before; got != want {
		t.Errorf("calls at the leaving server: got %d, want %d", got, want)
	}
}
