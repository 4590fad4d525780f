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
	typeEventStream = "text/event-stream"
	typeJSON        = "application/json"
	dataField       = "data: "
	doneMark        = "[DONE]"
	maxEventBytes   = 1 << 20
)

// Engine is a model engine that speaks the completion interface of common model
// servers. Make one with NewEngine.
type Engine struct {
	address string
	client  *http.Client
}

// NewEngine returns the adapter to the engine at an IP address and port.
func NewEngine(address string) *Engine {
	return &Engine{address: address, client: newClient()}
}

func (e *Engine) backend() {}

// usage is the part of an engine's answer that counts tokens.
type usage struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (e *Engine) run(ctx context.Context, r Request, t *peridotstream.Timeline) peridotstream.End {
	request, err := newRequest(ctx, http.MethodPost, "http://"+e.address+r.Path, r.Body)
	if err != nil {
		return peridotstream.End{Err: peridotverdict.New(peridotverdict.BadRequest, peridotverdict.NotRun, "the request cannot be sent", peridotverdict.Cause(err))}
	}
	request.Header.Set(headerType, typeJSON)
	request.Header.Set(headerRequestID, r.ID)
	request.Header.Set(headerPriority, strconv.Itoa(r.Priority))
	response, err := e.client.Do(request)
	if err != nil {
		return peridotstream.End{Err: failed(err)}
	}
	defer response.Body.Close()
	if !strings.HasPrefix(response.Header.Get(headerType), typeEventStream) {
		end := readWhole(response, t)
		countTokens(&end, t)
		return end
	}
	return readEvents(response, t)
}

// countTokens fills in the token counts of an answer in one piece.
func countTokens(end *peridotstream.End, t *peridotstream.Timeline) {
	chunks, _, err := t.Next(context.Background(), 0)
	if err != nil || len(chunks) == 0 {
		return
	}
	setUsage(end, []byte(chunks[0]))
}

func setUsage(end *peridotstream.End, data []byte) {
	var u usage
	if json.Unmarshal(data, &u) != nil || u.Usage == nil {
		return
	}
	end.PromptTokens = u.Usage.PromptTokens
	end.OutputTokens = u.Usage.CompletionTokens
}

// readEvents reads server-sent events up to the mark that ends a whole answer.
func readEvents(response *http.Response, t *peridotstream.Timeline) peridotstream.End {
	end := peridotstream.End{Status: response.StatusCode, ContentType: typeEventStream}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataField))
		if !ok {
			continue
		}
		if string(data) == doneMark {
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

// Cancel tells the engine that nobody waits for the request any more.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	return e.post(ctx, "/v1/cancel", cancelBody{RequestID: requestID}, nil)
}

type cancelBody struct {
	RequestID string
}

// State is what an engine runs and how busy it is.
type State struct {
	Model         string
	Version       string
	Role          string
	Adapters      []string
	Changing      bool
	Running       int
	Waiting       int
	PrefillTokens int
	DecodeTokens  int
	FreeBlocks    int
	// LastOrder is the ID of the last order that took effect.
	LastOrder string
}

// State asks the engine for its state.
func (e *Engine) State(ctx context.Context) (State, error) {
	var state State
	err := e.post(ctx, "/state", struct{}{}, &state)
	return state, err
}

// Order sends an order and waits until it took effect. A refusal for a stale
// token has the code StaleToken.
func (e *Engine) Order(ctx context.Context, o peridotwire.Order) error {
	return e.post(ctx, "/orders", o, nil)
}

func (e *Engine) post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode "+path)
	}
	request, err := newRequest(ctx, http.MethodPost, "http://"+e.address+path, string(data))
	if err != nil {
		return errors.Wrap(err, "make request "+path)
	}
	request.Header.Set(headerType, typeJSON)
	response, err := e.client.Do(request)
	if err != nil {
		return failed(err)
	}
	defer response.Body.Close()
	return readAnswer(response, answer)
}

func readAnswer(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return failed(err)
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
