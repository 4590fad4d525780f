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

// TestAnswerIntegrity makes an agent send the chunks of an answer repeated,
// incomplete, out of order or altered.
func TestAnswerIntegrity(t *testing.T) {
	tests := []struct {
		name string
		send func(p *peridotwire.Peer, id string)
		want string
	}{
		{"in order", func(p *peridotwire.Peer, id string) { sendChunks(p, id, 0, "a", "b"); sendChunks(p, id, 2, "c") }, "abc"},
		{"repeated", func(p *peridotwire.Peer, id string) {
			sendChunks(p, id, 0, "a", "b")
			sendChunks(p, id, 0, "a", "b")
			sendChunks(p, id, 1, "b", "c")
		}, "abc"},
		{"chunk of another request in between", func(p *peridotwire.Peer, id string) {
			sendChunks(p, id, 0, "a", "b")
			sendChunks(p, "a~other", 2, "x")
			sendChunks(p, id, 2, "c")
		}, "abc"},
		{"last chunk missing", func(p *peridotwire.Peer, id string) { sendChunks(p, id, 0, "a", "b") }, ""},
		{"chunk missing in the middle", func(p *peridotwire.Peer, id string) { sendChunks(p, id, 0, "a"); sendChunks(p, id, 2, "c") }, ""},
		{"out of order", func(p *peridotwire.Peer, id string) { sendChunks(p, id, 1, "b", "c"); sendChunks(p, id, 0, "a") }, ""},
		{"chunk altered", func(p *peridotwire.Peer, id string) { sendChunks(p, id, 0, "a", "x", "c") }, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			agent := &scriptedAgent{instance: "a", service: testService, onRun: func(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
				test.send(p, r.RequestID)
				return completeResult("a", "b", "c"), nil
			}}
			e, key := entryWith(t, agent)
			w := ask(e, key, pushPath, "42")
			if test.want != "" && (w.Code != http.StatusOK || w.Body.String() != test.want) {
				t.Errorf("got status %d and %q, want 200 and %q", w.Code, w.Body, test.want)
			}
			if test.want == "" && (w.Code != http.StatusBadGateway || !strings.Contains(w.Body.String(), string(peridotverdict.ShortAnswer))) {
				t.Errorf("got status %d and %q, want 502 and %s", w.Code, w.Body, peridotverdict.ShortAnswer)
			}
		})
	}
}

// TestCrossedAnswers interleaves the chunks of many callers' answers on one
// connection. Callers of two client accounts use the same idempotency key.
func TestCrossedAnswers(t *testing.T) {
	const callers = 8
	for seed := range peridotseed.Count(t, peridotseed.DefaultCount) {
		m := &chunkMixer{random: rand.New(rand.NewPCG(seed, 0)), wantRuns: callers, sentAll: make(chan struct{})}
		agent := &scriptedAgent{instance: "a", service: testService, onRun: m.run}
		e, key := entryWith(t, agent)
		keys := []string{key, addAccount(t, e, "capela")}
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				body := fmt.Sprintf("caller %d of seed %d", i, seed)
				w := ask(e, keys[i%2], pushPath, body)
				if want := strings.Join(answerChunks(body), ""); w.Body.String() != want {
					t.Errorf("seed %d: caller %d: got %d %q, want %q", seed, i, w.Code, w.Body, want)
				}
			})
		}
		wg.Wait()
	}
}

// answerChunks returns the chunks of the answer to a request body.
func answerChunks(body string) []string {
	return slices.Repeat([]string{"<" + body, ">"}, 5)
}

// chunkMixer waits until it has received all requests and then sends their
// chunks in random order across requests.
type chunkMixer struct {
	random   *rand.Rand
	wantRuns int
	sentAll  chan struct{}

	mu   sync.Mutex
	runs []peridotwire.Run
}

func (m *chunkMixer) run(p *peridotwire.Peer, r peridotwire.Run) (any, error) {
	m.mu.Lock()
	m.runs = append(m.runs, r)
	allReceived := len(m.runs) == m.wantRuns
	m.mu.Unlock()
	if allReceived {
		m.sendMixed(p)
		close(m.sentAll)
	}
	<-m.sentAll
	return completeResult(answerChunks(r.Body)...), nil
}

func (m *chunkMixer) sendMixed(p *peridotwire.Peer) {
	sent := make([]int, len(m.runs))
	for left := len(m.runs); left > 0; {
		i := m.random.IntN(len(m.runs))
		chunks := answerChunks(m.runs[i].Body)
		if sent[i] == len(chunks) {
			continue
		}
		// Some chunks are sent twice.
		first := max(0, sent[i]-m.random.IntN(2))
		sendChunks(p, m.runs[i].RequestID, first, chunks[first:sent[i]+1]...)
		sent[i]++
		if sent[i] == len(chunks) {
			left--
		}
	}
}

// TestLateChunk delivers chunks of an ended try while the next try writes to the
// same answer.
func TestLateChunk(t *testing.T) {
	var timeline peridotstream.Timeline
	first := newExchange(peridotwire.Run{RequestID: "a~1"}, 0, &timeline)
	if got, want := first.abandon(), 0; got != want {
		t.Errorf("chunks of the first try: got %d, want %d", got, want)
	}
	second := newExchange(peridotwire.Run{RequestID: "b~2"}, 0, &timeline)
	second.receiveChunks(peridotwire.Chunks{Data: []string{"own "}})
	first.receiveChunks(peridotwire.Chunks{Data: []string{"late "}})
	second.receiveChunks(peridotwire.Chunks{First: 1, Data: []string{"answer"}})
	timeline.Close(peridotstream.End{})
	chunks, end, err := timeline.Next(t.Context(), 0)
	if got, want := strings.Join(chunks, ""), "own answer"; got != want || err != nil {
		t.Errorf("answer: got %q, %v, want %q", got, err, want)
	}
	if err := second.verifyComplete(*end); err != nil {
		t.Errorf("verify: got %v, want nil", err)
	}
}
