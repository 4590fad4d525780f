package peridotfront

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"

	"peridotstack/peridotmetric"
	"peridotstack/peridotplace"
	"peridotstack/peridottable"
	"peridotstack/peridotverdict"
)

// panickingProtocol is a Protocol that panics with value when it decodes a request.
type panickingProtocol struct {
	Protocol
	value any
}

func (p panickingProtocol) DecodeCall(*http.Request) Call { panic(p.value) }

// TestHandlerPanicIsLogged guards against a closed connection of a caller without a
// log line and a counter that tell why.
func TestHandlerPanicIsLogged(t *testing.T) {
	defer log.SetHandler(discard.Default)
	for _, test := range []struct {
		name  string
		value any
		// aborts is set if the handler must close the connection; otherwise it must refuse
		// the request.
		aborts bool
		// lines is the number of log lines: the panic and the refusal.
		lines int
	}{
		{name: "fault", value: "index out of range", lines: 2},
		{name: "deliberate abort", value: http.ErrAbortHandler, aborts: true, lines: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines := memory.New()
			role := fmt.Sprint("front", time.Now().UnixNano()) // Metrics of a name can be made once in a process.
			metrics, closer := peridotmetric.New(role)
			f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-1")
			f.protocol, f.metrics = panickingProtocol{value: test.value}, metrics
			log.SetHandler(lines)
			answer := httptest.NewRecorder()
			func() {
				defer func() {
					if got := recover(); test.aborts && got != http.ErrAbortHandler || !test.aborts && got != nil {
						t.Errorf("got panic %v, want http.ErrAbortHandler: %v", got, test.aborts)
					}
				}()
				f.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/", nil))
			}()
			if got, want := answer.Code == http.StatusBadGateway, !test.aborts; got != want {
				t.Errorf("got status %d, want 502: %v", answer.Code, want)
			}
			log.SetHandler(discard.Default)
			closer.Close() // Flushes the metrics.
			if got := len(lines.Entries); got != test.lines {
				t.Fatalf("got %d log lines, want %d", got, test.lines)
			}
			if test.lines == 0 {
				return
			}
			if fields := lines.Entries[0].Fields; fields["panic"] != test.value || fields["stack"] == "" {
				t.Errorf("got fields %v, want the panic and the stack", fields)
			}
			page := httptest.NewRecorder()
			metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			if want := "peridot_" + role + "_panics 1"; !strings.Contains(page.Body.String(), want) {
				t.Errorf("metrics: got no line %q", want)
			}
		})
	}
}

// TestPanicIsAnswered guards against a request that was read and gets neither an
// answer nor a refusal because its handler panicked.
func TestPanicIsAnswered(t *testing.T) {
	f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-1")
	f.protocol = panickingProtocol{value: "index out of range"}
	server := httptest.NewServer(f)
	defer server.Close()
	response, err := http.Get(server.URL)
	if err != nil {
		t.Fatalf("got %v, want an answer with status 502", err)
	}
	defer response.Body.Close()
	var refusal refusalBody
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadGateway || refusal.Verdict != peridotverdict.MayHaveRun {
		t.Errorf("got status %d and %+v, want 502 and that the request may have run", response.StatusCode, refusal)
	}
}

// TestPanicInStartedAnswerAborts guards against passing off an answer as complete whose
// handler panicked in the middle.
func TestPanicInStartedAnswerAborts(t *testing.T) {
	x := newStallExchange(t)
	x.logFields, x.answerStarted = log.Fields{}, true
	defer func() {
		if got := recover(); got != http.ErrAbortHandler {
			t.Errorf("got panic %v, want http.ErrAbortHandler", got)
		}
	}()
	defer x.answerPanic()
	panic("index out of range")
}

// TestPanicLeavesFrontUnlocked guards against a front that serves nothing any more
// because a handler panicked in the placer.
func TestPanicLeavesFrontUnlocked(t *testing.T) {
	choice := peridotplace.Choice{Backend: "a", PrefillBackend: "a"}
	for _, test := range []struct {
		name string
		run  func(x *exchange)
	}{
		{name: "whole answer", run: func(x *exchange) { x.tryWhole(choice) }},
		{name: "prefill", run: func(x *exchange) { x.prefill(choice) }},
		{name: "end of a prefill", run: func(x *exchange) { x.front.endPrefill(&peridotplace.Flight{}) }},
		{name: "generation", run: func(x *exchange) { x.generate(choice, nil) }},
		{name: "generation after a prefill", run: func(x *exchange) { x.generate(choice, &kvSource{}) }},
		{name: "event", run: func(x *exchange) { (&stream{exchange: x, flight: &peridotplace.Flight{}}).recordProgress() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := newStallExchange(t)
			x.logFields = log.Fields{}
			x.front.placer = nil // Makes the placer panic.
			x.front.protocol = panickingProtocol{}
			func() {
				defer func() {
					if recover() == nil {
						t.Error("got no panic")
					}
				}()
				test.run(x)
			}()
			if !x.front.mu.TryLock() {
				t.Error("got the front locked, want it unlocked")
			}
		})
	}
}
