package peridotstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotstack/peridotbackend"
	"peridotstack/peridotwire"
)

// EngineOptions configures a stand-in engine.
type EngineOptions struct {
	Model   string
	Version string
	Role    string
	// PrefillTokensPerSecond is the prefill rate that all requests share. With 0,
	// prefill takes no time.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two tokens of one request.
	TokenInterval time.Duration
	// OrderTime is the time that an order takes.
	OrderTime time.Duration
	// CheckFencingTokens makes the engine refuse orders whose fencing token is
	// lower than that of an earlier order.
	CheckFencingTokens bool
}

// Engine is the stand-in for a model engine. Make one with NewEngine. Its methods
// may be called from several goroutines.
type Engine struct {
	options EngineOptions

	mu             sync.Mutex
	state          peridotbackend.State
	fencingToken   int64
	orders         []peridotwire.Order
	calls          []Call
	canceled       []string
	running        map[string]context.CancelFunc
	prefillFreeAt  time.Time
	cutAfterTokens int
	streamHold     streamHold

	orderEvents        []OrderEvent
	orderAnswersToLose int
	ordersToCrash      int
}

// NewEngine returns an engine that serves the model and version of o.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		options: o,
		state:   peridotbackend.State{Model: o.Model, Version: o.Version, Role: o.Role, FreeBlocks: 1000},
		running: make(map[string]context.CancelFunc),
	}
}

// Orders returns the orders that took effect so far, oldest first.
func (e *Engine) Orders() []peridotwire.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Calls returns the model requests received so far.
func (e *Engine) Calls() []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// Canceled returns the IDs of the requests for which a cancellation arrived.
func (e *Engine) Canceled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.canceled)
}

// CutStreamsAfter makes each stream that starts from now on break off after n
// tokens. With 0, later streams run to their ends.
func (e *Engine) CutStreamsAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAfterTokens = n
}

// Handler returns the handler of the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /state", e.serveState)
	return mux
}

// completion holds the fields of a model request that the stand-in uses.
type completion struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

const (
	defaultMaxTokens = 16
	bytesPerToken    = 4
)

// promptTokens estimates the number of prompt tokens from the prompt's length.
func (c completion) promptTokens() int {
	return (len(c.Prompt)+len(c.Messages))/bytesPerToken + 1
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	id := r.Header.Get("X-Request-Id")
	ctx, cutAfterTokens, cancel := e.startRequest(r, id, string(body))
	defer cancel()
	defer e.endRequest(id)
	if !sleep(ctx, e.reservePrefill(c.promptTokens())) {
		panic(http.ErrAbortHandler)
	}
	if c.Stream {
		e.writeStream(ctx, w, c, id, cutAfterTokens)
		return
	}
	e.writeCompletion(ctx, w, c, id)
}

func (e *Engine) startRequest(r *http.Request, id, body string) (context.Context, int, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, newCall(r, body))
	e.running[id] = cancel
	e.state.Running++
	return ctx, e.cutAfterTokens, cancel
}

func (e *Engine) endRequest(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.state.Running--
}

// reservePrefill queues a prompt after the earlier ones and returns the time
// until its prefill ends.
func (e *Engine) reservePrefill(tokens int) time.Duration {
	if e.options.PrefillTokensPerSecond == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.prefillFreeAt.Before(now) {
		e.prefillFreeAt = now
	}
	seconds := float64(tokens) / e.options.PrefillTokensPerSecond
	e.prefillFreeAt = e.prefillFreeAt.Add(time.Duration(seconds * float64(time.Second)))
	return e.prefillFreeAt.Sub(now)
}

// Token returns the text of token n, counted from 0, of a request's answer. It
// holds the request ID, so that a test can check which request was answered.
func Token(requestID string, n int) string {
	return fmt.Sprintf("%s/%d ", requestID, n)
}

func (e *Engine) writeStream(ctx context.Context, w http.ResponseWriter, c completion, id string, cutAfterTokens int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range c.MaxTokens {
		if cutAfterTokens > 0 && i == cutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		if !e.waitHeld(ctx, id, i) || !sleep(ctx, e.options.TokenInterval) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":null}]}\n\n", id, c.Model, Token(id, i))
		w.(http.Flusher).Flush()
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\n", id, c.Model, c.promptTokens(), c.MaxTokens)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) writeCompletion(ctx context.Context, w http.ResponseWriter, c completion, id string) {
	var text strings.Builder
	for i := range c.MaxTokens {
		if !sleep(ctx, e.options.TokenInterval) {
			panic(http.ErrAbortHandler)
		}
		text.WriteString(Token(id, i))
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q,\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n", id, c.Model, text.String(), c.promptTokens(), c.MaxTokens)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct{ RequestID string }
	if !readBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = append(e.canceled, body.RequestID)
	if cancel, ok := e.running[body.RequestID]; ok {
		cancel()
	}
	writeAnswer(w, struct{}{}, nil)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeAnswer(w, e.state, nil)
}

// sleep waits for d or until ctx is done. It reports whether it waited for d.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
