package peridotentry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotagent"
	"peridotstack/peridotconfig"
	"peridotstack/peridotentry"
	"peridotstack/peridotkey"
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
	caller   string
	operator string
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
		s.Process = peridotsettings.Process{Instance: fmt.Sprint("agent-", i), Domain: domain, PeerAddress: freeAddress(t), PlatformAddress: platform}
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
	f.caller, f.operator = freeAddress(t), freeAddress(t)
	entry := peridotsettings.Entry{CallerAddress: f.caller, MaxBodyBytes: 1 << 20}
	entry.Process = peridotsettings.Process{Instance: "entry-1", Domain: "domain-0", OperatorAddress: f.operator, PlatformAddress: platform}
	run(peridotentry.New(entry, peridotplatform.NewClient(platform)).Serve)
	return f
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
			{Domain: "domain-0", Model: "m", Version: "v1", Replicas: 1}, {Domain: "domain-0", Service: "api", Replicas: 1},
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// call is one request; empty fields are left out.
type call struct {
	path, query, body string
	header            http.Header
}

// do sends a call with the key and returns the status and the answer.
func (f *keyFleet) do(t *testing.T, c call) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.caller+c.path+c.query, strings.NewReader(c.body))
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
