package peridotentry_test

import (
	"fmt"
	"math"
	"net/http"
	"testing"

	"peridotstack/peridotawait"
	"peridotstack/peridotconfig"
)

const (
	streamTokens = 20
	holdAfter    = 5
)

// stream is one caller's answer.
type stream struct {
	requestID string
	text      string
	whole     bool
}

// streams starts n streams through the two entries and waits until all are held
// in the middle by the engines.
func (f *fleet) streams(t *testing.T, n int) <-chan stream {
	t.Helper()
	held := []<-chan string{f.engines[0].Hold(holdAfter), f.engines[1].Hold(holdAfter)}
	answers := make(chan stream, n)
	for i := range n {
		go func() {
			response, err := f.ask(i%2, streamTokens, nil)
			if err != nil {
				answers <- stream{text: err.Error()}
				return
			}
			defer response.Body.Close()
			s := stream{requestID: response.Header.Get("X-Request-Id")}
			s.text, s.whole = readTokens(response.Body, math.MaxInt)
			answers <- s
		}()
	}
	for range n {
		receive(t, "held stream", held[0], held[1])
	}
	return answers
}

// checkWhole checks that n answers are whole and each its own.
func checkWhole(t *testing.T, answers <-chan stream, n int) {
	t.Helper()
	for range n {
		got := <-answers
		if want := wholeText(got.requestID, streamTokens); got.text != want || !got.whole {
			t.Errorf("answer of %q: got %q (whole %v), want %q", got.requestID, got.text, got.whole, want)
		}
	}
}

// TestPlannedStopCutsNothing stops each role in turn while streams are under
// way.
func TestPlannedStopCutsNothing(t *testing.T) {
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
			answers := f.streams(t, n)
			stopped := test.stop(f)
			stopped.stop()
			stopped.stop() // A second signal must do no harm.
			f.engines[0].Release()
			f.engines[1].Release()
			checkWhole(t, answers, n)
			<-stopped.done // The stop is bounded.
		})
	}
}

// TestPlannedChangeCutsNothing commits changes while streams are under way.
func TestPlannedChangeCutsNothing(t *testing.T) {
	t.Parallel()
	const n = 16
	tests := []struct {
		name   string
		change func(f *fleet) peridotconfig.Change
		// inForce reports whether the change has come into force.
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
			func(*fleet) peridotconfig.Change { return deploy("v2") },
			func(f *fleet) bool { return len(f.engines[0].Orders()) > 0 && len(f.engines[1].Orders()) > 0 },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFleet(t, fleetOptions{})
			answers := f.streams(t, n)
			f.commit(t, peridotconfig.Changes{test.change(f)})
			if test.name == tests[0].name {
				peridotawait.Until(t, "change in force", func() bool { return test.inForce(f) })
			}
			f.engines[0].Release()
			f.engines[1].Release()
			checkWhole(t, answers, n)
			peridotawait.Until(t, "change in force", func() bool { return test.inForce(f) })
		})
	}
}

// TestStopIsBounded stops processes whose streams never end.
func TestStopIsBounded(t *testing.T) {
	t.Parallel()
	const n = 4
	f := startFleet(t, fleetOptions{graceMillis: 100})
	f.streams(t, n)
	for _, p := range []*process{f.entries[0], f.agents[0], f.agents[1], f.entries[1]} {
		p.stop()
		<-p.done // Blocks until the test times out if the stop is not bounded.
	}
}

// TestLeavingAgentGetsNoNewWork stops an agent whose streams go on: every new
// request must run at the other engine.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	const n = 8
	f := startFleet(t, fleetOptions{})
	answers := f.streams(t, n)
	f.engines[1].Release()
	before := len(f.engines[0].Calls())
	f.agents[0].stop()
	for i := range 50 {
		response, err := f.ask(i%2, 1, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, whole := readTokens(response.Body, math.MaxInt)
		response.Body.Close()
		if !whole {
			t.Errorf("request %d: got status %d and an answer that is not whole", i, response.StatusCode)
		}
	}
	// The agent takes no work from the moment it knows that it leaves, and the
	// stop above returned before the first request was sent; one request may
	// have slipped in before the agent noticed.
	if got, most := len(f.engines[0].Calls())-before, 1; got > most {
		t.Errorf("requests at the leaving engine: got %d, want at most %d", got, most)
	}
	f.engines[0].Release()
	checkWhole(t, answers, n)
	<-f.agents[0].done
}

// TestResumeThroughAnotherEntry breaks off a stream at its caller and resumes it
// through the other entry instance.
func TestResumeThroughAnotherEntry(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	held := []<-chan string{f.engines[0].Hold(holdAfter), f.engines[1].Hold(holdAfter)}
	response, err := f.ask(0, streamTokens, http.Header{"Idempotency-Key": {"resume-1"}})
	if err != nil {
		t.Fatal(err)
	}
	requestID := response.Header.Get("X-Request-Id")
	const read = 3
	first, _ := readTokens(response.Body, read)
	receive(t, "held stream", held[0], held[1])
	response.Body.Close() // The caller's connection is gone.

	request, err := http.NewRequest(http.MethodGet, "http://"+f.callers[1]+"/v1/requests/"+requestID, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Last-Event-ID", fmt.Sprint(read))
	resumed, err := f.do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Body.Close()
	f.engines[0].Release()
	f.engines[1].Release()
	rest, whole := readTokens(resumed.Body, math.MaxInt)
	if got, want := first+rest, wholeText(requestID, streamTokens); got != want || !whole {
		t.Errorf("got %q (whole %v), want %q", got, whole, want)
	}
}

// TestCancelReachesEngine lets a caller go away that did not ask to resume.
func TestCancelReachesEngine(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	held := []<-chan string{f.engines[0].Hold(holdAfter), f.engines[1].Hold(holdAfter)}
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
