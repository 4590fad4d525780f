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

// linkCounts returns the links of each entry instance, and how many each agent has.
func linkCounts(entries, agents []string) (map[string][]string, map[string]int) {
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
	// The largest number of links is bounded by a multiple of the mean.
	const spread = 3
	tests := []struct{ entries, agents int }{{3, 9}, {60, 120}, {400, 700}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%dx%d", tt.entries, tt.agents), func(t *testing.T) {
			entries, agents := names("entry", tt.entries), names("agent", tt.agents)
			byEntry, byAgent := linkCounts(entries, agents)
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
				if got, want := byAgent[a], spread*total/tt.agents; got > want {
					t.Errorf("links of %s: got %d, want at most %d", a, got, want)
				}
			}
			for e, list := range byEntry {
				if got, want := len(list), spread*total/tt.entries; got > want {
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
			before, counts := linkCounts(entries, agents)
			gone := agents[0]
			after, newCounts := linkCounts(entries, append(slices.Clone(agents[1:]), "agent-new"))
			moved := 0
			for _, e := range entries {
				for _, a := range after[e] {
					if !slices.Contains(before[e], a) {
						moved++
					}
				}
			}
			// The new agent's own links, and one substitute for each lost one.
			if want := newCounts["agent-new"] + counts[gone]; moved > want {
				t.Errorf("new links after one replacement: got %d, want at most %d", moved, want)
			}
		})
	}
}

func TestReaders(t *testing.T) {
	for _, size := range []int{1, 3, 92} {
		live := names("entry", size)
		count := 0
		for _, name := range live {
			if Reader(name, live, 2) {
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
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	list := func(seconds float64, l ...Listed) func(*View) {
		return func(v *View) { v.List(at(seconds), l) }
	}
	hear := func(seconds float64, life string, leaving bool) func(*View) {
		return func(v *View) { v.Hear(Answer{Instance: "a", Incarnation: life, Leaving: leaving, Sent: at(seconds)}) }
	}
	present, leaving := Listed{Instance: "a"}, Listed{Instance: "a", Leaving: true}
	tests := []struct {
		name   string
		events []func(*View)
		now    float64
		want   State
	}{
		{"never heard of", nil, 0, Unknown},
		{"listed but silent", []func(*View){list(0, present)}, 1, Silent},
		{"listed and answering", []func(*View){list(0, present), hear(1, "1", false)}, 2, Alive},
		{"answering before it is listed", []func(*View){hear(1, "1", false)}, 2, Alive},
		{"silent for too long", []func(*View){list(0, present), hear(1, "1", false)}, 4.1, Silent},
		{"marked in the list", []func(*View){hear(0, "1", false), list(1, leaving)}, 1, Leaving},
		{"the mark is lost in a lagging list", []func(*View){hear(2, "1", false), list(1, leaving), list(2, present)}, 2, Leaving},
		{"says so itself", []func(*View){list(0, present), hear(1, "1", true)}, 1, Leaving},
		{"an older answer comes late", []func(*View){list(0, present), hear(2, "1", true), hear(1, "0", false)}, 2, Leaving},
		{"another life after it left", []func(*View){list(0, present), hear(1, "1", true), hear(2, "2", false)}, 2, Alive},
		{"missing from one list, but answering", []func(*View){list(0, present), hear(1, "1", false), list(2)}, 2, Alive},
		{"missing for long, but answering", []func(*View){list(0, present), list(10.5), hear(11, "1", false), list(11)}, 11, Leaving},
		{"missing for long and silent", []func(*View){list(0, present), hear(1, "1", false), list(11)}, 11, Unknown},
		{"silent, and no list for long", []func(*View){list(0, present), hear(1, "1", false)}, 60, Silent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v View
			for _, event := range tt.events {
				event(&v)
			}
			if got := v.State("a", at(tt.now)); got != tt.want {
				t.Errorf("State: got %d, want %d", got, tt.want)
			}
			if got, want := v.Usable("a", at(tt.now)), tt.want == Alive; got != want {
				t.Errorf("Usable: got %t, want %t", got, want)
			}
		})
	}
}

func ExampleView() {
	var v View
	now := time.Unix(1000, 0)
	v.List(now, []Listed{{Instance: "agent-1"}})
	v.Hear(Answer{Instance: "agent-1", Sent: now})
	fmt.Println(v.Usable("agent-1", now))
	v.Hear(Answer{Instance: "agent-1", Leaving: true, Sent: now.Add(time.Second)})
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

// BenchmarkSpread reports how even the links of one model are; its time means
// nothing.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{3, 9}, {120, 70}, {1200, 700}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			for b.Loop() {
				byEntry, byAgent := linkCounts(names("entry", size.entries), names("agent", size.agents))
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
