package peridotentry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"

	"peridotstack/peridotseed"
)

// TestWholeAnswer lets an agent send the chunks of one answer badly.
func TestWholeAnswer(t *testing.T) {
	tests := []struct {
		name string
		send func(p *peridotwire.Peer, id string)
		want string
	}{
		{"in order", func(p *peridotwire.Peer, id string) { send(p, id, 0, "a", "b"); send(p, id, 2, "c") }, "abc"},
		{"twice", func(p *peridotwire.Peer, id string) {
			send(p, id, 0, "a", "b")
			send(p, id, 0, "a", "b")
			send(p, id, 1, "b", "c")
		}, "abc"},
		{"of another request between", func(p *peridotwire.Peer, id string) {
			send(p, id, 0, "a", "b")
			send(p, "a~other", 2, "x")
			send(p, id, 2, "c")
		}, "abc"},
		{"short", func(p *peridotwire.Peer, id string) { send(p, id, 0, "a", "b") }, ""},
		{"a gap", func(p *peridotwire.Peer, id string) { send(p, id, 0, "a"); send(p, id, 2, "c") }, ""},
		{"too late", func(p *peridotwire.Peer, id string) { send(p, id, 1, "b", "c"); send(p, id, 0, "a") }, ""},
		{"another's bytes", func(p *peridotwire.Peer, id string) { send(p, id, 0, "a", "x", "c") }, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			agent := &scripted{instance: "a", service: testService, onRun: func(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
				test.send(p, r.RequestID)
				return answered("a", "b", "c"), nil
			}}
			e, key := entryWith(t, agent)
			w := ask(e, key, push, "42")
			if test.want != "" && (w.Code != http.StatusOK || w.Body.String() != test.want) {
				t.Errorf("got status %d and %q, want 200 and %q", w.Code, w.Body, test.want)
			}
			if test.want == "" && (w.Code != http.StatusBadGateway || !strings.Contains(w.Body.String(), string(peridotverdict.ShortAnswer))) {
				t.Errorf("got status %d and %q, want 502 and %s", w.Code, w.Body, peridotverdict.ShortAnswer)
			}
		})
	}
}

// TestCrossedAnswers mixes the chunks of many callers' answers on one
// connection. Callers of two client accounts use the same idempotency key.
func TestCrossedAnswers(t *testing.T) {
	const callers = 8
	for seed := range peridotseed.Count(t, peridotseed.Usual) {
		m := &mixer{random: rand.New(rand.NewPCG(seed, 0)), want: callers, mixed: make(chan struct{})}
		agent := &scripted{instance: "a", service: testService, onRun: m.run}
		e, key := entryWith(t, agent)
		keys := []string{key, withSecondAccount(t, e, "capela")}
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				body := fmt.Sprintf("caller %d of seed %d", i, seed)
				w := ask(e, keys[i%2], push, body)
				if want := strings.Join(pieces(body), ""); w.Body.String() != want {
					t.Errorf("seed %d: caller %d: got %d %q, want %q", seed, i, w.Code, w.Body, want)
				}
			})
		}
		wg.Wait()
	}
}

// pieces returns the chunks that answer a body.
func pieces(body string) []string {
	return slices.Repeat([]string{"<" + body, ">"}, 5)
}

// mixer waits until it has all requests and sends their chunks in a random mix.
type mixer struct {
	random *rand.Rand
	want   int
	mixed  chan struct{}

	mu   sync.Mutex
	runs []peridotwire.Run
}

func (m *mixer) run(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
	m.mu.Lock()
	m.runs = append(m.runs, r)
	all := len(m.runs) == m.want
	m.mu.Unlock()
	if all {
		m.mix(p)
		close(m.mixed)
	}
	<-m.mixed
	return answered(pieces(r.Body)...), nil
}

func (m *mixer) mix(p *peridotwire.Peer) {
	sent := make([]int, len(m.runs))
	for left := len(m.runs); left > 0; {
		i := m.random.IntN(len(m.runs))
		chunks := pieces(m.runs[i].Body)
		if sent[i] == len(chunks) {
			continue
		}
		// Some chunks come a second time.
		first := max(0, sent[i]-m.random.IntN(2))
		send(p, m.runs[i].RequestID, first, chunks[first:sent[i]+1]...)
		sent[i]++
		if sent[i] == len(chunks) {
			left--
		}
	}
}

// TestLateChunk delivers chunks of a try that is over while the next try writes
// to the same answer.
func TestLateChunk(t *testing.T) {
	var timeline peridotstream.Timeline
	first := newExchange(peridotwire.Run{RequestID: "a~1"}, 0, &timeline)
	if got, want := first.abandon(), 0; got != want {
		t.Errorf("chunks of the first try: got %d, want %d", got, want)
	}
	second := newExchange(peridotwire.Run{RequestID: "b~2"}, 0, &timeline)
	second.take(peridotwire.Chunks{Data: []string{"own "}})
	first.take(peridotwire.Chunks{Data: []string{"late "}})
	second.take(peridotwire.Chunks{First: 1, Data: []string{"answer"}})
	timeline.Close(peridotstream.End{})
	chunks, end, err := timeline.Next(t.Context(), 0)
	if got, want := strings.Join(chunks, ""), "own answer"; got != want || err != nil {
		t.Errorf("answer: got %q, %v, want %q", got, err, want)
	}
	if err := second.verify(*end); err != nil {
		t.Errorf("verify: got %v, want nil", err)
	}
}
