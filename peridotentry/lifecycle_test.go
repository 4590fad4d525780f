package peridotentry_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotawait"
	"peridotstack/peridotconfig"
)

const (
	streamTokens    = 20
	holdAfterTokens = 5
)

// streamResult is the answer that one caller received.
type streamResult struct {
	requestID string
	text      string
	complete  bool
}

// startHeldStreams starts n streams through the two entry instances and waits
// until the engines hold all of them after holdAfterTokens tokens.
func (f *fleet) startHeldStreams(t *testing.T, n int) <-chan streamResult {
	t.Helper()
	held := []<-chan string{f.engines[0].HoldStreams(holdAfterTokens), f.engines[1].HoldStreams(holdAfterTokens)}
	answers := make(chan streamResult, n)
	for i := range n {
		go func() {
			response, err := f.ask(i%2, streamTokens, nil)
			if err != nil {
				answers <- streamResult{text: err.Error()}
				return
			}
			defer response.Body.Close()
			s := streamResult{requestID: response.Header.Get("X-Request-Id")}
			s.text, s.complete = readTokens(response.Body, math.MaxInt)
			answers <- s
		}()
	}
	for range n {
		receive(t, "held stream", held[0], held[1])
	}
	return answers
}

// checkComplete checks that n answers are complete and that each one is the
// answer to its own request.
func checkComplete(t *testing.T, answers <-chan streamResult, n int) {
	t.Helper()
	for range n {
		got := <-answers
		if want := expectedText(got.requestID, streamTokens); got.text != want || !got.complete {
			t.Errorf("answer of %q: got %q (complete %v), want %q", got.requestID, got.text, got.complete, want)
		}
	}
}

// TestGracefulStopInterruptsNoStream stops an agent or an entry instance while
// streams are running.
func TestGracefulStopInterruptsNoStream(t *testing.T) {
	const n = 24
	tests := []struct {
		name string
		stop func(f *fleet) *process
	}{
		{"an agent", func(f *fleet) *process { return f.agents[0] }},
		{"an entry instance", func(f *fleet) *process { return f.entries[0] }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFleet(t, fleetOptions{})
			answers := f.startHeldStreams(t, n)
			stopped := test.stop(f)
			stopped.stop()
			stopped.stop() // A second signal must have no effect.
			f.engines[0].ReleaseStreams()
			f.engines[1].ReleaseStreams()
			checkComplete(t, answers, n)
			<-stopped.done // Blocks until the test times out if the process does not stop.
		})
	}
}

// TestConfigChangeInterruptsNoStream commits configuration changes while streams
// are running.
func TestConfigChangeInterruptsNoStream(t *testing.T) {
	t.Parallel()
	const n = 16
	tests := []struct {
		name   string
		change func(f *fleet) peridotconfig.Change
		// inForce reports whether the change has taken effect.
		inForce func(f *fleet) bool
	}{
		{
			"the streams' key is withdrawn",
			func(f *fleet) peridotconfig.Change { return peridotconfig.WithdrawKey{ID: f.keyID} },
			func(f *fleet) bool {
				response, err := f.ask(0, 1, nil)
				if err != nil {
					return false
				}
				response.Body.Close()
				return response.StatusCode == http.StatusUnauthorized
			},
		},
		{
			"another version is loaded",
			func(*fleet) peridotconfig.Change { return deployChange("v2") },
			func(f *fleet) bool { return len(f.engines[0].Orders()) > 0 && len(f.engines[1].Orders()) > 0 },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFleet(t, fleetOptions{})
			answers := f.startHeldStreams(t, n)
			f.commit(t, peridotconfig.Changes{test.change(f)})
			if test.name == tests[0].name {
				peridotawait.Until(t, "change in force", func() bool { return test.inForce(f) })
			}
			f.engines[0].ReleaseStreams()
			f.engines[1].ReleaseStreams()
			checkComplete(t, answers, n)
			peridotawait.Until(t, "change in force", func() bool { return test.inForce(f) })
		})
	}
}

// TestStopIsBounded stops processes whose streams never end. Each process must
// stop after its shutdown grace.
func TestStopIsBounded(t *testing.T) {
	t.Parallel()
	const n = 4
	f := startFleet(t, fleetOptions{graceMillis: 100})
	f.startHeldStreams(t, n)
	for _, p := range []*process{f.entries[0], f.agents[0], f.agents[1], f.entries[1]} {
		p.stop()
		<-p.done // Blocks until the test times out if the stop is not bounded.
	}
}

// TestGraceEndAnswersRequests guards against closing the connections of requests that
// are unfinished when the shutdown grace ends: their callers get no answer at all, or a
// stream that breaks off without an error.
func TestGraceEndAnswersRequests(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name       string
		heldTokens int
		status     int
	}{
		{"answer not started", 0, http.StatusBadGateway},
		{"stream started", holdAfterTokens, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const grace = 2 * time.Second
			f := startFleet(t, fleetOptions{graceMillis: grace.Milliseconds()})
			held := []<-chan string{f.engines[0].HoldStreams(test.heldTokens), f.engines[1].HoldStreams(test.heldTokens)}
			type answer struct {
				status int
				body   string
				err    error
			}
			answers := make(chan answer, 1)
			go func() {
				response, err := f.ask(0, streamTokens, nil)
				if err != nil {
					answers <- answer{err: err}
					return
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				answers <- answer{response.StatusCode, string(body), err}
			}()
			_, second := receive(t, "held stream", held[0], held[1])
			engine := f.engines[0]
			if second {
				engine = f.engines[1]
			}
			f.entries[0].stop()
			got := <-answers
			if got.err != nil || got.status != test.status || !strings.Contains(got.body, `"code":"shutting_down"`) || !strings.Contains(got.body, `"verdict":"MayHaveRun"`) {
				t.Errorf("got status %d, body %q, error %v; want status %d and shutting_down with the verdict MayHaveRun", got.status, got.body, got.err, test.status)
			}
			peridotawait.Until(t, "cancel at the engine", func() bool { return len(engine.Canceled()) > 0 })
			<-f.entries[0].done // Blocks until the test times out if the stop is not bounded.
		})
	}
}

// TestLeavingAgentGetsNoNewWork stops an agent while its streams are running.
// Every new request must run on the other engine.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	const n = 8
	f := startFleet(t, fleetOptions{})
	answers := f.startHeldStreams(t, n)
	f.engines[1].ReleaseStreams()
	before := len(f.engines[0].Calls())
	f.agents[0].stop()
	for i := range 50 {
		response, err := f.ask(i%2, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, complete := readTokens(response.Body, math.MaxInt)
		response.Body.Close()
		if !complete {
			t.Errorf("request %d: got status %d and an incomplete answer", i, response.StatusCode)
		}
	}
	// The agent refuses new requests as soon as it has started to shut down. The
	// stop above returned before the first request was sent, but one request may
	// arrive before the agent observes the stop.
	if got, limit := len(f.engines[0].Calls())-before, 1; got > limit {
		t.Errorf("requests at the leaving engine: got %d, want at most %d", got, limit)
	}
	f.engines[0].ReleaseStreams()
	checkComplete(t, answers, n)
	<-f.agents[0].done
}

// TestResumeThroughAnotherEntry disconnects the caller of a stream and resumes
// the stream through the other entry instance.
func TestResumeThroughAnotherEntry(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	held := []<-chan string{f.engines[0].HoldStreams(holdAfterTokens), f.engines[1].HoldStreams(holdAfterTokens)}
	response, err := f.ask(0, streamTokens, http.Header{"Idempotency-Key": {"resume-1"}})
	if err != nil {
		t.Fatal(err)
	}
	requestID := response.Header.Get("X-Request-Id")
	const read = 3
	firstPart, _ := readTokens(response.Body, read)
	receive(t, "held stream", held[0], held[1])
	response.Body.Close() // This closes the caller's connection.

	request, err := http.NewRequest(http.MethodGet, "http://"+f.callerAddresses[1]+"/v1/requests/"+requestID, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Last-Event-ID", fmt.Sprint(read))
	resumed, err := f.do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Body.Close()
	f.engines[0].ReleaseStreams()
	f.engines[1].ReleaseStreams()
	resumedPart, complete := readTokens(resumed.Body, math.MaxInt)
	if got, want := firstPart+resumedPart, expectedText(requestID, streamTokens); got != want || !complete {
		t.Errorf("got %q (complete %v), want %q", got, complete, want)
	}
}

// TestCancelReachesEngine disconnects a caller that has not asked for a
// resumable answer. The engine must receive a cancel for its request.
func TestCancelReachesEngine(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	held := []<-chan string{f.engines[0].HoldStreams(holdAfterTokens), f.engines[1].HoldStreams(holdAfterTokens)}
	response, err := f.ask(0, streamTokens, nil)
	if err != nil {
		t.Fatal(err)
	}
	want, second := receive(t, "held stream", held[0], held[1])
	engine := 0
	if second {
		engine = 1
	}
	response.Body.Close()
	peridotawait.Until(t, "cancel at the engine", func() bool { return len(f.engines[engine].Canceled()) > 0 })
	if got := f.engines[engine].Canceled()[0]; got != want {
		t.Errorf("canceled: got %q, want %q", got, want)
	}
}
