package peridotmember

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func names(kind string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%05d", kind, i)
	}
	return list
}

// linksOf returns the agents that each entry instance is linked to, and the
// number of links of each agent.
func linksOf(entries, agents []string) (map[string][]string, map[string]int) {
	byEntry := make(map[string][]string)
	byAgent := make(map[string]int)
	for _, e := range entries {
		byEntry[e] = DefaultLinks.Agents(e, entries, agents)
		for _, a := range byEntry[e] {
			byAgent[a]++
		}
	}
	return byEntry, byAgent
}

func TestLinksAreEven(t *testing.T) {
	// The largest number of links is at most this multiple of the mean.
	const maxToMeanLinks = 3
	tests := []struct{ entries, agents int }{{3, 9}, {60, 120}, {400, 700}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%dx%d", tt.entries, tt.agents), func(t *testing.T) {
			entries, agents := names("entry", tt.entries), names("agent", tt.agents)
			byEntry, byAgent := linksOf(entries, agents)
			total := 0
			for e, list := range byEntry {
				total += len(list)
				if got, want := len(list), min(DefaultLinks.PerEntry, tt.agents); got < want {
					t.Errorf("links of %s: got %d, want at least %d", e, got, want)
				}
			}
			for _, a := range agents {
				if got, want := byAgent[a], min(DefaultLinks.PerAgent, tt.entries); got < want {
					t.Errorf("links of %s: got %d, want at least %d", a, got, want)
				}
				if got, want := byAgent[a], maxToMeanLinks*total/tt.agents; got > want {
					t.Errorf("links of %s: got %d, want at most %d", a, got, want)
				}
			}
			for e, list := range byEntry {
				if got, want := len(list), maxToMeanLinks*total/tt.entries; got > want {
					t.Errorf("links of %s: got %d, want at most %d", e, got, want)
				}
			}
		})
	}
}

func TestReplacementMovesFewLinks(t *testing.T) {
	tests := []struct{ entries, agents int }{{3, 9}, {60, 120}, {400, 700}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%dx%d", tt.entries, tt.agents), func(t *testing.T) {
			entries, agents := names("entry", tt.entries), names("agent", tt.agents)
			before, counts := linksOf(entries, agents)
			removed := agents[0]
			after, newCounts := linksOf(entries, append(slices.Clone(agents[1:]), "agent-new"))
			moved := 0
			for _, e := range entries {
				for _, a := range after[e] {
					if !slices.Contains(before[e], a) {
						moved++
					}
				}
			}
			// The links of the new agent, and one replacement for each link of the
			// removed one.
			if want := newCounts["agent-new"] + counts[removed]; moved > want {
				t.Errorf("moved links after one replacement: got %d, want at most %d", moved, want)
			}
		})
	}
}

func TestReaders(t *testing.T) {
	for _, size := range []int{1, 3, 92} {
		live := names("entry", size)
		count := 0
		for _, name := range live {
			if IsReader(name, live, 2) {
				count++
			}
		}
		if want := min(2, size); count != want {
			t.Errorf("readers among %d: got %d, want %d", size, count, want)
		}
	}
}

func TestView(t *testing.T) {
	start := time.Unix(1000, 0)
	timeAt := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	list := func(seconds float64, l ...ListedInstance) func(*View) {
		return func(v *View) { v.RecordList(timeAt(seconds), l) }
	}
	answer := func(seconds float64, incarnation string, leaving bool) func(*View) {
		return func(v *View) {
			v.RecordAnswer(Answer{Instance: "a", Incarnation: incarnation, Leaving: leaving, Sent: timeAt(seconds)})
		}
	}
	present, leaving := ListedInstance{Instance: "a"}, ListedInstance{Instance: "a", Leaving: true}
	tests := []struct {
		name   string
		events []func(*View)
		now    float64
		want   State
	}{
		{"neither listed nor answering", nil, 0, Unknown},
		{"listed but silent", []func(*View){list(0, present)}, 1, Silent},
		{"listed and answering", []func(*View){list(0, present), answer(1, "1", false)}, 2, Alive},
		{"answering but not yet listed", []func(*View){answer(1, "1", false)}, 2, Alive},
		{"silent for too long", []func(*View){list(0, present), answer(1, "1", false)}, 4.1, Silent},
		{"marked as leaving in the list", []func(*View){answer(0, "1", false), list(1, leaving)}, 1, Leaving},
		{"mark missing from a later list", []func(*View){answer(2, "1", false), list(1, leaving), list(2, present)}, 2, Leaving},
		{"answers that it is leaving", []func(*View){list(0, present), answer(1, "1", true)}, 1, Leaving},
		{"older answer received late", []func(*View){list(0, present), answer(2, "1", true), answer(1, "0", false)}, 2, Leaving},
		{"restarted after leaving", []func(*View){list(0, present), answer(1, "1", true), answer(2, "2", false)}, 2, Alive},
		{"missing from one list, but answering", []func(*View){list(0, present), answer(1, "1", false), list(2)}, 2, Alive},
		{"missing from the list for too long, but answering", []func(*View){list(0, present), list(10.5), answer(11, "1", false), list(11)}, 11, Leaving},
		{"missing from the list for too long and silent", []func(*View){list(0, present), answer(1, "1", false), list(11)}, 11, Unknown},
		{"silent, no list read since", []func(*View){list(0, present), answer(1, "1", false)}, 60, Silent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v View
			for _, event := range tt.events {
				event(&v)
			}
			if got := v.State("a", timeAt(tt.now)); got != tt.want {
				t.Errorf("State: got %d, want %d", got, tt.want)
			}
			if got, want := v.Usable("a", timeAt(tt.now)), tt.want == Alive; got != want {
				t.Errorf("Usable: got %t, want %t", got, want)
			}
		})
	}
}

func ExampleView() {
	var v View
	now := time.Unix(1000, 0)
	v.RecordList(now, []ListedInstance{{Instance: "agent-1"}})
	v.RecordAnswer(Answer{Instance: "agent-1", Sent: now})
	fmt.Println(v.Usable("agent-1", now))
	v.RecordAnswer(Answer{Instance: "agent-1", Leaving: true, Sent: now.Add(time.Second)})
	fmt.Println(v.Usable("agent-1", now.Add(time.Second)))
	// Output:
	// true
	// false
}

func ExampleLinks() {
	entries := []string{"entry-1", "entry-2"}
	agents := []string{"agent-1", "agent-2", "agent-3"}
	fmt.Println(Links{PerEntry: 1, PerAgent: 1}.Agents("entry-1", entries, agents))
	// Output: [agent-2 agent-3]
}

func BenchmarkLinks(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 9}, {120, 1200}, {1200, 12000}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			entries, agents := names("entry", size.entries), names("agent", size.agents)
			for b.Loop() {
				DefaultLinks.Agents(entries[0], entries, agents)
			}
		})
	}
}

// BenchmarkSpread reports how evenly the links of one model are distributed. Its
// time per operation has no meaning.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 9}, {120, 70}, {1200, 700}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			for b.Loop() {
				byEntry, byAgent := linksOf(names("entry", size.entries), names("agent", size.agents))
				total, mostEntry, mostAgent := 0, 0, 0
				for _, list := range byEntry {
					total += len(list)
					mostEntry = max(mostEntry, len(list))
				}
				for _, n := range byAgent {
					mostAgent = max(mostAgent, n)
				}
				b.ReportMetric(float64(total)/float64(size.entries), "links/entry")
				b.ReportMetric(float64(mostEntry), "max/entry")
				b.ReportMetric(float64(total)/float64(size.agents), "links/agent")
				b.ReportMetric(float64(mostAgent), "max/agent")
			}
		})
	}
}
