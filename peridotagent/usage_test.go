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

func TestCountUse(t *testing.T) {
	broken := peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, "broke off")
	tables := []struct {
		name   string
		chunks int
		end    peridotstream.End
		want   []peridotusage.Figure
	}{
		{"whole", 4, peridotstream.End{PromptTokens: 9, OutputTokens: 3}, []peridotusage.Figure{{Requests: 1, PromptTokens: 9, OutputTokens: 3}}},
		{"broken off", 2, peridotstream.End{Err: broken}, []peridotusage.Figure{{Requests: 1, OutputTokens: 2}}},
		{"nothing came", 0, peridotstream.End{Err: broken}, nil},
	}
	for _, c := range tables {
		s := newSite(t)
		a := s.start("agent-1", s.address).agent
		var timeline peridotstream.Timeline
		for range c.chunks {
			if err := timeline.Append("token"); err != nil {
				t.Fatal(err)
			}
		}
		timeline.Close(c.end)
		a.countUse(peridotwire.Run{Account: "port-royal", Model: "verdict", UsageWindow: 30_000_000}, &timeline)
		var got []peridotusage.Figure
		for _, part := range a.Usage().Parts("kin-a", 1, 10) {
			got = append(got, part.Figure)
		}
		if len(got) != len(c.want) || len(got) == 1 && got[0] != c.want[0] {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestUncollectedFiguresAreCounted stops an agent that no entry instance is
// connected to: it must not wait, and it must say so only if figures are left.
func TestUncollectedFiguresAreCounted(t *testing.T) {
	for _, requests := range []int64{0, 1} {
		s := newSite(t)
		a := s.start("agent-1", s.address).agent
		metrics, closer := peridotmetric.New("agent")
		a.metrics = metrics
		if requests > 0 {
			a.usage.Add("kin-a", peridotusage.Cell{Agent: a.process(), Account: "port-royal"}, peridotusage.Figure{Requests: requests})
		}
		a.awaitCollected(t.Context())
		if err := closer.Close(); err != nil { // It writes the counters.
			t.Fatal(err)
		}
		answer := httptest.NewRecorder()
		a.metrics.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		if got, want := strings.Contains(answer.Body.String(), "usage_not_collected"), requests > 0; got != want {
			t.Errorf("%d requests not collected: got the counter %v, want %v", requests, got, want)
		}
	}
}
