package peridotbackend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"peridotstack/peridotstream"
	"peridotstack/peridotverdict"
	"peridotstack/peridotwire"
)

const (
	contentTypeEventStream = "text/event-stream"
	contentTypeJSON        = "application/json"
	dataPrefix             = "data: "
	doneData               = "[DONE]"
	// maxEventBytes limits one line of an event stream.
	maxEventBytes = 1 << 20
)

// Engine is the adapter to a model engine with an OpenAI-compatible completions
// API. Create one with NewEngine. It is safe for concurrent use.
type Engine struct {
	address string
	client  *http.Client
}

// NewEngine returns the adapter to the engine at address, an IP address and port.
func NewEngine(address string) *Engine {
	return &Engine{address: address, client: newClient()}
}

func (e *Engine) backend() {}

// usageBody is the part of an answer or event that contains the token counts.
type usageBody struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// run sends r to the engine, appends the chunks of the answer to t and returns its
// end. It does not close t.
func (e *Engine) run(ctx context.Context, r Request, t *peridotstream.Timeline) peridotstream.End {
	request, err := newRequest(ctx, http.MethodPost, "http://"+e.address+r.Path, r.Body)
	if err != nil {
		return peridotstream.End{Err: peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "the request cannot be sent", peridotverdict.Cause(err))}
	}
	request.Header.Set(headerContentType, contentTypeJSON)
	request.Header.Set(headerRequestID, r.ID)
	request.Header.Set(headerPriority, strconv.Itoa(r.Priority))
	response, err := e.client.Do(request)
	if err != nil {
		return peridotstream.End{Err: newClientError(err)}
	}
	defer response.Body.Close()
	if !strings.HasPrefix(response.Header.Get(headerContentType), contentTypeEventStream) {
		end := readBody(ctx, e.address, response, t)
		setUsageFromBody(&end, t)
		return end
	}
	return readEvents(response, t)
}

// setUsageFromBody sets the token counts of end from an answer that was not
// streamed, which is the only chunk of t.
func setUsageFromBody(end *peridotstream.End, t *peridotstream.Timeline) {
	chunks, _, err := t.Next(context.Background(), 0)
	if err != nil || len(chunks) == 0 {
		return
	}
	setUsage(end, []byte(chunks[0]))
}

// setUsage sets the token counts of end from data, which is JSON. It leaves end
// unchanged if data contains none.
func setUsage(end *peridotstream.End, data []byte) {
	var u usageBody
	if json.Unmarshal(data, &u) != nil || u.Usage == nil {
		return
	}
	end.PromptTokens = u.Usage.PromptTokens
	end.OutputTokens = u.Usage.CompletionTokens
}

// readEvents appends server-sent events to t until the event [DONE], which ends a
// complete answer. Without that event, the end has an error with the code
// ShortAnswer.
func readEvents(response *http.Response, t *peridotstream.Timeline) peridotstream.End {
	end := peridotstream.End{Status: response.StatusCode, ContentType: contentTypeEventStream}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneData {
			return end
		}
		if bytes.Contains(data, []byte(`"usage"`)) {
			setUsage(&end, data)
		}
		if err := t.Append(string(data)); err != nil {
			end.Err = peridotverdict.As(err)
			return end
		}
	}
	end.Err = peridotverdict.New(peridotverdict.ShortAnswer, peridotverdict.Ran, "the answer broke off", peridotverdict.Cause(lines.Err()))
	return end
}

// Cancel asks the engine to cancel a request that no reader waits for.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	return e.post(ctx, "/v1/cancel", cancelBody{RequestID: requestID}, nil)
}

type cancelBody struct {
	RequestID string
}

// State is the state that an engine reports: what it runs and its load.
type State struct {
	Model    string
	Version  string
	Role     string
	Adapters []string
	// Changing is set while the engine applies an order.
	Changing      bool
	Running       int
	Waiting       int
	PrefillTokens int
	DecodeTokens  int
	FreeBlocks    int
	// LastOrder is the ID of the last order that took effect.
	LastOrder string
}

// State returns the current state of the engine.
func (e *Engine) State(ctx context.Context) (State, error) {
	var state State
	err := e.post(ctx, "/state", struct{}{}, &state)
	return state, err
}

// Order sends an order to the engine and returns nil once the order has taken
// effect. If the engine refuses the fencing token as stale, the error has the code
// StaleToken and the verdict NotRun.
func (e *Engine) Order(ctx context.Context, o peridotwire.Order) error {
	return e.post(ctx, "/orders", o, nil)
}

// post sends body as JSON to path and decodes the response into answer, unless
// answer is nil.
func (e *Engine) post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode "+path)
	}
	request, err := newRequest(ctx, http.MethodPost, "http://"+e.address+path, string(data))
	if err != nil {
		return errors.Wrap(err, "make request "+path)
	}
	request.Header.Set(headerContentType, contentTypeJSON)
	response, err := e.client.Do(request)
	if err != nil {
		return newClientError(err)
	}
	defer response.Body.Close()
	return decodeAnswer(response, answer)
}

// decodeAnswer decodes the body of a response with status 200 into answer, unless
// answer is nil. Other statuses become errors.
func decodeAnswer(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return newClientError(err)
	}
	switch {
	case response.StatusCode == http.StatusConflict:
		return peridotverdict.New(peridotverdict.StaleToken, peridotverdict.NotRun, "the engine refused the fencing token")
	case response.StatusCode != http.StatusOK:
		return peridotverdict.New(peridotverdict.EngineFailed, peridotverdict.MayHaveRun, "the engine answered "+response.Status)
	case answer == nil:
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, answer), "decode the engine's answer")
}
