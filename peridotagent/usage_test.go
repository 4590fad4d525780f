package peridotagent

import (
	"testing"

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
