package peridotentry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"peridotstack/peridotawait"
	"peridotstack/peridotconfig"
	"peridotstack/peridotkey"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	testModel   = "hino-llm"
	testService = "quadro-api"
	testAccount = "matriz-recife"
)

// scriptedAgent is an agent that answers requests with onRun and records them.
type scriptedAgent struct {
	instance string
	model    string
	service  string
	onRun    func(p *peridotwire.Peer, r peridotwire.Run) (any, error)

	mu   sync.Mutex
	runs []peridotwire.Run
}

func (s *scriptedAgent) HandleRequest(_ context.Context, p *peridotwire.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case peridotwire.MethodPing:
		return peridotwire.Pong{From: s.instance, Domain: "domain-0", Incarnation: "first", Version: peridotwire.Version{Seq: 1}}, nil
	case peridotwire.MethodRun:
		var r peridotwire.Run
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.runs = append(s.runs, r)
		s.mu.Unlock()
		return s.onRun(p, r)
	}
	return peridotwire.Result{Err: peridotverdict.New(peridotverdict.UnknownRequest, peridotverdict.MayHaveRun, "no such request")}, nil
}

func (s *scriptedAgent) HandleNotification(*peridotwire.Peer, string, json.RawMessage) {}

// receivedRuns returns the requests that the agent was asked to run.
func (s *scriptedAgent) receivedRuns() []peridotwire.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// completeResult returns the result of a complete answer with the given chunks.
func completeResult(chunks ...string) peridotwire.Result {
	var t peridotstream.Timeline
	for _, chunk := range chunks {
		if err := t.Append(chunk); err != nil {
			panic(err)
		}
	}
	t.Close(peridotstream.End{Status: http.StatusOK})
	return peridotwire.Result{End: t.End()}
}

func sendChunks(p *peridotwire.Peer, id string, first int, chunks ...string) {
	// This fails if the connection has closed, which then shows in the caller's
	// answer.
	_ = p.Notify(context.Background(), peridotwire.MethodChunks, peridotwire.Chunks{RequestID: id, First: first, Data: chunks})
}

// echo answers every request with its body.
func echo(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
	sendChunks(p, r.RequestID, 0, r.Body)
	return completeResult(r.Body), nil
}

func refuseLeaving(*peridotwire.Peer, peridotwire.Run) (any, error) {
	return peridotwire.Result{Err: peridotverdict.New(peridotverdict.Leaving, peridotverdict.NotRun, "the backend server is leaving")}, nil
}

// closeConn closes the connection once the request has been received.
func closeConn(p *peridotwire.Peer, _ peridotwire.Run) (any, error) {
	_ = p.Close()
	return nil, nil
}

// agentEndpoint is an agent's entry in the platform's list of instances.
type agentEndpoint struct {
	instance string
	address  string
	model    string
	service  string
}

// entryWith returns an entry instance that is connected to the given agents, and
// the key of its client account.
func entryWith(t *testing.T, agents ...*scriptedAgent) (*Entry, string) {
	t.Helper()
	var endpoints []agentEndpoint
	for _, s := range agents {
		endpoints = append(endpoints, agentEndpoint{s.instance, serveAgent(t, s), s.model, s.service})
	}
	return entryToEndpoints(t, endpoints...)
}

// serveAgent returns the loopback address at which it serves an agent.
func serveAgent(t *testing.T, agent peridotwire.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &peridotwire.Server{Listener: listener, Handler: agent}
	ctx, stop := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(ctx) })
	t.Cleanup(func() {
		stop()
		serving.Wait()
	})
	return listener.Addr().String()
}

// entryToEndpoints is like entryWith, but for agents that are already listening.
func entryToEndpoints(t *testing.T, endpoints ...agentEndpoint) (*Entry, string) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	t.Cleanup(func() {
		stop()
		serving.Wait()
	})
	var list []peridotplatform.Instance
	for _, p := range endpoints {
		list = append(list, peridotplatform.Instance{ID: p.instance, Role: peridotplatform.RoleAgent, Address: p.address, Model: p.model, Service: p.service})
	}
	key, id, hash := peridotkey.New()
	platform := httptest.NewServer(peridotstandin.NewPlatform(list...).Handler())
	t.Cleanup(platform.Close)
	client := peridotplatform.NewClient(platform.Listener.Addr().String())
	e := New(peridotsettings.Entry{Process: peridotsettings.Process{Instance: "entry-1"}}, client)
	commit(t, e, peridotconfig.Changes{
		peridotconfig.PutModel{Model: peridotconfig.Model{Name: testModel, PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 1000}},
		peridotconfig.PutService{Service: peridotconfig.Service{Name: testService, Routes: []peridotconfig.Route{{Method: http.MethodPost, Path: "/push"}}}},
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: testAccount, Models: []string{testModel}, Services: []string{testService}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: testAccount, Hash: hash}},
		peridotconfig.SetDeployments{Deployments: []peridotconfig.Deployment{{Model: testModel, Replicas: len(endpoints)}}},
	})
	serving.Go(func() { _ = e.node.Serve(ctx) })
	serving.Go(func() { _ = e.pool.Serve(ctx) })
	peridotawait.Until(t, "fresh configuration and link to each agent", func() bool { return e.node.Fresh() && isAvailable(e, len(endpoints)) })
	return e, key
}

// isAvailable reports whether exactly n backend servers accept requests.
func isAvailable(e *Entry, n int) bool {
	up := 0
	for _, s := range e.pool.servers() {
		if !s.Down && !s.Leaving {
			up++
		}
	}
	return up == n
}

// commit adds changes to the shared configuration and applies them at e.
func commit(t *testing.T, e *Entry, changes peridotconfig.Changes) {
	t.Helper()
	configLog := &peridotconfig.Log{Store: e.platform}
	_, err := configLog.Append(context.Background(), e.Config(), rand.Text(), "test", changes)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.node.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// ask sends a caller's request to the entry instance and returns the complete
// response.
func ask(e *Entry, key, path, body string) *httptest.ResponseRecorder {
	return askWithin(e, key, path, body, "")
}

// askWithin is like ask, with a time limit in milliseconds.
func askWithin(e *Entry, key, path, body, millis string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", bearerPrefix+key)
	r.Header.Set(headerIdempotencyKey, "push-1")
	r.Header.Set(headerTimeout, millis)
	w := httptest.NewRecorder()
	e.serveCaller(w, r)
	return w
}
