package main

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"peridotstack/peridotstandin"
)

// TestMain makes the program available to the scripts as the command peridot.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"peridot": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: pickPorts,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"expand": expand,
			"ask":    ask,
			"setenv": setenv,
		},
	})
}

// pickPorts sets the 20 variables PA to PT to loopback addresses with free ports.
func pickPorts(env *testscript.Env) error {
	for i := range 20 {
		address, err := peridotstandin.FreeAddress()
		if err != nil {
			return err
		}
		env.Setenv("P"+string(rune('A'+i)), address)
	}
	return nil
}

// expand replaces environment variables in files by their values: expand FILE...
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// setenv sets a variable to the first word of the last command's output, or to
// the first word after a given text: setenv VARIABLE [TEXT].
func setenv(ts *testscript.TestScript, _ bool, args []string) {
	output := ts.ReadFile("stdout")
	if len(args) > 1 {
		_, rest, ok := strings.Cut(output, args[1])
		if !ok {
			ts.Fatalf("no %q in %q", args[1], output)
		}
		output = rest
	}
	words := strings.Fields(output)
	if len(words) == 0 {
		ts.Fatalf("no value for %s", args[0])
	}
	ts.Setenv(args[0], words[0])
}

const (
	maxAskAttempts = 200
	askInterval    = 50 * time.Millisecond
)

// ask repeats a request until the answer has the wanted status, and prints the
// body: ask STATUS METHOD URL KEY [BODY [IDEMPOTENCY-KEY]].
func ask(ts *testscript.TestScript, _ bool, args []string) {
	want := args[0]
	got, body := "", ""
	for range maxAskAttempts {
		got, body = askOnce(args[1:])
		if got == want {
			_, err := io.WriteString(ts.Stdout(), body)
			ts.Check(err)
			return
		}
		time.Sleep(askInterval)
	}
	ts.Fatalf("%s: got status %s (%s), want %s", args[2], got, body, want)
}

// askOnce sends one request. It returns the status code of the answer and the
// body, or an empty status and the text of the error.
func askOnce(args []string) (status, body string) {
	args = append(args, "", "")
	request, err := http.NewRequest(args[0], "http://"+args[1], strings.NewReader(args[3]))
	if err != nil {
		return "", err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+args[2])
	request.Header.Set("Idempotency-Key", args[4])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err.Error()
	}
	return response.Status[:3], string(answer)
}
