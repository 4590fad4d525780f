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

// EngineOptions say how a stand-in engine behaves.
type EngineOptions struct {
	Model   string
	Version string
	Role    string
	// PrefillTokensPerSecond is shared by all requests; 0 means no time at all.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two tokens of one request.
	TokenInterval time.Duration
	// OrderTime is how long an order takes the engine away.
	OrderTime time.Duration
	// ChecksTokens makes the engine refuse orders with an old fencing token.
	ChecksTokens bool
}

// Engine is the stand-in for a model engine. Make one with NewEngine.
type Engine struct {
	options EngineOptions

	mu        sync.Mutex
	state     peridotbackend.State
	token     int64
	orders    []peridotwire.Order
	calls     []Call
	canceled  []string
	running   map[string]context.CancelFunc
	prefillAt time.Time
	cutAfter  int
	hold      hold

	events      []OrderEvent
	loseOrders  int
	crashOrders int
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		options: o,
		state:   peridotbackend.State{Model: o.Model, Version: o.Version, Role: o.Role, FreeBlocks: 1000},
		running: make(map[string]context.CancelFunc),
	}
}

// Orders returns the orders that took effect, in their order.
func (e *Engine) Orders() []peridotwire.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Calls returns the model requests so far.
func (e *Engine) Calls() []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// Canceled returns the identifiers of the requests that were canceled.
func (e *Engine) Canceled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.canceled)
}

// CutAfter makes every later stream break off after n tokens; 0 ends that.
func (e *Engine) CutAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAfter = n
}

// Handler serves the engine's interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("POST /state", e.serveState)
	return mux
}

// completion is the part of a model request that the stand-in looks at.
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

func (c completion) promptTokens() int {
	return (len(c.Prompt)+len(c.Messages))/bytesPerToken + 1
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
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
	ctx, cutAfter, cancel := e.begin(r, id, string(body))
	defer cancel()
	defer e.finish(id)
	if !sleep(ctx, e.prefillWait(c.promptTokens())) {
		panic(http.ErrAbortHandler)
	}
	if c.Stream {
		e.stream(ctx, w, c, id, cutAfter)
		return
	}
	e.whole(ctx, w, c, id)
}

func (e *Engine) begin(r *http.Request, id, body string) (context.Context, int, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, newCall(r, body))
	e.running[id] = cancel
	e.state.Running++
	return ctx, e.cutAfter, cancel
}

func (e *Engine) finish(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	e.state.Running--
}

// prefillWait queues a prompt behind those before it.
func (e *Engine) prefillWait(tokens int) time.Duration {
	if e.options.PrefillTokensPerSecond == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.prefillAt.Before(now) {
		e.prefillAt = now
	}
	seconds := float64(tokens) / e.options.PrefillTokensPerSecond
	e.prefillAt = e.prefillAt.Add(time.Duration(seconds * float64(time.Second)))
	return e.prefillAt.Sub(now)
}

// Token returns the text of the n-th token of a request, so that a test can
// tell whose answer it got.
func Token(requestID string, n int) string {
	return fmt.Sprintf("%s/%d ", requestID, n)
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, c completion, id string, cutAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range c.MaxTokens {
		if cutAfter > 0 && i == cutAfter {
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

func (e *Engine) whole(ctx context.Context, w http.ResponseWriter, c completion, id string) {
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

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
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

// sleep waits for d and reports whether ctx is still alive.
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
