package peridotentry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"

	"peridotstack/peridotentry"
	"peridotstack/peridotverdict"
)

// rawRequest returns the bytes of an HTTP request with a key.
func rawRequest(method, path, key, extraHeader, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, key, extraHeader, len(body), body)
}

// TestBadInput sends requests as a faulty or malicious caller might. Each must
// get a refusal with the reason, and the entry instance must continue to serve.
func TestBadInput(t *testing.T) {
	f := startFleet(t, fleetOptions{bodyTimeoutMillis: 300})
	const path = "/v1/completions"
	validBody := `{"model":"m","prompt":"p","max_tokens":1}`
	tests := []struct {
		name   string
		bytes  string
		status int
		code   peridotverdict.Code
		param  string
	}{
		{"malformed JSON", rawRequest("POST", path, f.key, "", "{"), 400, peridotverdict.BadRequest, ""},
		{"wrong type", rawRequest("POST", path, f.key, "", `{"model":1}`), 400, peridotverdict.BadRequest, ""},
		{"negative max_tokens", rawRequest("POST", path, f.key, "", `{"model":"m","max_tokens":-1}`), 400, peridotverdict.BadRequest, "max_tokens"},
		{"unknown model", rawRequest("POST", path, f.key, "", `{"model":"x"}`), 404, peridotverdict.UnknownModel, "model"},
		{"unknown route", rawRequest("POST", "/v2/completions", f.key, "", validBody), 404, peridotverdict.UnknownRoute, ""},
		{"unknown service", rawRequest("POST", "/services/x/push", f.key, "", validBody), 404, peridotverdict.UnknownRoute, ""},
		{"wrong method", rawRequest("PUT", path, f.key, "", validBody), 405, peridotverdict.WrongMethod, ""},
		{"no such key", rawRequest("POST", path, "pk_aa_bb", "", validBody), 401, peridotverdict.BadKey, ""},
		{"time limit with a unit", rawRequest("POST", path, f.key, "X-Timeout-Millis: 3s\r\n", validBody), 400, peridotverdict.BadRequest, "X-Timeout-Millis"},
		{"large body", rawRequest("POST", path, f.key, "", strings.Repeat("x", 3<<20)), 413, peridotverdict.TooLarge, ""},
		{"large header", rawRequest("POST", path, f.key, "X: "+strings.Repeat("x", 3<<20)+"\r\n", validBody), 413, peridotverdict.TooLarge, ""},
		{"not HTTP", "HELO x\r\n\r\n", 400, peridotverdict.BadRequest, ""},
		{"slow sender", "POST /v1/completions HTTP/1.1\r\nHost:", 408, peridotverdict.RequestTimedOut, ""},
		{"slow body", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc", 408, peridotverdict.RequestTimedOut, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, refusal := f.sendRaw(t, test.bytes)
			if status != test.status || refusal.Error.Code != test.code || refusal.Error.Param != test.param {
				t.Errorf("got %d %+v, want %d, code %s, param %q", status, refusal.Error, test.status, test.code, test.param)
			}
			if got, want := refusal.Error.Verdict, peridotverdict.NotRun; got != want {
				t.Errorf("verdict: got %s, want %s", got, want)
			}
		})
	}
	response, err := f.ask(0, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, complete := readTokens(response.Body, math.MaxInt); !complete {
		t.Errorf("valid request afterwards: got status %d and an incomplete answer, want a complete one", response.StatusCode)
	}
}

// sendRaw sends bytes to the first entry instance and returns the status and
// body of the refusal.
func (f *fleet) sendRaw(t *testing.T, bytes string) (int, peridotentry.Refusal) {
	t.Helper()
	conn, err := net.Dial("tcp", f.callerAddresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	go io.WriteString(conn, bytes) // The entry instance may answer before it has read everything.
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got no response, but the error %v", err)
	}
	defer response.Body.Close()
	var refusal peridotentry.Refusal
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		t.Fatalf("got status %d and a body that is not a refusal: %v", response.StatusCode, err)
	}
	return response.StatusCode, refusal
}
