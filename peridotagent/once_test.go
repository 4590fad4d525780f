package peridotagent

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

// fixture is a plain service and the table service that its agents use.
type fixture struct {
	t              *testing.T
	table          *peridottable.Faulty
	service        *peridotstandin.Service
	serviceAddress string
	attempts       int
}

// newFixture starts the plain service.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	service := &peridotstandin.Service{}
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return &fixture{
		t:              t,
		table:          &peridottable.Faulty{Store: &peridottable.Memory{}},
		service:        service,
		serviceAddress: strings.TrimPrefix(server.URL, "http://"),
	}
}

// startedAgent is an agent and the connection of an entry instance to it.
type startedAgent struct {
	agent *Agent
	peer  *peridotwire.Peer
	// chunks receives the notifications that carry the answers.
	chunks chan peridotwire.Chunks
}

// HandleRequest refuses every request.
func (p *startedAgent) HandleRequest(context.Context, *peridotwire.Peer, string, json.RawMessage) (any, error) {
	return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "requests are not supported")
}

// HandleNotification passes chunks on to p.chunks.
func (p *startedAgent) HandleNotification(_ *peridotwire.Peer, _ string, params json.RawMessage) {
	var c peridotwire.Chunks
	if json.Unmarshal(params, &c) == nil {
		p.chunks <- c
	}
}

// startAgent starts an agent and connects the test to it.
func (s *fixture) startAgent(instance, serviceAddress string) *startedAgent {
	s.t.Helper()
	settings := peridotsettings.Agent{ServiceAddress: serviceAddress}
	settings.Instance, settings.Domain = instance, "kin-a"
	p := &startedAgent{agent: New(settings, s.table), chunks: make(chan peridotwire.Chunks, 16)}
	ctx, stop := context.WithCancel(s.t.Context())
	s.t.Cleanup(stop)
	go p.agent.onceKeeper.Serve(ctx)
	entryEnd, agentEnd := net.Pipe()
	peridotwire.NewPeer(ctx, agentEnd, p.agent)
	p.peer = peridotwire.NewPeer(ctx, entryEnd, p)
	return p
}

// send sends a request with the given idempotency key and returns the body of the
// answer and the result.
func (s *fixture) send(p *startedAgent, key, body string) (string, peridotwire.Result) {
	s.t.Helper()
	s.attempts++
	run := peridotwire.Run{
		RequestID: fmt.Sprint("request-", s.attempts), Account: "port-royal", Service: "release-register",
		Method: "POST", Path: "/stamp", Body: body, IdempotencyKey: key, TimeoutMillis: time.Minute.Milliseconds(),
		UsageWindow: 30_000_000,
	}
	var result peridotwire.Result
	if err := p.peer.Call(s.t.Context(), peridotwire.MethodRun, run, &result); err != nil {
		s.t.Fatalf("MethodRun: %v", err)
	}
	if result.End == nil || result.End.Chunks == 0 {
		return "", result
	}
	return strings.Join((<-p.chunks).Data, ""), result
}

// wantRuns checks how many requests the service has run.
func (s *fixture) wantRuns(want int) {
	s.t.Helper()
	if got := len(s.service.Calls()); got != want {
		s.t.Errorf("got %d calls to the service, want %d", got, want)
	}
}

// codeAndVerdict returns the code and verdict of the error in r. Without an error
// it returns an empty code and Ran.
func codeAndVerdict(r peridotwire.Result) (peridotverdict.Code, peridotverdict.Verdict) {
	switch {
	case r.Err != nil:
		return r.Err.Code, r.Err.Verdict
	case r.End.Err != nil:
		return r.End.Err.Code, r.End.Err.Verdict
	}
	return "", peridotverdict.Ran
}

func TestRepeatThroughAnotherAgentRunsOnce(t *testing.T) {
	s := newFixture(t)
	first, second := s.startAgent("agent-1", s.serviceAddress), s.startAgent("agent-2", s.serviceAddress)
	want, _ := s.send(first, "stamp-1", "lot 7")
	if err := first.agent.onceKeeper.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, p := range []*startedAgent{first, second, s.startAgent("agent-1", s.serviceAddress)} {
		got, result := s.send(p, "stamp-1", "lot 7")
		if got != want || !result.End.Repeat {
			t.Errorf("got answer %q, repeat %v, want the recorded %q", got, result.End.Repeat, want)
		}
	}
	_, reused := s.send(second, "stamp-1", "lot 8")
	if code, _ := codeAndVerdict(reused); code != peridotverdict.KeyReused {
		t.Errorf("got code %q, want %q", code, peridotverdict.KeyReused)
	}
	s.wantRuns(1)
	if got := len(second.agent.Usage().Parts("kin-a", 1, 10)); got != 0 {
		t.Errorf("the repeats counted %d usage figures, want 0", got)
	}
}

// TestAgentKilledBetweenRunAndRecord checks the replies to repeats while the
// outcome of the first attempt is never committed, as when its agent was killed.
func TestAgentKilledBetweenRunAndRecord(t *testing.T) {
	s := newFixture(t)
	first := s.startAgent("agent-1", s.serviceAddress)
	unblock := make(chan struct{})
	t.Cleanup(func() { close(unblock) })
	s.table.BeforeCommit(func(txn peridottable.Txn) {
		if len(txn.Puts) > 0 && txn.Checks[0].Version != 0 {
			<-unblock
		}
	})
	if _, result := s.send(first, "stamp-1", "lot 7"); result.End == nil || result.End.Err != nil {
		t.Errorf("got result %+v, want an answer before it is recorded", result)
	}
	restarted, other := s.startAgent("agent-1", s.serviceAddress), s.startAgent("agent-2", s.serviceAddress)
	for _, c := range []struct {
		agent     *startedAgent
		storeDown bool
		code      peridotverdict.Code
		verdict   peridotverdict.Verdict
	}{
		{restarted, true, peridotverdict.StoreUnavailable, peridotverdict.NotRun},
		{restarted, false, peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun},
		{other, false, peridotverdict.StillRunning, peridotverdict.MayHaveRun},
	} {
		s.table.SetDown(c.storeDown)
		_, result := s.send(c.agent, "stamp-1", "lot 7")
		if code, verdict := codeAndVerdict(result); code != c.code || verdict != c.verdict {
			t.Errorf("got %s %s, want %s %s", code, verdict, c.code, c.verdict)
		}
	}
	s.wantRuns(1)
}

func TestRefusedDialReleasesClaim(t *testing.T) {
	s := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddress := listener.Addr().String()
	listener.Close()
	first, second := s.startAgent("agent-1", unusedAddress), s.startAgent("agent-2", s.serviceAddress)
	_, refused := s.send(first, "stamp-1", "lot 7")
	if code, verdict := codeAndVerdict(refused); code != peridotverdict.EngineFailed || verdict != peridotverdict.NotRun {
		t.Errorf("got %s %s, want %s NotRun", code, verdict, peridotverdict.EngineFailed)
	}
	if err := first.agent.onceKeeper.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got, _ := s.send(second, "stamp-1", "lot 7"); got == "" {
		t.Errorf("got no answer, want the answer of a run")
	}
	s.wantRuns(1)
}
