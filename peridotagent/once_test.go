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

// site is a plain service with agents beside it and an entry's connections.
type site struct {
	t       *testing.T
	table   *peridottable.Faulty
	service *peridotstandin.Service
	address string
	tries   int
}

func newSite(t *testing.T) *site {
	t.Helper()
	service := &peridotstandin.Service{}
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return &site{
		t:       t,
		table:   &peridottable.Faulty{Store: &peridottable.Memory{}},
		service: service,
		address: strings.TrimPrefix(server.URL, "http://"),
	}
}

// process is an agent as an entry instance sees it.
type process struct {
	agent *Agent
	peer  *peridotwire.Peer
	// chunks collects the answers by request id.
	chunks chan peridotwire.Chunks
}

// Call refuses requests.
func (p *process) Call(context.Context, *peridotwire.Peer, string, json.RawMessage) (any, error) {
	return nil, peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "no requests here")
}

// Notice takes chunks.
func (p *process) Notice(_ *peridotwire.Peer, _ string, params json.RawMessage) {
	var c peridotwire.Chunks
	if json.Unmarshal(params, &c) == nil {
		p.chunks <- c
	}
}

// start starts an agent whose connection the test holds.
func (s *site) start(instance, serviceAddress string) *process {
	s.t.Helper()
	settings := peridotsettings.Agent{ServiceAddress: serviceAddress}
	settings.Instance, settings.Domain = instance, "kin-a"
	p := &process{agent: New(settings, s.table), chunks: make(chan peridotwire.Chunks, 16)}
	ctx, stop := context.WithCancel(s.t.Context())
	s.t.Cleanup(stop)
	go p.agent.once.Serve(ctx)
	here, there := net.Pipe()
	peridotwire.NewPeer(ctx, there, p.agent)
	p.peer = peridotwire.NewPeer(ctx, here, p)
	return p
}

// push sends a push with the key and returns the answer's body and its end.
func (s *site) push(p *process, key, body string) (string, peridotwire.Result) {
	s.t.Helper()
	s.tries++
	run := peridotwire.Run{
		RequestID: fmt.Sprint("request-", s.tries), Account: "port-royal", Service: "release-register",
		Method: "POST", Path: "/stamp", Body: body, IdempotencyKey: key, TimeoutMillis: time.Minute.Milliseconds(),
		UsageWindow: 30_000_000,
	}
	var result peridotwire.Result
	if err := p.peer.Call(s.t.Context(), peridotwire.MethodRun, run, &result); err != nil {
		s.t.Fatalf("push: %v", err)
	}
	if result.End == nil || result.End.Chunks == 0 {
		return "", result
	}
	return strings.Join((<-p.chunks).Data, ""), result
}

func (s *site) wantRuns(want int) {
	s.t.Helper()
	if got := len(s.service.Calls()); got != want {
		s.t.Errorf("the service got %d calls, want %d", got, want)
	}
}

func codeOf(r peridotwire.Result) (peridotverdict.Code, peridotverdict.Verdict) {
	switch {
	case r.Err != nil:
		return r.Err.Code, r.Err.Verdict
	case r.End.Err != nil:
		return r.End.Err.Code, r.End.Err.Verdict
	}
	return "", peridotverdict.Ran
}

func TestRepeatThroughAnotherAgentRunsOnce(t *testing.T) {
	s := newSite(t)
	first, second := s.start("agent-1", s.address), s.start("agent-2", s.address)
	want, _ := s.push(first, "stamp-1", "lot 7")
	if err := first.agent.once.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, p := range []*process{first, second, s.start("agent-1", s.address)} {
		got, result := s.push(p, "stamp-1", "lot 7")
		if got != want || !result.End.Repeat {
			t.Errorf("got answer %q, repeat %v, want the recorded %q", got, result.End.Repeat, want)
		}
	}
	_, reused := s.push(second, "stamp-1", "lot 8")
	if code, _ := codeOf(reused); code != peridotverdict.KeyReused {
		t.Errorf("got code %q, want %q", code, peridotverdict.KeyReused)
	}
	s.wantRuns(1)
	if got := len(second.agent.Usage().Parts("kin-a", 1, 10)); got != 0 {
		t.Errorf("the repeat counted %d figures, want 0", got)
	}
}

// TestAgentKilledBetweenRunAndRecord freezes the commit of the outcome for good.
func TestAgentKilledBetweenRunAndRecord(t *testing.T) {
	s := newSite(t)
	first := s.start("agent-1", s.address)
	thaw := make(chan struct{})
	t.Cleanup(func() { close(thaw) })
	s.table.BeforeCommit(func(txn peridottable.Txn) {
		if len(txn.Puts) > 0 && txn.Checks[0].Version != 0 {
			<-thaw
		}
	})
	if _, result := s.push(first, "stamp-1", "lot 7"); result.End == nil || result.End.Err != nil {
		t.Errorf("got result %+v, want an answer before it is recorded", result)
	}
	again, other := s.start("agent-1", s.address), s.start("agent-2", s.address)
	for _, c := range []struct {
		process *process
		down    bool
		code    peridotverdict.Code
		verdict peridotverdict.Verdict
	}{
		{again, true, peridotverdict.StoreUnavailable, peridotverdict.NotRun},
		{again, false, peridotverdict.MayHaveRunBefore, peridotverdict.MayHaveRun},
		{other, false, peridotverdict.StillRunning, peridotverdict.MayHaveRun},
	} {
		s.table.SetDown(c.down)
		_, result := s.push(c.process, "stamp-1", "lot 7")
		if code, verdict := codeOf(result); code != c.code || verdict != c.verdict {
			t.Errorf("got %s %s, want %s %s", code, verdict, c.code, c.verdict)
		}
	}
	s.wantRuns(1)
}

func TestRefusedDialIsReleased(t *testing.T) {
	s := newSite(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := listener.Addr().String()
	listener.Close()
	first, second := s.start("agent-1", nobody), s.start("agent-2", s.address)
	_, refused := s.push(first, "stamp-1", "lot 7")
	if code, verdict := codeOf(refused); code != peridotverdict.EngineFailed || verdict != peridotverdict.NotRun {
		t.Errorf("got %s %s, want %s NotRun", code, verdict, peridotverdict.EngineFailed)
	}
	if err := first.agent.once.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got, _ := s.push(second, "stamp-1", "lot 7"); got == "" {
		t.Errorf("got no answer, want that of a run")
	}
	s.wantRuns(1)
}
