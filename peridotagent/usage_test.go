package peridotagent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"peridotstack/peridotmetric"
	"peridotstack/peridotstream"
	"peridotstack/peridotusage"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

func TestCountUsage(t *testing.T) {
	shortAnswer := peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, "broke off")
	tests := []struct {
		name   string
		chunks int
		end    peridotstream.End
		want   []peridotusage.Figure
	}{
		{"complete", 4, peridotstream.End{PromptTokens: 9, OutputTokens: 3}, []peridotusage.Figure{{Requests: 1, PromptTokens: 9, OutputTokens: 3}}},
		{"incomplete", 2, peridotstream.End{Err: shortAnswer}, []peridotusage.Figure{{Requests: 1, OutputTokens: 2}}},
		{"failed before the first chunk", 0, peridotstream.End{Err: shortAnswer}, nil},
	}
	for _, c := range tests {
		s := newFixture(t)
		a := s.startAgent("agent-1", s.serviceAddress).agent
		var timeline peridotstream.Timeline
		for range c.chunks {
			if err := timeline.Append("token"); err != nil {
				t.Fatal(err)
			}
		}
		timeline.Close(c.end)
		a.countUsage(peridotwire.Run{Account: "port-royal", Model: "verdict", UsageWindow: 30_000_000}, &timeline)
		var got []peridotusage.Figure
		for _, part := range a.Usage().Parts("kin-a", 1, 10) {
			got = append(got, part.Figure)
		}
		if len(got) != len(c.want) || len(got) == 1 && got[0] != c.want[0] {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestUncollectedFiguresAreCounted stops an agent to which no entry instance is
// connected. It must not wait, and must increment usage_not_collected only if usage
// figures remain.
func TestUncollectedFiguresAreCounted(t *testing.T) {
	for _, requests := range []int64{0, 1} {
		s := newFixture(t)
		a := s.startAgent("agent-1", s.serviceAddress).agent
		metrics, closer := peridotmetric.New("agent")
		a.metrics = metrics
		if requests > 0 {
			a.usage.Add("kin-a", peridotusage.Cell{Agent: a.process(), Account: "port-royal"}, peridotusage.Figure{Requests: requests})
		}
		a.awaitUsageCollected(t.Context())
		if err := closer.Close(); err != nil { // Close flushes the counters.
			t.Fatal(err)
		}
		answer := httptest.NewRecorder()
		a.metrics.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		if got, want := strings.Contains(answer.Body.String(), "usage_not_collected"), requests > 0; got != want {
			t.Errorf("%d requests not collected: got counter present %v, want %v", requests, got, want)
		}
	}
}
