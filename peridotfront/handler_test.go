package peridotfront

import (
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
	"peridotstack/peridottable"
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
		lines int
	}{
		{name: "fault", value: "index out of range", lines: 1},
		{name: "deliberate abort", value: http.ErrAbortHandler, lines: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines := memory.New()
			role := fmt.Sprint("front", time.Now().UnixNano()) // Metrics of a name can be made once in a process.
			metrics, closer := peridotmetric.New(role)
			f := newFront(t, &fakePlatform{Faulty: peridottable.Faulty{Store: &peridottable.Memory{}}}, "front-1")
			f.protocol, f.metrics = panickingProtocol{value: test.value}, metrics
			log.SetHandler(lines)
			func() {
				defer func() {
					if got := recover(); got != http.ErrAbortHandler {
						t.Errorf("got panic %v, want http.ErrAbortHandler", got)
					}
				}()
				f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
			}()
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
