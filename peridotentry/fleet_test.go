package peridotentry_test

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotagent"
	"peridotstack/peridotawait"
	"peridotstack/peridotconfig"
	"peridotstack/peridotentry"
	"peridotstack/peridotkey"
	"peridotstack/peridotplatform"
	"peridotstack/peridotsettings"
	"peridotstack/peridotstandin"
	"peridotstack/peridottable"
)

const (
	fleetModel       = "m"
	fleetGraceMillis = 60_000
)

// process is one process of the system that a test can stop.
type process struct {
	stop context.CancelFunc
	done chan struct{}
}

func startProcess(t *testing.T, serve func(context.Context) error) *process {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	p := &process{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		if err := serve(ctx); err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-p.done
	})
	return p
}

// fleet is a platform, two engines with their agents in two failure domains, and
// two entry instances.
type fleet struct {
	platform        *peridotstandin.Platform
	engines         [2]*peridotstandin.Engine
	agents          [2]*process
	entries         [2]*process
	callerAddresses [2]string
	key             string
	keyID           string
	platformAddress string
}

// fleetOptions overrides settings of a fleet.
type fleetOptions struct {
	// proxyAddress, if set, returns the address at which the entry instances connect
	// to the agent that listens on the given one.
	proxyAddress func(address string) string
	// graceMillis is the shutdown grace. 0 means fleetGraceMillis.
	graceMillis int64
	// bodyTimeoutMillis bounds the time in which a request must be received. 0 means
	// fleetGraceMillis.
	bodyTimeoutMillis int64
	// serveEngine, if set, serves an engine in place of serveStandIn and returns its
	// address.
	serveEngine func(t *testing.T, h http.Handler) (address string)
}

func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	if o.graceMillis == 0 {
		o.graceMillis = fleetGraceMillis
	}
	if o.bodyTimeoutMillis == 0 {
		o.bodyTimeoutMillis = fleetGraceMillis
	}
	if o.serveEngine == nil {
		o.serveEngine = serveStandIn
	}
	f := &fleet{platform: peridotstandin.NewPlatform()}
	platform := serveStandIn(t, f.platform.Handler())
	f.platformAddress = platform
	f.bootstrap(t)
	var instances []peridotplatform.Instance
	for i := range f.engines {
		f.engines[i] = peridotstandin.NewEngine(peridotstandin.EngineOptions{Model: fleetModel, Version: "v1", Role: string(peridotconfig.Mixed)})
		s := peridotsettings.Agent{PeerAddress: freeAddress(t), EngineAddress: o.serveEngine(t, f.engines[i].Handler())}
		s.Process = peridotsettings.Process{Instance: fmt.Sprint("agent-", i), Domain: fmt.Sprint("domain-", i), ShutdownGraceMillis: o.graceMillis}
		f.agents[i] = startProcess(t, peridotagent.New(s, peridotplatform.NewClient(platform)).Serve)
		address := s.PeerAddress
		if o.proxyAddress != nil {
			address = o.proxyAddress(address)
		}
		instances = append(instances, peridotplatform.Instance{ID: s.Instance, Role: peridotplatform.RoleAgent, Domain: s.Domain, Address: address, Model: fleetModel})
	}
	f.platform.SetInstances(instances...)
	for i := range f.entries {
		s := peridotsettings.Entry{CallerAddress: freeAddress(t), MaxBodyBytes: 1 << 20, BodyTimeoutMillis: o.bodyTimeoutMillis}
		s.Process = peridotsettings.Process{Instance: fmt.Sprint("entry-", i), Domain: fmt.Sprint("domain-", i), OperatorAddress: freeAddress(t), ShutdownGraceMillis: o.graceMillis}
		f.callerAddresses[i] = s.CallerAddress
		f.entries[i] = startProcess(t, peridotentry.New(s, peridotplatform.NewClient(platform)).Serve)
	}
	for i := range f.entries {
		f.awaitServing(t, i)
	}
	return f
}

func (f *fleet) bootstrap(t *testing.T) {
	t.Helper()
	key, id, hash := peridotkey.New()
	f.key, f.keyID = key, id
	f.commit(t, peridotconfig.Changes{
		peridotconfig.PutDomain{Domain: peridotconfig.Domain{Name: "domain-0"}},
		peridotconfig.PutDomain{Domain: peridotconfig.Domain{Name: "domain-1"}},
		peridotconfig.PutModel{Model: peridotconfig.Model{Name: fleetModel, PrefillTokensPerSecond: 100_000, DecodeTokensPerSecond: 100_000}},
		peridotconfig.PutAccount{Account: peridotconfig.Account{Name: "a", Models: []string{fleetModel}, Weight: 1}},
		peridotconfig.GiveKey{Key: peridotconfig.Key{ID: id, Account: "a", Hash: hash}},
		deployChange("v1"),
	})
}

// deployChange returns a change that deploys one engine with the given model
// version in each failure domain.
func deployChange(version string) peridotconfig.Change {
	var list []peridotconfig.Deployment
	for _, domain := range []string{"domain-0", "domain-1"} {
		list = append(list, peridotconfig.Deployment{Domain: domain, Model: fleetModel, Version: version, Role: peridotconfig.Mixed, Replicas: 1})
	}
	return peridotconfig.SetDeployments{Deployments: list}
}

// commit adds changes to the shared configuration, as an operator does. It
// retries if another commit was made first.
func (f *fleet) commit(t *testing.T, changes peridotconfig.Changes) {
	t.Helper()
	configLog := &peridotconfig.Log{Store: peridotplatform.NewClient(f.platformAddress)}
	for {
		base, err := configLog.Load(t.Context(), &peridotconfig.Config{})
		if err != nil {
			t.Fatal(err)
		}
		_, err = configLog.Append(t.Context(), base, rand.Text(), "operator", changes)
		if err == nil {
			return
		}
		if !peridottable.IsConflict(err) {
			t.Fatal(err)
		}
	}
}

// awaitServing sends requests through an entry instance until both engines have
// received one.
func (f *fleet) awaitServing(t *testing.T, entry int) {
	t.Helper()
	before := [2]int{len(f.engines[0].Calls()), len(f.engines[1].Calls())}
	peridotawait.Until(t, fmt.Sprintf("call at each engine through entry %d", entry), func() bool {
		response, err := f.ask(entry, 1, nil)
		if err != nil {
			return false // The entry instance does not listen yet.
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		return len(f.engines[0].Calls()) > before[0] && len(f.engines[1].Calls()) > before[1]
	})
}

// receive returns the next value from either channel, and fails the test if none
// arrives in time.
func receive(t *testing.T, what string, a, b <-chan string) (value string, second bool) {
	t.Helper()
	select {
	case value = <-a:
	case value = <-b:
		second = true
	case <-time.After(peridotawait.Timeout):
		t.Fatalf("got no %s within %v, want it", what, peridotawait.Timeout)
	}
	return value, second
}

// ask sends a stream request for the given number of tokens and returns once the
// response has started.
func (f *fleet) ask(entry, tokens int, header http.Header) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":%d,"stream":true}`, fleetModel, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddresses[entry]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	return f.do(request)
}

func (f *fleet) do(request *http.Request) (*http.Response, error) {
	request.Header.Set("Authorization", "Bearer "+f.key)
	// Each request uses its own connection, so that the entry instance observes that
	// its caller disconnects when the response body is closed.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(request)
}

// tokenEvent contains the token of a streamed event.
type tokenEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// readTokens reads up to limit tokens of a stream. It sets complete if it has
// read the event that marks the answer as complete.
func readTokens(body io.Reader, limit int) (text string, complete bool) {
	lines := bufio.NewScanner(body)
	tokens := 0
	for tokens < limit && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var e tokenEvent
		if json.Unmarshal([]byte(data), &e) == nil && len(e.Choices) > 0 {
			text += e.Choices[0].Text
			tokens++
		}
	}
	return text, false
}

// expectedText returns the text that the engine generates for a request with the
// given number of tokens.
func expectedText(requestID string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(peridotstandin.Token(requestID, i))
	}
	return text.String()
}
