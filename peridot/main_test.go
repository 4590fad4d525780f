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

// TestMain lets the scripts run the program under its own name.
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

// pickPorts sets PA to PT to loopback addresses whose ports are free.
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

// expand replaces the variables in files by their values.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// setenv sets a variable to the first word of the last command's output, or to
// the first one behind a given text.
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
	askTries = 200
	askPause = 50 * time.Millisecond
)

// ask sends a request until it is answered with the wanted status, and prints
// the body: ask STATUS METHOD URL KEY [BODY [IDEMPOTENCY-KEY]].
func ask(ts *testscript.TestScript, _ bool, args []string) {
	want := args[0]
	got, body := "", ""
	for range askTries {
		got, body = askOnce(args[1:])
		if got == want {
			_, err := io.WriteString(ts.Stdout(), body)
			ts.Check(err)
			return
		}
		time.Sleep(askPause)
	}
	ts.Fatalf("%s: got status %s (%s), want %s", args[2], got, body, want)
}

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
