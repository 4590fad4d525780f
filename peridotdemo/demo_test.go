package peridotdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"peridotstack/peridotintent"
	"peridotstack/peridotstandin"
)

// startDemo runs a demonstration until the test ends.
func startDemo(t *testing.T) *Demo {
	t.Helper()
	var addresses []string
	for range 4 {
		address, err := peridotstandin.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, address)
	}
	d, err := New(io.Discard, addresses[:2], addresses[2:])
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- d.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
	})
	return d
}

// post sends a request and returns the status and the body. It returns status 0
// and the text of the error if there is no answer.
func post(t *testing.T, url, key, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Idempotency-Key", "push-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(answer)
}

// postUntil repeats a request until the answer has the wanted status, and returns
// the body.
func postUntil(t *testing.T, want int, url, key, body string) string {
	t.Helper()
	for range 400 {
		got, answer := post(t, url, key, body)
		if got == want {
			return answer
		}
		time.Sleep(25 * time.Millisecond)
	}
	got, answer := post(t, url, key, body)
	t.Fatalf("%s: got status %d (%s), want %d", url, got, answer, want)
	return ""
}

func TestWholePath(t *testing.T) {
	d := startDemo(t)
	plansURL := "http://" + d.OperatorAddresses[0] + "/operator/plans"
	completionsURL := "http://" + d.CallerAddresses[1] + "/v1/completions"
	request := `{"model":"hino-llm","prompt":"Next hymn?","max_tokens":3,"stream":true}`
	intent := peridotintent.Intent{CostCeilingPerHour: 20, Serve: []peridotintent.Serve{
		{Model: Model, Version: "v1", Accounts: []string{Account}, Domains: []string{"recife-a"}, Replicas: 1},
	}}
	body, err := json.Marshal(intent)
	if err != nil {
		t.Fatal(err)
	}

	answer := postUntil(t, http.StatusOK, plansURL, d.Keys.Operator, string(body))
	var plan peridotintent.Plan
	if err := json.Unmarshal([]byte(answer), &plan); err != nil {
		t.Fatal(err)
	}
	if got, refused := post(t, completionsURL, d.Keys.Caller, request); got != http.StatusNotFound {
		t.Errorf("before the plan is confirmed: got status %d (%s), want %d", got, refused, http.StatusNotFound)
	}
	postUntil(t, http.StatusOK, plansURL+"/"+plan.ID+"/confirm", d.Keys.Operator, "")
	stream := postUntil(t, http.StatusOK, completionsURL, d.Keys.Caller, request)
	if got, want := bytes.Count([]byte(stream), []byte("/2 ")), 1; got != want {
		t.Errorf("last token: got it %d times in %q, want %d", got, stream, want)
	}
	if !strings.HasSuffix(stream, "data: [DONE]\n\n") {
		t.Errorf("stream: got %q, want it to end with [DONE]", stream)
	}
	pushed := postUntil(t, http.StatusOK, "http://"+d.CallerAddresses[0]+"/services/quadro-api/push", d.Keys.Caller, `{"Hymn":42}`)
	if want := `"Number":1`; !strings.Contains(pushed, want) {
		t.Errorf("push: got %q, want it to contain %q", pushed, want)
	}
}
